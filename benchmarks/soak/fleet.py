"""Start real gateways, inject random faults and collect the results."""

import asyncio
import base64
import collections
import functools
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
from typing import Any

from benchmarks.soak import checks
from benchmarks.soak import stepped_clock
from benchmarks.soak.callers import CLIENT_DEADLINE_S
from benchmarks.soak.callers import Caller
from benchmarks.soak.callers import Outcome
from benchmarks.soak.external_services import LEASE_S
from benchmarks.soak.external_services import USAGE_WINDOW_S
from benchmarks.soak.external_services import DutyService
from benchmarks.soak.external_services import Runs
from benchmarks.soak.external_services import StoreService
from benchmarks.soak.external_services import UpstreamService
from benchmarks.soak.external_services import make_registration
from benchmarks.soak.proxy import Fault
from benchmarks.soak.proxy import FaultyTcpProxy
from shallotfold.platform import names
from shallotfold.platform.settings import SETTINGS_VARIABLE

SERVICE_NAME = "workers"
CALLERS_PER_HOST = 3
# A host counts as disturbed for this long after the end of a fault.
RECOVERY_S = 3.5
STARTUP_S = 3.0
MAX_FREEZE_S = 3.0
# Offsets of a host's wall clock. Only one host is stepped at a time, so that
# the majority of clocks stays right.
CLOCK_STEPS_S = (-4000.0, -3.0, 3.0, 4000.0)
OTHER_WRITES_INTERVAL_S = 0.05
ALL_FULL_SHARE = 0.5
# An upstream that ended under a prompt is back after this time.
CRASH_S = 1.0
# Requests a second that upstreams name as their limits.
NAMED_RATES = (0.4, 1.5, 6.0)


def make_configuration(version: int) -> bytes:
    """Return the configuration of the fleet as JSON."""
    routes = [
        {
            "Name": kind,
            "Host": "shop.example",
            "PathPrefix": f"/{kind}/",
            "Kind": wire_kind,
            "TimeoutMs": int(checks.ROUTE_TIMEOUT_S * 1000),
            "TargetLatencyMs": 300,
            "GapTargetMs": 200,
            "Service": SERVICE_NAME,
            "MaxAttempts": 2,
            "StreamResumption": kind == "stream",
        }
        for kind, wire_kind in (
            ("once", "non_idempotent"),
            ("repeat", "idempotent"),
            ("stream", "streaming"),
        )
    ]
    document = {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": SERVICE_NAME, "ConnectionLimit": 100},
            # Its upstreams never start, so the holder orders them repeatedly.
            {
                "Name": "ordered",
                "ConnectionLimit": 100,
                "Scaling": {
                    "Minimum": 1,
                    "Maximum": 2,
                    "BootTimeS": 0,
                    "ZonePrices": {f"z{n}": 1.0 for n in range(6)},
                },
            },
        ],
        "Limits": {},
        "Tenants": [{"Name": "north", "ApiKeys": ["right"]}],
    }
    return json.dumps(document).encode()


