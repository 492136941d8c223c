"""Test which upstreams count as cold, and what a host sends to them."""

import attrs
import pytest

from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from shallotfold._gateway.deciding.cold_upstreams import MEMORY_S
from shallotfold._gateway.deciding.cold_upstreams import ColdUpstreams
from shallotfold._gateway.deciding.limit_shares import SETTLING_S
from tests.gateway.factories import SERVICE
from tests.gateway.factories import DispatcherHarness
from tests.gateway.factories import make_route
from tests.gateway.factories import make_upstream
from tests.gateway.limited_engines import most_in_window

CALL = make_route(timeout_s=10.0, max_attempts=3)
LIMITED = {SERVICE: Service(name=SERVICE, cold_rate_per_s=4.0, cold_start_s=3)}


def registered(
    remaining_s: float,
    *,
    upstream: str = "u0",
    sequence: int = 1,
    started_ms: int = 1000,
) -> Upstream:
    return attrs.evolve(
        make_upstream(upstream),
        cold_remaining_s=remaining_s,
        sequence=sequence,
        started_ms=started_ms,
    )


class Tracker:
    """Cold upstreams of a limited service, and a clock."""

    def __init__(self) -> None:
        self.cold = ColdUpstreams()
        self.cold.set_services(LIMITED, 0.0)
        self.now_s = 0.0

    def register(self, *upstreams: Upstream) -> None:
        self.cold.record_registrations(
            {u.upstream_id: u for u in upstreams}, self.now_s, "store"
        )

    def is_cold_after(self, seconds: float) -> bool:
        self.now_s += seconds
        self.cold.update(self.now_s)
        return self.cold.is_cold("u0")


def test_upstream_is_cold_until_the_named_time_is_over() -> None:
    tracker = Tracker()
    tracker.register(registered(3.0))
    assert tracker.is_cold_after(2.9)
    assert not tracker.is_cold_after(0.2)


def test_newer_registration_replaces_the_time() -> None:
    tracker = Tracker()
    tracker.register(registered(3.0))
    tracker.now_s = 1.0
    tracker.register(registered(0.5, sequence=2))
    assert tracker.is_cold_after(0.4)
    assert not tracker.is_cold_after(0.2)


def test_repeat_of_an_old_registration_does_not_prolong() -> None:
    """Each change of another upstream began the cold start again."""
    tracker = Tracker()
    tracker.register(registered(3.0))
    tracker.now_s = 1.2
    tracker.register(registered(1.8, sequence=2))
    tracker.now_s = 2.0
    tracker.register(registered(1.8, sequence=2))
    tracker.register(registered(3.0, sequence=1))
    assert not tracker.is_cold_after(1.1)
    tracker.register(registered(1.8, sequence=2))
    tracker.register(registered(3.0, sequence=1))
    assert not tracker.is_cold_after(0.0)


def test_repeat_of_an_old_registration_does_not_end_a_cold_start() -> None:
    """A backup of the store brought a warm registration back."""
    tracker = Tracker()
    tracker.register(registered(0.0, sequence=5))
    tracker.register(registered(3.0, sequence=8))
    tracker.register(registered(0.0, sequence=5))
    assert tracker.is_cold_after(2.0)


def test_upstream_becomes_cold_again_while_it_is_cold() -> None:
    """The same remaining time in a newer registration is a new cold start."""
    tracker = Tracker()
    tracker.register(registered(3.0))
    tracker.now_s = 1.0
    tracker.register(registered(3.0, sequence=2))
    assert tracker.is_cold_after(2.5)
    assert not tracker.is_cold_after(0.6)


def test_new_start_begins_the_cold_start_anew() -> None:
    tracker = Tracker()
    tracker.register(registered(0.2, sequence=9))
    assert not tracker.is_cold_after(1.0)
    tracker.register(registered(3.0, sequence=1, started_ms=2000))
    assert tracker.is_cold_after(2.9)
    tracker.register(registered(0.0, sequence=9))
    assert tracker.cold.is_cold("u0")


def test_registration_that_lapsed_and_returned_does_not_prolong() -> None:
    tracker = Tracker()
    tracker.register(registered(3.0))
    tracker.register()
    tracker.now_s = MEMORY_S / 2
    tracker.register(registered(3.0))
    assert not tracker.is_cold_after(0.0)


