"""Test that the slots of a limited upstream belong to one host each."""

import pytest

from shallotfold._gateway.deciding.limit_permits import MAX_CHECKED_SLOTS
from shallotfold._gateway.deciding.limit_permits import PERMIT_VALIDITY_S
from shallotfold._gateway.deciding.limit_permits import LimitPermits
from shallotfold._gateway.deciding.limit_shares import Share

START_S = 1_790_000_000.0
WHOLE = Share(0.0, 1.0)


def begun(rate: float) -> LimitPermits:
    permits = LimitPermits()
    permits.begin("u0", rate, START_S)
    return permits


def count_permits(permits: LimitPermits, share: Share, now_s: float) -> int:
    count = 0
    while permits.has_permit("u0", share, now_s):
        permits.use_permit("u0")
        count += 1
    return count


@pytest.mark.parametrize("rate", [0.1, 0.7, 3.3, 25.0])
@pytest.mark.parametrize("parts", [1, 3, 60])
def test_all_shares_together_get_as_many_permits_as_slots(
    parts: int, rate: float
) -> None:
    hosts = [
        (begun(rate), Share(part / parts, (part + 1) / parts))
        for part in range(parts)
    ]
    total = 0
    for step in range(1001):
        now_s = START_S + 0.1 * step
        total += sum(count_permits(p, s, now_s) for p, s in hosts)
    assert abs(total - 100.0 * rate) <= 1


def test_new_limit_gives_no_permit_for_slots_that_have_begun() -> None:
    permits = begun(0.5)
    assert not permits.has_permit("u0", WHOLE, START_S + 0.1)
    assert permits.has_permit("u0", WHOLE, START_S + 2.1)


def test_unused_permits_expire() -> None:
    permits = begun(4.0)
    now_s = START_S + 100.0
    assert count_permits(permits, WHOLE, now_s) <= (4.0 * PERMIT_VALIDITY_S + 1)


@pytest.mark.parametrize("rate", [0.3, 2.0, 9.5, 40.0])
def test_burst_after_a_calm_gets_few_permits_of_a_cold_upstream(
    rate: float,
) -> None:
    """A burst used all slots of the last 1.5 s, and those of the next second.

    60 hosts with equal shares have had no requests, then more than they may
    send.
    """
    hosts = []
    for part in range(60):
        permits = LimitPermits()
        permits.begin("u0", rate, START_S, is_cold=True)
        hosts.append((permits, Share(part / 60, (part + 1) / 60)))
    total = sum(
        count_permits(permits, share, START_S + 100.0 + 0.01 * step)
        for step in range(100)
        for permits, share in hosts
    )
    assert rate - 1 <= total <= 1.25 * rate + 3


def test_permit_of_a_slow_limit_lasts_as_long_as_its_slot() -> None:
    permits = begun(0.1)
    assert permits.has_permit("u0", WHOLE, START_S + 19.9)


def test_clock_that_moves_back_a_little_gives_no_slot_twice() -> None:
    permits = begun(1.0)
    assert count_permits(permits, WHOLE, START_S + 1.01) == 1
    assert count_permits(permits, WHOLE, START_S + 0.99) == 0
    assert count_permits(permits, WHOLE, START_S + 1.02) == 0


def test_clock_that_moves_back_far_does_not_stop_requests() -> None:
    permits = begun(1.0)
    count_permits(permits, WHOLE, START_S - 3600.0)
    assert count_permits(permits, WHOLE, START_S - 3598.5) == 1


def test_large_limit_costs_bounded_work() -> None:
    permits = begun(1e6)
    assert count_permits(permits, WHOLE, START_S + 5.0) <= (
        MAX_CHECKED_SLOTS + 1
    )


def test_upstream_that_takes_nothing_gets_a_request_a_minute() -> None:
    """Only its response can say that the limit has ended."""
    permits = begun(0.0)
    total = sum(
        count_permits(permits, WHOLE, START_S + second) for second in range(601)
    )
    assert 9 <= total <= 11
