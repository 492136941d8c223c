"""Check the trace of a request that is built from gateway logs."""

import json
from typing import Any

import pytest

from shallotfold._errors import UsageError
from shallotfold._operator.request_trace import MANY_FAILURES
from shallotfold._operator.request_trace import read_trace


class Log:
    """Builds log lines in the format of gateway hosts."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.time_s = 1000.0

    def add(self, host: str, decision: str, **inputs: Any) -> None:
        self.time_s += 1.0
        line = {"time": self.time_s, "up": self.time_s - 900.0, "host": host}
        self.lines.append(json.dumps({**line, "decision": decision, **inputs}))

    def causes(self, request_id: str = "r1") -> str:
        return "\n".join(read_trace(self.lines, request_id).causes())


def test_host_with_an_old_configuration_is_named() -> None:
    log = Log()
    log.add("h1", "configuration", version=4)
    log.add("h2", "configuration", version=5)
    log.add("h1", "dependency_lost", prefix="config", error="silent")
    log.add("h1", "peer_silent", peer="h2")
    log.add("h1", "reject", request_id="r1", status=401, reason="unknown key")
    causes = log.causes()
    assert "h1 answered 401 itself: unknown key; configuration 4" in causes
    assert "other hosts had configuration 5 by then: h1 was behind" in causes
    assert "could not reach the store for config" in causes


def test_configuration_applied_later_is_no_cause() -> None:
    log = Log()
    log.add("h1", "configuration", version=4)
    log.add("h1", "reject", request_id="r1", status=404, reason="no route")
    log.add("h2", "configuration", version=5)
    assert "was behind" not in log.causes()


def test_regained_dependency_is_no_cause() -> None:
    log = Log()
    log.add("h1", "dependency_lost", prefix="config")
    log.add("h1", "dependency_regained", prefix="config")
    log.add("h1", "reject", request_id="r1", status=404, reason="no route")
    assert "could not reach" not in log.causes()


def test_unresponsive_upstream_is_named() -> None:
    log = Log()
    log.add("h1", "send", request_id="r1", upstream="u7", allowed_ms=370)
    log.add("h1", "cancel", request_id="r1", upstream="u7")
    log.add("h1", "fail", request_id="r1", status=504, reason="time ran out")
    log.add("h1", "done", request_id="r1", status=504, took_ms=401)
    causes = log.causes()
    assert "h1 failed it with 504: time ran out" in causes
    assert "upstream u7 did not respond in the remaining 370 ms" in causes


def test_spent_retry_budget_is_suspected_after_many_failures() -> None:
    log = Log()
    for number in range(MANY_FAILURES):
        log.add("h1", "broken", request_id=f"x{number}", upstream="u1")
    log.add("h1", "send", request_id="r1", upstream="u1")
    log.add("h1", "broken", request_id="r1", upstream="u1", reason="reset")
    log.add("h1", "fail", request_id="r1", status=502, reason="broken")
    causes = log.causes()
    assert "upstream u1: broken, reset" in causes
    assert "the retry budget was spent" in causes


def test_refusal_without_an_attempt_points_to_the_upstreams() -> None:
    log = Log()
    log.add("h1", "upstreams", revision=77, added=[], removed=["u1"])
    log.add(
        "h1",
        "refuse",
        request_id="r1",
        reason="no upstream has room",
        retry_after_s=0.3662,
    )
    causes = log.causes()
    assert "refused it without running it: no upstream has room" in causes
    assert "after 0.37 s" in causes
    assert "store revision 77" in causes


def test_limits_of_upstreams_are_named() -> None:
    """Nothing showed why a request went to another upstream than usual."""
    log = Log()
    log.add("h1", "upstream_limit", upstream="u3", per_second=1.5)
    log.add("h1", "upstream_limit", upstream="u4", per_second=2.0, peer="h2")
    log.add("h1", "send", request_id="r1", upstream="u7", reason="rank=1")
    log.add("h1", "upstream_limit", upstream="u4", previous_per_second=2.0)
    log.add("h1", "refuse", request_id="r2", reason="x", retry_after_s=1.0)
    assert "h1 sent it to u7 while upstreams named limits" in log.causes()
    assert "u3 1.5, u4 2" in log.causes()
    assert log.causes("r2").endswith("together: u3 1.5")


@pytest.mark.parametrize(
    ("sends", "cause"),
    [(1, "estimated load of the upstream: pending=9"), (2, "at attempt 2")],
)
def test_slow_first_event_is_explained_by_load_or_attempts(
    sends: int, cause: str
) -> None:
    log = Log()
    for number in range(sends):
        log.add(
            "h1", "send", request_id="r1", upstream=number, reason="pending=9"
        )
    log.add("h1", "done", request_id="r1", status=200, first_ms=1800)
    assert cause in log.causes()


def test_ordinary_response_has_no_cause() -> None:
    log = Log()
    log.add("h1", "send", request_id="r1", upstream="u1", reason="")
    log.add("h1", "done", request_id="r1", status=200, first_ms=80)
    assert "nothing unusual" in log.causes()


def test_unknown_request_points_to_dropped_lines() -> None:
    log = Log()
    log.add("h1", "start")
    assert "reached none of them" in log.causes()
    log.add("h2", "start", lines_dropped_before=12)
    assert "dropped lines: h2" in log.causes()


def test_lines_of_other_programs_are_ignored() -> None:
    log = Log()
    log.add("h1", "start")
    lines = ["garbage", "{broken", '{"other": 1}', f"12.5 h1 {log.lines[0]}"]
    assert list(read_trace(lines, "r1").view_by_host) == ["h1"]


def test_files_without_a_gateway_log_are_a_usage_error() -> None:
    with pytest.raises(UsageError):
        read_trace(["garbage"], "r1")