@pytest.mark.parametrize(
    "service",
    [
        Service(name=SERVICE),
        Service(name=SERVICE, cold_rate_per_s=4.0),
        Service(name=SERVICE, cold_start_s=3.0),
    ],
)
def test_service_without_both_fields_has_no_cold_upstreams(
    service: Service,
) -> None:
    """Registrations say that upstreams are cold in every deployment."""
    harness = DispatcherHarness(registered(3.0))
    harness.feed(
        events.ServicesChanged(
            now_s=harness.now_s, services_by_name={SERVICE: service}
        )
    )
    for number in range(1, 20):
        assert sent_upstreams(harness.arrive(number, CALL)) == ["u0"]
    assert not harness.dispatcher.placement.limits.any_limited


def settled(*upstreams: Upstream) -> DispatcherHarness:
    """Return a host that has run for a while before these upstreams."""
    harness = DispatcherHarness()
    harness.advance(0.1)
    harness.advance(SETTLING_S + 0.1)
    harness.feed(
        events.ServicesChanged(now_s=harness.now_s, services_by_name=LIMITED)
    )
    harness.change_upstreams(*upstreams)
    return harness


def sent_upstreams(found: list[effects.Effect]) -> list[str]:
    return [
        e.upstream.upstream_id
        for e in found
        if isinstance(e, effects.SendAttempt)
    ]


def test_configuration_may_come_after_the_registrations() -> None:
    harness = DispatcherHarness(registered(3.0))
    harness.advance(0.1)
    found = harness.feed(
        events.ServicesChanged(now_s=harness.now_s, services_by_name=LIMITED)
    )
    (logged,) = found
    assert isinstance(logged, effects.LogColdChange)
    assert logged.change.source == "configuration"
    assert logged.change.remaining_s == pytest.approx(2.9)
    assert not sent_upstreams(harness.arrive(1, CALL))


def test_warm_upstreams_get_requests_first() -> None:
    """40 requests at once while one of two upstreams is cold."""
    harness = settled(registered(3.0), make_upstream("u1", slots=40))
    harness.advance(0.6)
    for number in range(1, 41):
        assert sent_upstreams(harness.arrive(number, CALL)) == ["u1"]


def test_cold_upstream_gets_requests_while_the_warm_one_is_full() -> None:
    harness = settled(registered(3.0), make_upstream("u1", slots=2))
    harness.advance(0.6)
    sent = [
        name
        for number in range(1, 20)
        for name in sent_upstreams(harness.arrive(number, CALL))
    ]
    assert sent.count("u1") == 5
    assert sent.count("u0") in {1, 2}


def test_share_is_served_and_others_return_spread_while_all_are_cold() -> None:
    """20 requests a second for two upstreams that take 4 each."""
    harness = settled(registered(30.0), registered(30.0, upstream="u1"))
    served = 0
    returns_s = []
    for number in range(1, 201):
        harness.advance(0.05)
        for effect in harness.arrive(number, CALL):
            if isinstance(effect, effects.Refuse):
                assert "cold" in effect.reason
                returns_s.append(harness.now_s + effect.retry_after_s)
            else:
                assert isinstance(effect, effects.SendAttempt)
                served += 1
                harness.feed(
                    events.AttemptSucceeded(now_s=harness.now_s, request=number)
                )
    assert 70 <= served <= 85
    assert most_in_window(returns_s, 1.0) <= 16
    assert returns_s == sorted(returns_s)


def test_lower_of_named_and_cold_limit_holds() -> None:
    harness = settled(registered(30.0))
    harness.feed(
        events.LimitStated(
            now_s=harness.now_s,
            upstream=registered(30.0),
            rate=0.001,
            sent_s=harness.now_s,
        )
    )
    harness.advance(0.6)
    assert not sent_upstreams(harness.arrive(1, CALL))


def test_named_limit_holds_after_the_cold_start() -> None:
    harness = settled(registered(1.0))
    harness.feed(
        events.LimitStated(
            now_s=harness.now_s,
            upstream=registered(1.0),
            rate=0.001,
            sent_s=harness.now_s,
        )
    )
    (ended,) = harness.advance(1.5)
    assert isinstance(ended, effects.LogColdChange)
    assert ended.change.remaining_s == 0.0
    assert not sent_upstreams(harness.arrive(1, CALL))


def test_all_requests_are_served_after_the_cold_start() -> None:
    harness = settled(registered(1.0))
    harness.advance(1.1)
    for number in range(1, 9):
        assert sent_upstreams(harness.arrive(number, CALL)) == ["u0"]
