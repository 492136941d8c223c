"""What is allowed to all hosts together was divided by the hosts in sight.

Hosts that were cut off from each other, or had just started, each took a larger
part of the retry budget and of the idle connections.
"""

import asyncio

import pytest

from tests.gateway.fleet_harness import FleetHarness
from tests.gateway.fleet_harness import run_fleet

# Longer than a silent peer counts as alive.
SILENCE_S = 4.0


def shares_of(fleet: FleetHarness) -> list[float]:
    """Return each host's part of what is allowed to all hosts together."""
    return [
        1.0 / process._gateway.dispatcher.budget.host_count
        for process in fleet._process_by_host.values()
    ]


def test_hosts_that_are_cut_off_share_the_retry_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        await asyncio.sleep(SILENCE_S)
        assert sum(shares_of(fleet)) == pytest.approx(1.0)
        fleet.cut_off.update({2, 3})
        await asyncio.sleep(SILENCE_S)
        assert sum(shares_of(fleet)) <= 1.01

    run_fleet(monkeypatch, scenario)


def test_hosts_that_have_just_started_share_the_retry_budget(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: FleetHarness) -> None:
        assert sum(shares_of(fleet)) <= 1.01
        await fleet.kill_hosts(0, 1, 2, 3)
        for host in (0, 1, 2, 3):
            await fleet.start_hosts(host)
            assert sum(shares_of(fleet)) <= 1.01

    run_fleet(monkeypatch, scenario)
