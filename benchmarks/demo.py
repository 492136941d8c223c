"""Run the whole of shallotfold on loopback, break parts of it, and judge.

Starts every process on its own loopback address, submits a configuration,
sends mixed traffic, kills one upstream and one entry, withdraws a key, stops
one entry gracefully, and prints what the callers saw. Exit code 0 means that
every promise that the run can see held; 1 that one was broken; 2 that the
processes could not be started.
"""

import argparse
import asyncio
import pathlib
import sys
import tempfile
import time
from typing import Any

import aiohttp
import attrs

from benchmarks import verdict as verdicts
from benchmarks.callers import Callers
from benchmarks.callers import Exchange
from benchmarks.callers import Result
from benchmarks.callers import Workload
from benchmarks.processes import Processes
from benchmarks.processes import StartError
from benchmarks.topology import Topology
from benchmarks.verdict import Verdict
from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._model.serialization import dump_configuration
from shallotfold._platform.http_store import HttpStore

CLASS_HEADER = "X-Request-Class"
TRAFFIC_S = 24.0
KILL_ENGINE_AT_S = 4.0
KILL_ENTRY_AT_S = 8.0
RESTART_ENTRY_AT_S = 11.0
WITHDRAW_KEY_AT_S = 15.0
STOP_ENTRY_AT_S = 19.0
WITHDRAWAL_LIMIT_S = 5.0
USAGE_TIMEOUT_S = 25.0
KILLED_ENGINE = "engine-1"
KILLED_ENTRY = "entry-1"
STOPPED_ENTRY = "entry-3"


