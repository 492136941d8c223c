"""Start real gateways, harm them at random and collect what was seen."""

import asyncio
import collections
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
from benchmarks.soak.outside import USAGE_WINDOW_S
from benchmarks.soak.outside import DutyService
from benchmarks.soak.outside import Runs
from benchmarks.soak.outside import StoreService
from benchmarks.soak.outside import UpstreamService
from benchmarks.soak.outside import registration
from benchmarks.soak.proxy import Harm
from benchmarks.soak.proxy import Proxy
from shallotfold.platform import names
from shallotfold.platform.settings import SETTINGS_VARIABLE

SERVICE = "workers"
CALLERS_PER_HOST = 3
# A host counts as disturbed until this long after a harm has ended.
AFTERMATH_S = 3.5
START_S = 3.0
LONGEST_FREEZE_S = 3.0
# Steps of one host's time of day; the majority of clocks stays right.
CLOCK_STEPS_S = (-4000.0, -3.0, 3.0, 4000.0)


def configuration(version: int) -> bytes:
    """Write the configuration that operators declare."""
    routes = [
        {
            "Name": kind,
            "Host": "shop.example",
            "PathPrefix": f"/{kind}/",
            "Kind": wire_kind,
            "TimeoutMs": int(checks.ROUTE_TIMEOUT_S * 1000),
            "TargetLatencyMs": 300,
            "GapTargetMs": 200,
            "Service": SERVICE,
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
        "Services": [{"Name": SERVICE, "ConnectionLimit": 100}],
        "Limits": {},
        "Tenants": [{"Name": "north", "ApiKeys": ["right"]}],
    }
    return json.dumps(document).encode()


class Fleet:
    """Everything of one run."""

    def __init__(
        self, *, seed: int, hosts: int, upstreams: int, logs: str
    ) -> None:
        self._seed = seed
        self._chance = random.Random(seed)
        self._logs = logs
        # Each run has loopback addresses of its own.
        net = f"127.{10 + os.getpid() % 200}.{self._chance.randrange(250)}"
        self._ips = [f"{net}.{number + 1}" for number in range(hosts)]
        self._runs = Runs()
        self._store = StoreService()
        self._duties = DutyService()
        self._upstreams = [
            UpstreamService(f"u{number}", self._runs)
            for number in range(upstreams)
        ]
        self._upstream_proxies: list[Proxy] = []
        self._store_proxies: list[Proxy] = []
        self._processes: list[asyncio.subprocess.Process | None] = []
        self._outcomes: list[Outcome] = []
        self._disturbed: list[tuple[int, float, float]] = []
        self._harms: collections.Counter[str] = collections.Counter()
        self._version = 1
        self._clock_is_off = False
        self._own_ends: list[str] = []

    async def run(self, seconds: float) -> dict[str, Any]:
        """Run for some seconds and return a report."""
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self._start(pathlib.Path(folder))
                async with asyncio.timeout(seconds + 60.0):
                    await self._work(seconds)
            finally:
                await self._close()
        violations = checks.find_violations(
            self._outcomes, self._runs, self._duties, self._disturbed
        )
        violations += self._own_ends
        statuses = collections.Counter(o.status for o in self._outcomes)
        return {
            "seed": self._seed,
            "requests": len(self._outcomes),
            "statuses": dict(sorted(statuses.items())),
            "harms": dict(self._harms),
            "violations": violations,
        }

    async def _start(self, folder: pathlib.Path) -> None:
        self._store.content.put(names.CONFIGURATION_KEY, configuration(1))
        await self._store.start()
        await self._duties.start()
        for upstream in self._upstreams:
            await upstream.start()
            proxy = Proxy(("127.0.0.1", upstream.port))
            await proxy.start()
            self._upstream_proxies.append(proxy)
            self._register(upstream.upstream_id, proxy)
        for number in range(len(self._ips)):
            proxy = Proxy(("127.0.0.1", self._store.port))
            await proxy.start()
            self._store_proxies.append(proxy)
            path = folder / f"host{number}.json"
            path.write_text(json.dumps(self._settings(number)))
            stepped_clock.write_offset(folder / f"clock{number}", 0.0)
            self._processes.append(None)
        self._folder = folder
        for number in range(len(self._ips)):
            await self._launch(number)

    def _register(
        self, upstream_id: str, proxy: Proxy, *, draining: bool = False
    ) -> None:
        document = registration(
            SERVICE, f"127.0.0.1:{proxy.port}", draining=draining
        )
        self._store.content.put(
            f"{names.UPSTREAMS_PREFIX}{upstream_id}", document
        )

    def _settings(self, number: int) -> dict[str, Any]:
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
            "SeedNodes": [f"{seed}:8003" for seed in self._ips[:3]],
            "ContractParameters": {
                "RetryBudgetRatio": 0.2,
                "RetryBudgetExtra": 50,
                "BudgetWindowS": 10,
                "GracePeriodS": 4,
                "LeaseDurationMs": 1500,
                "UsageWindowS": USAGE_WINDOW_S,
                "UsageLatenessS": 8,
            },
            "Platform": {
                "Address": f"127.0.0.1:{self._store_proxies[number].port}"
            },
            "CloudApi": {"Address": f"127.0.0.1:{self._duties.port}"},
        }

    async def _launch(self, number: int) -> None:
        path = self._folder / f"host{number}.json"
        log = pathlib.Path(self._logs) / f"host{number}.log"
        out = log.open("ab") if self._logs else None
        self._processes[number] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "benchmarks.soak.stepped_clock",
            str(self._folder / f"clock{number}"),
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stdout=out or asyncio.subprocess.DEVNULL,
            stderr=out or asyncio.subprocess.DEVNULL,
        )
        if out is not None:
            out.close()

    async def _work(self, seconds: float) -> None:
        await asyncio.sleep(START_S)
        ends_s = time.monotonic() + seconds
        # The starts are a disturbance like any other.
        for number in range(len(self._ips)):
            self._disturb(number, 0.0)
        callers = [
            asyncio.create_task(self._call(ends_s, seed))
            for seed in range(CALLERS_PER_HOST * len(self._ips))
        ]
        harms = [
            asyncio.create_task(self._harm(ends_s - 2.0, series))
            for series in range(2)
        ]
        await asyncio.gather(*callers, *harms)
        # What was called unrun must not run later either.
        await asyncio.sleep(1.0)

    async def _call(self, ends_s: float, seed: int) -> None:
        chance = random.Random(f"{self._seed}/{seed}")
        caller = Caller(chance, self._ips)
        while time.monotonic() < ends_s:
            key = "wrong" if chance.random() < 0.05 else "right"
            self._outcomes.append(await caller.call(key))
            if chance.random() < 0.1:
                caller.leave()
            await asyncio.sleep(chance.expovariate(20.0))
        caller.leave()

    def _disturb(self, number: int, for_s: float) -> None:
        now_s = time.monotonic()
        self._disturbed.append(
            (number, now_s - 0.5, now_s + for_s + AFTERMATH_S)
        )

    async def _harm(self, ends_s: float, series: int) -> None:
        chance = random.Random(f"{self._seed}/harm/{series}")
        kinds = (
            self._harm_host,
            self._harm_host,
            self._harm_upstream,
            self._harm_store,
            self._harm_clock,
            self._change,
        )
        while time.monotonic() < ends_s:
            await chance.choice(kinds)(chance)
            await asyncio.sleep(chance.uniform(0.2, 1.5))

    async def _harm_host(self, chance: random.Random) -> None:
        number = chance.randrange(len(self._ips))
        process = self._processes[number]
        if process is None or process.returncode is not None:
            return
        how = chance.choice(("kill", "term", "freeze", "hup"))
        self._harms[how] += 1
        if how == "hup":
            process.send_signal(signal.SIGHUP)
            return
        if how == "freeze":
            freeze_s = chance.uniform(0.3, LONGEST_FREEZE_S)
            self._disturb(number, freeze_s)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(freeze_s)
            # The other series of harms may have ended it meanwhile.
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
            return
        self._processes[number] = None
        self._disturb(number, 6.0)
        process.send_signal(signal.SIGKILL if how == "kill" else signal.SIGTERM)
        await process.wait()
        self._disturb(number, START_S)
        await self._launch(number)

    async def _harm_upstream(self, chance: random.Random) -> None:
        number = chance.randrange(len(self._upstreams))
        proxy = self._upstream_proxies[number]
        upstream = self._upstreams[number]
        how = chance.choice(
            (
                Harm.DELAY,
                Harm.SILENCE,
                Harm.ONE_WAY,
                Harm.RESET,
                "full",
                "leave",
            )
        )
        self._harms[f"upstream {_name(how)}"] += 1
        for_s = chance.uniform(0.3, 3.0)
        if how == "full":
            upstream.failing = True
            await asyncio.sleep(for_s)
            upstream.failing = False
        elif how == "leave":
            self._register(upstream.upstream_id, proxy, draining=True)
            await asyncio.sleep(for_s)
            self._register(upstream.upstream_id, proxy)
        elif isinstance(how, Harm):
            proxy.set_harm(how)
            if how in (Harm.SILENCE, Harm.ONE_WAY):
                # Longer than any caller waits: a time-out must end the wait.
                for_s += CLIENT_DEADLINE_S
            await asyncio.sleep(for_s)
            proxy.set_harm(Harm.NONE)
            # What was swallowed spoils its connections for good.
            proxy.reset()

    async def _harm_store(self, chance: random.Random) -> None:
        for_s = chance.uniform(0.5, 4.0)
        how = chance.choice(
            (
                *(harm for harm in Harm if harm is not Harm.NONE),
                "busy",
                "forget",
            )
        )
        self._harms[f"store {_name(how)}"] += 1
        if how == "busy":
            self._store.content.error_status = 503
            await asyncio.sleep(for_s)
            self._store.content.error_status = 0
            return
        if not isinstance(how, Harm):
            self._store.content.oldest_kept_revision = (
                self._store.content.revision
            )
            return
        chosen = [p for p in self._store_proxies if chance.random() < 0.6]
        for proxy in chosen:
            proxy.set_harm(how)
        await asyncio.sleep(for_s)
        for proxy in chosen:
            proxy.set_harm(Harm.NONE)
            proxy.reset()

    async def _harm_clock(self, chance: random.Random) -> None:
        if self._clock_is_off:
            return
        self._clock_is_off = True
        self._harms["clock"] += 1
        number = chance.randrange(len(self._ips))
        path = self._folder / f"clock{number}"
        stepped_clock.write_offset(path, chance.choice(CLOCK_STEPS_S))
        await asyncio.sleep(chance.uniform(0.5, 4.0))
        stepped_clock.write_offset(path, 0.0)
        self._clock_is_off = False

    async def _change(self, chance: random.Random) -> None:
        del chance
        self._version += 3
        self._harms["configuration"] += 1
        self._store.content.put(
            names.CONFIGURATION_KEY, configuration(self._version)
        )

    def _note_own_ends(self) -> None:
        for number, process in enumerate(self._processes):
            if process is not None and process.returncode is not None:
                self._own_ends.append(
                    f"host {number} ended by itself ({process.returncode})"
                )

    async def _close(self) -> None:
        self._note_own_ends()
        for process in self._processes:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for service in (self._store, self._duties, *self._upstreams):
            await service.close()
        for proxy in (*self._upstream_proxies, *self._store_proxies):
            await proxy.close()


def _name(how: Harm | str) -> str:
    return how.value if isinstance(how, Harm) else how
