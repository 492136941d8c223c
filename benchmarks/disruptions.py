"""Inject faults into the demo's fleet while traffic runs."""

import asyncio
import time

import attrs

from benchmarks.callers import Callers
from benchmarks.exchanges import Result
from benchmarks.exchanges import Workload
from benchmarks.fleet import Fleet
from benchmarks.fleet import print_step
from benchmarks.verdict import Verdict

KILL_ENGINE_AT_S = 3.0
KILL_ENTRY_AT_S = 6.0
RESTART_ENTRY_AT_S = 8.5
LEAVE_AT_S = 10.0
LOSE_ANSWERS_AT_S = 11.0
STORE_DOWN_AT_S = 12.0
STORE_DOWN_S = 2.0
WITHDRAW_KEY_AT_S = 15.0
STOP_ENTRY_AT_S = 19.0
WITHDRAWAL_LIMIT_S = 5.0
LEAVING_LIMIT_S = 4.0
MIN_BUSY_REQUESTS = 3
BUSY_TIMEOUT_S = 2.0
BUSY_POLL_S = 0.01
LOST_ANSWER_COUNT = 8
KILLED_ENGINE = "engine-1"
LEAVING_ENGINE = "engine-4"
KILLED_ENTRY = "entry-1"
STOPPED_ENTRY = "entry-3"


