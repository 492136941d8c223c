"""Measure takeovers of orders between two controller binaries.

Sends SIGKILL, SIGSTOP or SIGTERM to the holder and waits for the successor's
first order. Prints the time and the store calls per second before and during
the takeover.
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

STEADY_STATE_S = 8.0


async def count_store_calls(fleet: Fleet) -> int:
    """Return the number of store calls so far."""
    stats = await fleet.get_json("/stats")
    return sum(stats["store_calls"].values())


async def has_orders(fleet: Fleet) -> bool:
    """Return whether an order has arrived."""
    return bool(await fleet.fencing_tokens())


async def measure(stop_signal: signal.Signals) -> str:
    """Return one line of results for a signal that the holder gets."""
    with tempfile.TemporaryDirectory() as directory:
        async with running_fleet(pathlib.Path(directory)) as fleet:
            await wait_for(lambda: has_orders(fleet))
            calls_before = await count_store_calls(fleet)
            await asyncio.sleep(STEADY_STATE_S)
            steady_calls_per_s = (
                await count_store_calls(fleet) - calls_before
            ) / STEADY_STATE_S
            started_s = time.monotonic()
            calls_before = await count_store_calls(fleet)
            fleet.controllers[HOSTS[0]].send_signal(stop_signal)
            await wait_for(fleet.two_holders_ordered)
            gap_s = time.monotonic() - started_s
            takeover_calls_per_s = (
                await count_store_calls(fleet) - calls_before
            ) / gap_s
    return (
        f"{stop_signal.name}: successor's first order after {gap_s:.1f} s; "
        f"store calls per second: {steady_calls_per_s:.1f} in steady state, "
        f"{takeover_calls_per_s:.1f} during takeover"
    )


def main() -> int:
    """Measure each signal with the default lease times of the settings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=2)
    options = parser.parse_args()
    processes.LEASE_TTL_S = 6.0
    processes.TAKEOVER_WAIT_S = 3.0
    for _ in range(options.runs):
        for stop_signal in (signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM):
            print(asyncio.run(measure(stop_signal)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
