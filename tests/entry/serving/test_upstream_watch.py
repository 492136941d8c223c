import asyncio

import pytest

from shallotfold._entry import events
from shallotfold._entry.serving import upstream_watch
from shallotfold._entry.serving.upstream_watch import UpstreamWatch
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._errors import PlatformError
from shallotfold._model.upstreams import UpstreamLoad
from shallotfold._services.http_cache_events import CacheEvent
from shallotfold._services.http_cache_events import CacheEvents
from tests.entry import served_entry as s

LOAD = UpstreamLoad(running=1, queued=0, slots=8)


class FakeCacheEvents:
    def __init__(self, answers: list[CacheEvents]) -> None:
        self.answers = answers
        self.requested_after: list[int] = []
        self.exhausted = asyncio.Event()

    async def fetch(self, url: str, after: int) -> CacheEvents:
        del url
        self.requested_after.append(after)
        if not self.answers:
            self.exhausted.set()
            await asyncio.Event().wait()
        return self.answers.pop(0)


class FakeLoads:
    def __init__(self) -> None:
        self.answers: list[UpstreamLoad | None] = [LOAD, None]
        self.exhausted = asyncio.Event()

    async def fetch(self, url: str) -> UpstreamLoad:
        del url
        if not self.answers:
            self.exhausted.set()
            await asyncio.Event().wait()
        load = self.answers.pop(0)
        if load is None:
            raise PlatformError("no answer")
        return load


def test_loads_missed_events_and_restarts_reach_the_reducer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(upstream_watch, "CACHE_INTERVAL_S", 0.01)
    monkeypatch.setattr(upstream_watch, "LOAD_INTERVAL_S", 0.01)
    state = EntryState(host="e1", data_centre="a", incarnation=1)
    state.configuration.current = s.make_configuration({"m1": "http://x"})
    state.configuration.version = 1
    cache = FakeCacheEvents(
        [
            CacheEvents((CacheEvent(1, ("p",)), CacheEvent(2, ("q",))), 2),
            CacheEvents((CacheEvent(4, ("r",)),), 4),
            CacheEvents((CacheEvent(1, ("t",)),), 1),
        ]
    )
    delivered: list[events.Event] = []

    async def main() -> None:
        loads = FakeLoads()
        watch = UpstreamWatch(state, loads, cache, delivered.append)
        await watch.start()
        await loads.exhausted.wait()
        await cache.exhausted.wait()
        await watch.close()

    s.run(main())
    loads = [
        event
        for event in delivered
        if not isinstance(event, events.PrefixCacheUpdated)
    ]
    assert isinstance(loads[0], events.LoadReported)
    assert loads[0].load == LOAD
    assert isinstance(loads[1], events.LoadFetchFailed)
    cached = [
        (event.cached, event.is_snapshot)
        for event in delivered
        if isinstance(event, events.PrefixCacheUpdated)
    ]
    assert cached == [
        (("p",), False),
        (("q",), False),
        (("r",), True),
        ((), True),
        (("t",), False),
    ]
    assert cache.requested_after == [0, 2, 4, 1]


class OddLoads:
    """Load reports of which one raises an error that nobody expects."""

    def __init__(self) -> None:
        self.reads = 0
        self.read_often = asyncio.Event()

    async def fetch(self, url: str) -> UpstreamLoad:
        if url == "http://odd":
            raise RecursionError
        self.reads += 1
        if self.reads == 5:
            self.read_often.set()
        return LOAD


def test_odd_upstream_does_not_end_the_polling_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One nested load report ended the polling for the life of the entry."""
    monkeypatch.setattr(upstream_watch, "LOAD_INTERVAL_S", 0.01)
    state = EntryState(host="e1", data_centre="a", incarnation=1)
    state.configuration.current = s.make_configuration(
        {"m1": "http://odd", "m2": "http://sound"}
    )
    state.configuration.version = 1
    loads = OddLoads()

    async def main() -> None:
        watch = UpstreamWatch(state, loads, FakeCacheEvents([]), lambda _: None)
        await watch.start()
        async with asyncio.timeout(2.0):
            await loads.read_often.wait()
        await watch.close()

    s.run(main())
