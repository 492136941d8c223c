"""Messages between an entry and the owner of a pool of upstreams."""

import attrs

from shallotfold._model.requests import Outcome
from shallotfold._model.requests import RefusalCode


@attrs.frozen(kw_only=True)
class GrantRequest:
    """Request an upstream from the owner of a pool.

    Attributes:
        pool: Name of the pool.
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        class_name: Request class.
        workspace: Workspace; empty on a route that is open to all.
        prompt_tokens: Estimated input tokens.
        output_tokens: Estimated remaining output tokens.
        waited_s: Time since the request arrived at its entry.
        prefix_digests: Digests of prompt prefixes, shortest first.
        repeatable: Whether the request may run more than once.
        avoid: Upstreams on which this request failed before.
        slack_s: How long a grant may still wait without missing the targets.
        preemptible: Whether the attempt may be cancelled for a higher tier.
        redirects: How often another entry redirected the request.
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
    """Confirm that a grant request is queued at the owner of the pool."""

    request_id: str
    attempt: int


@attrs.frozen(kw_only=True)
class GrantRefused:
    """Refuse an attempt permanently; the caller gets the refusal at once."""

    request_id: str
    attempt: int
    code: RefusalCode
    retry_after_s: float


@attrs.frozen(kw_only=True)
class GrantRedirected:
    """Redirect a request to the entry that the sender considers the owner."""

    request_id: str
    attempt: int
    owner: str


@attrs.frozen(kw_only=True)
class GrantCancelled:
    """Cancel a grant request whose caller disconnected or was answered."""

    request_id: str
    attempt: int


@attrs.frozen(kw_only=True)
class GrantPreempted:
    """Tell an entry to cancel a running attempt in favour of a higher tier."""

    request_id: str
    attempt: int


@attrs.frozen(kw_only=True)
class GrantReleased:
    """Report to the pool's owner that an attempt has ended, and how.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        outcome: What is known about the attempt.
        output_tokens: Tokens received in this attempt.
        first_token_s: From dispatch to the first token; -1 if there was none.
        duration_s: From dispatch to the end.
        healthy: Whether the attempt gave no reason to suspect the upstream.
        retry_after_s: Delay before new requests that the upstream asked for
            when it refused; -1 if it asked for none.
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
    """A running attempt, as announced to a new owner of its pool."""

    request_id: str
    attempt: int
    class_name: str
    workspace: str
    upstream: str
    output_tokens: int
    preemptible: bool = False


@attrs.frozen(kw_only=True)
class RunningAnnounced:
    """Announce an entry's running attempts in a pool to the new owner."""

    pool: str
    attempts: tuple[RunningAttempt, ...]


@attrs.frozen(kw_only=True)
class UpstreamSample:
    """Progress of one entry's streams on one upstream since the last sample.

    Attributes:
        upstream: Name of the upstream.
        tokens: Tokens received.
        busy_s: Time between tokens, summed over the streams.
    """

    upstream: str
    tokens: int
    busy_s: float


@attrs.frozen(kw_only=True)
class ProgressReported:
    """Report to a pool's owner how fast its upstreams produce tokens."""

    pool: str
    samples: tuple[UpstreamSample, ...]


@attrs.frozen(kw_only=True)
class LimitUsed:
    """Report recent admissions to the entry with a workspace's ledger.

    Attributes:
        workspace: Name of the workspace.
        requests: Requests admitted in the last minute.
        tokens: Tokens charged in the last minute.
        running: Requests currently open.
    """

    workspace: str
    requests: float
    tokens: float
    running: int


@attrs.frozen(kw_only=True)
class LimitTotal:
    """Reply with what all other entries admitted for a workspace.

    Attributes:
        workspace: Name of the workspace.
        requests: Requests admitted by other entries in the last minute.
        tokens: Tokens charged by other entries in the last minute.
        running: Requests currently open at other entries.
        reporters: Number of entries that recently admitted requests of the
            workspace.
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
