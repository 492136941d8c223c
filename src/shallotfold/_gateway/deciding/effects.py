"""Declare what the dispatcher wants done."""

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
        upstream: Where to.
        number: 1 for the first attempt of the request.
        allowed_s: How long the upstream may work.
        reason: Why this upstream, for the log.
    """

    upstream: Upstream
    number: int
    allowed_s: float
    reason: str


@attrs.frozen(kw_only=True)
class CancelAttempt(Effect):
    """Drop the attempt under way so that its upstream stops."""


@attrs.frozen(kw_only=True)
class DeliverFailure(Effect):
    """Pass the upstream's own failure on as it came."""


@attrs.frozen(kw_only=True)
class Refuse(Effect):
    """Answer that the request has not run and when to come back.

    Attributes:
        retry_after_s: When the caller should come back.
        reason: Why, for the log and the caller.
    """

    retry_after_s: float
    reason: str


@attrs.frozen(kw_only=True)
class Fail(Effect):
    """Answer that the outcome is unknown, or break off a begun answer.

    Attributes:
        timed_out: Whether time ran out rather than an upstream failing.
        reason: Why, for the log and the caller.
    """

    timed_out: bool
    reason: str
