"""Effects that the entry's reducer returns for its shell to run."""

import attrs

from shallotfold._fleet.usage_flush import ModelDemand
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import RecordedAnswer
from shallotfold._model.requests import Refusal
from shallotfold._wire.messages import PeerMessage
from shallotfold._wire.usage_messages import UsageCount


@attrs.frozen(kw_only=True)
class StartAttempt:
    """Send a request to an upstream.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        upstream: Name of the upstream.
        url: Base URL of the upstream.
        credential: Name of the upstream's credential.
        priority: Priority for the engine; 1 is the highest.
        resume: Whether to continue after the tokens that the caller has.
    """

    request_id: str
    attempt: int
    upstream: str
    url: str
    credential: str
    priority: int
    resume: bool


@attrs.frozen(kw_only=True)
class CancelAttempt:
    """Cancel a running attempt; its connection is closed, not reused."""

    request_id: str
    attempt: int


@attrs.frozen(kw_only=True)
class FinishAnswer:
    """Complete the answer to the caller."""

    request_id: str


@attrs.frozen(kw_only=True)
class RefuseRequest:
    """Send the final refusal to the caller at once.

    If the answer has started, the shell ends the stream with an error event.
    """

    request_id: str
    refusal: Refusal


@attrs.frozen(kw_only=True)
class ReplayAnswer:
    """Answer a repeated request with the recorded answer of the first run."""

    request_id: str
    answer: RecordedAnswer


@attrs.frozen(kw_only=True)
class ClaimIdempotencyKey:
    """Claim an idempotency key in the store before dispatch."""

    request_id: str
    workspace: str
    idempotency_key: str
    body_sha256: str


@attrs.frozen(kw_only=True)
class SettleClaim:
    """Record how a claimed request ended.

    Attributes:
        request_id: Id of the request.
        outcome: `NOT_RUN` releases the claim; `RAN` records the answer that
            the shell buffered. `UNKNOWN`, and `RAN` without a buffered answer
            (a stream), are recorded as unknown.
    """

    request_id: str
    outcome: Outcome


@attrs.frozen(kw_only=True)
class SendToPeer:
    """Send a message to a peer or to this entry itself."""

    host: str
    message: PeerMessage


@attrs.frozen(kw_only=True)
class FetchConfiguration:
    """Read a newer configuration from the store."""

    version: int


@attrs.frozen(kw_only=True)
class SendConfiguration:
    """Send a configuration document to a peer, in parts.

    Attributes:
        host: Peer that requested it.
        version: Version of the document.
        document: Its packed chunks.
        sha256: Digest of the document.
    """

    host: str
    version: int
    document: bytes
    sha256: str


@attrs.frozen(kw_only=True)
class LoadConfigurationDocument:
    """Decode a document received from a peer into `ConfigurationRead`.

    Attributes:
        version: Version of the document.
        document: Its joined parts, still compressed.
        sha256: Digest of the document.
    """

    version: int
    document: bytes
    sha256: str


@attrs.frozen(kw_only=True)
class FlushUsage:
    """Write the cumulative counts of this entry to the store as one value.

    Attributes:
        sequence: The counts include all changes up to this number.
        counts: All counts that are not in a final usage report.
        host: Name of this host.
        incarnation: Incarnation of the source of the counts.
        closed_before: Counts of windows that start before this time, in
            seconds since the epoch, are final.
        demand: Cumulative demand.
    """

    sequence: int
    counts: tuple[UsageCount, ...]
    host: str = ""
    incarnation: int = 0
    closed_before: int = 0
    demand: tuple[ModelDemand, ...] = ()


@attrs.frozen(kw_only=True)
class FlushHeldUsage:
    """Write counts held for a peer to the peer's value in the store."""

    host: str
    incarnation: int
    sequence: int
    counts: tuple[UsageCount, ...]


@attrs.frozen(kw_only=True)
class RecordExplanation:
    """Record a step in the handling of a request for `shallotfold explain`."""

    request_id: str
    step: str
    detail: str


@attrs.frozen(kw_only=True)
class CountMetric:
    """Add to a statsd counter."""

    name: str
    value: int = 1


@attrs.frozen(kw_only=True)
class TimeMetric:
    """Record a statsd timing in seconds."""

    name: str
    value_s: float


@attrs.frozen(kw_only=True)
class SetReady:
    """Report readiness to the load balancer."""

    ready: bool


@attrs.frozen(kw_only=True)
class ExitProcess:
    """Stop the process after it has drained."""


Effect = (
    StartAttempt
    | CancelAttempt
    | FinishAnswer
    | RefuseRequest
    | ReplayAnswer
    | ClaimIdempotencyKey
    | SettleClaim
    | SendToPeer
    | FetchConfiguration
    | SendConfiguration
    | LoadConfigurationDocument
    | FlushUsage
    | FlushHeldUsage
    | RecordExplanation
    | CountMetric
    | TimeMetric
    | SetReady
    | ExitProcess
)
