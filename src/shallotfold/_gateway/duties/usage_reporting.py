"""Report the usage of each window once, with counts frozen in the store."""

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
# Counts that a peer sends this long after the end of a window are complete for
# it.
COUNTS_SETTLE_S = 1.0
# While no host is silent, the complete counts of all hosts arrive within this
# time after the end of a window.
COUNTS_ARRIVAL_S = 2.4
# A report doesn't wait for missing hosts up to this share: their counts are
# hardly more than half of the error that a report may have.
MAX_MISSING_HOST_SHARE = 0.03
# If more hosts than that are missing, a window is closed this long before it is
# due: enough time to freeze and to send its counts, with one retry of both.
REPORT_MARGIN_S = 2.5
RETRY_DELAY_S = 0.8
# Number of windows whose frozen counts a holder leaves in the store for a
# successor.
RETAINED_FROZEN_WINDOWS = 24
# A new holder first waits this long for its peers to send it the counts of
# hosts that have ended.
HOLDER_WARMUP_S = 1.2


class UsageReporter:
    """Reports the counts of all hosts while this host holds the duties."""

    def __init__(
        self,
        store: WatchedStore,
        calls: DutyCalls,
        lease: DutyLease,
        counts: UsageCounts,
        lateness_s: float,
        agreed_time_s: Callable[[], float],
        counted_share_since: Callable[[float], float],
    ) -> None:
        """Make a reporter.

        Args:
            store: Stores the frozen counts.
            calls: The platform's interface for duties.
            lease: The lease of the duties.
            counts: Counts of this host and of its peers.
            lateness_s: A window is due this long after its end.
            agreed_time_s: Returns the time that most hosts' clocks agree on.
            counted_share_since: Returns the share of hosts that have sent
                their counts after an agreed time.
        """
        self._store = store
        self._calls = calls
        self._lease = lease
        self._counts = counts
        self._lateness_s = lateness_s
        self._agreed_time_s = agreed_time_s
        self._counted_share_since = counted_share_since
        self._frozen: dict[int, Counts] = {}
        self._reported: set[int] = set()
        self._revision_by_key: dict[str, int] = {}
        self._windows_to_restore: set[int] = set()
        self._periodic_task = PeriodicTask(
            "Usage reporting", self._report_due, lambda: CHECK_INTERVAL_S
        )

    async def start(self) -> None:
        """Start reporting."""
        await self._periodic_task.start()

    async def close(self) -> None:
        """Stop reporting."""
        await self._periodic_task.close()

    def record_store_restored(self) -> None:
        """Store the frozen counts again, since the backup may lack them."""
        newest = sorted(self._frozen)[-RETAINED_FROZEN_WINDOWS:]
        self._windows_to_restore.update(newest)

    async def _restore_frozen(self) -> None:
        for window in sorted(self._windows_to_restore):
            key = f"{FROZEN_PREFIX}{window}"
            document = _encode_counts(self._frozen[window])
            try:
                self._revision_by_key[key] = await self._store.compare_and_swap(
                    key, 0, document
                )
            except StoreConflictError:
                # The backup has it, or a holder has stored it since.
                outcome = "present"
            except PlatformError as error:
                decision_log.record(
                    "usage_not_restored", window=window, error=str(error)
                )
                return
            else:
                outcome = "written"
            decision_log.record(
                "usage_restored", window=window, outcome=outcome
            )
            self._windows_to_restore.discard(window)

    def _forget_old_windows(self) -> None:
        now_window = self._counts.window_at(self._agreed_time_s())
        oldest = now_window - RETAINED_FROZEN_WINDOWS
        for window in [w for w in self._frozen if w < oldest]:
            del self._frozen[window]
        self._reported = {w for w in self._reported if w >= oldest}
        self._windows_to_restore &= self._frozen.keys()

    async def _report_due(self) -> None:
        self._forget_old_windows()
        await self._restore_frozen()
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
                await asyncio.sleep(RETRY_DELAY_S)

    def _is_warming_up(self) -> bool:
        return boot_s() - self._lease.held_since_s < HOLDER_WARMUP_S

    def _due_windows(self) -> list[int]:
        now_s = self._agreed_time_s()
        window_s = self._counts.window_s
        newest = self._counts.window_at(now_s - COUNTS_ARRIVAL_S) - 1
        oldest = self._counts.window_at(now_s - self._lateness_s - window_s)
        return [
            window
            for window in range(oldest, newest + 1)
            if window not in self._reported and self._is_closed(window, now_s)
        ]

    def _is_closed(self, window: int, now_s: float) -> bool:
        """Whether a report needn't wait for more counts of a window."""
        end_s = (window + 1) * self._counts.window_s
        counted_share = self._counted_share_since(end_s + COUNTS_SETTLE_S)
        if counted_share >= 1.0 - MAX_MISSING_HOST_SHARE:
            return True
        is_urgent = now_s >= end_s + self._lateness_s - REPORT_MARGIN_S
        return is_urgent and not self._is_warming_up()

    async def _report(self, window: int) -> None:
        if window not in self._frozen:
            counts = self._counts.total(window)
            if not counts:
                self._reported.add(window)
                return
            self._frozen[window] = await self._freeze(window, counts)
        term = self._lease.term
        if term is None:
            return
        outcome = await self._calls.report_usage(
            window, self._frozen[window], term
        )
        decision_log.record(
            "usage_reported",
            window=window,
            outcome=outcome.value,
            fencing=term.fencing_token,
            runs=sum(self._frozen[window].values()),
        )
        if outcome is DutyOutcome.DONE:
            self._reported.add(window)
        elif outcome is DutyOutcome.FENCED:
            self._lease.resign("a higher fencing number was seen")
        else:
            await asyncio.sleep(RETRY_DELAY_S)

    async def _freeze(self, window: int, counts: Counts) -> Counts:
        """Store the counts of a window for all holders; return the stored ones.

        A write without a response may have succeeded, so a conflict on the next
        try is read back like one with another holder.
        """
        key = f"{FROZEN_PREFIX}{window}"
        document = _encode_counts(counts)
        try:
            revision = await self._store.compare_and_swap(key, 0, document)
        except StoreConflictError:
            stored = await self._store.get(key)
            if stored is None:
                raise
            frozen: Counts = json.loads(stored.value)
            return frozen
        self._revision_by_key[key] = revision
        return counts

    async def _delete_oldest(self) -> None:
        """Delete counts reported long ago, which would fill up the store."""
        if len(self._revision_by_key) <= RETAINED_FROZEN_WINDOWS:
            return
        key, revision = next(iter(self._revision_by_key.items()))
        del self._revision_by_key[key]
        await self._store.delete(key, revision)


def _encode_counts(counts: Counts) -> bytes:
    return json.dumps(counts, sort_keys=True).encode()
