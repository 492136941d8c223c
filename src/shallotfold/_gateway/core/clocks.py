"""Read the clocks of a host."""

import time


def boot_s() -> float:
    """Return seconds since boot, including time in suspension.

    Deadlines, leases and time-outs are based on this clock.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def running_s() -> float:
    """Return seconds since boot in which the host wasn't suspended."""
    return time.monotonic()
