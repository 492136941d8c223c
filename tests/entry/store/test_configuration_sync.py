import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

import attrs
import pytest

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.peers import host_sync
from shallotfold._entry.peers.host_sync import HostSync
from shallotfold._entry.state.configuration_parts import split_into_parts
from shallotfold._entry.store import configuration_sync
from shallotfold._entry.store.configuration_sync import ConfigurationSync
from shallotfold._entry.store.configuration_sync import watch_time_s
from shallotfold._errors import PlatformError
from shallotfold._fleet.chunk_loader import pack_chunks
from shallotfold._fleet.chunking import split_document
from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._fleet.manifest import MANIFEST_KEY
from shallotfold._model.serialization import document_sha256
from shallotfold._model.serialization import dump_configuration
from shallotfold._model.upstreams import HostRecord
from shallotfold._services.ports import StoredValue
from shallotfold._standin.store import StoreFault
from shallotfold._standin.store import StoreStandin
from shallotfold._wire.messages import PeerMessage
from tests.entry.fleet import KEY
from tests.entry.fleet import make_configuration

CONFIGURATION = make_configuration(KEY)
DOCUMENT = dump_configuration(CONFIGURATION)


@attrs.define
class CountingStore(StoreStandin):
    """Signal when enough reads were attempted, successful or not."""

    enough_reads: int = 4
    read_enough: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def get(self, key: str) -> StoredValue | None:
        if self.calls_by_name["get"] >= self.enough_reads:
            self.read_enough.set()
        return await super().get(key)


@attrs.define
class Harness:
    store: CountingStore = attrs.field(factory=CountingStore)
    seen: list[events.Event] = attrs.field(factory=list)
    sent: list[tuple[str, PeerMessage]] = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def deliver(self, event: events.Event) -> None:
        self.seen.append(event)
        self.changed.set()

    def send(self, host: str, message: PeerMessage) -> None:
        self.sent.append((host, message))
        self.changed.set()

    def make_sync(self) -> ConfigurationSync:
        return ConfigurationSync(self.store, self.deliver, self.send, lambda: 9)

    async def until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self.changed.clear()
            await self.changed.wait()

    def confirmations(self) -> list[events.VersionConfirmed]:
        return [e for e in self.seen if isinstance(e, events.VersionConfirmed)]

    def confirmed(self) -> list[int]:
        return [event.version for event in self.confirmations()]

    def reads(self) -> list[events.ConfigurationRead]:
        return [e for e in self.seen if isinstance(e, events.ConfigurationRead)]


def run(scenario: Callable[[Harness], Awaitable[None]]) -> None:
    async def main() -> None:
        await asyncio.wait_for(scenario(Harness()), 30)

    asyncio.run(main())


@pytest.fixture(autouse=True)
def _short_watches(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration_sync, "SHORTEST_WATCH_S", 0.1)
    monkeypatch.setattr(configuration_sync, "MAX_BACKOFF_S", 0.05)


def test_version_is_confirmed_repeatedly_and_a_change_at_once() -> None:
    async def scenario(harness: Harness) -> None:
        sync = harness.make_sync()
        await sync.start()
        await harness.until(lambda: harness.confirmed()[:2] == [0, 0])
        access = ConfigurationStore(harness.store)
        await access.submit(DOCUMENT, 0, "ada", "a test")
        await harness.until(lambda: 1 in harness.confirmed())
        await harness.until(lambda: harness.confirmed().count(1) >= 2)
        await sync.close()
        for event in harness.confirmations():
            assert event.read_started_s <= event.now_s

    run(scenario)


def test_fetched_version_is_delivered() -> None:
    async def scenario(harness: Harness) -> None:
        access = ConfigurationStore(harness.store)
        await access.submit(DOCUMENT, 0, "ada", "a test")
        sync = harness.make_sync()
        sync.fetch(effects.FetchConfiguration(version=1))
        await harness.until(lambda: bool(harness.reads()))
        await sync.close()
        (read,) = harness.reads()
        assert read.version == 1
        assert read.document == pack_chunks(split_document(DOCUMENT))
        assert read.configuration == CONFIGURATION

    run(scenario)


