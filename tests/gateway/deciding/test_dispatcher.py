"""Check where requests go, when they are retried and how they end."""

import hypothesis
from hypothesis import strategies
import pytest

from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from shallotfold._model.events import Event
from tests.gateway.factories import DispatcherHarness
from tests.gateway.factories import make_prompt
from tests.gateway.factories import make_route
from tests.gateway.factories import make_upstream

A = make_upstream("a")
B = make_upstream("b")
ONCE = make_route(RouteKind.ONCE, max_attempts=2)
STREAM = make_route(RouteKind.STREAM, max_attempts=2)
RESUMABLE = make_route(RouteKind.STREAM, max_attempts=2, resumable=True)


def test_a_request_without_an_upstream_is_refused_at_once() -> None:
    (refusal,) = DispatcherHarness().arrive()
    assert isinstance(refusal, effects.Refuse)
    assert 0.25 <= refusal.retry_after_s <= 1.0


def test_draining_upstream_gets_no_requests() -> None:
    harness = DispatcherHarness(make_upstream("a", draining=True))
    (refusal,) = harness.arrive()
    assert isinstance(refusal, effects.Refuse)


def test_the_attempt_gets_the_smaller_of_deadline_and_time_out() -> None:
    harness = DispatcherHarness(A)
    (send,) = harness.arrive(deadline_s=2.0)
    assert isinstance(send, effects.SendAttempt)
    assert 1.9 <= send.allowed_s <= 2.0
    (send,) = harness.arrive(2, make_route(timeout_s=0.5), deadline_s=2.0)
    assert isinstance(send, effects.SendAttempt)
    assert 0.4 <= send.allowed_s <= 0.5


def test_request_without_a_response_fails_at_its_timeout() -> None:
    harness = DispatcherHarness(A)
    harness.arrive(route=make_route(RouteKind.ONCE, timeout_s=0.8))
    assert not harness.advance(0.75)
    cancel, fail = harness.advance(0.1)
    assert isinstance(cancel, effects.CancelAttempt)
    assert isinstance(fail, effects.Fail)
    assert fail.timed_out


@pytest.mark.parametrize("route", [ONCE, STREAM])
def test_non_repeatable_request_is_not_retried_after_a_broken_attempt(
    route: Route,
) -> None:
    harness = DispatcherHarness(A, B)
    harness.arrive(route=route)
    (fail,) = harness.feed(
        events.AttemptBroken(
            now_s=harness.now_s, request=1, response_started=False
        )
    )
    assert isinstance(fail, effects.Fail)
    assert not fail.timed_out


@pytest.mark.parametrize("route", [make_route(), RESUMABLE])
def test_a_repeatable_request_is_retried_at_another_upstream(
    route: Route,
) -> None:
    harness = DispatcherHarness(A, B)
    harness.arrive(route=route)
    first = harness.sent_upstream_id()
    harness.feed(
        events.AttemptBroken(
            now_s=harness.now_s, request=1, response_started=True
        )
    )
    assert harness.sent_upstream_id() != first


def test_request_that_did_not_run_is_refused_when_no_attempt_is_left() -> None:
    harness = DispatcherHarness(A, B)
    harness.arrive(route=make_route(RouteKind.ONCE, max_attempts=1))
    (refusal,) = harness.feed(
        events.AttemptRejected(now_s=harness.now_s, request=1)
    )
    assert isinstance(refusal, effects.Refuse)


def test_request_that_may_have_run_is_not_reported_as_not_run() -> None:
    harness = DispatcherHarness(A, B)
    harness.arrive()
    harness.feed(
        events.AttemptBroken(
            now_s=harness.now_s, request=1, response_started=False
        )
    )
    (fail,) = harness.feed(
        events.AttemptRejected(now_s=harness.now_s, request=1)
    )
    assert isinstance(fail, effects.Fail)


def test_a_failed_connection_does_not_count_as_an_attempt() -> None:
    harness = DispatcherHarness(A, B)
    harness.arrive(route=make_route(RouteKind.ONCE, max_attempts=1))
    first = harness.sent_upstream_id()
    harness.feed(events.AttemptUnsent(now_s=harness.now_s, request=1))
    assert harness.sent_upstream_id() != first


