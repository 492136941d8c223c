"""A slow upstream got as many requests as fast ones, or none ever again.

Upstreams of one service differ in speed, change it within a second, and slow
down before they are full. Hosts have few samples of their own.
"""

import itertools
import math
import random

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding.upstream_speeds import FORGET_AFTER_S
from shallotfold._gateway.deciding.upstream_speeds import MAX_ANNOUNCED_SAMPLES
from shallotfold._gateway.deciding.upstream_speeds import MAX_TIME_FACTOR
from shallotfold._gateway.deciding.upstream_speeds import SpeedSample
from shallotfold._gateway.deciding.upstream_speeds import UpstreamSpeeds
from tests.gateway.factories import SERVICE
from tests.gateway.factories import make_upstream

# Within this time after a change, factor and limit are near their new values.
CONVERGENCE_S = 10.0
SLOTS = 8
ABSURD = [math.nan, math.inf, -math.inf, 0.0, -1.0, 1e300, 1e-300, 0.3, 9.0]


def make_started(upstream_id: str, started_ms: int = 7) -> Upstream:
    upstream = make_upstream(upstream_id, slots=SLOTS)
    return attrs.evolve(upstream, started_ms=started_ms)


UPSTREAMS = [make_started(f"u{number}") for number in range(3)]
BY_ID = {upstream.upstream_id: upstream for upstream in UPSTREAMS}


def make_speeds() -> UpstreamSpeeds:
    speeds = UpstreamSpeeds()
    speeds.record_reported(UPSTREAMS[0], 100, -100.0)
    return speeds


def record_evenly(
    speeds: UpstreamSpeeds,
    times_s: list[float],
    seconds: float,
    now_s: float,
    running: int = 2,
) -> float:
    """Record 10 responses a second of each upstream; return the end."""
    for _ in range(round(seconds * 10)):
        now_s += 0.1
        for upstream, time_s in zip(UPSTREAMS, times_s, strict=True):
            speeds.record_time(upstream, time_s, running, now_s)
    return now_s


@pytest.mark.parametrize("factors", [[1.0, 1.0, 1.3], [0.7, 0.7, 1.7]])
def test_factors_follow_different_speeds_and_their_change(
    factors: list[float],
) -> None:
    speeds = make_speeds()
    now_s = 0.0
    for times_s in (factors, factors[::-1]):
        now_s = record_evenly(speeds, times_s, CONVERGENCE_S, now_s)
        found = [speeds.time_factor(u, now_s) for u in UPSTREAMS]
        for (a, b), (x, y) in itertools.pairwise(
            zip(found, times_s, strict=True)
        ):
            assert a / x == pytest.approx(b / y, rel=0.15)


def test_no_upstream_is_slow_when_all_slow_down_alike() -> None:
    speeds = make_speeds()
    now_s = record_evenly(speeds, [0.1] * 3, 10.0, 0.0)
    now_s = record_evenly(speeds, [0.3] * 3, 20.0, now_s)
    for upstream in UPSTREAMS:
        assert speeds.time_factor(upstream, now_s) < 1.3
        assert speeds.limit(upstream, now_s) == SLOTS


def test_upstream_that_was_slow_once_is_tried_again() -> None:
    """An upstream that gets no requests can't show that it is fast again."""
    speeds = make_speeds()
    now_s = record_evenly(speeds, [0.1, 0.1, 0.4], 10.0, 0.0)
    slow = UPSTREAMS[2]
    factors = [
        speeds.time_factor(slow, now_s + s) for s in (0.0, 2.0, 4.0, 8.0)
    ]
    assert factors[0] > 1.8
    assert factors == sorted(factors, reverse=True)
    later_s = now_s + FORGET_AFTER_S + 0.1
    assert speeds.time_factor(slow, later_s) == 1.0
    assert speeds.limit(slow, later_s) == SLOTS


def test_estimates_are_forgotten_at_a_new_start() -> None:
    speeds = make_speeds()
    now_s = record_evenly(speeds, [0.1, 0.1, 0.4], 10.0, 0.0)
    restarted = make_started("u2", started_ms=8)
    assert speeds.time_factor(restarted, now_s) == 1.0
    assert speeds.limit(restarted, now_s) == SLOTS
    speeds.keep_only({"u2": restarted})
    assert speeds.time_factor(UPSTREAMS[2], now_s) == 1.0


