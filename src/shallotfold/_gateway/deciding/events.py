"""Declare what the dispatcher is told.

`now_s` comes from the boot clock, which counts suspended time.
"""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import Upstream
from shallotfold._model.events import Event


@attrs.frozen(kw_only=True)
class RequestArrived(Event):
    """A proper request of a caller is in.

    Attributes:
        request: Number of the request on this host.
        route: Its route.
        service: Service that the route's split gave it.
        rank: How urgent it is, 0 first.
        prompt: What it says of its prompt.
        deadline_s: When the caller stops waiting.
        draw: Uniform random number in [0, 1).
    """

    request: int
    route: Route
    service: str
    rank: int
    prompt: Prompt
    deadline_s: float
    draw: float


@attrs.frozen(kw_only=True)
class AttemptEvent(Event):
    """Something happened to the attempt under way of a request."""

    request: int


@attrs.frozen(kw_only=True)
class AttemptUnsent(AttemptEvent):
    """No connection was established, so that nothing was sent."""


@attrs.frozen(kw_only=True)
class AttemptRejected(AttemptEvent):
    """The upstream proved that it did not run the request.

    Attributes:
        wrong_upstream: Another upstream answers at the address.
    """

    wrong_upstream: bool = False


@attrs.frozen(kw_only=True)
class AttemptProgressed(AttemptEvent):
    """The first or a further part of the answer arrived."""


@attrs.frozen(kw_only=True)
class AttemptBroken(AttemptEvent):
    """The answer ended early or was no answer; the request may have run.

    Attributes:
        answer_started: Whether the caller already has a part of the answer.
    """

    answer_started: bool


@attrs.frozen(kw_only=True)
class AttemptFailed(AttemptEvent):
    """The upstream answered with an error, which is held for the caller."""


@attrs.frozen(kw_only=True)
class AttemptSucceeded(AttemptEvent):
    """The whole answer has been passed on."""


@attrs.frozen(kw_only=True)
class CallerLeft(AttemptEvent):
    """The caller closed its connection."""


@attrs.frozen(kw_only=True)
class LoadReported(Event):
    """An upstream told its load in an answer.

    Attributes:
        upstream: Id of the upstream.
        running: Requests that it runs.
        waiting: Requests that wait inside it.
    """

    upstream: str
    running: int
    waiting: int


@attrs.frozen(kw_only=True)
class UpstreamsChanged(Event):
    """The upstreams that may get requests are others now."""

    upstreams_by_id: Mapping[str, Upstream]


@attrs.frozen
class PeerLoad:
    """What one peer has under way at an upstream.

    Attributes:
        requests: Requests sent and not ended.
        pending_tokens: Prompt tokens of those without a first token.
    """

    requests: int
    pending_tokens: int


@attrs.frozen(kw_only=True)
class PeerLoadsReceived(Event):
    """A peer told what it has under way at each upstream.

    Attributes:
        peer: Name of its host.
        loads_by_upstream: What it has under way.
        prefixes_sent: Shared parts of prompts that it sent lately, each with
            the upstream that reads it.
    """

    peer: str
    loads_by_upstream: Mapping[str, PeerLoad]
    prefixes_sent: Sequence[tuple[str, str]] = ()


@attrs.frozen(kw_only=True)
class TimePassed(Event):
    """Sent again and again while the process runs.

    Attributes:
        hosts: Hosts that share the fleet's retry budget.
    """

    hosts: int = 1
