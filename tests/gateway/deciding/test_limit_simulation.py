"""Upstreams got more than the limit that they had named, in fleets of any size.

Hosts don't ask each other before a request, so their shares have to add up to
the limit while callers move, and while hosts start, end, freeze or are cut off.
"""

import functools

import pytest

from tests.gateway.deciding.limit_simulation import LimitSimulation

CONTACT_S = 1.5
NAMED_S = 6.0
END_S = 26.0


def weight_if_in(busy: set[int], number: int) -> float:
    return float(number in busy)


def uneven(number: int) -> float:
    return 1.0 / (1 + number)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("rate", [0.0, 0.05, 0.4, 1.7, 6.0, 40.0])
@pytest.mark.parametrize("host_count", [1, 9, 64])
def test_sum_of_all_hosts_stays_below_the_limit(
    host_count: int, rate: float, seed: int
) -> None:
    simulation = LimitSimulation(
        seed=seed,
        host_count=host_count,
        upstream_count=4,
        requests_per_s=60.0,
        weight_of=uneven,
    )
    simulation.run(NAMED_S)
    simulation.name(rate)
    simulation.run(END_S)
    simulation.check(rate, NAMED_S + CONTACT_S)


def test_sum_stays_below_the_limit_in_a_large_fleet() -> None:
    simulation = LimitSimulation(
        seed=1, host_count=195, upstream_count=8, requests_per_s=300.0
    )
    simulation.run(NAMED_S)
    simulation.name(3.0)
    simulation.run(16.0)
    simulation.check(3.0, NAMED_S + CONTACT_S)


@pytest.mark.parametrize("host_count", [3, 9, 64])
def test_most_of_what_limited_upstreams_take_is_used(host_count: int) -> None:
    """Shares that are too small would refuse callers without need."""
    simulation = LimitSimulation(
        seed=7,
        host_count=host_count,
        upstream_count=4,
        requests_per_s=60.0,
        weight_of=uneven,
    )
    simulation.run(NAMED_S)
    simulation.name(3.0)
    simulation.run(10.0)
    sent_before = simulation.sent
    simulation.run(END_S)
    assert simulation.sent - sent_before >= 0.7 * 4 * 3.0 * 16.0


def test_upstreams_without_a_limit_serve_all_callers() -> None:
    simulation = LimitSimulation(
        seed=3, host_count=9, upstream_count=4, requests_per_s=60.0
    )
    simulation.run(NAMED_S)
    simulation.name(1.0, "u0", "u1", "u2")
    simulation.run(END_S)
    simulation.check(1.0, NAMED_S + CONTACT_S)
    assert not simulation.refused


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("rate", [0.5, 2.0])
def test_limit_holds_while_callers_move(rate: float, seed: int) -> None:
    simulation = LimitSimulation(
        seed=seed, host_count=9, upstream_count=4, requests_per_s=60.0
    )
    simulation.run(NAMED_S)
    simulation.name(rate)
    for step in range(10):
        simulation.run(NAMED_S + 2.0 * (step + 1))
        busy = {step % 9, (step * 4 + 1) % 9}
        simulation.set_weights(functools.partial(weight_if_in, busy))
    simulation.check(rate, NAMED_S + CONTACT_S)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("rate", [0.5, 2.0])
def test_limit_holds_while_hosts_start_again_in_turn(
    rate: float, seed: int
) -> None:
    simulation = LimitSimulation(
        seed=seed, host_count=9, upstream_count=4, requests_per_s=60.0
    )
    simulation.run(NAMED_S)
    simulation.name(rate)
    for number in range(9):
        simulation.run(NAMED_S + 2.0 * (number + 1))
        simulation.kill_host(number)
        simulation.run(simulation.now_s + 0.5)
        simulation.start_host(number)
    simulation.run(END_S)
    simulation.check(rate, NAMED_S + CONTACT_S)


@pytest.mark.parametrize("seed", range(4))
def test_limit_holds_while_hosts_freeze_and_wake(seed: int) -> None:
    simulation = LimitSimulation(
        seed=seed, host_count=6, upstream_count=4, requests_per_s=60.0
    )
    simulation.run(NAMED_S)
    simulation.name(1.5)
    for number in range(6):
        simulation.run(NAMED_S + 2.5 * (number + 1))
        simulation.freeze_host(number, 2.0)
        simulation.freeze_host((number + 1) % 6, 2.0)
    simulation.run(END_S)
    simulation.check(1.5, NAMED_S + CONTACT_S)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("cut_off", [(0,), (0, 1, 2, 3), (0, 1, 2, 3, 4, 5)])
def test_limit_holds_while_hosts_are_cut_off_from_each_other(
    cut_off: tuple[int, ...], seed: int
) -> None:
    simulation = LimitSimulation(
        seed=seed, host_count=9, upstream_count=4, requests_per_s=60.0
    )
    simulation.run(NAMED_S)
    simulation.name(1.5)
    simulation.run(10.0)
    simulation.cut_off(*cut_off)
    simulation.run(20.0)
    simulation.cut_off()
    simulation.run(END_S)
    simulation.check(1.5, NAMED_S + CONTACT_S)


def test_all_hosts_start_again_at_once() -> None:
    simulation = LimitSimulation(
        seed=1, host_count=9, upstream_count=4, requests_per_s=60.0
    )
    simulation.run(NAMED_S)
    simulation.name(1.5)
    simulation.run(10.0)
    for number in range(9):
        simulation.kill_host(number)
    simulation.run(11.0)
    for number in range(9):
        simulation.start_host(number)
    simulation.run(END_S)
    simulation.check(1.5, 11.0 + CONTACT_S)


def test_end_of_a_limit_reaches_all_hosts() -> None:
    simulation = LimitSimulation(
        seed=1, host_count=9, upstream_count=4, requests_per_s=60.0
    )
    simulation.run(NAMED_S)
    simulation.name(0.5)
    simulation.run(12.0)
    simulation.rates = {}
    simulation.run(18.0)
    refused = simulation.refused
    simulation.run(20.0)
    assert simulation.refused == refused
