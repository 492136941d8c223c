"""Check what is made of gateways' logs."""

import json
from typing import Any

import pytest

from shallotfold._errors import UsageError
from shallotfold._operator.log_stories import MANY_FAILURES
from shallotfold._operator.log_stories import read_story


class Log:
    """Lines as hosts write them."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.time_s = 1000.0

    def add(self, host: str, decision: str, **inputs: Any) -> None:
        self.time_s += 1.0
        line = {"time": self.time_s, "up": self.time_s - 900.0, "host": host}
        self.lines.append(json.dumps({**line, "decision": decision, **inputs}))

    def causes(self, request_id: str = "r1") -> str:
        return "\n".join(read_story(self.lines, request_id).causes())


def test_a_host_that_was_behind_is_named() -> None:
    log = Log()
    log.add("h1", "configuration", version=4)
    log.add("h2", "configuration", version=5)
    log.add("h1", "dependency_lost", prefix="config", error="silent")
    log.add("h1", "peer_silent", peer="h2")
    log.add("h1", "reject", request_id="r1", status=401, reason="unknown key")
    causes = log.causes()
    assert "h1 answered 401 by itself: unknown key; configuration 4" in causes
    assert "other hosts had configuration 5 by then: h1 was behind" in causes
    assert "could not reach the store for config" in causes


def test_a_later_configuration_blames_nobody() -> None:
    log = Log()
    log.add("h1", "configuration", version=4)
    log.add("h1", "reject", request_id="r1", status=404, reason="no route")
    log.add("h2", "configuration", version=5)
    assert "was behind" not in log.causes()


def test_a_dependency_that_came_back_is_not_blamed() -> None:
    log = Log()
    log.add("h1", "dependency_lost", prefix="config")
    log.add("h1", "dependency_regained", prefix="config")
    log.add("h1", "reject", request_id="r1", status=404, reason="no route")
    assert "could not reach" not in log.causes()


def test_a_silent_upstream_is_named() -> None:
    log = Log()
    log.add("h1", "send", request_id="r1", upstream="u7", allowed_ms=370)
    log.add("h1", "cancel", request_id="r1", upstream="u7")
    log.add("h1", "fail", request_id="r1", status=504, reason="time ran out")
    log.add("h1", "done", request_id="r1", status=504, took_ms=401)
    causes = log.causes()
    assert "h1 gave it up with 504: time ran out" in causes
    assert "upstream u7 gave no answer in the 370 ms that were left" in causes


def test_a_spent_budget_is_suspected_among_many_failures() -> None:
    log = Log()
    for number in range(MANY_FAILURES):
        log.add("h1", "broken", request_id=f"x{number}", upstream="u1")
    log.add("h1", "send", request_id="r1", upstream="u1")
    log.add("h1", "broken", request_id="r1", upstream="u1", reason="reset")
    log.add("h1", "fail", request_id="r1", status=502, reason="broken")
    causes = log.causes()
    assert "upstream u1: broken, reset" in causes
    assert "the budget for second sends was spent" in causes


def test_a_refusal_without_an_attempt_points_to_the_upstreams() -> None:
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
    assert "refused it, not run: no upstream has room" in causes
    assert "after 0.37 s" in causes
    assert "store revision 77" in causes


@pytest.mark.parametrize(
    ("sends", "cause"),
    [(1, "load believed at the upstream: pending=9"), (2, "at attempt 2")],
)
def test_a_late_first_part_is_put_down_to_load_or_attempts(
    sends: int, cause: str
) -> None:
    log = Log()
    for number in range(sends):
        log.add(
            "h1", "send", request_id="r1", upstream=number, reason="pending=9"
        )
    log.add("h1", "done", request_id="r1", status=200, first_ms=1800)
    assert cause in log.causes()


def test_a_usual_answer_has_no_cause() -> None:
    log = Log()
    log.add("h1", "send", request_id="r1", upstream="u1", reason="")
    log.add("h1", "done", request_id="r1", status=200, first_ms=80)
    assert "nothing unusual" in log.causes()


def test_an_unknown_request_points_to_dropped_lines() -> None:
    log = Log()
    log.add("h1", "start")
    assert "reached none of them" in log.causes()
    log.add("h2", "start", lines_dropped_before=12)
    assert "dropped lines: h2" in log.causes()


def test_lines_of_other_programs_are_passed_over() -> None:
    log = Log()
    log.add("h1", "start")
    lines = ["garbage", "{broken", '{"other": 1}', f"12.5 h1 {log.lines[0]}"]
    assert list(read_story(lines, "r1").belief_by_host) == ["h1"]


def test_files_without_a_log_are_a_usage_error() -> None:
    with pytest.raises(UsageError):
        read_story(["garbage"], "r1")
