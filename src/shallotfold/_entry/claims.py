"""Run a non-idempotent request at most once across the fleet."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class ClaimsState:
    """Requests waiting for their idempotency key.

    Attributes:
        waiting: Ids of the requests whose claim is under way.
    """

    waiting: set[str] = attrs.field(factory=set)
