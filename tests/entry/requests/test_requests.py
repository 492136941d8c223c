import attrs
import pytest

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.state import retry_budget
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import RecordedAnswer
from shallotfold._model.requests import RefusalCode
from shallotfold._wire import grant_messages
from tests.entry.reducer_driver import CONFIGURATION
from tests.entry.reducer_driver import Entry
from tests.entry.reducer_driver import make_entry
from tests.entry.reducer_driver import make_upstream
from tests.entry.reducer_driver import refusals
from tests.entry.reducer_driver import started


def claim(entry: Entry, request_id: str) -> list[effects.Effect]:
    return entry.feed(
        events.ClaimSucceeded(now_s=entry.now_s, request_id=request_id)
    )


def test_failed_idempotent_request_is_retried_at_another_upstream() -> None:
    entry = make_entry()
    first = entry.arrive("r1", model="two")
    again = entry.end("r1", Outcome.UNKNOWN)
    used = {
        e.upstream for e in first + again if isinstance(e, effects.StartAttempt)
    }
    assert used == {"a1", "a2"}


def test_order_that_may_have_run_is_not_sent_again() -> None:
    entry = make_entry()
    entry.order("r1")
    ended = entry.end("r1", Outcome.UNKNOWN)
    assert started(ended) == []
    assert refusals(ended)[0].refusal.outcome is Outcome.UNKNOWN


def test_order_that_did_not_run_is_sent_to_another_upstream() -> None:
    entry = make_entry()
    entry.order("r1")
    assert started(entry.end("r1", Outcome.NOT_RUN)) == ["r1"]


def test_retries_end_when_the_budget_is_spent() -> None:
    entry = make_entry()
    entry.state.requests.retry_budget = retry_budget.RetryBudget(balance=0.0)
    entry.arrive("r1", model="two")
    assert started(entry.end("r1", Outcome.NOT_RUN)) == []
    assert refusals(entry.all_effects)[0].refusal.outcome is Outcome.NOT_RUN


def test_broken_stream_resumes_after_the_tokens_that_were_sent() -> None:
    entry = make_entry()
    entry.arrive("r1", model="two", streaming=True)
    entry.feed(
        events.TokensForwarded(
            now_s=entry.now_s, request_id="r1", attempt=1, count=7
        )
    )
    resumed = entry.end("r1", Outcome.UNKNOWN, answer_started=True)
    starts = [e for e in resumed if isinstance(e, effects.StartAttempt)]
    assert [e.resume for e in starts] == [True]


def test_stream_with_tool_calls_is_neither_resumed_nor_preempted() -> None:
    entry = make_entry()
    entry.arrive("r1", model="two", streaming=True)
    entry.feed(
        events.TokensForwarded(
            now_s=entry.now_s,
            request_id="r1",
            attempt=1,
            count=7,
            resumable=False,
        )
    )
    preempted = entry.feed(
        events.PeerMessageReceived(
            now_s=entry.now_s,
            host="e1",
            message=grant_messages.GrantPreempted(request_id="r1", attempt=1),
        )
    )
    assert preempted == []
    ended = entry.end("r1", Outcome.UNKNOWN, answer_started=True)
    assert started(ended) == []
    assert refusals(ended)[0].refusal.outcome is Outcome.UNKNOWN


def test_end_of_an_earlier_attempt_is_ignored() -> None:
    entry = make_entry()
    entry.arrive("r1", model="two")
    entry.end("r1", Outcome.UNKNOWN)
    late = events.AttemptEnded(
        now_s=entry.now_s, request_id="r1", attempt=1, outcome=Outcome.RAN
    )
    assert entry.feed(late) == []
    assert "r1" in entry.state.requests.open_by_id


def test_stalled_stream_is_cancelled_and_retried() -> None:
    entry = make_entry()
    entry.arrive("r1", model="two", streaming=True)
    new_effects = entry.wait(3.0)
    assert effects.CancelAttempt(request_id="r1", attempt=1) in new_effects
    assert started(new_effects) == ["r1"]


def test_slow_caller_is_not_mistaken_for_a_stalled_upstream() -> None:
    upstreams = {"m1": make_upstream("m1", model="one", slots=2)}
    entry = make_entry(attrs.evolve(CONFIGURATION, upstreams_by_name=upstreams))
    for request_id in ("slow", "quick"):
        entry.arrive(request_id, streaming=True)
        entry.progress(request_id)
    for _ in range(8):
        entry.wait(0.5)
        entry.progress("quick")
    cancelled = [
        e for e in entry.all_effects if isinstance(e, effects.CancelAttempt)
    ]
    assert cancelled == []


