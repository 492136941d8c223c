"""Test what a host does with requests when upstreams name limits."""

import math

import attrs

from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from shallotfold._gateway.deciding.limit_shares import SETTLING_S
from shallotfold._gateway.deciding.upstream_limits import MAX_RETURN_S
from tests.gateway.factories import DispatcherHarness
from tests.gateway.factories import make_route
from tests.gateway.factories import make_upstream

CALL = make_route(timeout_s=10.0, max_attempts=3)
STREAM = make_route(RouteKind.STREAM, resumable=True, timeout_s=10.0)


def settled(*names: str) -> DispatcherHarness:
    """Return a host that has run for a while before these upstreams."""
    harness = DispatcherHarness(*(make_upstream(name) for name in names))
    tick(harness)
    harness.now_s += SETTLING_S + 0.1
    tick(harness)
    return harness


def tick(harness: DispatcherHarness) -> None:
    harness.feed(events.TimePassed(now_s=harness.now_s))


def name_limit(
    harness: DispatcherHarness, upstream: str, rate: float = 1.0
) -> list[effects.Effect]:
    return harness.feed(
        events.LimitStated(
            now_s=harness.now_s,
            upstream=make_upstream(upstream),
            rate=rate,
            sent_s=harness.now_s,
        )
    )


def sent_upstreams(found: list[effects.Effect]) -> list[str]:
    return [
        e.upstream.upstream_id
        for e in found
        if isinstance(e, effects.SendAttempt)
    ]


def test_callers_are_served_by_upstreams_without_a_limit() -> None:
    harness = settled("u0", "u1")
    name_limit(harness, "u0", 0.001)
    for number in range(1, 9):
        assert sent_upstreams(harness.arrive(number, CALL)) == ["u1"]


def test_retry_counts_against_the_limit_like_a_first_attempt() -> None:
    harness = settled("u0", "u1")
    name_limit(harness, "u0", 0.001)
    harness.arrive(1, CALL)
    retry = harness.feed(events.AttemptRejected(now_s=harness.now_s, request=1))
    assert not sent_upstreams(retry)


def test_resumed_stream_counts_against_the_limit() -> None:
    harness = settled("u0", "u1")
    name_limit(harness, "u0", 0.001)
    harness.arrive(1, STREAM)
    resumed = harness.feed(
        events.AttemptBroken(
            now_s=harness.now_s, request=1, response_started=True
        )
    )
    assert not sent_upstreams(resumed)


def test_refused_callers_return_one_after_the_other() -> None:
    """Callers that were told the same time came back to one free place."""
    harness = settled("u0", "u1")
    name_limit(harness, "u0", 1.0)
    name_limit(harness, "u1", 1.0)
    delays_s = []
    for number in range(1, 30):
        (refusal,) = harness.arrive(number, CALL)
        assert isinstance(refusal, effects.Refuse)
        assert "limits" in refusal.reason
        delays_s.append(refusal.retry_after_s)
    assert delays_s[:8] == sorted(delays_s[:8])
    # Together they take two requests a second.
    assert 0.5 <= delays_s[0] <= 1.0
    assert 2.0 <= delays_s[3] - delays_s[0] + 1.0 <= 3.0
    assert max(delays_s) <= 1.5 * MAX_RETURN_S


def test_host_that_has_just_started_tells_callers_when_it_has_a_share() -> None:
    harness = DispatcherHarness(make_upstream("u0"))
    tick(harness)
    name_limit(harness, "u0", 5.0)
    (refusal,) = harness.arrive(1, CALL)
    assert isinstance(refusal, effects.Refuse)
    assert SETTLING_S <= refusal.retry_after_s <= SETTLING_S + 1.0


def test_rejection_at_the_limit_is_no_failure_of_the_upstream() -> None:
    harness = settled("u0")
    name_limit(harness, "u0", 5.0)
    harness.now_s += 0.3
    assert sent_upstreams(harness.arrive(1, CALL)) == ["u0"]
    harness.feed(events.AttemptRejected(now_s=harness.now_s, request=1))
    health = harness.dispatcher.placement.health
    assert health.failure_ratio("u0", harness.now_s) == 0.0


def test_limit_that_ends_is_told_to_peers_and_no_longer_holds() -> None:
    harness = settled("u0")
    assert effects.AnnounceLimits() in name_limit(harness, "u0", 0.001)
    assert not sent_upstreams(harness.arrive(1, CALL))
    assert name_limit(harness, "u0", 0.001) == []
    harness.now_s += 0.1
    assert effects.AnnounceLimits() in name_limit(harness, "u0", math.inf)
    for number in range(2, 6):
        assert sent_upstreams(harness.arrive(number, CALL)) == ["u0"]


def test_limit_of_a_peer_holds_without_being_told_here() -> None:
    harness = settled("u0")
    name_limit(harness, "u0", 0.001)
    (statement,) = harness.dispatcher.placement.limits.own_statements()
    other = settled("u0")
    (logged,) = other.feed(
        events.PeerLimitsReceived(
            now_s=other.now_s, peer="host1", statements=[statement]
        )
    )
    assert isinstance(logged, effects.LogLimitChange)
    assert logged.change.peer == "host1"
    assert not sent_upstreams(other.arrive(1, CALL))


def test_upstream_that_started_again_gets_requests() -> None:
    harness = settled("u0")
    name_limit(harness, "u0", 0.001)
    harness.change_upstreams(attrs.evolve(make_upstream("u0"), started_ms=9))
    assert sent_upstreams(harness.arrive(1, CALL)) == ["u0"]
