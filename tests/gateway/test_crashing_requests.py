"""One request ended each server that ran it, and came again at any host.

A plain request has no parts that hosts could have compared. Each repeat had a
fresh server, and where the route allows it a second one for its retry, so that
all servers were down by turns and sound requests of other callers were refused.
"""

import asyncio
from collections.abc import Sequence
import functools
import random
import time

import pytest

from tests.gateway import fleet_harness
from tests.gateway.crashing_servers import CRASHING_BODY
from tests.gateway.crashing_servers import CRASHING_TARGET
from tests.gateway.crashing_servers import CrashingServers
from tests.gateway.fleet_harness import Answer
from tests.gateway.fleet_harness import FleetHarness
from tests.gateway.fleet_harness import PlainLoad
from tests.gateway.fleet_harness import PlainRequest

# Half of the time that the smallest deployment allows after the third crash,
# and after a host has started or its links are whole again.
CONTACT_S = 1.5
# Requests that may still reach servers after that time.
ALLOWED_ARRIVALS = 3
CRASHES = 3
SERVER_COUNT = 6

LOOK = PlainRequest(target=CRASHING_TARGET)
PUBLIC_LOOK = PlainRequest(target=CRASHING_TARGET, is_public=True)
BOOK = PlainRequest(target="/book/1", method="POST", body=CRASHING_BODY)
POPULAR = PlainRequest(target="/look/popular")

run_fleet = functools.partial(
    fleet_harness.run_fleet,
    engine_type=CrashingServers,
    engine_count=SERVER_COUNT,
)


def choose_sound(rng: random.Random) -> PlainRequest:
    """Return a request that shares path, caller or body with crashing ones."""
    number = rng.randrange(1000)
    return rng.choice(
        [
            PlainRequest(target=f"/look/{number}"),
            PlainRequest(target=f"/look/bad?item={number + 8}"),
            PlainRequest(target="/book/1", method="POST", body=b"%d" % number),
        ]
    )


def servers_of(fleet: FleetHarness) -> CrashingServers:
    assert isinstance(fleet.engines, CrashingServers)
    return fleet.engines


class Incident:
    """Crashing and sound requests that come to all hosts."""

    def __init__(
        self,
        fleet: FleetHarness,
        hosts: Sequence[int],
        crashing: PlainRequest = LOOK,
        *,
        interval_s: float = 0.2,
    ) -> None:
        self.fleet = fleet
        self.crashing = PlainLoad(fleet, hosts, interval_s, lambda _: crashing)
        self.sound = PlainLoad(fleet, hosts, 0.04, choose_sound)

    async def start(self) -> None:
        await self.sound.start()
        await asyncio.sleep(0.5)
        await self.crashing.start()

    async def close(self) -> None:
        await self.crashing.close()
        await self.sound.close()

    async def run(self, seconds: float) -> None:
        await self.start()
        await asyncio.sleep(seconds)
        await self.close()

    def check(self, *, counted_from_s: float = 0.0) -> None:
        """Check that the request is held back and sound ones are served.

        Args:
            counted_from_s: Requests that were sent earlier don't count.
        """
        engines = self.fleet.engines
        crashes_s = sorted(engines.crashes_s)
        assert len(crashes_s) >= CRASHES
        sent_s_by_id = {a.request_id: a.sent_s for a in self.crashing.answers}
        late = [
            arrival
            for arrival in engines.late_arrivals(CONTACT_S, crash=CRASHES)
            if sent_s_by_id[arrival.request_id] >= counted_from_s
        ]
        assert len(late) <= ALLOWED_ARRIVALS, (len(late), len(crashes_s))
        # A server that the trial ended is back after its restart.
        from_s = crashes_s[CRASHES - 1] + 2 * CONTACT_S
        check_served(self.sound.answers, max(from_s, counted_from_s))


def check_served(answers: Sequence[Answer], from_s: float) -> None:
    sent = [answer for answer in answers if answer.sent_s >= from_s]
    served = [a for a in sent if a.status == 200 and a.complete]
    assert len(sent) >= 20
    assert len(served) >= 0.9 * len(sent), (len(served), len(sent))


@pytest.mark.parametrize(
    "crashing", [LOOK, BOOK, PUBLIC_LOOK], ids=["look", "book", "public"]
)
def test_request_that_ends_servers_is_held_back_on_all_hosts(
    monkeypatch: pytest.MonkeyPatch, crashing: PlainRequest
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet, (0, 1, 2, 3), crashing)
        await incident.run(8.0)
        incident.check()

    run_fleet(monkeypatch, scenario)


def test_request_is_held_back_though_datagrams_are_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        fleet.datagram_loss = 0.5
        incident = Incident(fleet, (0, 1, 2, 3))
        await incident.run(10.0)
        incident.check()

    run_fleet(monkeypatch, scenario)


def test_request_that_comes_seldom_to_many_hosts_is_held_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hosts = tuple(range(7))

    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet, hosts, interval_s=0.8)
        await incident.run(12.0)
        incident.check()

    run_fleet(monkeypatch, scenario, hosts=hosts)


