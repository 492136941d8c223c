"""Events that the entry's reducer consumes.

Times are in seconds: `now_s` from the monotonic clock, `wall_s` since the
epoch. The reducer reads no clock and draws no random number.
"""

from collections.abc import Sequence

import attrs

from shallotfold._model.configuration import Configuration
from shallotfold._model.events import Event as Event
from shallotfold._model.events import Tick as Tick
from shallotfold._model.requests import CallerRequest
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import RecordedAnswer
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import UpstreamLoad
from shallotfold._wire.messages import PeerMessage


@attrs.frozen(kw_only=True)
class RequestArrived(Event):
    """A caller's request was read and parsed."""

    request: CallerRequest
    wall_s: float


@attrs.frozen(kw_only=True)
class CallerDisconnected(Event):
    """The caller closed its connection before the answer was complete."""

    request_id: str


@attrs.frozen(kw_only=True)
class TokensForwarded(Event):
    """Tokens of an attempt were written to the caller.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        count: New tokens.
        resumable: Whether another attempt can continue after them.
    """

    request_id: str
    attempt: int
    count: int
    resumable: bool = True


@attrs.frozen(kw_only=True)
class AttemptEnded(Event):
    """An attempt on an upstream has ended.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        outcome: `RAN` only if the complete answer was received; a stream is
            complete with its end marker.
        status: HTTP status of the upstream; 0 if it sent no response or a
            broken one.
        prompt_tokens: Input tokens as counted by the upstream; 0 if unknown.
        output_tokens: Output tokens of this attempt, as counted by the upstream
            or else as received in a stream.
        retry_after_s: Delay that the upstream's refusal asked for; -1 if none.
        answer_started: Whether bytes of the answer reached the caller.
        resumable: Whether another attempt can continue after what the caller
            has.
    """

    request_id: str
    attempt: int
    outcome: Outcome
    status: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    retry_after_s: float = -1.0
    answer_started: bool = False
    resumable: bool = True


@attrs.frozen(kw_only=True)
class LoadReported(Event):
    """A load report of an upstream was read."""

    upstream: str
    load: UpstreamLoad


@attrs.frozen(kw_only=True)
class LoadFetchFailed(Event):
    """An upstream sent no valid load report when it was polled."""

    upstream: str


@attrs.frozen(kw_only=True)
class PrefixCacheUpdated(Event):
    """An upstream published changes of its prompt prefix cache.

    Attributes:
        upstream: Name of the upstream.
        cached: Digests of prefixes that are cached now.
        evicted: Digests of prefixes that are no longer cached.
        is_snapshot: Whether `cached` replaces all that was known, because
            changes were missed or the upstream restarted.
    """

    upstream: str
    cached: tuple[str, ...]
    evicted: tuple[str, ...]
    is_snapshot: bool = False


@attrs.frozen(kw_only=True)
class HostsListed(Event):
    """The platform's host list, which lags behind reality, was read."""

    hosts: Sequence[HostRecord]


@attrs.frozen(kw_only=True)
class ConfigurationRead(Event):
    """A complete, valid configuration was read from the store or a peer.

    Attributes:
        version: Its version.
        configuration: Its content.
        document: Its chunks, packed by `_fleet.chunk_loader`, or canonical
            JSON, to be sent to peers.
        sha256: Digest of the document.
    """

    version: int
    configuration: Configuration
    document: bytes
    sha256: str


@attrs.frozen(kw_only=True)
class VersionConfirmed(Event):
    """The store confirmed which configuration version is the newest.

    Attributes:
        version: The newest version.
        read_started_s: Monotonic time before the read was sent; for a watch
            that ended without a change, the end of the watch.
    """

    version: int
    read_started_s: float


@attrs.frozen(kw_only=True)
class PeerConnected(Event):
    """An authenticated stream to a peer is open."""

    host: str


@attrs.frozen(kw_only=True)
class PeerDisconnected(Event):
    """The stream to a peer has closed or couldn't be opened."""

    host: str


@attrs.frozen(kw_only=True)
class PeerMessageReceived(Event):
    """A message from an authenticated peer arrived."""

    host: str
    message: PeerMessage


@attrs.frozen(kw_only=True)
class ClaimSucceeded(Event):
    """The idempotency key was claimed for this request."""

    request_id: str


@attrs.frozen(kw_only=True)
class ClaimFailed(Event):
    """The idempotency key of a request could not be claimed.

    Attributes:
        request_id: Id of the request.
        reason: `IN_PROGRESS`, `KEY_REUSED` or `STORE_UNAVAILABLE` as the name
            of a refusal code; `UPSTREAM_FAILED` for a first run whose outcome
            is unknown.
        answer: Recorded answer of the first run, when there is one.
    """

    request_id: str
    reason: str
    answer: RecordedAnswer | None = None


@attrs.frozen(kw_only=True)
class UsageFlushed(Event):
    """The store has the counts up to a flush.

    Attributes:
        sequence: Sequence number of the flush.
        closed_before: The `closed_before` of the flush.
    """

    sequence: int
    closed_before: int = 0


@attrs.frozen(kw_only=True)
class UsageFlushFailed(Event):
    """A flush did not reach the store, or it is unknown whether it did.

    Attributes:
        retired: Whether this source was retired: it was inactive for so long
            that all its counts are in final usage reports.
    """

    retired: bool = False


@attrs.frozen(kw_only=True)
class HeldUsageFlushed(Event):
    """A write of counts held for a peer has finished.

    Attributes:
        host: The peer.
        incarnation: Its incarnation.
        sequence: Sequence number of the write.
        stored: Whether the store has the counts.
    """

    host: str
    incarnation: int
    sequence: int
    stored: bool


@attrs.frozen(kw_only=True)
class UsageSettled(Event):
    """All shards sent final reports of this entry's windows before a time.

    Attributes:
        before: The time, in seconds since the epoch.
    """

    before: int


@attrs.frozen(kw_only=True)
class ShutdownRequested(Event):
    """The process was asked to stop and must drain."""
