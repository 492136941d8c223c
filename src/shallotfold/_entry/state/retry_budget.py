"""Limit retries to a share of the requests, to prevent retry storms."""

import attrs

RETRIES_PER_REQUEST = 0.1
MAX_RETRY_BALANCE = 20.0


@attrs.define(kw_only=True)
class RetryBudget:
    """A token bucket that requests fill and retries drain.

    Attributes:
        balance: Retries that are allowed now.
    """

    balance: float = MAX_RETRY_BALANCE

    def on_request(self) -> None:
        """Add a fraction of a retry for a new request."""
        self.balance = min(
            MAX_RETRY_BALANCE, self.balance + RETRIES_PER_REQUEST
        )

    def try_spend(self) -> bool:
        """Spend one retry if the balance allows it."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
