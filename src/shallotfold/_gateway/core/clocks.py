"""Read the clock that deadlines, leases and time-outs are based on."""

import time


def boot_s() -> float:
    """Return seconds since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
