"""Report the usage of each window once, with figures frozen beforehand."""

import asyncio
from collections.abc import Callable
import json

from shallotfold._errors import PlatformError
from shallotfold._errors import StoreConflictError
from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.periodic_task import PeriodicTask
from shallotfold._gateway.core.ports import DutyCalls
from shallotfold._gateway.core.ports import DutyOutcome
from shallotfold._gateway.core.ports import WatchedStore
from shallotfold._gateway.duties.duty_lease import DutyLease
from shallotfold._gateway.duties.usage_counts import Counts
from shallotfold._gateway.duties.usage_counts import UsageCounts

FROZEN_PREFIX = "shallotfold/usage/"
CHECK_INTERVAL_S = 0.4
# A peer's word of this long after the end of a window has all counts of it.
SETTLING_S = 1.0
# Where nobody is silent, such words of all peers arrive within this time.
GATHERING_S = 2.4
# So large a share of the hosts is not waited for: it has hardly more than the
# half of the error that a report may have.
MISSING_SHARE = 0.03
# Where more are silent, a window is closed this long before it is due: time for
# freezing and sending it, both once again.
RESERVE_S = 2.5
REPEAT_S = 0.8
# Frozen figures that a holder leaves in the store, for a successor.
KEPT_FIGURES = 24
# A new holder first hears what its peers know of hosts that have ended.
LEARNING_S = 1.2


class UsageReporter:
    """Sends what all hosts counted while this host holds the duties."""

    def __init__(
        self,
        store: WatchedStore,
        calls: DutyCalls,
        lease: DutyLease,
        counts: UsageCounts,
        host: str,
        lateness_s: float,
        true_s: Callable[[], float],
        counted_share_since: Callable[[float], float],
    ) -> None:
        """Make a reporter.

        Args:
            store: Keeps the frozen figures.
            calls: The platform's interface for duties.
            lease: The lease of the duties.
            counts: What this host and its peers counted.
            host: Name of this host.
            lateness_s: A window is due this long after its end.
            true_s: Returns the true time of day.
            counted_share_since: Returns the share of hosts that have told
                their counts after a true time.
        """
        self._store = store
        self._calls = calls
        self._lease = lease
        self._counts = counts
        self._host = host
        self._lateness_s = lateness_s
        self._true_s = true_s
        self._counted_share_since = counted_share_since
        self._frozen: dict[int, Counts] = {}
        self._reported: set[int] = set()
        self._revision_by_key: dict[str, int] = {}
        self._repeater = PeriodicTask(
            "Usage reporting", self._report_due, lambda: CHECK_INTERVAL_S
        )

    async def start(self) -> None:
        """Begin to report."""
        await self._repeater.start()

    async def close(self) -> None:
        """Stop reporting."""
        await self._repeater.close()

    async def _report_due(self) -> None:
        if not self._lease.is_held:
            return
        for window in self._due_windows():
            try:
                await self._report(window)
                await self._delete_oldest()
            except PlatformError as error:
                decision_log.record(
                    "usage_not_frozen", window=window, error=str(error)
                )
                await asyncio.sleep(REPEAT_S)

    def _is_learning(self) -> bool:
        return boot_s() - self._lease.held_since_s < LEARNING_S

    def _due_windows(self) -> list[int]:
        now_s = self._true_s()
        window_s = self._counts.window_s
        newest = self._counts.window_at(now_s - GATHERING_S) - 1
        oldest = self._counts.window_at(now_s - self._lateness_s - window_s)
        return [
            window
            for window in range(oldest, newest + 1)
            if window not in self._reported and self._is_closed(window, now_s)
        ]

    def _is_closed(self, window: int, now_s: float) -> bool:
        """Whether no more counts of a window are to be waited for."""
        end_s = (window + 1) * self._counts.window_s
        counted = self._counted_share_since(end_s + SETTLING_S)
        if counted >= 1.0 - MISSING_SHARE:
            return True
        is_urgent = now_s >= end_s + self._lateness_s - RESERVE_S
        return is_urgent and not self._is_learning()

    async def _report(self, window: int) -> None:
        if window not in self._frozen:
            counts = self._counts.total(window)
            if not counts:
                self._reported.add(window)
                return
            self._frozen[window] = await self._freeze(window, counts)
        fencing = self._lease.fencing
        if not self._lease.is_held:
            return
        outcome = await self._calls.report_usage(
            window, self._frozen[window], holder=self._host, fencing=fencing
        )
        decision_log.record(
            "usage_reported",
            window=window,
            outcome=outcome.value,
            fencing=fencing,
            runs=sum(self._frozen[window].values()),
        )
        if outcome is DutyOutcome.DONE:
            self._reported.add(window)
        elif outcome is DutyOutcome.FENCED:
            self._lease.resign("a higher fencing number was seen")
        else:
            await asyncio.sleep(REPEAT_S)

    async def _freeze(self, window: int, counts: Counts) -> Counts:
        """Fix the figures of a window for all holders; return the fixed ones.

        A write without an answer may have happened, so that a conflict on the
        next try is read back like one with another holder.
        """
        key = f"{FROZEN_PREFIX}{window}"
        document = json.dumps(counts, sort_keys=True).encode()
        try:
            revision = await self._store.compare_and_swap(key, 0, document)
        except StoreConflictError:
            found = await self._store.get(key)
            if found is None:
                raise
            frozen: Counts = json.loads(found.value)
            return frozen
        self._revision_by_key[key] = revision
        return counts

    async def _delete_oldest(self) -> None:
        """Keep the store from filling with figures that were long reported."""
        if len(self._revision_by_key) <= KEPT_FIGURES:
            return
        key, revision = next(iter(self._revision_by_key.items()))
        del self._revision_by_key[key]
        await self._store.delete(key, revision)
