"""Check the promises against what the stand-ins of a demo recorded."""

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
class PromiseChecker:
    """Compare what callers, upstreams and the platform recorded.

    Attributes:
        fleet: Fleet whose stand-ins are read.
        callers: Callers whose exchanges are checked.
        verdict: Receives the result of each check.
    """

    fleet: Fleet
    callers: Callers
    verdict: Verdict

    async def check_all(self) -> None:
        """Check all promises and print the tables."""
        exchanges = self.callers.exchanges
        totals = await self._wait_for_usage_reports()
        print(verdicts.class_table(exchanges))
        print(verdicts.refusal_table(exchanges))
        print(verdicts.usage_table(totals))
        verdicts.check_answers(self.verdict, exchanges)
        verdicts.check_bookings(
            self.verdict, exchanges, await self._fetch_runs()
        )
        await self._check_upstreams()
        await self._check_usage(totals)

    async def _wait_for_usage_reports(self) -> dict[str, UsageTotals]:
        """Wait until the reports match what was served, or for the timeout."""
        deadline_s = time.monotonic() + USAGE_TIMEOUT_S
        while True:
            usage = await self._fetch_usage()
            totals = verdicts.total_usage(
                self.callers.exchanges, usage["reports"]
            )
            reports_match = not any(t.mismatches(n) for n, t in totals.items())
            timed_out = time.monotonic() > deadline_s
            if reports_match or timed_out or not self.fleet.with_controllers:
                return totals
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _check_usage(self, totals: dict[str, UsageTotals]) -> None:
        if not self.fleet.with_controllers:
            self.verdict.skip(
                "usage reports and orders", "no controllers were started"
            )
            return
        faults = [f for name in totals for f in totals[name].mismatches(name)]
        self.verdict.check(
            "reported usage matches what callers received", faults
        )
        usage = await self._fetch_usage()
        conflicts, stale = usage["conflicts"], usage["stale"]
        self.verdict.check(
            "no usage window is reported with conflicting counts",
            [f"{conflicts} conflicts"] if conflicts else [],
        )
        self.verdict.check(
            "no report comes from a superseded process",
            [f"{stale} reports"] if stale else [],
        )
        await self._check_orders()

    async def _check_orders(self) -> None:
        faults = []
        for name in DATA_CENTRES:
            orders = await self.fleet.fetch(
                self.fleet.topology.platform_url, f"/v1/orders/{name}"
            )
            for order in orders["orders"]:
                print(f"order in {name}: {order['action']} {order['upstream']}")
            fencing_tokens = [order["fencing"] for order in orders["orders"]]
            if fencing_tokens != sorted(fencing_tokens):
                faults.append(
                    f"{name} executed orders with fencing tokens "
                    f"{fencing_tokens}"
                )
        self.verdict.check("no order comes from a superseded process", faults)

    async def _fetch_runs(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for upstream in self.fleet.topology.upstreams():
            if upstream.service:
                counts = await self.fleet.fetch(upstream.url, "/runs")
                for digest, count in counts["runs"].items():
                    runs[digest] = runs.get(digest, 0) + count
        return runs

    async def _check_upstreams(self) -> None:
        marked_requests, wrong_resumes = [], []
        topology = self.fleet.topology
        for upstream in (*topology.upstreams(), *topology.spares()):
            if upstream.name == KILLED_ENGINE:
                continue
            stats = await self.fleet.fetch(upstream.url, "/stats")
            if stats["marked_requests"]:
                marked_requests.append(
                    f"{upstream.name}: {stats['marked_requests']}"
                )
            if stats.get("wrong_resumes"):
                wrong_resumes.append(
                    f"{upstream.name}: {stats['wrong_resumes']}"
                )
        self.verdict.check("no upstream sees a caller's key", marked_requests)
        self.verdict.check(
            "no log contains a caller's key", self._find_logs_with_keys()
        )
        self.verdict.check("streams resume where they broke off", wrong_resumes)

    def _find_logs_with_keys(self) -> list[str]:
        logs = sorted(self.fleet.processes.directory.glob("*.log"))
        return [
            log.name
            for log in logs
            if KEY_MARKER in log.read_text(errors="replace")
        ]

    async def _fetch_usage(self) -> Any:
        url = self.fleet.topology.platform_url
        return await self.fleet.fetch(url, "/v1/usage")