@attrs.define
class Disruptions:
    """Kill, stop and withdraw parts of the fleet at set times of the run.

    Attributes:
        fleet: Fleet that the faults are injected into.
        callers: Traffic that runs meanwhile.
        verdict: Where the outcome of each disruption is recorded.
        refused_by_leaving: Requests that the leaving upstream refused within
            the allowed time.
        store_outage_s: Monotonic start and end of the store outage.
    """

    fleet: Fleet
    callers: Callers
    verdict: Verdict
    refused_by_leaving: int = 0
    store_outage_s: tuple[float, float] = (0.0, 0.0)

    async def run(self) -> None:
        """Inject all faults in turn."""
        started_s = time.monotonic()

        async def wait_until(at_s: float) -> None:
            await asyncio.sleep(max(0.0, started_s + at_s - time.monotonic()))

        await wait_until(KILL_ENGINE_AT_S)
        print_step(f"killing upstream {KILLED_ENGINE}")
        self.fleet.processes.kill(KILLED_ENGINE)
        platform_url = self.fleet.topology.platform_url
        await self.fleet.inject_faults(
            platform_url, removed_hosts=[KILLED_ENGINE]
        )
        await wait_until(KILL_ENTRY_AT_S)
        await self._wait_until_busy(KILLED_ENTRY)
        print_step(f"killing entry {KILLED_ENTRY}")
        self.fleet.kill_entry_host(KILLED_ENTRY)
        await wait_until(RESTART_ENTRY_AT_S)
        print_step(f"restarting entry {KILLED_ENTRY}")
        await self.fleet.start_entry_hosts([KILLED_ENTRY])
        await wait_until(LEAVE_AT_S)
        leaving = asyncio.create_task(self._mark_engine_leaving())
        await wait_until(LOSE_ANSWERS_AT_S)
        print_step(
            f"the store drops {LOST_ANSWER_COUNT} responses to executed calls"
        )
        await self.fleet.inject_faults(
            self.fleet.topology.platform_url,
            store="lose_answers",
            count=LOST_ANSWER_COUNT,
        )
        await wait_until(STORE_DOWN_AT_S)
        await self._simulate_store_outage()
        await wait_until(WITHDRAW_KEY_AT_S)
        await leaving
        await self._withdraw_key()
        await wait_until(STOP_ENTRY_AT_S)
        await self._stop_entry()

    async def _wait_until_busy(self, name: str) -> None:
        """Wait until an entry has several requests in flight."""
        url = self.fleet.topology.entry_url(name)
        deadline_s = time.monotonic() + BUSY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self.callers.in_flight_by_entry[url] >= MIN_BUSY_REQUESTS:
                return
            await asyncio.sleep(BUSY_POLL_S)

    async def _simulate_store_outage(self) -> None:
        print_step(f"the store is down for {STORE_DOWN_S:.0f} s")
        platform_url = self.fleet.topology.platform_url
        await self.fleet.inject_faults(platform_url, store="down")
        outage_start_s = time.monotonic()
        await asyncio.sleep(STORE_DOWN_S)
        await self.fleet.inject_faults(platform_url, store="ok")
        self.store_outage_s = (outage_start_s, time.monotonic())

    def check_store_outage(self) -> None:
        """Check, at the end, the model traffic during the store outage."""
        start_s, end_s = self.store_outage_s
        faults = [
            f"{e.workload.class_name} {e.number}: {e.detail}"
            for e in self.callers.exchanges
            if start_s <= e.started_s <= end_s
            and not e.workload.booking
            and e.result is not Result.ANSWERED
        ]
        self.verdict.check(
            "model requests are served while the store is down", faults
        )

    async def _mark_engine_leaving(self) -> None:
        print_step(f"upstream {LEAVING_ENGINE} is leaving")
        url = self.fleet.topology.upstream_url(LEAVING_ENGINE)
        await self.fleet.inject_faults(url, leaving=True)
        await self.fleet.inject_faults(
            self.fleet.topology.platform_url, leaving_hosts=[LEAVING_ENGINE]
        )
        await asyncio.sleep(LEAVING_LIMIT_S)
        self.refused_by_leaving = (await self.fleet.fetch(url, "/stats"))[
            "refused"
        ]

    async def check_leaving_upstream(self) -> None:
        """Check, at the end, which requests the leaving upstream still got."""
        url = self.fleet.topology.upstream_url(LEAVING_ENGINE)
        refused = (await self.fleet.fetch(url, "/stats"))["refused"]
        late_refusals = refused - self.refused_by_leaving
        self.verdict.check(
            "a leaving upstream gets no requests after "
            f"{LEAVING_LIMIT_S:.0f} s",
            [f"{late_refusals} requests came later"] if late_refusals else [],
        )

    async def _withdraw_key(self) -> None:
        long_stream = self._spare_key_workload(tokens=2000)
        visitor = Callers(self.callers.entry_urls, max_tries=1)
        await visitor.start()
        connected = asyncio.create_task(visitor.send_one(long_stream))
        await asyncio.sleep(0.5)
        print_step("withdrawing a key with a connected caller")
        await self.fleet.submit(with_spare_key=False, base_version=1)
        withdrawn_s = time.monotonic()
        ended, _ = await asyncio.wait([connected], timeout=WITHDRAWAL_LIMIT_S)
        ended_s = time.monotonic() - withdrawn_s
        faults = []
        if not ended:
            faults.append("the stream did not end")
        elif connected.result().result is Result.ANSWERED:
            faults.append("the stream was served completely")
        else:
            print_step(f"the caller's stream ended {ended_s:.1f} s later")
        connected.cancel()
        await visitor.close()
        remaining_s = WITHDRAWAL_LIMIT_S - ended_s
        await asyncio.sleep(max(0.0, min(2.0, remaining_s)))
        for name in self.fleet.topology.entry_names:
            faults += await self._try_withdrawn_key(name)
        self.verdict.check(
            f"a withdrawn key stops working within {WITHDRAWAL_LIMIT_S:.0f} s",
            faults,
        )

    async def _try_withdrawn_key(self, name: str) -> list[str]:
        callers = Callers([self.fleet.topology.entry_url(name)])
        await callers.start()
        try:
            exchange = await callers.send_one(self._spare_key_workload(8))
        finally:
            await callers.close()
        if exchange.code in ("unauthenticated", "key_withdrawn"):
            return []
        return [f"{name} returned {exchange.result.value} {exchange.detail}"]

    def _spare_key_workload(self, tokens: int) -> Workload:
        return Workload(
            class_name="chat",
            workspace="visitors",
            key=self.fleet.topology.spare_key.secret,
            interval_s=1.0,
            streaming=True,
            min_tokens=tokens,
            max_tokens=tokens,
        )

    async def _stop_entry(self) -> None:
        await self._wait_until_busy(STOPPED_ENTRY)
        print_step(f"stopping entry {STOPPED_ENTRY} gracefully")
        code = await asyncio.to_thread(
            self.fleet.processes.terminate, STOPPED_ENTRY
        )
        url = self.fleet.topology.entry_url(STOPPED_ENTRY)
        cut_exchanges = [e for e in self.callers.exchanges if url in e.cut_at]
        faults = [
            f"{e.workload.class_name} {e.number} was cut off"
            for e in cut_exchanges
        ]
        if code:
            faults.append(f"exit code {code}")
        self.verdict.check("a graceful shutdown cuts off no request", faults)
