"""Upstreams that named a limit got several times as many requests.

Each host sent to them as if nothing had been said. The limit is one sum over
all hosts: those that were told and those that weren't.
"""

import asyncio
import collections
from collections.abc import Sequence
import random
import time

import pytest

from tests.gateway.fleet_harness import Answer
from tests.gateway.fleet_harness import FleetHarness
from tests.gateway.fleet_harness import Load
from tests.gateway.fleet_harness import run_fleet
from tests.gateway.limited_engines import LimitedEngines
from tests.gateway.limited_engines import allowed_in_window
from tests.gateway.limited_engines import most_in_window

# Half of the time that the smallest deployment allows after an engine first
# named its limit.
CONTACT_S = 1.5
# Time in which hosts that have just started learn of each other.
SETTLING_S = 3.5
ALL_HOSTS = (0, 1, 2, 3)
REQUEST_INTERVAL_S = 0.02


def choose_parts(rng: random.Random) -> Sequence[str]:
    return "a000", f"5a{rng.randrange(8):02x}"


def engines_of(fleet: FleetHarness) -> LimitedEngines:
    assert isinstance(fleet.engines, LimitedEngines)
    return fleet.engines


class Incident:
    """Callers at some hosts of a fleet whose engines name limits.

    Attributes:
        fleet: The fleet.
        load: The callers.
        named_s: When the limits were first named.
    """

    def __init__(
        self, fleet: FleetHarness, hosts: Sequence[int] = ALL_HOSTS
    ) -> None:
        self.fleet = fleet
        self.engines = engines_of(fleet)
        self.load = Load(fleet, hosts, REQUEST_INTERVAL_S, choose_parts)
        self.named_s = 0.0

    async def start(self) -> None:
        await self.load.start()
        await asyncio.sleep(SETTLING_S)

    def busiest(self, count: int) -> list[str]:
        """Return the engines that have got most requests."""
        arrivals = collections.Counter(
            a.engine_id for a in self.engines.all_arrivals
        )
        return [engine_id for engine_id, _ in arrivals.most_common(count)]

    def name_all(self, rate: float) -> None:
        """Let all engines name the same limit."""
        self.name(dict.fromkeys(self.engines.ids, rate))

    def name(self, rate_by_id: dict[str, float]) -> None:
        """Let engines name these limits, and all others none."""
        self.engines.rate_by_id = rate_by_id
        self.named_s = time.monotonic()

    async def finish(self, seconds: float = 7.0) -> None:
        await asyncio.sleep(seconds)
        await self.load.close()

    def check_sums(self, *, from_s: float | None = None) -> None:
        """Check what each engine got from all hosts together."""
        counted_from_s = from_s or self.named_s + CONTACT_S
        for engine_id, rate in self.engines.rate_by_id.items():
            times_s = [
                arrival.arrived_s
                for arrival in self.engines.arrivals_since(counted_from_s)
                if arrival.engine_id == engine_id
            ]
            most = most_in_window(times_s)
            assert most <= allowed_in_window(rate), (engine_id, rate, most)

    def answers_since(self, from_s: float) -> list[Answer]:
        return [a for a in self.load.answers if a.sent_s >= from_s]

    def check_all_served(self) -> None:
        """Check that callers are served by the other engines."""
        answers = self.answers_since(self.named_s)
        served = [a for a in answers if a.status == 200 and a.complete]
        assert len(served) >= 0.98 * len(answers), (len(served), len(answers))

    def check_capacity_used(self, share: float) -> None:
        """Check which share of what all engines take reached them."""
        from_s = self.named_s + CONTACT_S
        last_s = self.load.answers[-1].sent_s
        taken = sum(self.engines.rate_by_id.values()) * (last_s - from_s)
        arrived = len(self.engines.arrivals_since(from_s))
        assert arrived >= share * taken, (arrived, taken)


@pytest.mark.parametrize("rate", [1.5, 0.3, 8.0])
def test_engine_gets_no_more_than_its_limit_from_all_hosts(
    rate: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet)
        await incident.start()
        incident.name(dict.fromkeys(incident.busiest(2), rate))
        await incident.finish()
        incident.check_sums()
        incident.check_all_served()

    run_fleet(monkeypatch, scenario, engine_type=LimitedEngines, engine_count=4)


