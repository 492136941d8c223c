"""State of the requests that have no final answer yet."""

import enum

import attrs

from shallotfold._entry.state.crash_evidence import CrashEvidence
from shallotfold._entry.state.estimates import Estimates
from shallotfold._entry.state.retry_budget import RetryBudget
from shallotfold._model.requests import CallerRequest
from shallotfold._model.requests import Outcome


class Phase(enum.Enum):
    """Phase of an open request."""

    CLAIMING = "claiming"
    """Its idempotency key is being claimed."""
    WAITING = "waiting"
    """A grant was requested from the owner of a pool."""
    RUNNING = "running"
    """An attempt runs on an upstream."""


@attrs.define(kw_only=True)
class OpenRequest:
    """A request without its final answer.

    Attributes:
        request: The request as it arrived.
        workspace: Name of the workspace; empty on a route open to all.
        class_name: Effective request class.
        pool: Pool that serves it.
        arrived_s: Monotonic time of arrival.
        arrived_wall_s: Time of arrival in seconds since the epoch.
        phase: Its phase.
        attempt: Number of the current attempt; 0 before the first.
        owner: Entry from which the current grant was requested.
        grant_requested_s: When the grant was last requested.
        upstream: Upstream of the last attempt; empty before the first.
        started_s: When the current attempt started.
        first_token_s: When the caller got its first token; -1 before that.
        last_token_s: When the caller got its last token; -1 before that.
        output_tokens: Tokens that the caller has.
        tokens_before_attempt: Tokens that the caller had before the current
            attempt.
        failures: Attempts that failed.
        avoid: Upstreams that failed this request.
        may_have_run: Whether an earlier attempt may have run.
        redirects: How often the grant request was redirected.
        charged_tokens: Tokens charged to the workspace's limits.
        text_resumable: Whether another upstream can continue from the tokens
            so far; an answer with tool calls can't be resumed.
        owner_responded: Whether the owner responded to the grant request.
    """

    request: CallerRequest
    workspace: str
    class_name: str
    pool: str
    arrived_s: float
    arrived_wall_s: float
    phase: Phase = Phase.WAITING
    attempt: int = 0
    owner: str = ""
    grant_requested_s: float = 0.0
    upstream: str = ""
    started_s: float = 0.0
    first_token_s: float = -1.0
    last_token_s: float = -1.0
    output_tokens: int = 0
    tokens_before_attempt: int = 0
    failures: int = 0
    avoid: tuple[str, ...] = ()
    may_have_run: bool = False
    redirects: int = 0
    charged_tokens: float = 0.0
    text_resumable: bool = True
    owner_responded: bool = False

    @property
    def needs_claim(self) -> bool:
        """Whether an idempotency key must be claimed before dispatch."""
        request = self.request
        return bool(request.idempotency_key) and not request.idempotent

    @property
    def outcome(self) -> Outcome:
        """Outcome of the request if it ends now without an answer."""
        if self.may_have_run or self.phase is Phase.RUNNING:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    @property
    def resumable(self) -> bool:
        """Whether another attempt can continue from what the caller has."""
        request = self.request
        if not request.idempotent or not request.model:
            return False
        return self.text_resumable or not self.output_tokens

    def is_running(self, attempt: int) -> bool:
        """Whether this attempt is running now."""
        return self.phase is Phase.RUNNING and self.attempt == attempt


@attrs.define(kw_only=True)
class RequestsState:
    """Requests of the callers connected to this entry.

    Attributes:
        open_by_id: Requests without a final answer.
        abandoned_claims: Requests that ended while their key was being
            claimed.
        retry_budget: Limits the retries after failures.
        crash_evidence: Requests under which upstreams ended.
        estimates: Learned lengths and speeds of answers.
        suspected_until_by_host: Until when to avoid owners that did not
            respond.
        owners_by_pool: Owner of each pool with open requests, as last computed.
        announced_pool_owners: Pools and owners of the last periodic
            announcement that had running attempts.
        samples_by_upstream: Tokens and busy seconds since the last report, by
            pool and upstream.
        progress_reported_s: When progress was last reported.
        announced_s: When running attempts were last announced.
    """

    open_by_id: dict[str, OpenRequest] = attrs.field(factory=dict)
    abandoned_claims: set[str] = attrs.field(factory=set)
    retry_budget: RetryBudget = attrs.field(factory=RetryBudget)
    crash_evidence: CrashEvidence = attrs.field(factory=CrashEvidence)
    estimates: Estimates = attrs.field(factory=Estimates)
    suspected_until_by_host: dict[str, float] = attrs.field(factory=dict)
    owners_by_pool: dict[str, str] = attrs.field(factory=dict)
    samples_by_upstream: dict[tuple[str, str], tuple[int, float]] = attrs.field(
        factory=dict
    )
    announced_pool_owners: set[tuple[str, str]] = attrs.field(factory=set)
    progress_reported_s: float = 0.0
    announced_s: float = 0.0