def test_services_without_percentages_have_no_estimates() -> None:
    speeds = UpstreamSpeeds()
    now_s = record_evenly(speeds, [0.1, 0.1, 0.4], 10.0, 0.0)
    speeds.record_peer_samples([SpeedSample("u0", 7, 1.0, 2)], BY_ID, now_s)
    assert not speeds.covers(SERVICE)
    assert [speeds.time_factor(u, now_s) for u in UPSTREAMS] == [1.0] * 3
    assert speeds.take_unannounced() == []


class TestReports:
    """Percentages change many times a second; some are wrong."""

    def test_new_report_counts_at_once_and_is_soon_worth_nothing(self) -> None:
        speeds = make_speeds()
        speeds.record_reported(UPSTREAMS[1], 250, 0.0)
        fresh = speeds.time_factor(UPSTREAMS[1], 0.0)
        assert 1.4 < fresh < 2.5
        assert speeds.time_factor(UPSTREAMS[1], 0.3) < fresh
        assert speeds.time_factor(UPSTREAMS[1], 0.7) == 1.0

    @pytest.mark.parametrize("is_right", [True, False])
    def test_reports_count_as_far_as_times_confirm_them(
        self, is_right: bool
    ) -> None:
        speeds = make_speeds()
        rng = random.Random(1)
        now_s = 0.0
        for _ in range(300):
            now_s += 0.1
            for upstream in UPSTREAMS:
                percent = rng.choice([100, 100, 250])
                speeds.record_reported(upstream, percent, now_s)
                if not is_right:
                    percent = rng.choice([100, 100, 250])
                speeds.record_time(upstream, percent / 1000, 2, now_s)
        speeds.record_reported(UPSTREAMS[0], 100, now_s)
        usual = speeds.time_factor(UPSTREAMS[0], now_s)
        speeds.record_reported(UPSTREAMS[0], 250, now_s)
        ratio = speeds.time_factor(UPSTREAMS[0], now_s) / usual
        if is_right:
            assert ratio > 1.8
        else:
            assert ratio < 1.3

    def test_constant_wrong_report_changes_little(self) -> None:
        speeds = make_speeds()
        now_s = 0.0
        for _ in range(100):
            now_s += 0.1
            speeds.record_reported(UPSTREAMS[0], 400, now_s)
            for upstream in UPSTREAMS:
                speeds.record_time(upstream, 0.1, 2, now_s)
        factor = speeds.time_factor(UPSTREAMS[0], now_s)
        assert factor == pytest.approx(1.0, abs=0.2)


class TestLimit:
    """Some upstreams slow down long before they are full."""

    def test_limit_converges_to_where_work_takes_twice_as_long(self) -> None:
        speeds = make_speeds()
        now_s = 0.0
        rng = random.Random(2)
        while now_s < 2 * CONVERGENCE_S:
            now_s += 0.1
            for number, upstream in enumerate(UPSTREAMS):
                running = rng.randint(1, SLOTS)
                # Of the first, times double with each 4 requests.
                slope = math.log(2.0) / 4 if number == 0 else 0.0
                time_s = 0.1 * math.exp(slope * running)
                speeds.record_time(upstream, time_s, running, now_s)
            if now_s >= CONVERGENCE_S:
                assert 4 <= speeds.limit(UPSTREAMS[0], now_s) <= 6
                assert speeds.limit(UPSTREAMS[1], now_s) >= 7

    def test_upstream_that_is_slow_at_any_load_keeps_its_slots(self) -> None:
        speeds = make_speeds()
        now_s = 0.0
        rng = random.Random(3)
        for _ in range(100):
            now_s += 0.1
            for number, upstream in enumerate(UPSTREAMS):
                time_s = 0.1 * (2.0 if number == 0 else 1.0)
                speeds.record_time(
                    upstream, time_s, rng.randint(1, SLOTS), now_s
                )
        assert speeds.limit(UPSTREAMS[0], now_s) >= SLOTS - 1

    def test_unknown_slots_stay_unknown(self) -> None:
        speeds = make_speeds()
        upstream = make_upstream("u9", slots=0)
        speeds.record_reported(upstream, 200, 0.0)
        speeds.record_time(upstream, 0.2, 5, 0.0)
        assert speeds.limit(upstream, 0.0) == 0


