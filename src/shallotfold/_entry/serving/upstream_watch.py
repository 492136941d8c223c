"""Poll load reports and cache events of upstreams in owned pools."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random
import time
from typing import Any
from typing import Protocol

from loguru import logger

from shallotfold._entry import events
from shallotfold._entry.pools import pools
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._errors import PlatformError
from shallotfold._model.configuration import Upstream
from shallotfold._services.http_cache_events import CacheEvents
from shallotfold._services.ports import LoadReports

LOAD_INTERVAL_S = 0.5
CACHE_INTERVAL_S = 1.0
MAX_PARALLEL_CALLS = 16

ReadUpstream = Callable[[Upstream], Coroutine[Any, Any, None]]


class CacheEventSource(Protocol):
    """Source of cache events."""

    async def fetch(self, url: str, after: int) -> CacheEvents:
        """Read the events after a number, or raise `PlatformError`."""
        ...


class UpstreamWatch:
    """Poll the upstreams of the pools that this entry owns."""

    def __init__(
        self,
        state: EntryState,
        loads: LoadReports,
        cache_events: CacheEventSource,
        deliver: Callable[[events.Event], None],
    ) -> None:
        self._state = state
        self._loads = loads
        self._cache_events = cache_events
        self._deliver = deliver
        self._sequence_by_upstream: dict[str, int] = {}
        self._call_slots = asyncio.Semaphore(MAX_PARALLEL_CALLS)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start polling."""
        self._tasks = [
            asyncio.create_task(self._poll(self._read_load, LOAD_INTERVAL_S)),
            asyncio.create_task(
                self._poll(self._read_cache_events, CACHE_INTERVAL_S)
            ),
        ]

    async def close(self) -> None:
        """Stop polling."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _poll(self, read: ReadUpstream, interval_s: float) -> None:
        while True:
            watched = pools.watched_upstreams(self._state)
            await asyncio.gather(
                *(self._read_one(read, upstream) for upstream in watched)
            )
            # Jitter keeps entries from polling at the same time.
            await asyncio.sleep(interval_s * random.uniform(0.8, 1.2))

    async def _read_one(self, read: ReadUpstream, upstream: Upstream) -> None:
        try:
            await read(upstream)
        except Exception:  # noqa: BLE001
            # One upstream's answer must not end the polling of all others.
            logger.exception(
                "Reading from upstream {} failed; it is read again after the "
                "usual pause",
                upstream.name,
            )

    async def _read_load(self, upstream: Upstream) -> None:
        try:
            async with self._call_slots:
                load = await self._loads.fetch(upstream.url)
        except PlatformError:
            self._deliver(
                events.LoadFetchFailed(
                    now_s=time.monotonic(), upstream=upstream.name
                )
            )
            return
        self._deliver(
            events.LoadReported(
                now_s=time.monotonic(), upstream=upstream.name, load=load
            )
        )

    async def _read_cache_events(self, upstream: Upstream) -> None:
        if not upstream.model:
            return
        after = self._sequence_by_upstream.get(upstream.name, 0)
        try:
            async with self._call_slots:
                published = await self._cache_events.fetch(upstream.url, after)
        except PlatformError:
            return
        if published.newest < after:
            # The engine has restarted with an empty cache.
            after = 0
            self._deliver_cache_update(upstream, (), (), is_snapshot=True)
        for event in published.events:
            if event.sequence <= after:
                continue
            missed_events = after != 0 and event.sequence > after + 1
            self._deliver_cache_update(
                upstream, event.held, event.dropped, is_snapshot=missed_events
            )
            after = event.sequence
        self._sequence_by_upstream[upstream.name] = after

    def _deliver_cache_update(
        self,
        upstream: Upstream,
        cached: tuple[str, ...],
        evicted: tuple[str, ...],
        *,
        is_snapshot: bool,
    ) -> None:
        self._deliver(
            events.PrefixCacheUpdated(
                now_s=time.monotonic(),
                upstream=upstream.name,
                cached=cached,
                evicted=evicted,
                is_snapshot=is_snapshot,
            )
        )
