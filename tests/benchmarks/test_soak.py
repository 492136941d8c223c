"""Run the soak for a moment, and check that its checks catch faults."""

import collections
import json
import pathlib
import subprocess
import sys

from benchmarks.soak import checks
from benchmarks.soak import stepped_clock
from benchmarks.soak.callers import Outcome
from benchmarks.soak.outside import DutyService
from benchmarks.soak.outside import Runs

SECONDS = "6"


def make_outcome(**fields: object) -> Outcome:
    known: dict[str, object] = {
        "request_id": "r1",
        "kind": "once",
        "key": "right",
        "host": 0,
        "began_s": 10.0,
        "took_s": 0.1,
        "status": 200,
        "complete": True,
        "body": b"r1",
    }
    return Outcome(**{**known, **fields})  # type: ignore[arg-type]


def judge(outcome: Outcome, starts: int = 1) -> list[str]:
    runs = Runs(starts_by_id=collections.Counter({"r1": starts}))
    return checks.find_violations([outcome], runs, DutyService(), [])


def test_a_good_answer_breaks_no_promise() -> None:
    assert judge(make_outcome()) == []


def test_each_broken_promise_is_found() -> None:
    two_events = b"id: 1\ndata: r1\n\nid: 3\ndata: r1\n\n"
    cases = [
        (make_outcome(), 2, "ran twice"),
        (make_outcome(status=503, body=b""), 1, "unrun"),
        (make_outcome(body=b"r2"), 1, "another answer"),
        (make_outcome(key="wrong"), 1, "unknown key"),
        (make_outcome(status=401), 0, "denied"),
        (make_outcome(took_s=3.0), 1, "no final answer"),
        (make_outcome(kind="stream", body=two_events), 1, "out of order"),
        (make_outcome(kind="stream", body=b""), 1, "ended as complete"),
    ]
    for outcome, starts, wanted in cases:
        assert any(wanted in line for line in judge(outcome, starts)), wanted


def test_usage_of_another_time_is_found() -> None:
    duties = DutyService()
    duties.ages_s_by_window = {7: [2.5], 8: [-1.0], 9: [4000.0]}
    found = checks.find_violations([], Runs(), duties, [])
    assert [line.split(" was")[0] for line in found] == ["window 8", "window 9"]


def test_a_stepped_clock_is_off_by_what_its_file_says(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "clock"
    stepped_clock.write_offset(path, 0.0)
    clock = stepped_clock.stepped(path, lambda: 100.0)
    assert clock() == 100.0
    stepped_clock.write_offset(path, -40.0)
    assert clock() == 60.0


def test_a_short_soak_breaks_no_promise() -> None:
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "benchmarks.soak",
            "--seed",
            "7",
            "--seconds",
            SECONDS,
            "--hosts",
            "3",
        ],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    report = json.loads(result.stdout)
    assert report["requests"] > 100
    assert report["violations"] == []