@attrs.define
class Demo:
    """One run of the demo.

    Attributes:
        topology: Where everything is.
        processes: Everything that was started.
        callers: The traffic.
        session: For reading the stand-ins.
        verdict: What was judged so far.
        with_controllers: Whether the controller can be started.
    """

    topology: Topology
    processes: Processes
    callers: Callers
    session: aiohttp.ClientSession
    verdict: Verdict = attrs.field(factory=Verdict)
    with_controllers: bool = True

    async def run(self) -> bool:
        """Run everything and return whether every promise seen held."""
        await self._start_everything()
        say("sending traffic")
        async with asyncio.TaskGroup() as group:
            for workload in self.topology.workloads():
                group.create_task(self.callers.send_for(workload, TRAFFIC_S))
            group.create_task(self._break_things())
        await self.callers.drain()
        say("traffic has ended; waiting for the usage reports")
        await self._judge()
        print(self.verdict.render())
        return self.verdict.passed

    async def _start_everything(self) -> None:
        topology = self.topology
        say("starting the platform and the upstreams")
        await self.processes.start_all(
            [topology.platform_command(), *topology.upstream_commands()]
        )
        await self._submit(with_spare_key=True, base_version=0)
        say("starting the entries and their controllers")
        await self.processes.start_all(
            [topology.entry_command(name) for name in topology.entry_names]
        )
        for name in topology.entry_names:
            self._start_controller(name)
            await self._wait_serving(name)

    def _start_controller(self, entry_name: str) -> None:
        if self.with_controllers:
            self.processes.start(self.topology.controller_command(entry_name))

    async def _wait_serving(self, name: str) -> None:
        command = attrs.evolve(
            self.topology.entry_command(name),
            ready_url=f"{self.topology.entry_url(name)}/readyz",
        )
        await self.processes.wait_ready(command)

    async def _submit(self, *, with_spare_key: bool, base_version: int) -> None:
        store = HttpStore(self.topology.platform_url)
        await store.start()
        try:
            configuration = self.topology.configuration(
                with_spare_key=with_spare_key
            )
            version = await ConfigurationStore(store).submit(
                dump_configuration(configuration),
                base_version,
                "demo",
                "run the demo",
            )
        finally:
            await store.close()
        say(f"configuration {version} is accepted")

    async def _break_things(self) -> None:
        started_s = time.monotonic()

        async def wait_for(at_s: float) -> None:
            await asyncio.sleep(max(0.0, started_s + at_s - time.monotonic()))

        await wait_for(KILL_ENGINE_AT_S)
        say(f"killing upstream {KILLED_ENGINE}")
        self.processes.kill(KILLED_ENGINE)
        await wait_for(KILL_ENTRY_AT_S)
        say(f"killing entry {KILLED_ENTRY}")
        self.processes.kill(KILLED_ENTRY)
        await wait_for(RESTART_ENTRY_AT_S)
        say(f"restarting entry {KILLED_ENTRY}")
        self.processes.start(self.topology.entry_command(KILLED_ENTRY))
        await self._wait_serving(KILLED_ENTRY)
        await wait_for(WITHDRAW_KEY_AT_S)
        await self._withdraw_key()
        await wait_for(STOP_ENTRY_AT_S)
        await self._stop_entry()

    async def _withdraw_key(self) -> None:
        long_stream = self._spare_key_workload(tokens=2000)
        connected = asyncio.create_task(self.callers.send_one(long_stream))
        await asyncio.sleep(0.5)
        say("withdrawing a key with a connected caller")
        await self._submit(with_spare_key=False, base_version=1)
        withdrawn_s = time.monotonic()
        done, _ = await asyncio.wait([connected], timeout=WITHDRAWAL_LIMIT_S)
        ended_s = time.monotonic() - withdrawn_s
        faults = []
        if not done:
            faults.append("the stream went on")
        elif connected.result().result is Result.ANSWERED:
            faults.append("the stream was served to its end")
        else:
            say(f"its stream ended {ended_s:.1f} s later")
        remaining_s = WITHDRAWAL_LIMIT_S - ended_s
        await asyncio.sleep(max(0.0, min(2.0, remaining_s)))
        for name in self.topology.entry_names:
            faults += await self._try_withdrawn_key(name)
        self.verdict.check(
            f"a withdrawn key stops within {WITHDRAWAL_LIMIT_S:.0f} s", faults
        )

    async def _try_withdrawn_key(self, name: str) -> list[str]:
        callers = Callers([self.topology.entry_url(name)], CLASS_HEADER)
        await callers.start()
        try:
            exchange = await callers.send_one(self._spare_key_workload(8))
        finally:
            await callers.close()
        if exchange.code == "unauthenticated":
            return []
        return [f"{name} gave {exchange.result.value} {exchange.detail}"]

    def _spare_key_workload(self, tokens: int) -> Workload:
        return Workload(
            class_name="chat",
            workspace="agency",
            key=self.topology.spare_key.secret,
            interval_s=1.0,
            streaming=True,
            min_tokens=tokens,
            max_tokens=tokens,
        )

    async def _stop_entry(self) -> None:
        say(f"stopping entry {STOPPED_ENTRY} gracefully")
        code = await asyncio.to_thread(self.processes.terminate, STOPPED_ENTRY)
        url = self.topology.entry_url(STOPPED_ENTRY)
        cut = [e for e in self.callers.exchanges if url in e.cut_at]
        faults = [f"{e.workload.class_name} {e.number} was cut" for e in cut]
        if code:
            faults.append(f"exit code {code}")
        self.verdict.check("a graceful shutdown cuts off no request", faults)

    async def _judge(self) -> None:
        exchanges = self.callers.exchanges
        totals = await self._settle_usage(exchanges)
        print(verdicts.class_table(exchanges))
        print(verdicts.usage_table(totals))
        verdicts.check_answers(self.verdict, exchanges)
        verdicts.check_bookings(self.verdict, exchanges, await self._runs())
        await self._judge_upstreams()
        if not self.with_controllers:
            self.verdict.skip("usage reports", "there is no controller yet")
            return
        faults = [f for name in totals for f in totals[name].faults(name)]
        self.verdict.check("reported usage is what callers got", faults)
        usage = await self._fetch(self.topology.platform_url, "/v1/usage")
        conflicts = usage["conflicts"]
        self.verdict.check(
            "no usage window is reported with two sets of figures",
            [f"{conflicts} conflicts"] if conflicts else [],
        )

    async def _settle_usage(
        self, exchanges: list[Exchange]
    ) -> dict[str, verdicts.UsageTotals]:
        deadline_s = time.monotonic() + USAGE_TIMEOUT_S
        while True:
            usage = await self._fetch(self.topology.platform_url, "/v1/usage")
            totals = verdicts.total_usage(exchanges, usage["reports"])
            settled = not any(t.faults(n) for n, t in totals.items())
            late = time.monotonic() > deadline_s
            if settled or late or not self.with_controllers:
                return totals
            await asyncio.sleep(0.5)

    async def _runs(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for upstream in self.topology.upstreams():
            if upstream.service:
                counts = await self._fetch(upstream.url, "/runs")
                for digest, count in counts["runs"].items():
                    runs[digest] = runs.get(digest, 0) + count
        return runs

    async def _judge_upstreams(self) -> None:
        marked, resumes = [], []
        for upstream in self.topology.upstreams():
            if upstream.name == KILLED_ENGINE:
                continue
            stats = await self._fetch(upstream.url, "/stats")
            if stats["marked_requests"]:
                marked.append(f"{upstream.name}: {stats['marked_requests']}")
            if stats.get("wrong_resumes"):
                resumes.append(f"{upstream.name}: {stats['wrong_resumes']}")
        self.verdict.check("no upstream sees a caller's key", marked)
        self.verdict.check("streams are resumed where they broke", resumes)

    async def _fetch(self, base_url: str, path: str) -> Any:
        async with self.session.get(base_url + path) as response:
            return await response.json()


def say(text: str) -> None:
    """Print a step of the run with its time."""
    print(f"{time.strftime('%H:%M:%S')}  {text}", flush=True)


async def run_demo(directory: pathlib.Path, *, with_controllers: bool) -> int:
    """Run the demo and return the exit code."""
    topology = Topology()
    processes = Processes(directory)
    urls = [topology.entry_url(name) for name in topology.entry_names]
    callers = Callers(urls, CLASS_HEADER)
    await callers.start()
    try:
        async with aiohttp.ClientSession() as session:
            demo = Demo(topology, processes, callers, session)
            demo.with_controllers = with_controllers
            passed = await demo.run()
    except StartError as error:
        print(f"could not start: {error}", file=sys.stderr)
        return 2
    finally:
        codes = processes.stop_all()
        await callers.close()
    for name, code in codes.items():
        if code:
            print(f"{name} ended with exit code {code}", file=sys.stderr)
    return 0 if passed else 1


def main() -> int:
    """Read the command line, run the demo and return the exit code."""
    parser = argparse.ArgumentParser(
        prog="benchmarks.demo",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--logs",
        type=pathlib.Path,
        help="directory that keeps the settings and logs of all processes",
    )
    parser.add_argument(
        "--without-controllers",
        action="store_true",
        help="start the entries alone; usage is then not judged",
    )
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        directory = options.logs or pathlib.Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        return asyncio.run(
            run_demo(
                directory, with_controllers=not options.without_controllers
            )
        )


if __name__ == "__main__":
    sys.exit(main())
