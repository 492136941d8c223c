"""Requests reached upstreams of data centres that operators had evacuated."""

import asyncio
from collections.abc import Sequence
import time

import pytest

from shallotfold.platform import names
from tests.gateway.fleet_harness import FleetHarness
from tests.gateway.fleet_harness import run_fleet

# Time after the store's confirmation from which nothing new is sent.
BOUND_S = 5.0
DATA_CENTRE = "a"
KEY = f"{names.EVACUATIONS_PREFIX}{DATA_CENTRE}"
POLL_S = 0.02
TALK = 200
REFUSED = 503


async def wait_until_known(
    fleet: FleetHarness, hosts: Sequence[int], data_centres: set[str]
) -> bool:
    start_s = time.monotonic()
    while time.monotonic() - start_s < BOUND_S:
        if all(fleet.evacuated(host) == data_centres for host in hosts):
            return True
        await asyncio.sleep(POLL_S)
    return False


@pytest.mark.parametrize("host_count", [3, 16])
def test_all_hosts_follow_an_evacuation_and_its_end(
    monkeypatch: pytest.MonkeyPatch, host_count: int
) -> None:
    """In a fleet of 16, most hosts learn it from those that watch the store."""
    hosts = range(host_count)

    async def scenario(fleet: FleetHarness) -> None:
        fleet.store.standin.put(KEY, b"{}")
        assert await wait_until_known(fleet, hosts, {DATA_CENTRE})
        answers = [await fleet.send(host, "p1") for host in (0, 1, 2)]
        assert [answer.status for answer in answers] == [REFUSED] * 3
        assert all(answer.retry_after_s > 0.0 for answer in answers)
        fleet.store.standin.remove(KEY)
        assert await wait_until_known(fleet, hosts, set())
        assert (await fleet.send(0, "p1")).status == TALK

    run_fleet(monkeypatch, scenario, hosts=hosts, follows_evacuations=True)


def test_a_host_that_starts_during_an_evacuation_sends_nothing_there(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        fleet.store.standin.put(KEY, b"{}")
        assert await wait_until_known(fleet, (0, 1, 2), {DATA_CENTRE})
        await fleet.start_hosts(5)
        assert (await fleet.send(5, "p1")).status == REFUSED

    run_fleet(monkeypatch, scenario, hosts=(0, 1, 2), follows_evacuations=True)


def test_a_host_learns_an_evacuation_from_peers_while_its_watch_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        fleet.store.silence_connections(share=0.5)
        fleet.store.standin.put(KEY, b"{}")
        assert await wait_until_known(fleet, range(6), {DATA_CENTRE})

    run_fleet(monkeypatch, scenario, hosts=range(6), follows_evacuations=True)


def test_deployments_without_evacuations_ignore_the_key(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        fleet.store.standin.put(KEY, b"{}")
        await asyncio.sleep(1.0)
        assert (await fleet.send(0, "p1")).status == TALK

    run_fleet(monkeypatch, scenario)