@pytest.mark.parametrize("fault", [StoreFault.DOWN, StoreFault.LOSE_ANSWERS])
def test_nothing_is_confirmed_while_the_store_fails(fault: StoreFault) -> None:
    async def scenario(harness: Harness) -> None:
        harness.store.set_fault(fault)
        sync = harness.make_sync()
        await sync.start()
        sync.fetch(effects.FetchConfiguration(version=1))
        await harness.store.read_enough.wait()
        assert harness.seen == []
        harness.store.set_fault(StoreFault.OK)
        await harness.until(lambda: bool(harness.confirmed()))
        await sync.close()

    run(scenario)


def test_confirmation_by_a_slow_store_dates_from_before_the_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configuration_sync, "ANSWER_MARGIN_S", 10.0)

    async def scenario(harness: Harness) -> None:
        sync = harness.make_sync()
        harness.store.set_fault(StoreFault.SLOW, delay_s=0.3)
        started_s = time.monotonic()
        await sync.start()
        await harness.until(lambda: bool(harness.confirmed()))
        await sync.close()
        (first, *_) = harness.confirmations()
        assert first.read_started_s < started_s + 0.3 <= first.now_s

    run(scenario)


def test_damaged_manifest_stops_neither_process_nor_recovery() -> None:
    async def scenario(harness: Harness) -> None:
        revision = await harness.store.compare_and_swap(
            MANIFEST_KEY, 0, b"junk"
        )
        sync = harness.make_sync()
        await sync.start()
        await harness.store.read_enough.wait()
        assert harness.seen == []
        await harness.store.delete(MANIFEST_KEY, revision)
        await harness.until(lambda: bool(harness.confirmed()))
        await sync.close()

    run(scenario)


def test_document_is_sent_to_a_peer_and_loaded_there() -> None:
    async def scenario(harness: Harness) -> None:
        sync = harness.make_sync()
        sha256 = document_sha256(DOCUMENT)
        sync.send(
            effects.SendConfiguration(
                host="e2", version=4, document=DOCUMENT, sha256=sha256
            )
        )
        await harness.until(lambda: bool(harness.sent))
        ((host, part),) = harness.sent
        assert host == "e2"
        assert part == next(split_into_parts(4, DOCUMENT, sha256))
        load = effects.LoadConfigurationDocument(
            version=4,
            document=getattr(part, "data", b""),
            sha256=sha256,
        )
        sync.load(attrs.evolve(load, sha256="0" * 64))
        sync.load(load)
        await harness.until(lambda: bool(harness.reads()))
        await sync.close()
        (read,) = harness.reads()
        assert (read.version, read.configuration) == (4, CONFIGURATION)

    run(scenario)


def test_watches_of_a_large_fleet_are_longer_up_to_a_limit() -> None:
    assert watch_time_s(9) < watch_time_s(150) < watch_time_s(350)
    assert watch_time_s(350) == watch_time_s(2000) == 2.0


def test_last_host_list_stays_in_force_when_a_read_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(host_sync, "POLL_INTERVAL_S", 0.01)
    monkeypatch.setattr(host_sync, "INITIAL_BACKOFF_S", 0.01)

    class FlakyList:
        calls = 0

        async def fetch(self) -> list[HostRecord]:
            self.calls += 1
            if self.calls % 2:
                raise PlatformError("no answer")
            return []

    async def scenario(harness: Harness) -> None:
        received_lists: list[object] = []
        sync = HostSync(FlakyList(), harness.deliver, received_lists.append)
        await sync.start()
        await harness.until(lambda: len(harness.seen) >= 2)
        await sync.close()
        assert all(isinstance(e, events.HostsListed) for e in harness.seen)
        assert len(received_lists) == len(harness.seen)

    run(scenario)
