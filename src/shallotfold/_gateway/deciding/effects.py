"""Effects that the dispatcher returns for the gateway to carry out."""

import attrs

from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding.cold_upstreams import ColdChange
from shallotfold._gateway.deciding.named_limits import LimitChange
from shallotfold._gateway.deciding.request_holds import HoldChange
from shallotfold._gateway.deciding.upstream_speeds import SpeedChange


@attrs.frozen(kw_only=True)
class Effect:
    """Base of all effects."""


@attrs.frozen(kw_only=True)
class RequestEffect(Effect):
    """Base of the effects that concern one request."""

    request: int


@attrs.frozen(kw_only=True)
class SendAttempt(RequestEffect):
    """Send the request to an upstream.

    Attributes:
        upstream: Target of the attempt.
        number: 1 for the first attempt of the request.
        allowed_s: How long the upstream may work.
        reason: Inputs of the choice of this upstream, for the log.
        shared_part_ids: Parts of the prompt that other requests may share, for
            the log.
    """

    upstream: Upstream
    number: int
    allowed_s: float
    reason: str
    shared_part_ids: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class CancelAttempt(RequestEffect):
    """Abort the current attempt so that its upstream stops working on it."""


@attrs.frozen(kw_only=True)
class DeliverFailure(RequestEffect):
    """Forward the error response of the upstream unchanged."""


@attrs.frozen(kw_only=True)
class Refuse(RequestEffect):
    """Respond that the request has not run and when to retry.

    Attributes:
        retry_after_s: Delay after which the caller should retry.
        reason: Cause, for the log and the caller.
    """

    retry_after_s: float
    reason: str


@attrs.frozen(kw_only=True)
class Fail(RequestEffect):
    """Respond that the outcome is unknown, or abort a started response.

    Attributes:
        timed_out: Whether the time limit was reached, rather than an upstream
            failing.
        reason: Cause, for the log and the caller.
    """

    timed_out: bool
    reason: str


@attrs.frozen(kw_only=True)
class LogHoldChange(Effect):
    """Log that prompts are held back or let through."""

    change: HoldChange


@attrs.frozen(kw_only=True)
class AnnounceCrashes(Effect):
    """Tell all peers at once what this host knows of crashing prompts."""


@attrs.frozen(kw_only=True)
class LogLimitChange(Effect):
    """Log that the limit of an upstream is new, changed or ended."""

    change: LimitChange


@attrs.frozen(kw_only=True)
class LogPartition(Effect):
    """Log that another share of a service's engines is for long prompts."""

    service: str
    long_share: float


@attrs.frozen(kw_only=True)
class LogColdChange(Effect):
    """Log that an upstream became cold or warm."""

    change: ColdChange


@attrs.frozen(kw_only=True)
class LogSpeedChange(Effect):
    """Log that an upstream became slow, or is no longer."""

    change: SpeedChange


@attrs.frozen(kw_only=True)
class AnnounceLimits(Effect):
    """Tell all peers at once what responses here said about limits."""
