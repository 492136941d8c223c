"""Measure the control overhead per entry of idle fleets of several sizes.

Starts a fleet of entries, with controllers by default, and sends no traffic.
Reads the usage of each process from /proc and the number of store calls from
the platform stand-in. Prints one JSON object per size.
"""

import argparse
import asyncio
from collections.abc import Sequence
import json
import pathlib
import statistics
import sys
import tempfile
from typing import Any

import aiohttp

from benchmarks.fleet import Fleet
from benchmarks.proc_usage import ProcessUsage
from benchmarks.proc_usage import read_usage
from benchmarks.processes import Processes
from benchmarks.topology import Topology

SETTLE_TIME_S = 4.0


async def measure(
    directory: pathlib.Path,
    entry_count: int,
    duration_s: float,
    *,
    with_controllers: bool,
) -> dict[str, Any]:
    """Run one fleet and return what it used."""
    topology = Topology(entry_count=entry_count)
    processes = Processes(directory)
    try:
        async with aiohttp.ClientSession() as session:
            fleet = Fleet(topology, processes, session, with_controllers)
            await fleet.start(combined_upstreams=True)
            await asyncio.sleep(SETTLE_TIME_S)
            calls_before = await _count_store_calls(fleet)
            before = _read_all_usage(processes)
            await asyncio.sleep(duration_s)
            after = _read_all_usage(processes)
            calls_after = await _count_store_calls(fleet)
    finally:
        processes.stop_all()
    calls_per_s_by_name = {
        name: (calls_after[name] - calls_before.get(name, 0)) / duration_s
        for name in calls_after
    }
    return {
        "entries": entry_count,
        "seconds": duration_s,
        "store_calls_per_s": round(sum(calls_per_s_by_name.values()), 2),
        "store_calls_per_s_by_name": {
            name: round(calls_per_s, 2)
            for name, calls_per_s in sorted(calls_per_s_by_name.items())
        },
        "entry": _summarize("entry", before, after, duration_s),
        "controller": _summarize("controller", before, after, duration_s),
    }


def _read_all_usage(processes: Processes) -> dict[str, ProcessUsage]:
    return {
        name: read_usage(process.pid)
        for name, process in processes.running_by_name.items()
    }


def _summarize(
    role: str,
    before: dict[str, ProcessUsage],
    after: dict[str, ProcessUsage],
    duration_s: float,
) -> dict[str, dict[str, float]]:
    names = [name for name in after if name.startswith(f"{role}-")]
    if not names:
        return {}
    return {
        "core_percent": _median_and_max(
            [
                100 * (after[n].cpu_s - before[n].cpu_s) / duration_s
                for n in names
            ]
        ),
        "resident_mb": _median_and_max(
            [after[n].resident_bytes / 1e6 for n in names]
        ),
        "control_bytes_per_s": _median_and_max(
            [
                (after[n].io_bytes - before[n].io_bytes) / duration_s
                for n in names
            ]
        ),
    }


def _median_and_max(values: Sequence[float]) -> dict[str, float]:
    return {
        "median": round(statistics.median(values), 2),
        "max": round(max(values), 2),
    }


async def _count_store_calls(fleet: Fleet) -> dict[str, int]:
    stats = await fleet.fetch(fleet.topology.platform_url, "/stats")
    return {name: int(n) for name, n in stats["store_calls"].items()}


def main() -> int:
    """Read the command line, measure, and return the exit code."""
    parser = argparse.ArgumentParser(
        prog="benchmarks.fleet_cost",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--entries", type=int, nargs="+", default=[3, 9])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--without-controllers", action="store_true")
    options = parser.parse_args()
    for entry_count in options.entries:
        with tempfile.TemporaryDirectory() as directory:
            result = asyncio.run(
                measure(
                    pathlib.Path(directory),
                    entry_count,
                    options.seconds,
                    with_controllers=not options.without_controllers,
                )
            )
        print(json.dumps(result), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
