"""Measure how fast versions and key withdrawals take effect at every entry.

Entry shells run in one process, with real sockets and a store stand-in. Times
start when the submission is accepted.

    python -m benchmarks.fleet_spread --entries 9 --rounds 20
"""

import argparse
import asyncio
from collections.abc import Callable
import statistics
import time

from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._model.serialization import dump_configuration
from tests.entry.fleet import make_configuration
from tests.entry.live_fleet import LiveEntry
from tests.entry.live_fleet import LiveFleet


def main() -> None:
    """Run the rounds and print one line for each measure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=9)
    parser.add_argument("--rounds", type=int, default=20)
    arguments = parser.parse_args()
    asyncio.run(_measure(arguments.entries, arguments.rounds))


async def _measure(entry_count: int, rounds: int) -> None:
    fleet = LiveFleet()
    configuration_store = ConfigurationStore(fleet.store)
    await _submit(configuration_store, 0)
    try:
        await fleet.start(*(f"e{number}" for number in range(entry_count)))
        for entry in fleet.entries_by_host.values():
            await entry.until_version(1)
        await fleet.until_linked()
        times_through_store_s = [
            await _time_version(fleet, configuration_store, version)
            for version in range(1, rounds + 1)
        ]
        _report("version adopted from the store", times_through_store_s)
        withdrawal_times_s = [
            await _time_withdrawal(fleet, configuration_store, version)
            for version in range(rounds + 1, 2 * rounds + 1)
        ]
        _report("streams of a withdrawn key ended", withdrawal_times_s)
        for entry in list(fleet.entries_by_host.values())[1:]:
            entry.store.is_cut = True
        # Watches that were open when the links were cut still return.
        await asyncio.sleep(2.0)
        times_through_peers_s = [
            await _time_version(fleet, configuration_store, version)
            for version in range(2 * rounds + 1, 2 * rounds + 6)
        ]
        _report(
            "version adopted, one entry reaches the store",
            times_through_peers_s,
        )
    finally:
        await fleet.close()


async def _submit(
    configuration_store: ConfigurationStore, version: int
) -> None:
    document = dump_configuration(make_configuration(_key(version + 1)))
    await configuration_store.submit(
        document, version, "benchmark", "a measurement"
    )


async def _time_version(
    fleet: LiveFleet, configuration_store: ConfigurationStore, version: int
) -> float:
    await _submit(configuration_store, version)
    started_s = time.perf_counter()
    await asyncio.gather(
        *(
            entry.until_version(version + 1)
            for entry in fleet.entries_by_host.values()
        )
    )
    return time.perf_counter() - started_s


async def _time_withdrawal(
    fleet: LiveFleet, configuration_store: ConfigurationStore, version: int
) -> float:
    request_id = f"r{version}"
    for entry in fleet.entries_by_host.values():
        assert entry.request(request_id, _key(version)) == "open"
    await _submit(configuration_store, version)
    started_s = time.perf_counter()
    await asyncio.gather(
        *(
            entry.until(_has_ended(request_id))
            for entry in fleet.entries_by_host.values()
        )
    )
    return time.perf_counter() - started_s


def _has_ended(request_id: str) -> Callable[[LiveEntry], bool]:
    return lambda entry: entry.outcome(request_id) == "KEY_WITHDRAWN"


def _key(version: int) -> str:
    return f"{version:064x}"


def _report(name: str, times_s: list[float]) -> None:
    print(
        f"{name}: median {statistics.median(times_s) * 1e3:.1f} ms, "
        f"largest {max(times_s) * 1e3:.1f} ms of {len(times_s)}"
    )


if __name__ == "__main__":
    main()
