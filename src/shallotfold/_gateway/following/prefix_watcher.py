"""Watch prefixes of the store with long polls."""

import asyncio
from collections.abc import Callable
import random

from loguru import logger

from shallotfold._errors import HistoryLostError
from shallotfold._errors import StoreUnavailableError
from shallotfold._errors import WatchInterruptedError
from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.ports import WatchedStore
from shallotfold._gateway.following.store_followers import WatchTurn
from shallotfold._services.ports import StoreChanges

# A watch whose connection is dead looks like one without changes until its
# timeout. The hosts take turns in ending their watches, so that one of them
# opens a new one this often, and tells the others what it gets. Each watch is a
# priced call, so that each host's timeout grows with their number.
RENEWAL_INTERVAL_S = 0.5
MIN_WATCH_TIMEOUT_S = 1.0
# After a failure, a watch this short shows whether the store is back.
PROBE_TIMEOUT_S = 0.05
# Changes that follow each other quickly are read as one batch.
BATCH_DELAY_S = 0.1
# After its first read a host waits until it knows whether others watch.
SETTLE_S = 0.8
ENABLED_CHECK_INTERVAL_S = 0.1
INITIAL_BACKOFF_S = 0.15
MAX_BACKOFF_S = 0.8


def watch_timeout_s(turn: WatchTurn, *, is_aligned: bool) -> float:
    """Return the timeout of a watch.

    Args:
        turn: This host's place among those that watch.
        is_aligned: Whether the others may open theirs at the same moment, as
            after a change; the first timeouts then differ by the place.
    """
    period_s = max(MIN_WATCH_TIMEOUT_S, turn.count * RENEWAL_INTERVAL_S)
    if is_aligned:
        return period_s * (turn.position + 1) / turn.count
    return period_s


class PrefixWatcher:
    """Keeps the values under one prefix up to date."""

    def __init__(
        self,
        store: WatchedStore,
        prefix: str,
        on_snapshot: Callable[[StoreChanges], None],
        on_changes: Callable[[StoreChanges], None],
        on_call: Callable[[Exception | None], None],
        turn: Callable[[], WatchTurn],
        is_enabled: Callable[[], bool],
        on_paused: Callable[[], None] = lambda: None,
    ) -> None:
        """Make a watcher.

        Args:
            store: The store.
            prefix: Prefix of the keys to watch.
            on_snapshot: Called with all values under the prefix.
            on_changes: Called with the changes of each watch, even if empty.
            on_call: Called after each call with its error, or `None`. A
                `WatchInterruptedError` says that the watch will be sent again;
                if the store is down, another error follows.
            turn: Returns this host's place among those that watch.
            is_enabled: Returns whether this host watches the prefix. It reads
                the prefix once in any case.
            on_paused: Called when this host stops watching the prefix.
        """
        self._store = store
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_call = on_call
        self._turn = turn
        self._is_enabled = is_enabled
        self._on_paused = on_paused
        self._revision: int | None = None
        self._is_aligned = True
        self._reachable: bool | None = None
        self._is_paused = False
        self._called_s = self._answered_s = boot_s()
        self._task: asyncio.Task[None] | None = None
        self._watch_task: asyncio.Task[StoreChanges] | None = None
        self._restart_requested = False
        self._has_settled = False
        self._was_interrupted = False

    @property
    def reachable(self) -> bool:
        """Whether the last call succeeded."""
        return bool(self._reachable)

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._reachable is False

    @property
    def read_age_s(self) -> float:
        """Time since the store last answered a read of the prefix."""
        return boot_s() - self._answered_s

    def check_enabled(self) -> None:
        """End the open watch if this host no longer watches the prefix."""
        if not self._is_enabled():
            self.restart_watch()

    def restart_watch(self) -> None:
        """Restart the open watch, because a peer has newer data."""
        if self._watch_task is not None and not self._watch_task.done():
            self._restart_requested = True
            self._watch_task.cancel()

    async def start(self) -> None:
        """Start watching."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if self._revision is not None and not self._is_enabled():
                self._pause()
                await asyncio.sleep(ENABLED_CHECK_INTERVAL_S)
                continue
            self._resume()
            self._called_s = boot_s()
            try:
                changed = await self._poll()
            except HistoryLostError as error:
                logger.info(
                    "Change history lost; reading the whole prefix again: {}",
                    error,
                )
                self._revision = None
            except StoreUnavailableError as error:
                if self._is_cut_watch(error):
                    self._record_interruption(error)
                else:
                    self._record_call(error)
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
                continue
            except Exception as error:  # noqa: BLE001
                # An unreadable document must not end the watch for good.
                logger.exception("Watching {} failed", self._prefix)
                self._record_call(error)
                self._revision = None
                await asyncio.sleep(MAX_BACKOFF_S)
                continue
            else:
                self._record_call(None)
                if changed:
                    await asyncio.sleep(BATCH_DELAY_S)
            backoff_s = INITIAL_BACKOFF_S

    def _pause(self) -> None:
        if self._is_paused:
            return
        self._is_paused = True
        decision_log.record(
            "watch_paused",
            prefix=self._prefix,
            revision=self._revision,
            reachable=self._reachable,
        )
        self._reachable = None
        self._on_paused()

    def _resume(self) -> None:
        if not self._is_paused:
            return
        self._is_paused = False
        decision_log.record(
            "watch_resumed", prefix=self._prefix, revision=self._revision
        )

    async def _poll(self) -> bool:
        if self._revision is None:
            snapshot = await self._store.snapshot(self._prefix)
            self._answered_s = boot_s()
            self._revision = snapshot.revision
            self._on_snapshot(snapshot)
            if not self._has_settled:
                self._has_settled = True
                self._record_call(None)
                await asyncio.sleep(SETTLE_S)
            return False
        is_probe = not self._reachable or self._was_interrupted
        wait_s = (
            PROBE_TIMEOUT_S
            if is_probe
            else watch_timeout_s(self._turn(), is_aligned=self._is_aligned)
        )
        self._is_aligned = True
        self._watch_task = asyncio.create_task(
            self._store.watch(self._prefix, self._revision, wait_s)
        )
        try:
            changes = await self._watch_task
        except asyncio.CancelledError:
            if not self._restart_requested:
                raise
            self._restart_requested = False
            return False
        self._answered_s = boot_s()
        self._revision = max(self._revision, changes.revision)
        self._on_changes(changes)
        has_changes = bool(changes.changed or changes.deleted)
        self._is_aligned = has_changes or is_probe
        return has_changes

    def _is_cut_watch(self, error: StoreUnavailableError) -> bool:
        """Whether the store may be reachable though a watch was cut.

        A second cut without a response in between is a failure.
        """
        return (
            isinstance(error, WatchInterruptedError)
            and self.reachable
            and not self._was_interrupted
        )

    def _record_interruption(self, error: StoreUnavailableError) -> None:
        self._was_interrupted = True
        decision_log.record(
            "watch_interrupted",
            prefix=self._prefix,
            error=str(error),
            revision=self._revision,
            waited_ms=round((boot_s() - self._called_s) * 1000),
        )
        self._on_call(error)

    def _record_call(self, error: Exception | None) -> None:
        self._was_interrupted = False
        reachable = error is None
        if reachable is not self._reachable:
            self._reachable = reachable
            decision_log.record(
                "dependency_regained" if reachable else "dependency_lost",
                dependency="store",
                prefix=self._prefix,
                error=None if error is None else str(error),
                revision=self._revision,
                waited_ms=round((boot_s() - self._called_s) * 1000),
                answered_ms_ago=round(self.read_age_s * 1000),
            )
        self._on_call(error)
