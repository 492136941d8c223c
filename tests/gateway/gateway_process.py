"""Run one gateway as a process in front of stand-ins, and measure it."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import itertools
import json
import os
import pathlib
import re
import resource
import sys
import time

from benchmarks.soak.external_services import HEADER_END
from benchmarks.soak.external_services import DutyService
from benchmarks.soak.external_services import Service
from benchmarks.soak.external_services import StoreService
from benchmarks.soak.external_services import get_header
from benchmarks.soak.external_services import make_registration
from benchmarks.soak.external_services import make_response
from shallotfold.platform import names
from shallotfold.platform.settings import SETTINGS_VARIABLE

# Waits end long before this; it only bounds a test that has failed.
PATIENCE_S = 20.0
# Longer than any test, so that no timeout depends on the machine's speed.
LONG_TIMEOUT_MS = 120_000
CALLER_PORT = 8001
READY_PORT = 8002
BYTES_PER_MIB = 1_048_576
# An unfinished response is a little below the bounds of a single one.
UNFINISHED_EVENT_BYTES = 900_000
UNFINISHED_HEAD_BYTES = 60_000
UNFINISHED_BODY_BYTES = 60_000
_VERSION_METRIC = re.compile(rb"configuration_version (\d\S*)")
SERVICES = ("quick", "silent", "large", "event", "head", "body")


def unfinished_response(kind: str) -> bytes:
    """Return the begin of a response that goes on without an end.

    Args:
        kind: `event`, `head` or `body`: what it stops in.
    """
    if kind == "head":
        lines = (b"a%x:b\r\n" % number for number in itertools.count())
        head = b"HTTP/1.1 200 OK\r\n"
        while len(head) < UNFINISHED_HEAD_BYTES:
            head += b"".join(itertools.islice(lines, 1_000))
        return head[:UNFINISHED_HEAD_BYTES]
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n"
    if kind == "body":
        return head + b"\r\n" + b"x" * UNFINISHED_BODY_BYTES
    head += b"Content-Type: text/event-stream\r\n\r\n"
    return head + b"data: " + b"x" * UNFINISHED_EVENT_BYTES


class Upstream(Service):
    """An upstream that answers, answers at length, or never to the end.

    Attributes:
        silent_requests: Requests received that it doesn't answer.
        unfinished_requests: Requests whose response it doesn't end.
        may_answer: Set once it may begin these responses.
    """

    def __init__(self, upstream_id: str, response_bytes: int) -> None:
        super().__init__()
        self.upstream_id = upstream_id
        self.silent_requests = 0
        self.unfinished_requests = 0
        self.may_answer = asyncio.Event()
        self._response_bytes = response_bytes

    async def handle(
        self, head: bytes, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        del body
        if b" /silent/" in head.split(b"\r\n", 1)[0]:
            self.silent_requests += 1
            return
        if self.upstream_id in ("event", "head", "body"):
            self.unfinished_requests += 1
            await self.may_answer.wait()
            writer.write(unfinished_response(self.upstream_id))
            return
        content = b"ok"
        if b" /large/" in head.split(b"\r\n", 1)[0]:
            content = bytes(self._response_bytes)
        attempt_id = get_header(head, "Attempt-Id")
        writer.write(make_response(200, content, f"Attempt-Id: {attempt_id}"))


class GatewayUnderTest:
    """A gateway process with its store and its upstreams.

    Attributes:
        ip: Address on which it serves callers.
        upstreams: The upstreams of both services.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        memory_limit_mib: int,
        max_descriptors: int | None,
        response_bytes: int,
    ) -> None:
        self.ip = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}.9"
        self.upstreams = {
            service: Upstream(service, response_bytes) for service in SERVICES
        }
        self._memory_limit_mib = memory_limit_mib
        self._max_descriptors = max_descriptors
        self._folder = folder
        self._store = StoreService()
        self._duties = DutyService()
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        await self._store.start()
        await self._duties.start()
        self._store.standin.put(names.CONFIGURATION_KEY, _configuration())
        for service, upstream in self.upstreams.items():
            await upstream.start()
            self._store.standin.put(
                f"{names.UPSTREAMS_PREFIX}{service}",
                make_registration(
                    service,
                    f"127.0.0.1:{upstream.port}",
                    int(time.time() * 1000),
                    draining=False,
                ).replace(b'"Slots": 16', b'"Slots": 2000'),
            )
        path = self._folder / "node.json"
        path.write_text(json.dumps(self._settings()))
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "shallotfold._cli.gateway_main",
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stdout=(self._folder / "gateway.log").open("wb"),
            stderr=asyncio.subprocess.STDOUT,
        )
        if self._max_descriptors is not None:
            limits = (self._max_descriptors, self._max_descriptors)
            resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limits)
        await self.wait_for_ordinary_answer()

    async def close(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        services = (self._store, self._duties, *self.upstreams.values())
        for service in services:
            await service.close()

    @property
    def lives(self) -> bool:
        return self._process is not None and self._process.returncode is None

    def peak_memory_mib(self) -> float:
        """Return the peak of resident memory; infinite once it has ended."""
        if not self.lives:
            return float("inf")
        assert self._process is not None
        status = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        match = re.search(r"VmHWM:\s+(\d+) kB", status)
        return int(match[1]) / 1024 if match else float("inf")

    def open_descriptors(self) -> int:
        assert self._process is not None
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def put_configuration(self, version: int) -> None:
        """Change the configuration in the store; it says the same."""
        self._store.standin.put(
            names.CONFIGURATION_KEY, _configuration(version)
        )

    async def wait_for_configuration(self, version: int) -> None:
        """Wait until the gateway says that a version is in force."""
        while True:
            with contextlib.suppress(OSError, EOFError):
                if await self._configuration_version() >= version:
                    return
            await asyncio.sleep(0.05)

    async def _configuration_version(self) -> float:
        reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
        try:
            writer.write(b"GET /metrics HTTP/1.0\r\n\r\n")
            match = _VERSION_METRIC.search(await reader.read())
            return float(match[1]) if match else 0.0
        finally:
            writer.close()

    async def wait_for_ordinary_answer(self) -> None:
        """Repeat one ordinary request until it is answered, as callers do."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                with contextlib.suppress(OSError, EOFError):
                    async with asyncio.timeout(5.0):
                        if b" 200 " in await self._ordinary_status_line():
                            return
                assert self.lives, "the gateway has ended"
                await asyncio.sleep(0.1)

    async def _ordinary_status_line(self) -> bytes:
        reader, writer = await asyncio.open_connection(self.ip, CALLER_PORT)
        try:
            writer.write(request_head("/quick/1", "Connection: close"))
            return await reader.readuntil(b"\r\n")
        finally:
            writer.close()

    def _settings(self) -> dict[str, object]:
        return {
            "NodeName": "host0",
            "IpAddress": self.ip,
            "Zone": "a",
            "Zones": {"a": "r"},
            "ListenAddresses": {
                "Frontend": f"{self.ip}:{CALLER_PORT}",
                "Ready": f"{self.ip}:{READY_PORT}",
                "ControlPlane": f"{self.ip}:8003",
            },
            "InternalPortRange": [7340, 7355],
            "SeedNodes": [f"{self.ip}:8003"],
            "ContractParameters": {
                "RetryBudgetRatio": 0.2,
                "RetryBudgetExtra": 50,
                "BudgetWindowS": 10,
                "GracePeriodS": 4,
                "LeaseDurationMs": 1500,
                "UsageWindowS": 2,
                "UsageLatenessS": 8,
            },
            "Limits": {"MemoryLimitMb": self._memory_limit_mib},
            "Platform": {"Address": f"127.0.0.1:{self._store.port}"},
            "CloudApi": {"Address": f"127.0.0.1:{self._duties.port}"},
        }


@contextlib.asynccontextmanager
async def run_gateway(
    folder: pathlib.Path,
    *,
    memory_limit_mib: int,
    max_descriptors: int | None = None,
    response_bytes: int = 0,
) -> AsyncIterator[GatewayUnderTest]:
    gateway = GatewayUnderTest(
        folder,
        memory_limit_mib=memory_limit_mib,
        max_descriptors=max_descriptors,
        response_bytes=response_bytes,
    )
    try:
        await gateway.start()
        yield gateway
    finally:
        await gateway.close()


def request_head(
    path: str, *headers: str, complete: bool = True, method: str = "GET"
) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: shop.example",
        "Attempt-Id: 1",
        "X-Api-Key: right",
        f"Deadline-Remaining: {LONG_TIMEOUT_MS}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + (HEADER_END if complete else b"\r\n")


def _configuration(version: int = 1) -> bytes:
    document = {
        "Version": version,
        "Routes": [
            {
                "Name": service,
                "Host": "shop.example",
                "PathPrefix": f"/{service}/",
                "Kind": "streaming" if service == "event" else "non_idempotent",
                "TimeoutMs": LONG_TIMEOUT_MS,
                "TargetLatencyMs": LONG_TIMEOUT_MS // 2,
                "GapTargetMs": LONG_TIMEOUT_MS // 2,
                "Service": service,
                "MaxAttempts": 1,
                "StreamResumption": False,
            }
            for service in SERVICES
        ],
        "Services": [
            {"Name": service, "ConnectionLimit": 10_000} for service in SERVICES
        ],
        "Limits": {
            "HeaderTimeoutMs": LONG_TIMEOUT_MS,
            "IdleTimeoutMs": LONG_TIMEOUT_MS,
        },
        "Tenants": [{"Name": "north", "ApiKeys": ["right"]}],
    }
    return json.dumps(document).encode()
