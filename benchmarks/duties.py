"""Measure takeover time and store calls of the duties in virtual time.

The controllers' reducers and calls run against the stand-in store; only the
clock is virtual. Prints the store calls per second in the steady state and
after a share of the holders is killed, and how long each duty had no holder
that may send.
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

SETTLE_TIME_S = 40.0
STEADY_STATE_S = 30.0
STEP_S = 0.5


async def measure(host_count: int, killed_share: float) -> str:
    """Return one line of results for a number of hosts."""
    simulation = Simulation(host_count=host_count)
    duties = all_duties(CONFIGURATION.data_centres)
    await simulation.run(SETTLE_TIME_S)
    steady_calls_per_s = await _calls_per_s(simulation, STEADY_STATE_S)
    holders = sorted({simulation.holders(duty)[0] for duty in duties})
    killed_hosts = holders[: max(1, round(len(holders) * killed_share))]
    lost_duties = [
        d for d in duties if simulation.holders(d)[0] in killed_hosts
    ]
    for host in killed_hosts:
        simulation.controllers[host].kill()
    gaps_s, takeover_calls_per_s = await _measure_takeover(
        simulation, lost_duties
    )
    return (
        f"{host_count:>5} hosts: "
        f"steady state {steady_calls_per_s:6.1f} calls/s, "
        f"takeover {takeover_calls_per_s:6.1f} calls/s; "
        f"{len(killed_hosts)} of {len(holders)} holders "
        f"killed, {len(lost_duties)} duties taken over after "
        f"{min(gaps_s):.1f} to {max(gaps_s):.1f} s "
        f"(mean {statistics.mean(gaps_s):.1f} s)"
    )


async def _calls_per_s(simulation: Simulation, seconds: float) -> float:
    simulation.store.calls_by_name.clear()
    await simulation.run(seconds)
    return simulation.store.calls_by_name.total() / seconds


async def _measure_takeover(
    simulation: Simulation, lost_duties: Sequence[str]
) -> tuple[list[float], float]:
    simulation.store.calls_by_name.clear()
    started_s = simulation.now_s
    gap_by_duty: dict[str, float] = {}
    while len(gap_by_duty) < len(lost_duties):
        await simulation.run(STEP_S)
        for duty in lost_duties:
            if simulation.holders(duty):
                gap_by_duty.setdefault(duty, simulation.now_s - started_s)
    elapsed_s = simulation.now_s - started_s
    calls_per_s = simulation.store.calls_by_name.total() / elapsed_s
    return list(gap_by_duty.values()), calls_per_s


def main() -> int:
    """Run for the numbers of hosts given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[3, 9, 50])
    parser.add_argument("--killed-share", type=float, default=0.5)
    options = parser.parse_args()
    logger.remove()
    for host_count in options.hosts:
        print(asyncio.run(measure(host_count, options.killed_share)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