def test_an_error_response_is_retried_and_otherwise_forwarded() -> None:
    harness = DispatcherHarness(A, B)
    harness.arrive()
    harness.feed(events.AttemptFailed(now_s=harness.now_s, request=1))
    harness.sent_upstream_id()
    (delivered,) = harness.feed(
        events.AttemptFailed(now_s=harness.now_s, request=1)
    )
    assert isinstance(delivered, effects.DeliverFailure)


def test_retries_stop_when_the_budget_is_spent() -> None:
    harness = DispatcherHarness(A, B, extra=0.0)
    harness.arrive()
    (fail,) = harness.feed(
        events.AttemptBroken(
            now_s=harness.now_s, request=1, response_started=False
        )
    )
    assert isinstance(fail, effects.Fail)


def test_retry_that_finds_no_upstream_spends_no_budget() -> None:
    """In an outage the budget would be used up before any serves again."""
    harness = DispatcherHarness(A, extra=1.0 / 0.7)
    harness.arrive(1)
    (fail,) = harness.feed(
        events.AttemptBroken(
            now_s=harness.now_s, request=1, response_started=False
        )
    )
    assert isinstance(fail, effects.Fail)
    harness.change_upstreams(A, B)
    harness.arrive(2)
    (send,) = harness.feed(
        events.AttemptBroken(
            now_s=harness.now_s, request=2, response_started=False
        )
    )
    assert isinstance(send, effects.SendAttempt)


def test_a_silent_repeatable_attempt_switches_upstreams_in_time() -> None:
    harness = DispatcherHarness(A, B)
    harness.arrive(route=make_route(target_s=0.2))
    first = harness.sent_upstream_id()
    assert not harness.advance(0.3)
    cancel, send = harness.advance(0.2)
    assert isinstance(cancel, effects.CancelAttempt)
    assert isinstance(send, effects.SendAttempt)
    assert send.upstream.upstream_id != first


def test_silent_non_repeatable_attempt_is_not_abandoned() -> None:
    harness = DispatcherHarness(A, B)
    harness.arrive(route=ONCE)
    assert not harness.advance(2.0)


def test_caller_disconnect_cancels_the_attempt_and_ends_the_request() -> None:
    harness = DispatcherHarness(A)
    harness.arrive()
    (cancel,) = harness.feed(
        events.CallerDisconnected(now_s=harness.now_s, request=1)
    )
    assert isinstance(cancel, effects.CancelAttempt)
    assert harness.dispatcher.open_requests == 0


def test_running_request_outlives_the_registration_of_its_upstream() -> None:
    """An upstream that only reported late had its work started elsewhere."""
    harness = DispatcherHarness(A, B)
    harness.arrive(route=RESUMABLE)
    running_at = harness.sent_upstream_id()
    other = B if running_at == "a" else A
    assert not harness.feed(
        events.AttemptProgressed(now_s=harness.now_s, request=1)
    )
    harness.change_upstreams(other)
    assert not harness.effects
    assert not harness.advance(0.5)
    assert not harness.feed(
        events.AttemptSucceeded(now_s=harness.now_s, request=1)
    )
    assert harness.dispatcher.open_requests == 0


def test_upstream_replaced_at_its_address_gets_no_further_requests() -> None:
    harness = DispatcherHarness(A, B)
    harness.arrive()
    first = harness.sent_upstream_id()
    harness.feed(
        events.AttemptRejected(
            now_s=harness.now_s, request=1, wrong_upstream=True
        )
    )
    for request in range(2, 6):
        harness.arrive(request)
        assert harness.sent_upstream_id() != first


class TestSharedPrefixes:
    """Many requests share few long prefixes."""

    def test_all_hosts_send_a_prefix_to_the_same_upstream(self) -> None:
        upstreams = [make_upstream(name) for name in "abcdef"]
        chosen = set()
        for host in range(4):
            harness = DispatcherHarness(*upstreams)
            harness.arrive(host, prompt=make_prompt("site-7"))
            chosen.add(harness.sent_upstream_id())
        assert len(chosen) == 1

    def test_a_hot_prefix_spreads_when_its_upstream_is_overloaded(self) -> None:
        upstreams = [make_upstream(name, slots=64) for name in "abcd"]
        harness = DispatcherHarness(*upstreams)
        chosen = []
        for request in range(200):
            harness.arrive(request, prompt=make_prompt("site-7"))
            chosen.append(harness.sent_upstream_id())
        assert set(chosen) == set("abcd")
        # Hardly any request waits while other engines have free slots.
        assert max(chosen.count(name) for name in "abcd") <= 64 * 1.1


