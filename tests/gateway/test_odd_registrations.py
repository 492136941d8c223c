"""An odd entry among the registrations froze the list of upstreams.

One entry whose numbers or nesting the decoder didn't expect raised an error
that ended each change of the list: hosts sent to an upstream for as long as it
lived after it had begun to leave, and a host that started then never became
ready.
"""

import asyncio
import json
import time

import attrs
import pytest

from benchmarks.soak.external_services import make_registration
from shallotfold.platform import names
from tests.gateway.crashing_engines import SERVICE
from tests.gateway.crashing_engines import CrashingEngines
from tests.gateway.fleet_harness import FleetHarness
from tests.gateway.fleet_harness import Load
from tests.gateway.fleet_harness import run_fleet

LEAVING_ENGINE = "e0"
# No request may reach an upstream that began to leave longer ago.
DRAIN_TIMEOUT_S = 2.0
SERVES_ON_S = 4.0
REQUEST_INTERVAL_S = 0.03
SOUND_ENTRY = json.loads(
    make_registration(SERVICE, "127.0.0.1:9", 1000, draining=False)
)
ODD_ENTRIES = {
    "infinity": json.dumps(SOUND_ENTRY | {"Slots": float("inf")}).encode(),
    "401 digits": json.dumps(SOUND_ENTRY | {"Slots": 10**400}).encode(),
    "nested": b"[" * 2_000,
    "cut off": json.dumps(SOUND_ENTRY).encode()[:-1],
}


@attrs.define(eq=False)
class LeavingEngines(CrashingEngines):
    """Engines of which one leaves; it still serves whatever reaches it.

    Attributes:
        late_arrivals_s: Times from the engine's leaving to requests that
            reached it later than allowed.
    """

    late_arrivals_s: list[float] = attrs.field(factory=list)
    _left_s: float | None = None

    def leave(self) -> None:
        self._left_s = time.monotonic()
        port = self._port_by_id[LEAVING_ENGINE]
        self.store.put(
            f"{names.UPSTREAMS_PREFIX}{LEAVING_ENGINE}",
            make_registration(
                SERVICE, f"127.0.0.1:{port}", 1000, draining=True
            ),
        )

    def _on_arrival(self, engine_id: str, request_id: str) -> list[str]:
        if engine_id == LEAVING_ENGINE and self._left_s is not None:
            delay_s = time.monotonic() - self._left_s
            if delay_s > DRAIN_TIMEOUT_S:
                self.late_arrivals_s.append(delay_s)
        return super()._on_arrival(engine_id, request_id)


@pytest.mark.parametrize("entry", ODD_ENTRIES)
@pytest.mark.parametrize("host_count", [2, 14])
def test_leaving_upstream_is_left_in_time_beside_an_odd_entry(
    monkeypatch: pytest.MonkeyPatch, entry: str, host_count: int
) -> None:
    hosts = range(host_count)

    async def scenario(fleet: FleetHarness) -> None:
        load = Load(fleet, hosts, REQUEST_INTERVAL_S, lambda _: ())
        await load.start()
        fleet.store.standin.put(
            f"{names.UPSTREAMS_PREFIX}odd", ODD_ENTRIES[entry]
        )
        await fleet.kill_hosts(1)
        await asyncio.sleep(1.0)
        # It reads the whole list, with the entry.
        await fleet.start_hosts(1)
        assert isinstance(fleet.engines, LeavingEngines)
        fleet.engines.leave()
        await asyncio.sleep(SERVES_ON_S)
        await load.close()
        assert fleet.engines.late_arrivals_s == []
        assert any(answer.status == 200 for answer in load.answers[-10:])

    run_fleet(
        monkeypatch,
        scenario,
        hosts=hosts,
        engine_count=4,
        engine_type=LeavingEngines,
    )
