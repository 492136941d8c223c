"""Start the demo's fleet and call its stand-ins."""

import sys
import time
from typing import Any

import aiohttp
import attrs

from benchmarks.processes import Processes
from benchmarks.topology import Topology
from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._model.serialization import dump_configuration
from shallotfold._services.http_store import HttpStore


@attrs.define
class Fleet:
    """Every process of one run, and the interfaces of the stand-ins.

    Attributes:
        topology: Addresses and settings of the processes.
        processes: The processes that were started.
        session: HTTP client for the stand-ins.
        with_controllers: Whether controllers are started beside the entries.
    """

    topology: Topology
    processes: Processes
    session: aiohttp.ClientSession
    with_controllers: bool = True

    async def start(self, *, combined_upstreams: bool = False) -> None:
        """Start all processes, with the first configuration in force.

        Args:
            combined_upstreams: Use one process for each kind of upstream.
        """
        topology = self.topology
        upstreams = (
            topology.combined_upstream_commands()
            if combined_upstreams
            else topology.upstream_commands()
        )
        print_step("starting the platform and the upstreams")
        await self.processes.start_all(
            [topology.platform_command(), *upstreams]
        )
        await self.submit(with_spare_key=True, base_version=0)
        print_step("starting the entries and their controllers")
        await self.start_entry_hosts(topology.entry_names)

    async def start_entry_hosts(self, names: list[str]) -> None:
        """Start entries and controllers and wait until the entries serve."""
        commands = [self.topology.entry_command(name) for name in names]
        if self.with_controllers:
            commands += [self.topology.controller_command(n) for n in names]
        await self.processes.start_all(commands)

    def kill_entry_host(self, name: str) -> None:
        """Kill an entry and its controller with SIGKILL."""
        self.processes.kill(name)
        if self.with_controllers:
            self.processes.kill(self.topology.controller_command(name).name)

    async def submit(self, *, with_spare_key: bool, base_version: int) -> None:
        """Submit a version of the configuration."""
        store = HttpStore(self.topology.platform_url)
        await store.start()
        try:
            configuration = self.topology.configuration(
                with_spare_key=with_spare_key
            )
            version = await ConfigurationStore(store).submit(
                dump_configuration(configuration),
                base_version,
                "demo",
                "run the demo",
            )
        finally:
            await store.close()
        print_step(f"configuration {version} is accepted")

    async def inject_faults(self, base_url: str, **faults: Any) -> None:
        """Set the faults that a stand-in simulates."""
        url = f"{base_url}/faults"
        async with self.session.post(url, json=faults) as response:
            response.raise_for_status()

    async def fetch(self, base_url: str, path: str) -> Any:
        """Read JSON from a stand-in."""
        async with self.session.get(base_url + path) as response:
            return await response.json()


def print_step(text: str) -> None:
    """Print a step of the run with its time."""
    print(time.strftime("%H:%M:%S"), "", text, file=sys.stderr, flush=True)
