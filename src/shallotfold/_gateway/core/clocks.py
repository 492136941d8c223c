"""Read the clock that deadlines, leases and beliefs go by."""

import time


def boot_s() -> float:
    """Return seconds since boot; time in suspension counts."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
