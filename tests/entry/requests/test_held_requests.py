"""Test requests under which upstreams end."""

import attrs

from shallotfold._entry.state.crash_evidence import FIRST_HOLD_S
from shallotfold._entry.state.crash_evidence import MAX_REMEMBERED_REQUESTS
from shallotfold._entry.state.crash_evidence import UPSTREAMS_TO_HOLD
from shallotfold._entry.state.crash_evidence import CrashEvidence
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import RefusalCode
from tests.entry.reducer_driver import CONFIGURATION
from tests.entry.reducer_driver import Entry
from tests.entry.reducer_driver import make_entry
from tests.entry.reducer_driver import make_upstream
from tests.entry.reducer_driver import refusals
from tests.entry.reducer_driver import started


def _make_entry() -> Entry:
    upstreams = {
        name: make_upstream(name, model="two")
        for name in (f"a{number}" for number in range(12))
    }
    return make_entry(attrs.evolve(CONFIGURATION, upstreams_by_name=upstreams))


def _end_upstreams(entry: Entry, request_id: str) -> None:
    """Let each upstream end that gets the request."""
    new_effects = entry.arrive(request_id, model="two", body_sha256="bad")
    while started(new_effects):
        new_effects = entry.end(request_id, Outcome.UNKNOWN)


def test_held_request_is_refused_as_not_run_until_the_hold_ends() -> None:
    entry = _make_entry()
    _end_upstreams(entry, "r1")
    (refusal,) = refusals(entry.arrive("r2", model="two", body_sha256="bad"))
    assert refusal.refusal.code is RefusalCode.NO_UPSTREAM
    assert refusal.refusal.outcome is Outcome.NOT_RUN
    assert refusal.refusal.retry_after_s is not None
    assert 0.0 < refusal.refusal.retry_after_s <= FIRST_HOLD_S


def test_only_one_request_is_tried_after_a_hold() -> None:
    entry = _make_entry()
    _end_upstreams(entry, "r1")
    entry.wait(FIRST_HOLD_S)
    assert started(entry.arrive("r2", model="two", body_sha256="bad"))
    assert refusals(entry.arrive("r3", model="two", body_sha256="bad"))
    # If it breaks off too, the next hold is longer.
    assert not started(entry.end("r2", Outcome.UNKNOWN))
    entry.wait(FIRST_HOLD_S)
    assert refusals(entry.arrive("r4", model="two", body_sha256="bad"))


def test_answer_to_the_trial_ends_the_hold() -> None:
    entry = _make_entry()
    _end_upstreams(entry, "r1")
    entry.wait(FIRST_HOLD_S)
    entry.arrive("r2", model="two", body_sha256="bad")
    entry.end("r2", Outcome.RAN)
    assert started(entry.arrive("r3", model="two", body_sha256="bad"))


def test_other_requests_are_not_held() -> None:
    entry = _make_entry()
    _end_upstreams(entry, "r1")
    assert started(entry.arrive("r2", model="two", body_sha256="good"))
    assert started(entry.arrive("r3", model="two"))


def test_requests_that_are_answered_in_between_are_not_held() -> None:
    """Upstreams that end of another cause break off sound requests, too."""
    evidence = CrashEvidence()
    for number in range(3 * UPSTREAMS_TO_HOLD):
        evidence.record_broken_off("sound", f"u{number}", float(number))
        if number % UPSTREAMS_TO_HOLD == UPSTREAMS_TO_HOLD - 2:
            evidence.record_answer("sound")
        assert evidence.hold_s("sound", float(number)) <= 0.0


def test_one_broken_upstream_holds_no_request() -> None:
    evidence = CrashEvidence()
    for number in range(20):
        evidence.record_broken_off("sound", "u1", float(number))
    assert evidence.hold_s("sound", 20.0) <= 0.0


def test_number_of_remembered_requests_is_bounded() -> None:
    evidence = CrashEvidence()
    for number in range(3 * MAX_REMEMBERED_REQUESTS):
        evidence.record_broken_off(f"r{number}", "u1", float(number))
    assert len(evidence._evidence_by_request) == MAX_REMEMBERED_REQUESTS
