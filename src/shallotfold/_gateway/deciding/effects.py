"""Effects that the dispatcher returns for the gateway to carry out."""

import attrs

from shallotfold._gateway.core.model import Upstream


@attrs.frozen(kw_only=True)
class Effect:
    """Base of all effects; each concerns one request."""

    request: int


@attrs.frozen(kw_only=True)
class SendAttempt(Effect):
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
class CancelAttempt(Effect):
    """Abort the current attempt so that its upstream stops working on it."""


@attrs.frozen(kw_only=True)
class DeliverFailure(Effect):
    """Forward the error response of the upstream unchanged."""


@attrs.frozen(kw_only=True)
class Refuse(Effect):
    """Respond that the request has not run and when to retry.

    Attributes:
        retry_after_s: Delay after which the caller should retry.
        reason: Cause, for the log and the caller.
    """

    retry_after_s: float
    reason: str


@attrs.frozen(kw_only=True)
class Fail(Effect):
    """Respond that the outcome is unknown, or abort a started response.

    Attributes:
        timed_out: Whether the time limit was reached, rather than an upstream
            failing.
        reason: Cause, for the log and the caller.
    """

    timed_out: bool
    reason: str
