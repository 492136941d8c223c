import attrs

from benchmarks.exchanges import Exchange
from benchmarks.exchanges import Result
from benchmarks.exchanges import Workload
from benchmarks.verdict import Verdict
from benchmarks.verdict import check_bookings
from benchmarks.verdict import total_usage

BOOKING = Workload(
    class_name="booking", workspace="w", key="k", interval_s=1.0, booking=True
)


def make_exchange(result: Result, *, not_run: bool = False) -> Exchange:
    return Exchange(
        workload=BOOKING,
        number=1,
        result=result,
        not_run=not_run,
        prompt_tokens=3,
        output_tokens=5,
        body_sha256="digest",
    )


def broken_promises(exchange: Exchange, runs: int) -> list[str]:
    verdict = Verdict()
    check_bookings(verdict, [exchange], {"digest": runs})
    return [
        name for name, passed in verdict.passed_by_promise.items() if not passed
    ]


def test_answered_booking_must_run_exactly_once() -> None:
    answered = make_exchange(Result.ANSWERED)
    assert broken_promises(answered, runs=1) == []
    assert broken_promises(answered, runs=2) == ["a booking runs at most once"]
    assert broken_promises(answered, runs=0) == ["an answered booking ran"]


def test_booking_refused_as_not_run_must_not_run() -> None:
    refused = make_exchange(Result.REFUSED, not_run=True)
    assert broken_promises(refused, runs=0) == []
    assert broken_promises(refused, runs=1) == [
        "a booking refused as not run did not run"
    ]
    assert broken_promises(make_exchange(Result.UNKNOWN), runs=1) == []


def test_reported_usage_may_exceed_answers_only_by_cut_tries() -> None:
    report = {
        "workspace": "w",
        "requests": 1,
        "prompt_tokens": 3,
        "output_tokens": 5,
    }
    answered = make_exchange(Result.ANSWERED)
    assert not total_usage([answered], [report])["w"].mismatches("w")
    assert total_usage([answered], [])["w"].mismatches("w")
    twice = total_usage([answered], [report, report])["w"]
    assert len(twice.mismatches("w")) == 3
    cut = attrs.evolve(answered, cut_at=["url"])
    assert not total_usage([cut], [report, report])["w"].mismatches("w")
