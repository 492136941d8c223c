"""Measure what adopting a version costs an entry, by number of workspaces.

python -m benchmarks.configuration_load --workspaces 8700
"""

import argparse
import asyncio
import time

import attrs

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.reducing import reducer
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.store.configuration_sync import ConfigurationSync
from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._model.configuration import Configuration
from shallotfold._model.serialization import dump_configuration
from shallotfold._standin.store import StoreStandin
from tests.fleet.test_configuration_store import make_large_configuration

CHANGES = 5
PROBE_INTERVAL_S = 0.001
SETTLE_TIME_S = 0.02


def main() -> None:
    """Print one line for the first version and one for each change."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workspaces", type=int, default=8700)
    asyncio.run(_measure(parser.parse_args().workspaces))


async def _measure(workspaces: int) -> None:
    store = StoreStandin()
    configuration_store = ConfigurationStore(store)
    configuration = make_large_configuration(workspaces)
    entry = _Entry(store)
    probe = _LoopProbe()
    probe_task = asyncio.create_task(probe.run())
    for version in range(1, CHANGES + 2):
        document = dump_configuration(configuration)
        await configuration_store.submit(
            document, version - 1, "benchmark", "measured"
        )
        # Keep the time of the submission out of the probe's result.
        await asyncio.sleep(SETTLE_TIME_S)
        calls_before = store.calls_by_name.total()
        cpu_s, started_s = time.process_time(), time.perf_counter()
        probe.max_blocked_s = 0.0
        await entry.fetch(version)
        elapsed_s = time.perf_counter() - started_s
        used_cpu_s = time.process_time() - cpu_s
        await asyncio.sleep(SETTLE_TIME_S)
        print(
            f"version {version}: {len(document)} bytes, "
            f"{1e3 * elapsed_s:.0f} ms elapsed, "
            f"{1e3 * used_cpu_s:.0f} ms of processor time, "
            f"loop blocked for at most {1e3 * probe.max_blocked_s:.0f} ms, "
            f"{store.calls_by_name.total() - calls_before} store calls"
        )
        configuration = _change(configuration, version)
    probe_task.cancel()
    await entry.sync.close()


class _Entry:
    """An entry's reducer with its configuration sync."""

    def __init__(self, store: StoreStandin) -> None:
        self._state = EntryState(host="e1", data_centre="a", incarnation=1)
        self._adopted = asyncio.Event()
        self.sync = ConfigurationSync(
            store, self._deliver, lambda host, message: None, lambda: 9
        )

    async def fetch(self, version: int) -> None:
        self._adopted.clear()
        self.sync.fetch(effects.FetchConfiguration(version=version))
        await self._adopted.wait()

    def _deliver(self, event: events.Event) -> None:
        reducer.reduce(self._state, event)
        if isinstance(event, events.ConfigurationRead):
            self._adopted.set()


class _LoopProbe:
    """Record the longest time for which the event loop was blocked."""

    def __init__(self) -> None:
        self.max_blocked_s = 0.0

    async def run(self) -> None:
        while True:
            started_s = time.perf_counter()
            await asyncio.sleep(PROBE_INTERVAL_S)
            blocked_s = time.perf_counter() - started_s - PROBE_INTERVAL_S
            self.max_blocked_s = max(self.max_blocked_s, blocked_s)


def _change(configuration: Configuration, index: int) -> Configuration:
    workspaces_by_name = dict(configuration.workspaces_by_name)
    name = f"workspace-{index:05}"
    workspaces_by_name[name] = attrs.evolve(workspaces_by_name[name], keys=())
    return attrs.evolve(configuration, workspaces_by_name=workspaces_by_name)


if __name__ == "__main__":
    main()