def test_all_engines_name_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """What can't be served is refused; those refused return spread out."""

    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet)
        await incident.start()
        incident.name_all(2.0)
        await incident.finish()
        incident.check_sums()
        incident.check_capacity_used(0.7)
        answers = incident.answers_since(incident.named_s + CONTACT_S)
        assert {a.status for a in answers} <= {200, 503}
        refused = [a for a in answers if a.status == 503]
        assert refused
        assert all(a.retry_after_s > 0.2 for a in refused)

    run_fleet(monkeypatch, scenario, engine_type=LimitedEngines, engine_count=6)


def test_limits_hold_and_are_used_when_one_host_has_all_callers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Equal shares would leave most of what the engines take unused."""

    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet, [2])
        await incident.start()
        incident.name_all(2.0)
        await asyncio.sleep(2.0)
        await incident.finish()
        incident.check_sums()
        incident.check_capacity_used(0.5)

    run_fleet(monkeypatch, scenario, engine_type=LimitedEngines, engine_count=6)


def test_limit_holds_while_callers_move_to_another_host(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet, [0])
        await incident.start()
        incident.name_all(1.0)
        for host in (1, 2, 3):
            await asyncio.sleep(2.0)
            incident.load.hosts = [host]
        await incident.finish(2.0)
        incident.check_sums()

    run_fleet(monkeypatch, scenario, engine_type=LimitedEngines, engine_count=4)


def test_limit_holds_while_hosts_end_and_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet)
        await incident.start()
        incident.name_all(1.0)
        await asyncio.sleep(2.0)
        await fleet.kill_hosts(1, 2)
        await asyncio.sleep(1.0)
        await fleet.start_hosts(1, 2, 4)
        incident.load.hosts = [0, 1, 2, 3, 4]
        await incident.finish(5.0)
        incident.check_sums()

    run_fleet(monkeypatch, scenario, engine_type=LimitedEngines, engine_count=4)


def test_limit_holds_after_all_hosts_have_started_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet)
        await incident.start()
        incident.name_all(1.0)
        await asyncio.sleep(1.0)
        await fleet.kill_hosts(*ALL_HOSTS)
        await fleet.start_hosts(*ALL_HOSTS)
        started_s = max(fleet.started_s_by_host.values())
        await incident.finish(7.0)
        incident.check_sums(from_s=started_s + CONTACT_S)

    run_fleet(monkeypatch, scenario, engine_type=LimitedEngines, engine_count=4)


def test_limit_holds_while_hosts_are_cut_off_from_each_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host that hears no peers still isn't alone at the engine."""

    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet)
        await incident.start()
        incident.name_all(1.0)
        await asyncio.sleep(1.0)
        fleet.cut_off.update({2, 3})
        await incident.finish(8.0)
        incident.check_sums()

    run_fleet(monkeypatch, scenario, engine_type=LimitedEngines, engine_count=4)


def test_limit_holds_at_a_host_that_has_not_been_told_by_the_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its callers come only after others were told of the limit."""

    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet, [0, 1])
        await incident.start()
        incident.name_all(0.5)
        await asyncio.sleep(CONTACT_S)
        incident.load.hosts = [3]
        await incident.finish()
        incident.check_sums()

    run_fleet(monkeypatch, scenario, engine_type=LimitedEngines, engine_count=4)


def test_lower_limit_holds_and_the_end_of_a_limit_is_noticed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet)
        await incident.start()
        (engine_id,) = incident.busiest(1)
        incident.name({engine_id: 8.0})
        await asyncio.sleep(3.0)
        incident.name({engine_id: 1.0})
        await asyncio.sleep(7.0)
        incident.check_sums()
        incident.name({})
        await incident.finish(5.0)
        arrived = [
            a
            for a in incident.engines.arrivals_since(incident.named_s + 2.0)
            if a.engine_id == engine_id
        ]
        # The busiest of four engines gets a fourth of 50 requests a second.
        assert len(arrived) >= 15
        incident.check_all_served()

    run_fleet(monkeypatch, scenario, engine_type=LimitedEngines, engine_count=4)
