"""Run all of shallotfold on loopback, inject faults, and check the results.

Starts every process on its own loopback address, submits a configuration,
sends mixed traffic, kills one upstream and one entry, lets an upstream leave,
drops responses of the store and takes it down, withdraws a key, stops one entry
gracefully, and prints what the callers saw. Exit code 0 means that every
promise that the run could check held; 1 that one was broken; 2 that a process
could not be started.
"""

import argparse
import asyncio
import pathlib
import sys
import tempfile

import aiohttp

from benchmarks.callers import Callers
from benchmarks.disruptions import Disruptions
from benchmarks.fleet import Fleet
from benchmarks.fleet import print_step
from benchmarks.processes import Processes
from benchmarks.processes import StartError
from benchmarks.promise_checks import PromiseChecker
from benchmarks.topology import Topology
from benchmarks.verdict import Verdict

TRAFFIC_S = 24.0


async def run_demo(directory: pathlib.Path, *, with_controllers: bool) -> int:
    """Run the demo and return the exit code."""
    topology = Topology()
    processes = Processes(directory)
    callers = Callers([topology.entry_url(n) for n in topology.entry_names])
    await callers.start()
    try:
        async with aiohttp.ClientSession() as session:
            fleet = Fleet(topology, processes, session, with_controllers)
            verdict = await inject_faults_and_check(fleet, callers)
    except StartError as error:
        print(f"could not start: {error}", file=sys.stderr)
        return 2
    finally:
        codes = processes.stop_all()
        await callers.close()
    for name, code in codes.items():
        if code:
            print(f"{name} exited with code {code}", file=sys.stderr)
    return 0 if verdict.passed else 1


async def inject_faults_and_check(fleet: Fleet, callers: Callers) -> Verdict:
    """Start a fleet, send traffic, inject faults and check the promises."""
    verdict = Verdict()
    await fleet.start()
    disruptions = Disruptions(fleet, callers, verdict)
    print_step("sending traffic")
    async with asyncio.TaskGroup() as group:
        for workload in fleet.topology.workloads():
            group.create_task(callers.send_for(workload, TRAFFIC_S))
        group.create_task(disruptions.run())
    await callers.drain()
    await disruptions.check_leaving_upstream()
    disruptions.check_store_outage()
    print_step("traffic has ended; waiting for the usage reports")
    await PromiseChecker(fleet, callers, verdict).check_all()
    print(verdict.render())
    return verdict


def main() -> int:
    """Read the command line, run the demo and return the exit code."""
    parser = argparse.ArgumentParser(
        prog="benchmarks.demo",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--logs",
        type=pathlib.Path,
        help="directory to keep the settings and logs of all processes in",
    )
    parser.add_argument(
        "--without-controllers",
        action="store_true",
        help="start only the entries; usage and orders are then not checked",
    )
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        directory = options.logs or pathlib.Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        return asyncio.run(
            run_demo(
                directory, with_controllers=not options.without_controllers
            )
        )


if __name__ == "__main__":
    sys.exit(main())
