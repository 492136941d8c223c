"""Measure for how long the event loop is busy."""

import attrs

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.metrics import Metrics

# Callers, peers and the store notice a host that reacts later than this.
LOGGED_DELAY_S = 0.1


@attrs.define
class LoopDelayMonitor:
    """Records how late a periodic call comes.

    Attributes:
        interval_s: Time between the calls as planned.
        metrics: Gets each delay.
    """

    interval_s: float
    metrics: Metrics
    _expected_s: float | None = None
    _suspended_s: float = 0.0

    def record(self, now_s: float, running_s: float) -> None:
        """Record that the call came now.

        Args:
            now_s: Time on the boot clock.
            running_s: Time on the clock that stands still while the host is
                suspended.
        """
        suspended_before_s = self._suspended_s
        self._suspended_s = now_s - running_s
        if self._expected_s is not None:
            delay_s = max(0.0, now_s - self._expected_s)
            self.metrics.observe_loop_delay(delay_s)
            if delay_s >= LOGGED_DELAY_S:
                decision_log.record(
                    "loop_delayed",
                    delay_ms=round(delay_s * 1000),
                    suspended_ms=round(
                        (self._suspended_s - suspended_before_s) * 1000
                    ),
                )
        self._expected_s = now_s + self.interval_s
