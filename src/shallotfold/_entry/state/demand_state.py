"""Hold what callers asked for."""

import attrs


@attrs.define(kw_only=True)
class DemandState:
    """Cumulative demand at this entry.

    Attributes:
        asked_by_key: Estimated output tokens asked for, by model and class.
        fresh: Whether something was asked for since the last flush.
    """

    asked_by_key: dict[tuple[str, str], int] = attrs.field(factory=dict)
    fresh: bool = False
