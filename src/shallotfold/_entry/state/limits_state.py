"""State of the workspace limits: use by workspaces that have limits."""

import attrs

from shallotfold._wire import grant_messages

WINDOW_S = 60.0


@attrs.define(kw_only=True)
class SlidingCount:
    """Sliding-window counter over `WINDOW_S`, approximated by two windows."""

    window: int = 0
    current: float = 0.0
    previous: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add to the current window."""
        self._roll(now_s)
        self.current += amount

    def total(self, now_s: float) -> float:
        """Return the amount in the last `WINDOW_S`."""
        self._roll(now_s)
        passed = now_s % WINDOW_S / WINDOW_S
        return max(0.0, self.current + self.previous * (1.0 - passed))

    def _roll(self, now_s: float) -> None:
        window = int(now_s // WINDOW_S)
        if window != self.window:
            adjacent = window == self.window + 1
            self.previous = self.current if adjacent else 0.0
            self.current = 0.0
            self.window = window


@attrs.define(kw_only=True)
class WorkspaceUse:
    """Use of one workspace at this entry, and what it may still admit.

    Attributes:
        requests: Requests admitted here.
        tokens: Tokens charged here.
        running: Requests open here.
        used_by_others: Use at all other entries, as last reported by the
            ledger; `None` before the first report.
        request_allowance: Requests to admit until the next ledger total.
        token_allowance: Tokens to charge until the next ledger total.
        running_allowance: Requests to open until the next ledger total.
        synced_s: When the allowances were computed.
    """

    requests: SlidingCount = attrs.field(factory=SlidingCount)
    tokens: SlidingCount = attrs.field(factory=SlidingCount)
    running: int = 0
    used_by_others: grant_messages.LimitTotal | None = None
    request_allowance: float = 0.0
    token_allowance: float = 0.0
    running_allowance: float = 0.0
    synced_s: float = -WINDOW_S


@attrs.define(kw_only=True)
class LimitsState:
    """Use of the limited workspaces.

    Attributes:
        uses_by_workspace: Use at this entry.
        ledgers_by_workspace: Last report of each entry, with the time of
            receipt, for workspaces whose ledger this entry keeps.
        synced_s: When reports were last sent.
    """

    uses_by_workspace: dict[str, WorkspaceUse] = attrs.field(factory=dict)
    ledgers_by_workspace: dict[
        str, dict[str, tuple[float, grant_messages.LimitUsed]]
    ] = attrs.field(factory=dict)
    synced_s: float = 0.0