class Fleet:
    """Gateways, callers, external services and faults of one run."""

    def __init__(
        self, *, seed: int, host_count: int, upstream_count: int, logs: str
    ) -> None:
        self._seed = seed
        self._rng = random.Random(seed)
        self._logs = logs
        # Each run uses loopback addresses of its own.
        network_prefix = (
            f"127.{10 + os.getpid() % 200}.{self._rng.randrange(250)}"
        )
        self._ips = [
            f"{network_prefix}.{number + 1}" for number in range(host_count)
        ]
        self._runs = Runs()
        self._store = StoreService()
        self._duties = DutyService()
        self._upstreams = [
            UpstreamService(f"u{number}", self._runs)
            for number in range(upstream_count)
        ]
        self._upstream_proxies: list[FaultyTcpProxy] = []
        self._store_proxies: list[FaultyTcpProxy] = []
        self._duty_proxies: list[FaultyTcpProxy] = []
        self._processes: list[asyncio.subprocess.Process | None] = []
        self._outcomes: list[Outcome] = []
        self._disturbed_spans: list[tuple[int, float, float]] = []
        self._cut_spans: list[tuple[str, float, float]] = []
        self._fault_counts: collections.Counter[str] = collections.Counter()
        self._version = 1
        self._is_clock_stepped = False
        self._unexpected_exits: list[str] = []

    async def run(self, seconds: float) -> dict[str, Any]:
        """Run for the given time and return a report."""
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self._start(pathlib.Path(folder))
                async with asyncio.timeout(seconds + 60.0):
                    await self._run_load(seconds)
            finally:
                await self._close()
        violations = checks.find_violations(
            self._outcomes, self._runs, self._duties, self._disturbed_spans
        )
        violations += checks.find_pause_violations(
            self._outcomes, self._runs, self._disturbed_spans, self._cut_spans
        )
        violations += checks.find_crash_violations(
            self._outcomes, self._runs, self._disturbed_spans
        )
        violations += checks.find_equal_crash_violations(
            self._outcomes, self._runs, self._disturbed_spans
        )
        violations += checks.find_limit_violations(
            self._outcomes, self._runs, self._disturbed_spans, self._cut_spans
        )
        violations += self._unexpected_exits
        statuses = collections.Counter(o.status for o in self._outcomes)
        return {
            "seed": self._seed,
            "requests": len(self._outcomes),
            "statuses": dict(sorted(statuses.items())),
            "harms": dict(self._fault_counts),
            "crashes": len(self._runs.crashes_s),
            "equal_crashes": len(self._runs.equal_crashes),
            "violations": violations,
        }

    async def _start(self, folder: pathlib.Path) -> None:
        self._store.standin.put(names.CONFIGURATION_KEY, make_configuration(1))
        await self._store.start()
        await self._duties.start()
        for upstream in self._upstreams:
            await upstream.start()
            proxy = FaultyTcpProxy(("127.0.0.1", upstream.port))
            await proxy.start()
            self._upstream_proxies.append(proxy)
            upstream.on_crash = functools.partial(self._crash, upstream, proxy)
            self._register(upstream, proxy)
        for number in range(len(self._ips)):
            proxy = FaultyTcpProxy(("127.0.0.1", self._store.port))
            await proxy.start()
            self._store_proxies.append(proxy)
            proxy = FaultyTcpProxy(("127.0.0.1", self._duties.port))
            await proxy.start()
            self._duty_proxies.append(proxy)
            path = folder / f"host{number}.json"
            path.write_text(json.dumps(self._make_settings(number)))
            stepped_clock.write_offset(folder / f"clock{number}", 0.0)
            self._processes.append(None)
        self._folder = folder
        for number in range(len(self._ips)):
            await self._start_gateway(number)

    def _register(
        self,
        upstream: UpstreamService,
        proxy: FaultyTcpProxy,
        *,
        draining: bool = False,
    ) -> None:
        document = make_registration(
            SERVICE_NAME,
            f"127.0.0.1:{proxy.port}",
            upstream.started_ms,
            draining=draining,
        )
        self._store.standin.put(
            f"{names.UPSTREAMS_PREFIX}{upstream.upstream_id}", document
        )

    def _crash(self, upstream: UpstreamService, proxy: FaultyTcpProxy) -> None:
        """Let an upstream end; it starts again under its id."""
        if upstream.ended:
            # Another request with the part was open there.
            return
        upstream.ended = True
        proxy.set_fault(Fault.RESET)
        asyncio.get_running_loop().call_later(
            CRASH_S, self._end_crash, upstream, proxy
        )

    def _end_crash(
        self, upstream: UpstreamService, proxy: FaultyTcpProxy
    ) -> None:
        proxy.set_fault(Fault.NONE)
        upstream.ended = False
        # What an upstream named ends with it.
        upstream.end_limit()
        upstream.started_ms = int(time.time() * 1000)
        self._register(upstream, proxy)

    def _make_settings(self, number: int) -> dict[str, Any]:
        ip = self._ips[number]
        return {
            "NodeName": f"host{number}",
            "IpAddress": ip,
            "Zone": "a",
            "Zones": {"a": "r"},
            "ListenAddresses": {
                "Frontend": f"{ip}:8001",
                "Ready": f"{ip}:8002",
                "ControlPlane": f"{ip}:8003",
            },
            "InternalPortRange": [7340, 7355],
            "SeedNodes": [f"{seed_ip}:8003" for seed_ip in self._ips[:3]],
            "ContractParameters": {
                "RetryBudgetRatio": 0.2,
                "RetryBudgetExtra": 50,
                "BudgetWindowS": 10,
                "GracePeriodS": 4,
                "LeaseDurationMs": int(LEASE_S * 1000),
                "UsageWindowS": USAGE_WINDOW_S,
                "UsageLatenessS": 8,
            },
            "Platform": {
                "Address": f"127.0.0.1:{self._store_proxies[number].port}"
            },
            "CloudApi": {
                "Address": f"127.0.0.1:{self._duty_proxies[number].port}"
            },
        }

    async def _start_gateway(self, number: int) -> None:
        path = self._folder / f"host{number}.json"
        log_path = pathlib.Path(self._logs) / f"host{number}.log"
        log_file = log_path.open("ab") if self._logs else None
        self._processes[number] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.soak.stepped_clock",
            str(self._folder / f"clock{number}"),
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stdout=log_file or asyncio.subprocess.DEVNULL,
            stderr=log_file or asyncio.subprocess.DEVNULL,
        )
        if log_file is not None:
            log_file.close()

    async def _run_load(self, seconds: float) -> None:
        await asyncio.sleep(STARTUP_S)
        end_s = time.monotonic() + seconds
        # Starting the gateways counts as a disturbance.
        for number in range(len(self._ips)):
            self._mark_disturbed(number, 0.0)
        caller_tasks = [
            asyncio.create_task(self._run_caller(end_s, caller_number))
            for caller_number in range(CALLERS_PER_HOST * len(self._ips))
        ]
        fault_tasks = [
            asyncio.create_task(self._inject_faults(end_s - 2.0, series))
            for series in range(2)
        ]
        fault_tasks.append(asyncio.create_task(self._name_limits(end_s)))
        await asyncio.gather(*caller_tasks, *fault_tasks)
        # Requests reported as not run must not run later either.
        await asyncio.sleep(1.0)

    async def _run_caller(self, end_s: float, caller_number: int) -> None:
        rng = random.Random(f"{self._seed}/{caller_number}")
        caller = Caller(rng, self._ips)
        while time.monotonic() < end_s:
            key = "wrong" if rng.random() < 0.05 else "right"
            self._outcomes.append(await caller.call(key))
            if rng.random() < 0.1:
                caller.disconnect()
            await asyncio.sleep(rng.expovariate(20.0))
        caller.disconnect()

    def _mark_disturbed(self, number: int, duration_s: float) -> None:
        now_s = time.monotonic()
        self._disturbed_spans.append(
            (number, now_s - 0.5, now_s + duration_s + RECOVERY_S)
        )

    async def _inject_faults(self, end_s: float, series: int) -> None:
        rng = random.Random(f"{self._seed}/harm/{series}")
        injectors = (
            self._inject_host_fault,
            self._inject_host_fault,
            self._inject_upstream_fault,
            self._inject_store_fault,
            self._cut_off_from_platform,
            self._step_clock,
            self._change_configuration,
        )
        while time.monotonic() < end_s:
            await rng.choice(injectors)(rng)
            await asyncio.sleep(rng.uniform(0.2, 1.5))

    async def _name_limits(self, end_s: float) -> None:
        """Let one upstream after the other name a limit."""
        rng = random.Random(f"{self._seed}/limits")
        while time.monotonic() < end_s:
            upstream = rng.choice(self._upstreams)
            upstream.name_limit(rng.choice(NAMED_RATES))
            self._fault_counts["upstream limit"] += 1
            limited_s = rng.uniform(3.0, 9.0)
            await asyncio.sleep(min(limited_s, end_s - time.monotonic()))
            upstream.end_limit()
            await asyncio.sleep(rng.uniform(0.2, 1.5))

    async def _inject_host_fault(self, rng: random.Random) -> None:
        number = rng.randrange(len(self._ips))
        process = self._processes[number]
        if process is None or process.returncode is not None:
            return
        fault = rng.choice(("kill", "term", "freeze", "hup"))
        self._fault_counts[fault] += 1
        if fault == "hup":
            process.send_signal(signal.SIGHUP)
            return
        if fault == "freeze":
            freeze_s = rng.uniform(0.3, MAX_FREEZE_S)
            self._mark_disturbed(number, freeze_s)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(freeze_s)
            # The other series of faults may have stopped it meanwhile.
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
            return
        self._processes[number] = None
        self._mark_disturbed(number, 6.0)
        process.send_signal(
            signal.SIGKILL if fault == "kill" else signal.SIGTERM
        )
        await process.wait()
        self._mark_disturbed(number, STARTUP_S)
        await self._start_gateway(number)

    async def _inject_upstream_fault(self, rng: random.Random) -> None:
        number = rng.randrange(len(self._upstreams))
        proxy = self._upstream_proxies[number]
        upstream = self._upstreams[number]
        fault = rng.choice(
            (
                Fault.DELAY,
                Fault.SILENCE,
                Fault.ONE_WAY,
                Fault.RESET,
                "full",
                "leave",
                "leave unregistered",
            )
        )
        self._fault_counts[f"upstream {_fault_name(fault)}"] += 1
        duration_s = rng.uniform(0.3, 3.0)
        if fault == "full":
            # Unless all are full, hosts avoid one that fails anyway.
            every = rng.random() < ALL_FULL_SHARE
            full_upstreams = self._upstreams if every else [upstream]
            pause_s = rng.choice((0.0, 1.5, 3.0))
            for full in full_upstreams:
                full.pause_s, full.failing = pause_s, True
            await asyncio.sleep(duration_s)
            for full in full_upstreams:
                full.failing = False
        elif fault == "leave":
            self._register(upstream, proxy, draining=True)
            await asyncio.sleep(duration_s)
            self._register(upstream, proxy)
        elif fault == "leave unregistered":
            await self._restart_upstream(upstream, proxy, duration_s)
        elif isinstance(fault, Fault):
            cut_from_s = time.monotonic()
            proxy.set_fault(fault)
            if fault in (Fault.SILENCE, Fault.ONE_WAY):
                # Longer than any caller waits: a timeout must end the wait.
                duration_s += CLIENT_DEADLINE_S
            await asyncio.sleep(duration_s)
            proxy.set_fault(Fault.NONE)
            # Connections that lost data stay unusable.
            proxy.reset()
            self._cut_spans.append(
                (upstream.upstream_id, cut_from_s, time.monotonic())
            )

    async def _restart_upstream(
        self,
        upstream: UpstreamService,
        proxy: FaultyTcpProxy,
        duration_s: float,
    ) -> None:
        """Let an upstream leave that says so only in its responses."""
        if upstream.leaving:
            return
        upstream.leaving = True
        await asyncio.sleep(checks.DRAIN_TIMEOUT_S + duration_s)
        # It starts again under its id.
        upstream.leaving = False
        upstream.started_ms = int(time.time() * 1000)
        self._register(upstream, proxy)

    async def _inject_store_fault(self, rng: random.Random) -> None:
        duration_s = rng.uniform(0.5, 4.0)
        fault = rng.choice(
            (
                *(kind for kind in Fault if kind is not Fault.NONE),
                "busy",
                "forget",
                "restore",
            )
        )
        self._fault_counts[f"store {_fault_name(fault)}"] += 1
        if fault == "busy":
            self._store.standin.error_status = 503
            await asyncio.sleep(duration_s)
            self._store.standin.error_status = 0
            return
        if fault == "restore":
            await self._restore_store(duration_s, rng.uniform(0.0, 1.0))
            return
        if not isinstance(fault, Fault):
            self._store.standin.oldest_kept_revision = (
                self._store.standin.revision
            )
            return
        faulty_proxies = [p for p in self._store_proxies if rng.random() < 0.6]
        for proxy in faulty_proxies:
            proxy.set_fault(fault)
        await asyncio.sleep(duration_s)
        for proxy in faulty_proxies:
            proxy.set_fault(Fault.NONE)
            proxy.reset()

    async def _cut_off_from_platform(self, rng: random.Random) -> None:
        """Cut the duty holder off from the store and the duties' API."""
        if not self._duties.arrivals:
            return
        number = int(self._duties.arrivals[-1].holder.removeprefix("host"))
        self._fault_counts["platform cut"] += 1
        self._duty_proxies[number].set_fault(Fault.HOLD)
        self._store_proxies[number].set_fault(Fault.SILENCE)
        # Longer than a lease, so that another host takes the duties over.
        await asyncio.sleep(rng.uniform(LEASE_S, 4.0 * LEASE_S))
        self._duty_proxies[number].set_fault(Fault.NONE)
        self._store_proxies[number].set_fault(Fault.NONE)
        self._store_proxies[number].reset()

    async def _restore_store(self, age_s: float, away_s: float) -> None:
        """Let the store come back from a copy of `age_s` ago."""
        standin = self._store.standin
        backup = standin.back_up()
        ends_s = time.monotonic() + age_s
        while time.monotonic() < ends_s:
            # Other users of the store, which use up revisions.
            standin.put("elsewhere", b"")
            await asyncio.sleep(OTHER_WRITES_INTERVAL_S)
        standin.error_status = 503
        await asyncio.sleep(away_s)
        current = list(standin.entries.items())
        standin.restore(backup)
        standin.error_status = 0
        # The operator and the upstreams write again what they wrote.
        for key, entry in current:
            if key.startswith(("op/", names.UPSTREAMS_PREFIX)):
                standin.put(key, base64.b64decode(entry["ValueData"]))

    async def _step_clock(self, rng: random.Random) -> None:
        if self._is_clock_stepped:
            return
        self._is_clock_stepped = True
        self._fault_counts["clock"] += 1
        number = rng.randrange(len(self._ips))
        path = self._folder / f"clock{number}"
        stepped_clock.write_offset(path, rng.choice(CLOCK_STEPS_S))
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        stepped_clock.write_offset(path, 0.0)
        self._is_clock_stepped = False

    async def _change_configuration(self, rng: random.Random) -> None:
        del rng
        self._version += 3
        self._fault_counts["configuration"] += 1
        self._store.standin.put(
            names.CONFIGURATION_KEY, make_configuration(self._version)
        )

    def _record_unexpected_exits(self) -> None:
        for number, process in enumerate(self._processes):
            if process is not None and process.returncode is not None:
                self._unexpected_exits.append(
                    f"host {number} exited unexpectedly ({process.returncode})"
                )

    async def _close(self) -> None:
        self._record_unexpected_exits()
        for process in self._processes:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for service in (self._store, self._duties, *self._upstreams):
            await service.close()
        for proxy in (
            *self._upstream_proxies,
            *self._store_proxies,
            *self._duty_proxies,
        ):
            await proxy.close()


def _fault_name(fault: Fault | str) -> str:
    return fault.value if isinstance(fault, Fault) else fault
