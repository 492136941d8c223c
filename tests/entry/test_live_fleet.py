import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from shallotfold._entry.membership import membership
from shallotfold._entry.membership.freshness import MAX_CONFIRMATION_AGE_S
from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._model.serialization import dump_configuration
from shallotfold._standin.store import StoreFault
from tests.entry.fleet import KEY
from tests.entry.fleet import make_configuration
from tests.entry.live_fleet import LiveEntry
from tests.entry.live_fleet import LiveFleet

GRANTED = dump_configuration(make_configuration(KEY))
WITHDRAWN = dump_configuration(make_configuration("b" * 64))


def run(
    scenario: Callable[[LiveFleet], Awaitable[None]], host_count: int = 3
) -> None:
    async def main() -> None:
        fleet = LiveFleet()
        access = ConfigurationStore(fleet.store)
        await access.submit(GRANTED, 0, "ada", "a test")
        try:
            await fleet.start(*(f"e{number}" for number in range(host_count)))
            for entry in fleet.entries_by_host.values():
                await entry.until_version(1)
            await fleet.until_linked()
            await scenario(fleet)
        finally:
            await fleet.close()

    asyncio.run(asyncio.wait_for(main(), 60))


def test_withdrawn_key_ends_streams_at_every_entry() -> None:
    async def scenario(fleet: LiveFleet) -> None:
        entries = list(fleet.entries_by_host.values())
        assert [e.request("r1", KEY) for e in entries] == ["open"] * 9
        access = ConfigurationStore(fleet.store)
        await access.submit(WITHDRAWN, 1, "ada", "key leaked")
        for entry in entries:
            await entry.until(lambda e: e.outcome("r1") == "KEY_WITHDRAWN")

    run(scenario, host_count=9)


def test_entry_started_in_a_store_outage_learns_from_its_peers() -> None:
    async def scenario(fleet: LiveFleet) -> None:
        fleet.store.set_fault(StoreFault.DOWN)
        await fleet.kill("e2")
        await fleet.start("e2")
        fresh = fleet.entries_by_host["e2"]
        assert fresh.request("r1", KEY) == "NOT_READY"
        await fresh.until_version(1)
        assert fresh.request("r2", KEY) == "open"

    run(scenario)


def test_entry_without_the_store_gets_a_new_version_from_a_peer() -> None:
    async def scenario(fleet: LiveFleet) -> None:
        entry = fleet.entries_by_host["e0"]
        entry.store.is_cut = True
        access = ConfigurationStore(fleet.store)
        await access.submit(WITHDRAWN, 1, "ada", "key leaked")
        await entry.until_version(2)
        assert entry.request("r1", KEY) == "UNAUTHENTICATED"

    run(scenario)


def test_entry_without_store_and_peers_ends_open_and_refuses_new_requests() -> (
    None
):
    async def scenario(fleet: LiveFleet) -> None:
        entry = fleet.entries_by_host["e0"]
        assert entry.request("r1", KEY) == "open"
        entry.store.is_cut = True
        for host in ("e1", "e2"):
            await fleet.kill(host)
        await entry.until(lambda e: e.outcome("r1") == "NOT_READY")
        assert entry.request("r2", KEY) == "NOT_READY"
        assert membership.live_entries(entry.shell.state) == ("e0",)

    run(scenario)


def test_entries_stay_ready_when_the_store_loses_answers() -> None:
    async def scenario(fleet: LiveFleet) -> None:
        fleet.store.set_fault(StoreFault.LOSE_ANSWERS)
        entries = list(fleet.entries_by_host.values())
        await asyncio.gather(
            *(entry.until(is_past_the_last_confirmation) for entry in entries)
        )
        assert [e.request("r1", KEY) for e in entries] == ["open"] * 3

    run(scenario)


def is_past_the_last_confirmation(entry: LiveEntry) -> bool:
    state = entry.shell.state
    age_s = state.membership.last_tick_s - state.configuration.confirmed_s
    return age_s > MAX_CONFIRMATION_AGE_S
