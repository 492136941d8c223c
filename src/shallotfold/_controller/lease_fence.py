"""Kill this process when a lease deadline passes, even if it was paused.

The kernel timer sends SIGALRM, left at its default action. A process that was
stopped past the deadline is killed when it is continued, before it runs one
more instruction. So a pause after a check of the clock cannot delay a send
past the deadline.
"""

import signal
import time

MIN_DELAY_S = 0.000_001


class LeaseFence:
    """Watchdog timer for the lease deadline of this process."""

    def __init__(self) -> None:
        self._deadline_s = 0.0

    @property
    def deadline_s(self) -> float:
        """Monotonic deadline of the armed timer; 0 while disarmed."""
        return self._deadline_s

    def arm(self, deadline_s: float) -> None:
        """Arm or reset the timer; a deadline in the past kills at once."""
        signal.signal(signal.SIGALRM, signal.SIG_DFL)
        delay_s = max(deadline_s - time.monotonic(), MIN_DELAY_S)
        signal.setitimer(signal.ITIMER_REAL, delay_s)
        self._deadline_s = deadline_s

    def disarm(self) -> None:
        """Stop the timer after every send under the lease was aborted."""
        signal.setitimer(signal.ITIMER_REAL, 0)
        self._deadline_s = 0.0

    def remaining_s(self) -> float:
        """Return the time until the deadline; 0 or less once it has passed."""
        return self._deadline_s - time.monotonic()
