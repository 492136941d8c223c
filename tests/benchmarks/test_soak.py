"""Run a short soak and check that each kind of violation is found."""

import collections
import json
import pathlib
import subprocess
import sys

import pytest

from benchmarks.soak import checks
from benchmarks.soak import stepped_clock
from benchmarks.soak.callers import Outcome
from benchmarks.soak.external_services import Arrival
from benchmarks.soak.external_services import DutyArrival
from benchmarks.soak.external_services import DutyService
from benchmarks.soak.external_services import EqualCrash
from benchmarks.soak.external_services import LeavingArrival
from benchmarks.soak.external_services import NamedLimit
from benchmarks.soak.external_services import Runs

SECONDS = "6"


def make_outcome(**fields: object) -> Outcome:
    defaults: dict[str, object] = {
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
    return Outcome(**{**defaults, **fields})  # type: ignore[arg-type]


def find_violations(outcome: Outcome, starts: int = 1) -> list[str]:
    runs = Runs(starts_by_id=collections.Counter({"r1": starts}))
    return checks.find_violations([outcome], runs, DutyService(), [])


def test_correct_response_violates_nothing() -> None:
    assert find_violations(make_outcome()) == []


def test_each_violation_is_found() -> None:
    two_events = b"id: 1\ndata: r1\n\nid: 3\ndata: r1\n\n"
    cases = [
        (make_outcome(), 2, "ran more than once"),
        (make_outcome(status=503, body=b""), 1, "reported as not run but ran"),
        (make_outcome(body=b"r2"), 1, "wrong response body"),
        (make_outcome(key="wrong"), 1, "unknown key"),
        (make_outcome(status=401), 0, "denied although"),
        (make_outcome(took_s=3.0), 1, "no final response"),
        (make_outcome(kind="stream", body=two_events), 1, "out of order"),
        (make_outcome(kind="stream", body=b""), 1, "ended as complete"),
    ]
    for outcome, starts, expected in cases:
        assert any(
            expected in line for line in find_violations(outcome, starts)
        ), expected


def test_run_in_which_nothing_is_served_is_found() -> None:
    """Gateways that knew no upstream refused all, and broke no guarantee."""
    outcomes = [
        make_outcome(request_id=f"r{n}", status=503, body=b"")
        for n in range(checks.MIN_JUDGED_REQUESTS)
    ]
    found = checks.find_violations(outcomes, Runs(), DutyService(), [])
    assert found == ["none of 20 requests was served"]
    outcomes[0] = make_outcome(request_id="r0", body=b"r0")
    runs = Runs(starts_by_id=collections.Counter({"r0": 1}))
    assert not checks.find_violations(outcomes, runs, DutyService(), [])


def test_request_to_an_upstream_known_to_be_leaving_is_found() -> None:
    outcomes = [
        make_outcome(request_id="r1", began_s=10.0, body=b"r1"),
        make_outcome(request_id="r2", began_s=12.0, body=b"r2"),
        make_outcome(request_id="r3", began_s=12.2, body=b"r3"),
        make_outcome(request_id="r4", began_s=12.2, body=b"r4", host=1),
    ]
    ids = [outcome.request_id for outcome in outcomes]
    runs = Runs(
        starts_by_id=collections.Counter(ids),
        leaving_arrivals=[LeavingArrival(name, "u0", 1) for name in ids],
    )
    (violation,) = checks.find_violations(outcomes, runs, DutyService(), [])
    assert violation.startswith("r3 reached u0")
    disturbances = [(0, 11.0, 12.0)]
    assert not checks.find_violations(
        outcomes, runs, DutyService(), disturbances
    )


def test_requests_to_an_upstream_in_its_pause_are_found() -> None:
    arrivals = [Arrival("r0", "u0", 10.0, 2.0)]
    arrivals += [Arrival(f"r{n}", "u0", 10.6 + n / 10, 0.0) for n in (1, 2, 3)]
    outcomes = [make_outcome(request_id=a.request_id) for a in arrivals]

    def find(arrival_count: int, cut: str = "u1") -> list[str]:
        runs = Runs(arrivals=arrivals[:arrival_count])
        cuts = [(cut, 10.0, 10.1)]
        return checks.find_pause_violations(outcomes, runs, [], cuts)

    assert find(3) == []
    assert find(4) == ["3 requests of host 0 reached u0 in a pause of 2.0 s"]
    assert find(4, cut="u0") == []


def test_crashing_prompts_that_are_sent_on_are_found() -> None:
    runs = Runs(
        crashes_s=[1.0, 1.1, 1.2, 1.3, 1.4],
        crashing_ids=["r1", "r2", "r3", "r4", "r1", "r5"],
    )
    outcomes = [
        make_outcome(
            request_id=f"r{n}", kind="stream", began_s=4.5, crashing=True
        )
        for n in range(1, 5)
    ]

    (violation,) = checks.find_crash_violations(outcomes, runs, [])
    assert violation.startswith("5 requests")
    assert not checks.find_crash_violations(outcomes, runs, [(0, 1.6, 4.0)])
    runs.crashes_s.pop()
    assert not checks.find_crash_violations(outcomes, runs, [])


def test_equal_requests_that_end_upstreams_for_too_long_are_found() -> None:
    crashes = [
        EqualCrash(f"r{n}", "north", crashed_s)
        for n, crashed_s in enumerate((1.0, 1.1, 1.2, 4.5, 4.6, 4.7, 4.8))
    ]
    outcomes = [
        make_outcome(
            request_id=crash.request_id,
            kind="repeat",
            began_s=crash.crashed_s - 0.1,
            crashing=True,
        )
        for crash in crashes
    ]

    def find(count: int, *, disturbed_to_s: float = 0.0) -> list[str]:
        runs = Runs(equal_crashes=crashes[:count])
        return checks.find_equal_crash_violations(
            outcomes, runs, [(0, 0.0, disturbed_to_s)]
        )

    assert not find(6)
    (violation,) = find(7)
    assert violation.startswith("4 equal requests of north")
    assert not find(7, disturbed_to_s=4.0)


def test_sound_plain_requests_that_are_held_back_are_found() -> None:
    refused = b"upstreams end under this request"
    outcomes = [
        make_outcome(request_id="r1", body=refused),
        make_outcome(request_id="r2", body=b"r2"),
        make_outcome(request_id="r3", kind="repeat", crashing=True),
    ]
    (violation,) = checks.find_equal_crash_violations(outcomes, Runs(), [])
    assert violation.startswith("1 of 2 sound plain requests")


def test_sound_streams_that_are_held_back_are_found() -> None:
    refused = b"upstreams end under prompts with part a0"
    outcomes = [
        make_outcome(kind="stream", request_id="r1", body=refused),
        make_outcome(kind="stream", request_id="r2", body=b""),
    ]
    (violation,) = checks.find_crash_violations(outcomes, Runs(), [])
    assert violation.startswith("1 of 2 sound streams")


def test_requests_beyond_a_named_limit_are_found() -> None:
    arrivals = [Arrival(f"r{n}", "u0", 12.0 + n / 10, 0.0) for n in range(9)]
    outcomes = [make_outcome(request_id=a.request_id) for a in arrivals]

    def find(rate: float, cut: str = "u1") -> list[str]:
        runs = Runs(
            arrivals=arrivals, limits=[NamedLimit("u0", rate, 10.0, 20.0)]
        )
        cuts = [(cut, 10.0, 13.0)]
        return checks.find_limit_violations(outcomes, runs, [], cuts)

    assert find(0.7) == []
    assert find(0.5) == [
        "9 requests in 4 s reached u0, which takes 0.5 a second"
    ]
    assert find(0.5, cut="u0") == []


def find_duty_violations(*calls: tuple[str, int, float]) -> list[str]:
    duties = DutyService()
    duties.arrivals = [
        DutyArrival(holder=holder, fencing_token=token, arrived_s=arrived_s)
        for holder, token, arrived_s in calls
    ]
    return checks.find_violations([], Runs(), duties, [])


def test_duties_that_change_hands_once_violate_nothing() -> None:
    assert not find_duty_violations(
        ("host0", 7, 1.0), ("host1", 19, 1.1), ("host0", 23, 9.0)
    )


def test_call_with_an_earlier_token_is_found() -> None:
    """Also if the token has been used before."""
    violations = find_duty_violations(
        ("host7", 7, 1.0), ("host19", 19, 2.0), ("host7", 7, 9.0)
    )
    assert violations == ["host7 used fencing token 7 after 19"]


def test_token_of_two_hosts_is_found() -> None:
    violations = find_duty_violations(("host0", 7, 1.0), ("host1", 7, 2.0))
    assert violations == ["fencing token 7 was sent by several hosts"]


def test_duties_that_return_within_a_lease_are_found() -> None:
    violations = find_duty_violations(
        ("host0", 7, 1.0), ("host1", 9, 1.5), ("host0", 12, 2.0)
    )
    assert violations == ["host0 held the duties again after 1.0 s"]


def test_usage_report_at_a_wrong_time_is_found() -> None:
    duties = DutyService()
    duties.report_delays_s_by_window = {7: [2.5], 8: [-1.0], 9: [4000.0]}
    violations = checks.find_violations([], Runs(), duties, [])
    assert [line.split(" was")[0] for line in violations] == [
        "window 8",
        "window 9",
    ]


def test_stepped_clock_has_the_offset_in_its_file(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "clock"
    stepped_clock.write_offset(path, 0.0)
    clock = stepped_clock.make_stepped_clock(path, lambda: 100.0)
    assert clock() == 100.0
    stepped_clock.write_offset(path, -40.0)
    assert clock() == 60.0


# In the larger fleet only some hosts watch the store.
@pytest.mark.parametrize(("seed", "hosts"), [("7", "3"), ("303", "14")])
def test_short_soak_finds_no_violation(seed: str, hosts: str) -> None:
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "benchmarks.soak",
            "--seed",
            seed,
            "--seconds",
            SECONDS,
            "--hosts",
            hosts,
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