class TestPeers:
    """At 59 hosts, one host has a sample of an engine every few seconds."""

    def test_peers_samples_count_like_own_ones(self) -> None:
        sender, receiver = make_speeds(), make_speeds()
        now_s = 0.0
        for _ in range(20):
            now_s = record_evenly(sender, [0.1, 0.1, 0.4], 0.5, now_s)
            receiver.record_peer_samples(
                sender.take_unannounced(), BY_ID, now_s
            )
        for upstream in UPSTREAMS:
            assert receiver.time_factor(upstream, now_s) == pytest.approx(
                sender.time_factor(upstream, now_s), rel=0.1
            )
        # They aren't passed on.
        assert receiver.take_unannounced() == []

    def test_newest_samples_come_first_and_once(self) -> None:
        speeds = make_speeds()
        for number in range(100):
            speeds.record_time(UPSTREAMS[0], 0.1, number, float(number))
        samples = speeds.take_unannounced()
        assert [s.running for s in samples] == list(
            range(99, 99 - MAX_ANNOUNCED_SAMPLES, -1)
        )
        assert speeds.take_unannounced() == []

    @pytest.mark.parametrize(
        ("upstream_id", "started_ms", "cold_s"),
        [("gone", 7, 0.0), ("u0", 6, 0.0), ("u0", 8, 0.0), ("u0", 7, 2.0)],
    )
    def test_samples_of_other_or_cold_incarnations_are_dropped(
        self, upstream_id: str, started_ms: int, cold_s: float
    ) -> None:
        speeds = make_speeds()
        upstream = attrs.evolve(UPSTREAMS[0], cold_remaining_s=cold_s)
        sample = SpeedSample(upstream_id, started_ms, 1.0, 2)
        speeds.record_peer_samples([sample] * 9, {"u0": upstream}, 1.0)
        assert speeds.time_factor(upstream, 1.0) == 1.0


def test_slow_upstreams_are_reported_once() -> None:
    """A factor at the threshold wrote a log line in each second."""
    speeds = make_speeds()
    now_s, changes = 0.0, []
    for step in range(60):
        slow_s = 0.19 + 0.06 * (step % 2) if step < 30 else 0.1
        now_s = record_evenly(speeds, [0.1, 0.1, slow_s], 1.0, now_s)
        changes += speeds.review(BY_ID, now_s)
        assert speeds.review(BY_ID, now_s) == []
    assert [(c.upstream, c.is_slow) for c in changes] == [
        ("u2", True),
        ("u2", False),
    ]
    assert speeds.slow_count == 0


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["time", "peer", "report"]),
            strategies.integers(0, 2),
            strategies.one_of(
                strategies.sampled_from(ABSURD),
                strategies.floats(0.001, 100.0),
            ),
            strategies.integers(0, 3 * SLOTS),
            strategies.floats(-1.0, 20.0),
        ),
        max_size=60,
    )
)
def test_bounds_hold_whatever_is_recorded(
    steps: list[tuple[str, int, float, int, float]],
) -> None:
    """A limit of 0 would shut an upstream out for good.

    Times of peers' samples and of own ones may go back a little.
    """
    speeds = make_speeds()
    now_s = 100.0
    for kind, number, value, running, passed_s in steps:
        now_s += passed_s
        upstream = UPSTREAMS[number]
        if kind == "time":
            speeds.record_time(upstream, value, running, now_s)
        elif kind == "report":
            speeds.record_reported(upstream, 1 + 40 * running, now_s)
        elif math.isfinite(value):
            sample = SpeedSample(upstream.upstream_id, 7, value, running)
            speeds.record_peer_samples([sample], BY_ID, now_s)
        for other in UPSTREAMS:
            factor = speeds.time_factor(other, now_s)
            assert abs(math.log(factor)) <= math.log(MAX_TIME_FACTOR) + 1e-9
            assert 1 <= speeds.limit(other, now_s) <= SLOTS
    # It returns to 1, and the limit to the slots, without samples.
    after_s = now_s + 20.0 + FORGET_AFTER_S
    for upstream in UPSTREAMS:
        assert speeds.time_factor(upstream, after_s) == 1.0
        assert speeds.limit(upstream, after_s) == SLOTS
