"""Test that the shares of all hosts add up to at most one."""

from collections.abc import Mapping
import itertools

import pytest

from shallotfold._gateway.deciding.limit_shares import DEMAND_PERIOD_S
from shallotfold._gateway.deciding.limit_shares import FORGET_AFTER_S
from shallotfold._gateway.deciding.limit_shares import SETTLING_S
from shallotfold._gateway.deciding.limit_shares import LimitShares

SERVICE = "writers"


class Fleet:
    """Hosts that hear each other in each period."""

    def __init__(self, count: int) -> None:
        self.now_s = 0.0
        self.hosts = [LimitShares(host=f"host{n}") for n in range(count)]

    def run_period(self, demand: Mapping[int, int]) -> None:
        for host in self.hosts:
            host.update(self.now_s)
        for number, count in demand.items():
            for _ in range(count):
                self.hosts[number].count_request(SERVICE)
        self.exchange()
        self.now_s += DEMAND_PERIOD_S

    def exchange(self) -> None:
        for receiver in self.hosts:
            for sender in self.hosts:
                if sender is not receiver:
                    receiver.record_peer_demand(
                        sender.host, sender.announced_demand(), self.now_s
                    )

    def widths(self) -> list[float]:
        return [h.share_of(SERVICE, self.now_s).width for h in self.hosts]


def test_host_that_has_just_started_has_no_share() -> None:
    shares = LimitShares(host="host0")
    assert shares.share_of(SERVICE, 0.0).width == 0.0
    shares.update(10.0)
    assert shares.share_of(SERVICE, 10.0 + 0.9 * SETTLING_S).width == 0.0
    assert shares.share_of(SERVICE, 10.1 + SETTLING_S).width == 1.0


def test_shares_follow_demand() -> None:
    fleet = Fleet(3)
    for _ in range(12):
        fleet.run_period({0: 60, 1: 20})
    first, second, third = fleet.widths()
    assert first == pytest.approx(0.74, abs=0.03)
    assert second == pytest.approx(0.25, abs=0.03)
    assert 0.0 < third < 0.02


def test_shares_of_all_hosts_are_disjoint() -> None:
    fleet = Fleet(4)
    for _ in range(60):
        fleet.run_period({0: 60, 1: 20, 3: 5})
    ends = sorted(
        (share.low, share.high)
        for share in (h.share_of(SERVICE, fleet.now_s) for h in fleet.hosts)
    )
    assert ends[0][0] == 0.0
    assert ends[-1][1] == 1.0
    for (_, high), (low, _) in itertools.pairwise(ends):
        assert high == pytest.approx(low)


def test_shares_add_up_to_one_at_most_while_demand_moves() -> None:
    """All hosts got many callers at once, and each took the whole limit."""
    fleet = Fleet(6)
    for step in range(40):
        busy = {step % 6, (step * 5 + 2) % 6} if step % 4 else set(range(6))
        fleet.run_period(dict.fromkeys(busy, 50 * (step % 3)))
        assert sum(fleet.widths()) <= 1.0 + 1e-9


@pytest.mark.parametrize("count", [2, 9, 72])
def test_demand_that_no_peer_has_learned_gives_no_share(count: int) -> None:
    """72 hosts that were cut off in a burst took 0.66 of all slots each."""
    fleet = Fleet(count)
    for _ in range(4):
        fleet.run_period({})
    fleet.run_period(dict.fromkeys(range(count), 50))
    for _ in range(5):
        for host in fleet.hosts:
            host.update(fleet.now_s)
        assert sum(fleet.widths()) <= 1.0 + 1e-9
        fleet.now_s += DEMAND_PERIOD_S


def test_service_without_callers_is_not_announced_for_ever() -> None:
    """Each service that was ever configured made all heartbeats longer."""
    fleet = Fleet(2)
    fleet.run_period({0: 100})
    for _ in range(40):
        fleet.run_period({})
    assert fleet.hosts[0].announced_demand() == {}


def test_silent_peer_keeps_its_share_until_it_is_forgotten() -> None:
    fleet = Fleet(2)
    for _ in range(12):
        fleet.run_period({0: 30, 1: 30})
    alone = fleet.hosts[0]
    now_s = fleet.now_s
    while now_s < fleet.now_s + 0.9 * FORGET_AFTER_S:
        now_s += DEMAND_PERIOD_S
        for _ in range(60):
            alone.count_request(SERVICE)
        alone.update(now_s)
    assert alone.share_of(SERVICE, now_s).width < 0.6
    now_s = fleet.now_s + FORGET_AFTER_S + DEMAND_PERIOD_S
    alone.update(now_s)
    assert alone.share_of(SERVICE, now_s).width == 1.0
