"""Follow prefixes of the store with long watches."""

import asyncio
from collections.abc import Callable
import random

from loguru import logger

from shallotfold._errors import HistoryLostError
from shallotfold._errors import StoreUnavailableError
from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.ports import WatchedStore
from shallotfold._services.ports import StoreChanges

# Each watch is a priced call. A host alone must notice soon that an answer
# was lost; among many, some other host hears of the change and says so.
MIN_WATCH_TIMEOUT_S = 4.0
MAX_WATCH_TIMEOUT_S = 20.0
WATCH_TIMEOUT_S_PER_HOST = 0.5
# After a failure a watch this short shows whether the store is back.
PROBE_TIMEOUT_S = 0.05
# Changes that come in quick succession are read together, the longer the more
# hosts read them.
MIN_BATCH_DELAY_S = 0.1
MAX_BATCH_DELAY_S = 0.6
BATCH_DELAY_S_PER_HOST = 0.01
INITIAL_BACKOFF_S = 0.15
MAX_BACKOFF_S = 0.8


def watch_timeout_s(hosts: int) -> float:
    """Return how long a watch waits when `hosts` follow the prefix."""
    wanted_s = hosts * WATCH_TIMEOUT_S_PER_HOST
    return min(MAX_WATCH_TIMEOUT_S, max(MIN_WATCH_TIMEOUT_S, wanted_s))


def batch_delay_s(hosts: int) -> float:
    """Return how long changes are gathered when `hosts` read them."""
    wanted_s = hosts * BATCH_DELAY_S_PER_HOST
    return min(MAX_BATCH_DELAY_S, max(MIN_BATCH_DELAY_S, wanted_s))


class PrefixWatcher:
    """Keeps one prefix up to date."""

    def __init__(
        self,
        store: WatchedStore,
        prefix: str,
        on_snapshot: Callable[[StoreChanges], None],
        on_changes: Callable[[StoreChanges], None],
        on_contact: Callable[[Exception | None], None],
        hosts: Callable[[], int],
    ) -> None:
        """Make a follower.

        Args:
            store: The store.
            prefix: What to follow.
            on_snapshot: Takes all values under the prefix.
            on_changes: Takes what changed since; also that nothing did.
            on_contact: Told after each call why it failed; `None`: it did not.
            hosts: Returns how many hosts follow the prefix.
        """
        self._store = store
        self._prefix = prefix
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._on_contact = on_contact
        self._hosts = hosts
        self._revision: int | None = None
        self._reachable: bool | None = None
        self._task: asyncio.Task[None] | None = None
        self._watch: asyncio.Task[StoreChanges] | None = None
        self._hurried = False

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""
        return bool(self._reachable)

    def restart_watch(self) -> None:
        """Ask again now: a peer knows more than the open watch has said."""
        if self._watch is not None and not self._watch.done():
            self._hurried = True
            self._watch.cancel()

    async def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._follow())

    async def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _follow(self) -> None:
        pause_s = INITIAL_BACKOFF_S
        while True:
            try:
                changed = await self._step()
            except HistoryLostError as error:
                logger.info("History lost, reading all again: {}", error)
                self._revision = None
            except StoreUnavailableError as error:
                self._note_contact(error)
                await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))
                pause_s = min(MAX_BACKOFF_S, pause_s * 2)
                continue
            except Exception as error:  # noqa: BLE001
                # One unreadable document must not end all following.
                logger.exception("Following {} failed", self._prefix)
                self._note_contact(error)
                self._revision = None
                await asyncio.sleep(MAX_BACKOFF_S)
                continue
            else:
                self._note_contact(None)
                if changed:
                    await asyncio.sleep(batch_delay_s(self._hosts()))
            pause_s = INITIAL_BACKOFF_S

    async def _step(self) -> bool:
        if self._revision is None:
            snapshot = await self._store.snapshot(self._prefix)
            self._revision = snapshot.revision
            self._on_snapshot(snapshot)
            return False
        wait_s = (
            watch_timeout_s(self._hosts())
            if self._reachable
            else PROBE_TIMEOUT_S
        )
        self._watch = asyncio.create_task(
            self._store.watch(self._prefix, self._revision, wait_s)
        )
        try:
            changes = await self._watch
        except asyncio.CancelledError:
            if not self._hurried:
                raise
            self._hurried = False
            return False
        self._revision = max(self._revision, changes.revision)
        self._on_changes(changes)
        return bool(changes.changed or changes.deleted)

    def _note_contact(self, error: Exception | None) -> None:
        reachable = error is None
        if reachable is not self._reachable:
            self._reachable = reachable
            decision_log.record(
                "dependency_regained" if reachable else "dependency_lost",
                dependency="store",
                prefix=self._prefix,
                error=None if error is None else str(error),
                revision=self._revision,
            )
        self._on_contact(error)
