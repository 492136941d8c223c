"""Events that the dispatcher handles.

`now_s` comes from the boot clock, which counts suspended time.
"""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding.crash_knowledge import CrashKnowledge
from shallotfold._gateway.deciding.named_limits import LimitStatement
from shallotfold._gateway.deciding.partition_shares import PromptLoad
from shallotfold._gateway.deciding.upstream_speeds import SpeedSample
from shallotfold._model.events import Event


@attrs.frozen(kw_only=True)
class RequestArrived(Event):
    """A caller sent a valid request.

    Attributes:
        request: Number of the request on this host.
        route: Its route.
        service: Service that the traffic split of the route chose.
        rank: Priority, 0 first.
        prompt: What the request declares about its prompt.
        fingerprint: Digest that equal requests share; empty: not known.
        deadline_s: When the caller stops waiting.
        draw: Uniform random number in [0, 1).
        allowed_regions: Regions whose upstreams may get it; `None`: all.
    """

    request: int
    route: Route
    service: str
    rank: int
    prompt: Prompt
    fingerprint: str = ""
    deadline_s: float
    draw: float
    allowed_regions: frozenset[str] | None = None


@attrs.frozen(kw_only=True)
class AttemptEvent(Event):
    """Base of the events of a request's current attempt."""

    request: int


@attrs.frozen(kw_only=True)
class AttemptUnsent(AttemptEvent):
    """No connection could be established, so nothing was sent.

    Attributes:
        host_is_full: Whether this host has no descriptor left for one, which
            tells nothing about the upstream.
    """

    host_is_full: bool = False


@attrs.frozen(kw_only=True)
class AttemptRejected(AttemptEvent):
    """The upstream proved that it did not run the request.

    Attributes:
        wrong_upstream: Whether another upstream answers at the address.
    """

    wrong_upstream: bool = False


@attrs.frozen(kw_only=True)
class AttemptProgressed(AttemptEvent):
    """The first or a further part of the response arrived."""


@attrs.frozen(kw_only=True)
class AttemptBroken(AttemptEvent):
    """The response broke off or was invalid; the request may have run.

    Attributes:
        response_started: Whether the caller has received part of the response.
    """

    response_started: bool


@attrs.frozen(kw_only=True)
class AttemptFailed(AttemptEvent):
    """The upstream sent an error response, which is held for the caller."""


@attrs.frozen(kw_only=True)
class AttemptSucceeded(AttemptEvent):
    """The whole response has been forwarded.

    Attributes:
        end_marked: Whether the response marked its end itself. The end of a
            connection proves less: it also comes when an upstream ends.
    """

    end_marked: bool = True


@attrs.frozen(kw_only=True)
class CallerDisconnected(AttemptEvent):
    """The caller closed its connection."""


@attrs.frozen(kw_only=True)
class LoadReported(Event):
    """An upstream reported its load in a response.

    Attributes:
        upstream: Id of the upstream.
        running: Requests that it is running.
        waiting: Requests in its queue.
        started_ms: Start of the upstream, in Unix milliseconds.
        percent: How long work takes on its machine now, 100 as usual; `None`:
            it doesn't say.
        at_head: Whether the response, a stream, has only begun.
    """

    upstream: str
    running: int
    waiting: int
    started_ms: int = 0
    percent: int | None = None
    at_head: bool = False


@attrs.frozen(kw_only=True)
class PauseRequested(Event):
    """An upstream asked this host to send it nothing for a while.

    Attributes:
        upstream: Id of the upstream.
        pause_s: For how long.
    """

    upstream: str
    pause_s: float


@attrs.frozen(kw_only=True)
class LimitStated(Event):
    """The head of a response said whether its upstream names a limit.

    Attributes:
        upstream: The upstream.
        rate: Requests a second that it takes from all hosts together; infinite
            without a limit.
        sent_s: When the request was sent.
    """

    upstream: Upstream
    rate: float
    sent_s: float


@attrs.frozen(kw_only=True)
class UpstreamsChanged(Event):
    """The set of upstreams that may get requests changed.

    Attributes:
        upstreams_by_id: The upstreams.
        source: Where the change came from, for the log.
    """

    upstreams_by_id: Mapping[str, Upstream]
    source: str = ""


@attrs.frozen(kw_only=True)
class ServicesChanged(Event):
    """Another configuration is in force.

    Attributes:
        services_by_name: Its services.
    """

    services_by_name: Mapping[str, Service]


@attrs.frozen
class RequestLoad:
    """Load of open requests on an upstream.

    Attributes:
        requests: Requests sent that have not ended.
        pending_tokens: Prompt tokens of those whose response has not begun.
    """

    requests: int
    pending_tokens: int


@attrs.frozen(kw_only=True)
class PeerLoadsReceived(Event):
    """A peer reported its loads on the upstreams.

    Attributes:
        peer: Name of its host.
        loads_by_upstream: Load of its open requests by upstream id.
        prefixes_sent: Prompt prefixes that it sent lately: prefix id and
            upstream id of each.
        demand_by_service: Requests a second of its callers.
        prompts_by_service: Its requests at engines, by length of the prompt.
        speed_samples: How long responses to it took lately.
    """

    peer: str
    loads_by_upstream: Mapping[str, RequestLoad]
    prefixes_sent: Sequence[tuple[str, str]] = ()
    demand_by_service: Mapping[str, float] = attrs.field(factory=dict)
    prompts_by_service: Mapping[str, PromptLoad] = attrs.field(factory=dict)
    speed_samples: Sequence[SpeedSample] = ()


@attrs.frozen(kw_only=True)
class PeerLimitsReceived(Event):
    """A peer told what responses to it said about limits of upstreams."""

    peer: str
    statements: Sequence[LimitStatement]


@attrs.frozen(kw_only=True)
class PeerCrashesReceived(Event):
    """A peer told what it knows of requests under which upstreams end."""

    peer: str
    knowledge: CrashKnowledge


@attrs.frozen(kw_only=True)
class StoredHoldsRead(Event):
    """The holds in the platform's store were read.

    Attributes:
        holds: Traits of each hold.
    """

    holds: Sequence[tuple[str, ...]]


@attrs.frozen(kw_only=True)
class ServingEnded(Event):
    """The host is about to stop; what is open now can't be answered later."""


@attrs.frozen(kw_only=True)
class TimePassed(Event):
    """Time has passed; sent periodically while the process runs.

    Attributes:
        host_count: Number of hosts that share what is allowed to all together.
        clock_offset_s: Time of day that the hosts agree on, minus `now_s`.
    """

    host_count: int = 1
    clock_offset_s: float = 0.0
