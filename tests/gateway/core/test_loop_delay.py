"""A busy event loop couldn't be told from a slow network afterwards."""

import pytest

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.loop_delay import LoopDelayMonitor
from shallotfold._gateway.core.metrics import Metrics


def test_late_call_is_logged_with_its_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[tuple[str, int, int]] = []
    monkeypatch.setattr(
        decision_log,
        "record",
        lambda decision, delay_ms, suspended_ms: lines.append(
            (decision, delay_ms, suspended_ms)
        ),
    )
    metrics = Metrics()
    monitor = LoopDelayMonitor(0.05, metrics)
    for now_s in (10.0, 10.06, 10.81, 10.86):
        monitor.record(now_s, now_s - 7.0)
    # The host is suspended for two seconds of the next delay.
    monitor.record(13.11, 4.11)
    assert lines == [("loop_delayed", 700, 0), ("loop_delayed", 2200, 2000)]
    page = metrics.render({}).decode()
    assert 'loop_delay_seconds_bucket{le="0.5"} 2.0' in page
    assert "loop_delay_seconds_count 4.0" in page
