"""Changes were late where the store's connections had gone silent.

Each host waited for the response of a watch whose connection was dead. All
hosts had opened theirs at the same moment, so that none could tell the others.
"""

import asyncio
from collections.abc import Sequence
import json
import time

import pytest

from shallotfold._gateway.following import catch_up
from shallotfold._gateway.http.http_client import CallFailedError
from shallotfold._gateway.http.http_client import HttpClient
from shallotfold._gateway.http.http_client import HttpResponse
from shallotfold._gateway.http.socket_reserve import SocketReserve
from shallotfold.platform import names
from tests.gateway.fleet_harness import CONFIGURATION
from tests.gateway.fleet_harness import FleetHarness
from tests.gateway.fleet_harness import run_fleet

# A change is to be in force so long after it was confirmed, in deployments of
# up to 12 hosts and in larger ones.
SMALL_FLEET_BOUND_S = 2.0
LARGE_FLEET_BOUND_S = 3.0
POLL_S = 0.02


def confirm_version(fleet: FleetHarness, version: int) -> None:
    content = CONFIGURATION | {"Version": version}
    fleet.store.standin.put(
        names.CONFIGURATION_KEY, json.dumps(content).encode()
    )


async def delays_s(
    fleet: FleetHarness, hosts: Sequence[int], version: int, bound_s: float
) -> dict[int, float]:
    """Return after which time each host had the version; absent: too late."""
    start_s = time.monotonic()
    delay_s_by_host: dict[int, float] = {}
    while time.monotonic() - start_s < bound_s:
        for host in hosts:
            if fleet.configuration_version(host) == version:
                delay_s_by_host.setdefault(host, time.monotonic() - start_s)
        if len(delay_s_by_host) == len(hosts):
            break
        await asyncio.sleep(POLL_S)
    return delay_s_by_host


@pytest.mark.parametrize(
    ("host_count", "bound_s"),
    [
        (1, SMALL_FLEET_BOUND_S),
        (2, SMALL_FLEET_BOUND_S),
        (9, SMALL_FLEET_BOUND_S),
        (14, LARGE_FLEET_BOUND_S),
    ],
)
@pytest.mark.parametrize("silent_after_s", [0.1, 0.9])
def test_change_while_connections_are_silent_is_in_force_in_time(
    monkeypatch: pytest.MonkeyPatch,
    host_count: int,
    bound_s: float,
    silent_after_s: float,
) -> None:
    hosts = range(host_count)

    async def scenario(fleet: FleetHarness) -> None:
        # All hosts open their next watch at the same moment.
        confirm_version(fleet, 2)
        assert len(await delays_s(fleet, hosts, 2, bound_s)) == host_count
        await asyncio.sleep(silent_after_s)
        fleet.store.silence_connections()
        confirm_version(fleet, 3)
        in_time = await delays_s(fleet, hosts, 3, bound_s)
        assert sorted(in_time) == list(hosts)

    run_fleet(monkeypatch, scenario, hosts=hosts)


def test_change_after_connections_went_silent_again_and_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host must not wait longer after each time."""
    hosts = range(4)

    async def scenario(fleet: FleetHarness) -> None:
        for _ in range(6):
            await asyncio.sleep(0.7)
            fleet.store.silence_connections()
        confirm_version(fleet, 2)
        in_time = await delays_s(fleet, hosts, 2, SMALL_FLEET_BOUND_S)
        assert sorted(in_time) == list(hosts)

    run_fleet(monkeypatch, scenario, hosts=hosts)


@pytest.mark.parametrize("share", [0.3, 0.7])
@pytest.mark.parametrize(
    ("host_count", "bound_s"),
    [(9, SMALL_FLEET_BOUND_S), (14, LARGE_FLEET_BOUND_S)],
)
def test_change_while_some_connections_are_silent_is_in_force_in_time(
    monkeypatch: pytest.MonkeyPatch,
    host_count: int,
    bound_s: float,
    share: float,
) -> None:
    """Where some watches are answered, their hosts tell the others."""
    hosts = range(host_count)

    async def scenario(fleet: FleetHarness) -> None:
        await asyncio.sleep(0.5)
        fleet.store.silence_connections(share)
        confirm_version(fleet, 2)
        in_time = await delays_s(fleet, hosts, 2, bound_s)
        assert sorted(in_time) == list(hosts)

    run_fleet(monkeypatch, scenario, hosts=hosts)


class SilentFetches:
    """Lets fetches from peers that begin soon wait until their timeout.

    Attributes:
        count: How many fetches got no response.
    """

    def __init__(self) -> None:
        self.count = 0
        self._ends_s = 0.0

    def begin(self, duration_s: float) -> None:
        self._ends_s = time.monotonic() + duration_s

    def make_client(
        self, ip: str, port: int, reserve: SocketReserve | None = None
    ) -> HttpClient:
        client = HttpClient(ip, port, reserve)
        if time.monotonic() > self._ends_s:
            return client
        self.count += 1

        async def wait(
            method: str, target: str, *, timeout_s: float
        ) -> HttpResponse:
            del method, target
            await asyncio.sleep(timeout_s)
            raise CallFailedError("no response in time", may_have_run=True)

        client.call = wait  # type: ignore[assignment, method-assign]
        return client


def test_change_is_in_force_in_time_where_fetches_from_peers_go_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Hosts that don't watch the store waited for one peer that is silent."""
    hosts = range(14)
    fetches = SilentFetches()
    monkeypatch.setattr(catch_up, "HttpClient", fetches.make_client)

    async def scenario(fleet: FleetHarness) -> None:
        await asyncio.sleep(0.5)
        fetches.begin(0.9)
        confirm_version(fleet, 2)
        in_time = await delays_s(fleet, hosts, 2, LARGE_FLEET_BOUND_S)
        assert fetches.count
        assert sorted(in_time) == list(hosts)

    run_fleet(monkeypatch, scenario, hosts=hosts)
