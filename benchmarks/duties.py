"""Measure takeover time and store calls of the duties in virtual time.

The controllers' reducers and calls run against the stand-in store; only the
clock is virtual. Prints calls a second in calm and while a share of the
holders is killed, and how long duties had no holder that may send.
"""

import argparse
import asyncio
from collections.abc import Sequence
import statistics
import sys

from loguru import logger

from shallotfold._fleet.duties import all_duties
from tests.controller.simulation import CONFIGURATION
from tests.controller.simulation import Simulation

SETTLE_S = 40.0
CALM_S = 30.0
STEP_S = 0.5


async def measure(hosts: int, killed_share: float) -> str:
    """Return one line of figures for a number of hosts."""
    simulation = Simulation(count=hosts)
    duties = all_duties(CONFIGURATION.data_centres)
    await simulation.run(SETTLE_S)
    calm = await _calls_per_s(simulation, CALM_S)
    holders = sorted({simulation.holders(duty)[0] for duty in duties})
    killed = holders[: max(1, round(len(holders) * killed_share))]
    lost = [d for d in duties if simulation.holders(d)[0] in killed]
    for host in killed:
        simulation.controllers[host].kill()
    gaps, calls = await _take_over(simulation, lost)
    return (
        f"{hosts:>5} hosts: calm {calm:6.1f} calls/s, takeover "
        f"{calls:6.1f} calls/s; {len(killed)} of {len(holders)} holders "
        f"killed, {len(lost)} duties back after {min(gaps):.1f} to "
        f"{max(gaps):.1f} s (mean {statistics.mean(gaps):.1f} s)"
    )


async def _calls_per_s(simulation: Simulation, seconds: float) -> float:
    simulation.store.calls_by_name.clear()
    await simulation.run(seconds)
    return simulation.store.calls_by_name.total() / seconds


async def _take_over(
    simulation: Simulation, lost: Sequence[str]
) -> tuple[list[float], float]:
    simulation.store.calls_by_name.clear()
    started_s = simulation.now_s
    gap_by_duty: dict[str, float] = {}
    while len(gap_by_duty) < len(lost):
        await simulation.run(STEP_S)
        for duty in lost:
            if simulation.holders(duty):
                gap_by_duty.setdefault(duty, simulation.now_s - started_s)
    elapsed_s = simulation.now_s - started_s
    calls = simulation.store.calls_by_name.total() / elapsed_s
    return list(gap_by_duty.values()), calls


def main() -> int:
    """Run for the numbers of hosts given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[3, 9, 50])
    parser.add_argument("--killed-share", type=float, default=0.5)
    options = parser.parse_args()
    logger.remove()
    for hosts in options.hosts:
        print(asyncio.run(measure(hosts, options.killed_share)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