def test_order_waits_for_its_claim() -> None:
    entry = make_entry()
    new_effects = entry.order("r1", idempotency_key="k")
    assert started(new_effects) == []
    assert started(claim(entry, "r1")) == ["r1"]
    ended = entry.end("r1", Outcome.RAN)
    assert effects.SettleClaim(request_id="r1", outcome=Outcome.RAN) in ended


def test_claim_of_a_disconnected_caller_is_released() -> None:
    entry = make_entry()
    entry.order("r1", idempotency_key="k")
    entry.feed(events.CallerDisconnected(now_s=entry.now_s, request_id="r1"))
    release = effects.SettleClaim(request_id="r1", outcome=Outcome.NOT_RUN)
    assert release in claim(entry, "r1")
    assert claim(entry, "r1") == [], "a repeated event releases nothing"


def test_claim_that_never_ends_is_refused_as_not_run() -> None:
    entry = make_entry()
    entry.order("r1", idempotency_key="k")
    refusal = refusals(entry.wait(6.0))[0].refusal
    assert refusal.code is RefusalCode.STORE_UNAVAILABLE
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after_s


def test_failed_claim_replays_the_recorded_answer() -> None:
    entry = make_entry()
    entry.order("r1", idempotency_key="k")
    answer = RecordedAnswer(status=201, content_type="text/plain", body=b"x")
    new_effects = entry.feed(
        events.ClaimFailed(
            now_s=entry.now_s,
            request_id="r1",
            reason="IN_PROGRESS",
            answer=answer,
        )
    )
    assert effects.ReplayAnswer(request_id="r1", answer=answer) in new_effects


@pytest.mark.parametrize("reason", ["UPSTREAM_FAILED", "IN_PROGRESS"])
def test_unknown_outcome_of_the_first_run_is_reported_as_unknown(
    reason: str,
) -> None:
    entry = make_entry()
    entry.order("r1", idempotency_key="k")
    new_effects = entry.feed(
        events.ClaimFailed(now_s=entry.now_s, request_id="r1", reason=reason)
    )
    assert refusals(new_effects)[0].refusal.outcome is Outcome.UNKNOWN


def test_draining_entry_refuses_new_requests_and_finishes_open_ones() -> None:
    entry = make_entry()
    entry.arrive("r1")
    entry.feed(events.ShutdownRequested(now_s=entry.now_s))
    refusal = refusals(entry.arrive("r2"))[0].refusal
    assert refusal.code is RefusalCode.SHUTTING_DOWN
    assert refusal.outcome is Outcome.NOT_RUN
    assert effects.ExitProcess() not in entry.wait(1.0)
    entry.end("r1", Outcome.RAN)
    assert effects.ExitProcess() not in entry.wait(1.0), "usage is not stored"
    for _ in range(3):
        flushes = [
            e for e in entry.all_effects if isinstance(e, effects.FlushUsage)
        ]
        sequence = flushes[-1].sequence
        flushed = events.UsageFlushed(now_s=entry.now_s, sequence=sequence)
        entry.feed(flushed)
        entry.wait(1.0)
    assert effects.ExitProcess() in entry.all_effects


def test_late_grant_is_returned() -> None:
    entry = make_entry()
    new_effects = entry.feed(
        events.PeerMessageReceived(
            now_s=entry.now_s,
            host="e2",
            message=grant_messages.Grant(
                request_id="gone", attempt=1, upstream="m1", priority=1
            ),
        )
    )
    sent = [e for e in new_effects if isinstance(e, effects.SendToPeer)]
    assert [e.host for e in sent] == ["e2"]
    assert isinstance(sent[0].message, grant_messages.GrantReleased)
    assert sent[0].message.outcome is Outcome.NOT_RUN


def test_request_under_which_upstreams_end_is_not_sent_to_further_ones() -> (
    None
):
    # Each repeat of a request that ends upstreams had up to four fresh ones.
    names = [f"a{number}" for number in range(12)]
    upstreams = {name: make_upstream(name, model="two") for name in names}
    entry = make_entry(attrs.evolve(CONFIGURATION, upstreams_by_name=upstreams))
    starts = 0
    for number in range(8):
        request_id = f"r{number}"
        new_effects = entry.arrive(request_id, model="two", body_sha256="equal")
        while started(new_effects):
            starts += 1
            entry.now_s += 0.1
            new_effects = entry.end(request_id, Outcome.UNKNOWN)
        entry.wait(5.0)
    # Three show it; as many may be on the way to other entries.
    assert starts <= 6
