"""Read what the stand-ins saw of a demo and judge the promises."""

import asyncio
import time
from typing import Any

import attrs

from benchmarks import verdict as verdicts
from benchmarks.callers import Callers
from benchmarks.disruptions import KILLED_ENGINE
from benchmarks.fleet import Fleet
from benchmarks.topology import DATA_CENTRES
from benchmarks.topology import KEY_MARKER
from benchmarks.verdict import UsageTotals
from benchmarks.verdict import Verdict

USAGE_TIMEOUT_S = 45.0
POLL_INTERVAL_S = 0.5


@attrs.define
class Judge:
    """Compare what callers, upstreams and the platform saw.

    Attributes:
        fleet: Whose stand-ins are read.
        callers: Whose exchanges are judged.
        verdict: Where the outcome is recorded.
    """

    fleet: Fleet
    callers: Callers
    verdict: Verdict

    async def judge(self) -> None:
        """Judge everything and print the tables."""
        exchanges = self.callers.exchanges
        totals = await self._settle_usage()
        print(verdicts.class_table(exchanges))
        print(verdicts.refusal_table(exchanges))
        print(verdicts.usage_table(totals))
        verdicts.check_answers(self.verdict, exchanges)
        verdicts.check_bookings(self.verdict, exchanges, await self._runs())
        await self._judge_upstreams()
        await self._judge_usage(totals)

    async def _settle_usage(self) -> dict[str, UsageTotals]:
        """Wait until the reports match what was served, or for too long."""
        deadline_s = time.monotonic() + USAGE_TIMEOUT_S
        while True:
            usage = await self._fetch_usage()
            totals = verdicts.total_usage(
                self.callers.exchanges, usage["reports"]
            )
            settled = not any(t.faults(n) for n, t in totals.items())
            late = time.monotonic() > deadline_s
            if settled or late or not self.fleet.with_controllers:
                return totals
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _judge_usage(self, totals: dict[str, UsageTotals]) -> None:
        if not self.fleet.with_controllers:
            self.verdict.skip(
                "usage reports and orders", "no controllers were started"
            )
            return
        faults = [f for name in totals for f in totals[name].faults(name)]
        self.verdict.check("reported usage is what callers got", faults)
        usage = await self._fetch_usage()
        conflicts, stale = usage["conflicts"], usage["stale"]
        self.verdict.check(
            "no usage window is reported with two sets of figures",
            [f"{conflicts} conflicts"] if conflicts else [],
        )
        self.verdict.check(
            "no report comes from a superseded process",
            [f"{stale} reports"] if stale else [],
        )
        await self._judge_orders()

    async def _judge_orders(self) -> None:
        faults = []
        for name in DATA_CENTRES:
            orders = await self.fleet.fetch(
                self.fleet.topology.platform_url, f"/v1/orders/{name}"
            )
            for order in orders["orders"]:
                print(f"order in {name}: {order['action']} {order['upstream']}")
            numbers = [order["fencing"] for order in orders["orders"]]
            if numbers != sorted(numbers):
                faults.append(f"{name} took orders {numbers}")
        self.verdict.check("no order comes from a superseded process", faults)

    async def _runs(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for upstream in self.fleet.topology.upstreams():
            if upstream.service:
                counts = await self.fleet.fetch(upstream.url, "/runs")
                for digest, count in counts["runs"].items():
                    runs[digest] = runs.get(digest, 0) + count
        return runs

    async def _judge_upstreams(self) -> None:
        marked, resumes = [], []
        topology = self.fleet.topology
        for upstream in (*topology.upstreams(), *topology.spares()):
            if upstream.name == KILLED_ENGINE:
                continue
            stats = await self.fleet.fetch(upstream.url, "/stats")
            if stats["marked_requests"]:
                marked.append(f"{upstream.name}: {stats['marked_requests']}")
            if stats.get("wrong_resumes"):
                resumes.append(f"{upstream.name}: {stats['wrong_resumes']}")
        self.verdict.check("no upstream sees a caller's key", marked)
        self.verdict.check("no log holds a caller's key", self._keys_in_logs())
        self.verdict.check("streams are resumed where they broke", resumes)

    def _keys_in_logs(self) -> list[str]:
        logs = sorted(self.fleet.processes.directory.glob("*.log"))
        return [
            log.name
            for log in logs
            if KEY_MARKER in log.read_text(errors="replace")
        ]

    async def _fetch_usage(self) -> Any:
        url = self.fleet.topology.platform_url
        return await self.fleet.fetch(url, "/v1/usage")
