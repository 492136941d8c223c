"""State of the demand by callers."""

import attrs


@attrs.define(kw_only=True)
class DemandState:
    """Cumulative demand at this entry.

    Attributes:
        asked_tokens_by_key: Estimated output tokens of the requests so far, by
            model and class.
        unflushed: Whether demand was added since the last flush.
    """

    asked_tokens_by_key: dict[tuple[str, str], int] = attrs.field(factory=dict)
    unflushed: bool = False