@pytest.mark.parametrize("crash_delay_s", [0.5, 0.9])
def test_request_is_held_back_whose_server_ends_after_a_while(
    monkeypatch: pytest.MonkeyPatch, crash_delay_s: float
) -> None:
    """Several are open when the third server ends.

    After the longer time the host has tried another server already.
    """

    async def scenario(fleet: FleetHarness) -> None:
        servers_of(fleet).crash_delay_s = crash_delay_s
        incident = Incident(fleet, (0, 1, 2, 3), interval_s=0.1)
        await incident.run(9.0)
        incident.check()

    run_fleet(monkeypatch, scenario)


def test_request_is_held_back_whose_servers_come_back_as_they_were(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two servers, each with the id and the start that it had."""

    async def scenario(fleet: FleetHarness) -> None:
        servers_of(fleet).keeps_registration = True
        incident = Incident(fleet, (0, 1, 2, 3))
        await incident.run(10.0)
        incident.check()

    run_fleet(monkeypatch, scenario, engine_count=2)


def test_host_that_has_just_started_holds_the_request_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet, (0, 1, 2, 3))
        await incident.start()
        await asyncio.sleep(2.0)
        await fleet.kill_hosts(1)
        await fleet.start_hosts(1, 4)
        incident.crashing.hosts = incident.sound.hosts = [1, 4]
        started_s = max(fleet.started_s_by_host.values())
        await asyncio.sleep(6.0)
        await incident.close()
        incident.check(counted_from_s=started_s + CONTACT_S)

    run_fleet(monkeypatch, scenario)


def test_request_is_held_back_after_all_hosts_have_started_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only the store then knows what ended the servers."""

    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet, (0, 1, 2, 3))
        await incident.start()
        await asyncio.sleep(2.5)
        await fleet.kill_hosts(0, 1, 2, 3)
        await fleet.start_hosts(0, 1, 2, 3)
        started_s = max(fleet.started_s_by_host.values())
        await asyncio.sleep(6.0)
        await incident.close()
        incident.check(counted_from_s=started_s + CONTACT_S)

    run_fleet(monkeypatch, scenario)


def test_host_that_was_cut_off_from_its_peers_holds_the_request_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It gets the request only after its links are whole again."""

    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet, (0, 1, 2))
        fleet.cut_off.add(3)
        await incident.start()
        await asyncio.sleep(3.0)
        fleet.cut_off.clear()
        healed_s = time.monotonic()
        await asyncio.sleep(CONTACT_S)
        incident.crashing.hosts = incident.sound.hosts = [3]
        await asyncio.sleep(6.0)
        await incident.close()
        incident.check(counted_from_s=healed_s + CONTACT_S)

    run_fleet(monkeypatch, scenario)


def test_hosts_hold_back_what_crashed_servers_of_a_host_that_was_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet, (3,))
        fleet.cut_off.add(3)
        await incident.start()
        await asyncio.sleep(2.0)
        fleet.cut_off.clear()
        healed_s = time.monotonic()
        await asyncio.sleep(CONTACT_S)
        incident.crashing.hosts = incident.sound.hosts = [0, 1, 2]
        await asyncio.sleep(6.0)
        await incident.close()
        incident.check(counted_from_s=healed_s + CONTACT_S)

    run_fleet(monkeypatch, scenario)


def test_hosts_that_lost_half_of_the_others_hold_the_request_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both halves have peers, and reach the store."""

    async def scenario(fleet: FleetHarness) -> None:
        incident = Incident(fleet, (0, 1))
        await asyncio.sleep(1.0)
        fleet.partition = {2, 3}
        await asyncio.sleep(CONTACT_S)
        await incident.start()
        await asyncio.sleep(3.0)
        incident.crashing.hosts = incident.sound.hosts = [2, 3]
        await asyncio.sleep(6.0)
        await incident.close()
        incident.check()

    run_fleet(monkeypatch, scenario)


@pytest.mark.parametrize("work_s", [0.03, 0.3])
def test_equal_requests_are_served_while_servers_end_of_another_cause(
    monkeypatch: pytest.MonkeyPatch, work_s: float
) -> None:
    """They are open at each server that ends, but others answer them."""

    async def scenario(fleet: FleetHarness) -> None:
        servers = servers_of(fleet)
        servers.work_s = work_s
        load = PlainLoad(fleet, (0, 1, 2, 3), 0.03, lambda _: POPULAR)
        await load.start()
        await asyncio.sleep(0.5)
        from_s = time.monotonic()
        for number in range(10):
            servers.crash(servers.ids[number % len(servers.ids)])
            await asyncio.sleep(0.4)
        await load.close()
        check_served(load.answers, from_s)
        held = [a for a in load.answers if a.retry_after_s > CONTACT_S]
        assert not held

    run_fleet(monkeypatch, scenario)


def test_equal_requests_are_served_after_all_servers_have_ended_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        servers = servers_of(fleet)
        load = PlainLoad(fleet, (0, 1, 2, 3), 0.03, lambda _: POPULAR)
        await load.start()
        for _ in range(3):
            await asyncio.sleep(0.5)
            servers.crash_all()
            await asyncio.sleep(servers.restart_s)
        back_s = time.monotonic() + 0.5
        await asyncio.sleep(2.5)
        await load.close()
        check_served(load.answers, back_s)
        held = [a for a in load.answers if a.retry_after_s > CONTACT_S]
        assert not held

    run_fleet(monkeypatch, scenario)
