"""Measure takeovers of orders between two controller binaries.

Kills or stops the holder and waits for the successor's first order; prints
the time and the store calls a second before and during the takeover.
"""

import argparse
import asyncio
import pathlib
import signal
import sys
import tempfile
import time

from tests.controller import processes
from tests.controller.processes import HOSTS
from tests.controller.processes import Fleet
from tests.controller.processes import running_fleet
from tests.controller.processes import wait_for

CALM_S = 8.0


async def store_calls(fleet: Fleet) -> int:
    """Return how often the store was called so far."""
    stats = await fleet.get_json("/stats")
    return sum(stats["store_calls"].values())


async def has_orders(fleet: Fleet) -> bool:
    """Tell whether an order has arrived."""
    return bool(await fleet.fencing_tokens())


async def measure(how: signal.Signals) -> str:
    """Return one line of figures for a way to end the holder."""
    with tempfile.TemporaryDirectory() as directory:
        async with running_fleet(pathlib.Path(directory)) as fleet:
            await wait_for(lambda: has_orders(fleet))
            before = await store_calls(fleet)
            await asyncio.sleep(CALM_S)
            calm = (await store_calls(fleet) - before) / CALM_S
            started_s = time.monotonic()
            before = await store_calls(fleet)
            fleet.controllers[HOSTS[0]].send_signal(how)
            await wait_for(fleet.two_holders_ordered)
            gap_s = time.monotonic() - started_s
            calls = (await store_calls(fleet) - before) / gap_s
    return (
        f"{how.name}: successor's first order after {gap_s:.1f} s; store "
        f"calls a second: {calm:.1f} in calm, {calls:.1f} during takeover"
    )


def main() -> int:
    """Run all ways with the default lease of the settings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=2)
    options = parser.parse_args()
    processes.LEASE_TTL_S = 6.0
    processes.TAKEOVER_WAIT_S = 3.0
    for _ in range(options.runs):
        for how in (signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM):
            print(asyncio.run(measure(how)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