OUTCOMES = strategies.sampled_from(
    [
        "unsent",
        "rejected",
        "replaced",
        "progressed",
        "broken",
        "failed",
        "succeeded",
        "disconnected",
        "wait",
    ]
)


@hypothesis.given(
    steps=strategies.lists(OUTCOMES, max_size=12),
    route=strategies.sampled_from([ONCE, STREAM, RESUMABLE, make_route()]),
)
def test_promises_hold_whatever_upstreams_do(
    steps: list[str], route: Route
) -> None:
    """Attempts are bounded, refused requests never ran, each ends once."""
    harness = DispatcherHarness(A, B, make_upstream("c"))
    all_effects = list(harness.arrive(route=route))
    may_have_run = False
    runs = 0
    for step in steps:
        if harness.dispatcher.open_requests == 0:
            break
        if step == "wait":
            new_effects = harness.advance(0.9)
        else:
            new_effects = harness.feed(_event(step, harness.now_s))
        if step in ("broken", "failed"):
            runs += 1
        # A cancelled attempt without a response may have run as well.
        may_have_run = may_have_run or runs > 0
        may_have_run = may_have_run or any(
            isinstance(e, effects.CancelAttempt) for e in new_effects
        )
        assert not may_have_run or not any(
            isinstance(e, effects.Refuse) for e in new_effects
        )
        all_effects += new_effects
    finals = [
        e
        for e in all_effects
        if isinstance(e, effects.Refuse | effects.Fail | effects.DeliverFailure)
    ]
    assert len(finals) <= 1
    numbers = [
        e.number for e in all_effects if isinstance(e, effects.SendAttempt)
    ]
    assert max(numbers, default=0) <= route.max_attempts
    if not route.repeatable:
        assert runs <= 1


def _event(step: str, now_s: float) -> Event:
    if step == "broken":
        return events.AttemptBroken(
            now_s=now_s, request=1, response_started=False
        )
    if step == "replaced":
        return events.AttemptRejected(
            now_s=now_s, request=1, wrong_upstream=True
        )
    kinds: dict[str, type[events.AttemptEvent]] = {
        "unsent": events.AttemptUnsent,
        "rejected": events.AttemptRejected,
        "progressed": events.AttemptProgressed,
        "failed": events.AttemptFailed,
        "succeeded": events.AttemptSucceeded,
        "disconnected": events.CallerDisconnected,
    }
    return kinds[step](now_s=now_s, request=1)


def request_pause(
    harness: DispatcherHarness, upstream: str, pause_s: float
) -> None:
    harness.feed(
        events.PauseRequested(
            now_s=harness.now_s, upstream=upstream, pause_s=pause_s
        )
    )


def test_pause_holds_while_the_upstream_is_not_registered() -> None:
    """A registration that lapsed and came back ended the pause."""
    harness = DispatcherHarness(A)
    request_pause(harness, "a", 3.0)
    harness.change_upstreams(B)
    harness.change_upstreams(A)
    (refusal,) = harness.arrive()
    assert isinstance(refusal, effects.Refuse)
    assert 3.0 <= refusal.retry_after_s <= 4.5
    harness.advance(3.1)
    harness.arrive(2)
    assert harness.sent_upstream_id() == "a"


def test_shorter_pause_does_not_end_a_longer_one() -> None:
    harness = DispatcherHarness(A)
    request_pause(harness, "a", 3.0)
    request_pause(harness, "a", 0.5)
    harness.advance(1.0)
    (refusal,) = harness.arrive()
    assert isinstance(refusal, effects.Refuse)


def test_pause_is_no_failure() -> None:
    """An upstream that asked for a pause was avoided long after it."""
    harness = DispatcherHarness(A, B)
    harness.arrive()
    paused = harness.sent_upstream_id()
    request_pause(harness, paused, 0.5)
    harness.feed(events.AttemptRejected(now_s=harness.now_s, request=1))
    assert harness.sent_upstream_id() != paused
    health = harness.dispatcher.placement.health
    assert health.failure_ratio(paused, harness.now_s) == 0.0
