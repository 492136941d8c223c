"""Messages between an entry and the owner of a pool of upstreams."""

import attrs

from shallotfold._model.requests import Outcome
from shallotfold._model.requests import RefusalCode


@attrs.frozen(kw_only=True)
class GrantRequest:
    """Ask the owner of a pool for an upstream.

    Attributes:
        pool: Name of the pool.
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        class_name: Request class.
        workspace: Workspace; empty on a route open to all.
        prompt_tokens: Estimated input tokens.
        output_tokens: Estimated output tokens still to come.
        waited_s: Time since the request arrived at its entry.
        prefix_digests: Digests of growing prompt prefixes, longest last.
        repeatable: Whether the request may run more than once.
        avoid: Upstreams that failed this request before.
        slack_s: Time from now until which a grant can still meet the targets.
        preemptible: Whether the attempt may be cancelled for a higher tier.
        redirects: How often another entry passed the request on.
    """

    pool: str
    request_id: str
    attempt: int
    class_name: str
    workspace: str
    prompt_tokens: int
    output_tokens: int
    waited_s: float
    prefix_digests: tuple[str, ...] = ()
    repeatable: bool = True
    avoid: tuple[str, ...] = ()
    slack_s: float = 60.0
    preemptible: bool = False
    redirects: int = 0


@attrs.frozen(kw_only=True)
class Grant:
    """Allow one attempt on one upstream."""

    request_id: str
    attempt: int
    upstream: str
    priority: int


@attrs.frozen(kw_only=True)
class GrantQueued:
    """Confirm that a grant request waits at its owner."""

    request_id: str
    attempt: int


@attrs.frozen(kw_only=True)
class GrantRefused:
    """Refuse an attempt for good; the caller gets the answer at once."""

    request_id: str
    attempt: int
    code: RefusalCode
    retry_after_s: float


@attrs.frozen(kw_only=True)
class GrantRedirected:
    """Name the owner that the asked entry believes in instead of itself."""

    request_id: str
    attempt: int
    owner: str


@attrs.frozen(kw_only=True)
class GrantCancelled:
    """Withdraw a grant request whose caller has left or was answered."""

    request_id: str
    attempt: int


@attrs.frozen(kw_only=True)
class GrantPreempted:
    """Ask an entry to cancel a running attempt for a higher tier."""

    request_id: str
    attempt: int


@attrs.frozen(kw_only=True)
class GrantReleased:
    """Tell the owner that an attempt has ended, and how it went.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        outcome: What is known about the attempt.
        output_tokens: Tokens received in this attempt.
        first_token_s: From dispatch to the first token; -1 when none came.
        duration_s: From dispatch to the end.
        healthy: Whether the upstream itself is above suspicion.
        retry_after_s: When the upstream that refused wants new work; -1 if it
            did not say.
    """

    request_id: str
    attempt: int
    outcome: Outcome
    output_tokens: int
    first_token_s: float
    duration_s: float
    healthy: bool = True
    retry_after_s: float = -1.0


@attrs.frozen(kw_only=True)
class RunningAttempt:
    """One running attempt, announced again to a new owner."""

    request_id: str
    attempt: int
    class_name: str
    workspace: str
    upstream: str
    output_tokens: int
    preemptible: bool = False


@attrs.frozen(kw_only=True)
class RunningAnnounced:
    """Announce everything an entry runs in a pool to the pool's new owner."""

    pool: str
    attempts: tuple[RunningAttempt, ...]


@attrs.frozen(kw_only=True)
class UpstreamSample:
    """Progress of one entry's streams on one upstream since the last sample.

    Attributes:
        upstream: Name of the upstream.
        tokens: Tokens received.
        busy_s: Seconds that streams spent between their tokens, summed.
    """

    upstream: str
    tokens: int
    busy_s: float


@attrs.frozen(kw_only=True)
class ProgressReported:
    """Tell a pool's owner how fast its upstreams answer."""

    pool: str
    samples: tuple[UpstreamSample, ...]


@attrs.frozen(kw_only=True)
class LimitUsed:
    """Tell a workspace's ledger what the sender admitted lately.

    Attributes:
        workspace: Name of the workspace.
        requests: Requests admitted in the last minute.
        tokens: Tokens charged in the last minute.
        running: Requests open now.
    """

    workspace: str
    requests: float
    tokens: float
    running: int


@attrs.frozen(kw_only=True)
class LimitTotal:
    """Answer with what all other entries admitted for a workspace.

    Attributes:
        workspace: Name of the workspace.
        requests: Requests admitted elsewhere in the last minute.
        tokens: Tokens charged elsewhere in the last minute.
        running: Requests open elsewhere.
        reporters: Entries that admitted requests of the workspace lately.
    """

    workspace: str
    requests: float
    tokens: float
    running: int
    reporters: int


GrantMessage = (
    GrantRequest
    | Grant
    | GrantQueued
    | GrantRefused
    | GrantRedirected
    | GrantCancelled
    | GrantPreempted
    | GrantReleased
    | RunningAnnounced
    | ProgressReported
    | LimitUsed
    | LimitTotal
)

MESSAGES: tuple[type, ...] = (
    GrantRequest,
    Grant,
    GrantQueued,
    GrantRefused,
    GrantRedirected,
    GrantCancelled,
    GrantPreempted,
    GrantReleased,
    RunningAnnounced,
    ProgressReported,
    LimitUsed,
    LimitTotal,
)
