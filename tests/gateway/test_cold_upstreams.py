"""Engines crashed under the requests that they got while they were cold.

Each host sent to an engine that had just started as if it were warm. The rate
that a cold engine takes is one sum over all hosts, in sight or not.
"""

import asyncio
from collections.abc import Sequence
import json
import random
import time

import attrs
import pytest

from benchmarks.soak.external_services import make_registration
from shallotfold.platform import names
from tests.gateway import fleet_harness
from tests.gateway.crashing_engines import SERVICE
from tests.gateway.fleet_harness import FleetHarness
from tests.gateway.fleet_harness import Load
from tests.gateway.fleet_harness import run_fleet
from tests.gateway.limited_engines import LimitedEngines
from tests.gateway.limited_engines import most_in_window

ALL_HOSTS = (0, 1, 2, 3)
# Hosts that have just started learn of each other; then they have a share.
SETTLING_S = 3.5
REQUEST_INTERVAL_S = 0.02
COLD_PER_S = 4.0
COLD_START_S = 4.0
ALLOWED_IN_A_SECOND = 1.5 * COLD_PER_S + 5.0
# Until then, a registration has reached all hosts.
REGISTERED_S = 0.5
REWRITE_INTERVAL_S = 1.2


def choose_parts(rng: random.Random) -> Sequence[str]:
    return "a000", f"5a{rng.randrange(8):02x}"


@attrs.define(eq=False)
class ColdEngines(LimitedEngines):
    """Engines that become cold and register that they are."""

    _sequence: int = 1

    async def be_cold(self, *engine_ids: str) -> None:
        """Let engines be cold, and register it until they are warm."""
        ends_s = time.monotonic() + COLD_START_S
        remaining_s = COLD_START_S
        while remaining_s > 0.0:
            self._register(engine_ids, remaining_s)
            await asyncio.sleep(min(REWRITE_INTERVAL_S, remaining_s))
            remaining_s = ends_s - time.monotonic()
        self._register(engine_ids, 0.0)

    def most_in_a_second(self, engine_id: str, from_s: float) -> int:
        """Return the most requests in a second of one cold start."""
        return most_in_window(
            [
                a.arrived_s
                for a in self.arrivals_since(from_s + REGISTERED_S)
                if a.engine_id == engine_id
                and a.arrived_s < from_s + COLD_START_S
            ],
            1.0,
        )

    def _register(self, engine_ids: Sequence[str], remaining_s: float) -> None:
        self._sequence += 1
        for engine_id in engine_ids:
            address = f"127.0.0.1:{self._port_by_id[engine_id]}"
            fields = json.loads(
                make_registration(SERVICE, address, 1000, draining=False)
            )
            fields["ColdRemainingMs"] = remaining_s * 1000.0
            fields["SequenceNumber"] = self._sequence
            self.store.put(
                f"{names.UPSTREAMS_PREFIX}{engine_id}",
                json.dumps(fields).encode(),
            )


def engines_of(fleet: FleetHarness) -> ColdEngines:
    assert isinstance(fleet.engines, ColdEngines)
    return fleet.engines


@pytest.fixture(autouse=True)
def limit_cold_engines(monkeypatch: pytest.MonkeyPatch) -> None:
    service = {
        "Name": SERVICE,
        "ConnectionLimit": 500,
        "ColdPerS": COLD_PER_S,
        "ColdStartS": COLD_START_S,
    }
    monkeypatch.setitem(fleet_harness.CONFIGURATION, "Services", [service])


def test_cold_engine_gets_no_more_than_it_takes_and_all_are_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """50 requests a second while two of four engines are cold."""

    async def scenario(fleet: FleetHarness) -> None:
        engines = engines_of(fleet)
        load = Load(fleet, ALL_HOSTS, REQUEST_INTERVAL_S, choose_parts)
        await load.start()
        await asyncio.sleep(SETTLING_S)
        cold_ids = engines.ids[:2]
        from_s = time.monotonic()
        await engines.be_cold(*cold_ids)
        await load.close()
        for engine_id in cold_ids:
            most = engines.most_in_a_second(engine_id, from_s)
            assert most <= ALLOWED_IN_A_SECOND
        answers = [a for a in load.answers if a.sent_s >= from_s]
        served = [a for a in answers if a.status == 200 and a.complete]
        assert len(served) >= 0.98 * len(answers)

    run_fleet(monkeypatch, scenario, engine_type=ColdEngines, engine_count=4)


def test_all_engines_are_cold_while_hosts_end_start_and_are_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """50 requests a second; all cold engines together take 16."""

    async def scenario(fleet: FleetHarness) -> None:
        engines = engines_of(fleet)
        load = Load(fleet, ALL_HOSTS, REQUEST_INTERVAL_S, choose_parts)
        await load.start()
        await asyncio.sleep(SETTLING_S)
        for fault in (None, "end", "cut off"):
            from_s = time.monotonic()
            cold_start = asyncio.create_task(engines.be_cold(*engines.ids))
            await asyncio.sleep(REGISTERED_S)
            if fault == "end":
                await fleet.kill_hosts(1)
                load.hosts = [0, 2, 3]
                await fleet.start_hosts(1)
                load.hosts = list(ALL_HOSTS)
            elif fault == "cut off":
                fleet.cut_off.update({2, 3})
            await cold_start
            for engine_id in engines.ids:
                most = engines.most_in_a_second(engine_id, from_s)
                assert most <= ALLOWED_IN_A_SECOND, fault
            answers = [
                a
                for a in load.answers
                if from_s + REGISTERED_S <= a.sent_s < from_s + COLD_START_S
            ]
            refused = [a for a in answers if a.status == 503]
            served = [a for a in answers if a.status == 200 and a.complete]
            assert refused
            assert all(a.retry_after_s > 0.2 for a in refused)
            assert len(served) >= 4
            await asyncio.sleep(0.5)
        from_s = time.monotonic()
        await asyncio.sleep(1.0)
        await load.close()
        answers = [a for a in load.answers if a.sent_s >= from_s]
        assert all(a.status == 200 for a in answers)

    run_fleet(monkeypatch, scenario, engine_type=ColdEngines, engine_count=4)
