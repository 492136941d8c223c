"""Bound retries to a share of the requests, so that failures don't multiply."""

import attrs

RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 20.0


@attrs.define(kw_only=True)
class RetryBudget:
    """A bucket that requests fill and retries empty.

    Attributes:
        saved: Retries that may be made now.
    """

    saved: float = MAX_SAVED_RETRIES

    def on_request(self) -> None:
        """Earn a fraction of a retry for a new request."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + RETRIES_PER_REQUEST)

    def take(self) -> bool:
        """Take one retry if there is one left."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
