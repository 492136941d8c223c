"""Run several gateways with their store and engines in one event loop."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import itertools
import json
import os
import random
import signal
import time
from typing import Any

import attrs
import pytest

from benchmarks.soak.external_services import DutyService
from benchmarks.soak.external_services import StoreService
from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.settings import GatewaySettings
from shallotfold._gateway.process import GatewayProcess
from shallotfold._runtime import reload_signal
from shallotfold._runtime.loop import new_event_loop
from shallotfold._settings.addresses import Address
from shallotfold.platform import names
from shallotfold.platform.documents import PlatformDialect
from shallotfold.platform.duty_calls import PlatformDutyCalls
from shallotfold.platform.store import PlatformStore
from tests.gateway.crashing_engines import SERVICE
from tests.gateway.crashing_engines import CrashingEngines

CALLER_PORT = 8001
PEER_PORT = 7340
REQUEST_TIMEOUT_S = 2.0
READY_POLL_S = 0.05
START_TIMEOUT_S = 5.0

CONFIGURATION: dict[str, Any] = {
    "Version": 1,
    "Routes": [
        {
            "Name": "talk",
            "Host": "shop.example",
            "PathPrefix": "/talk/",
            "Kind": "streaming",
            "TimeoutMs": int(REQUEST_TIMEOUT_S * 1000),
            "TargetLatencyMs": 300,
            "GapTargetMs": 200,
            "Service": SERVICE,
            "MaxAttempts": 2,
            "StreamResumption": True,
            "SessionAffinity": True,
        },
        {
            "Name": "look",
            "Host": "shop.example",
            "PathPrefix": "/look/",
            "Kind": "idempotent",
            "TimeoutMs": int(REQUEST_TIMEOUT_S * 1000),
            "TargetLatencyMs": 400,
            "Service": SERVICE,
            "MaxAttempts": 2,
        },
        {
            "Name": "book",
            "Host": "shop.example",
            "PathPrefix": "/book/",
            "Kind": "non_idempotent",
            "TimeoutMs": int(REQUEST_TIMEOUT_S * 1000),
            "TargetLatencyMs": 400,
            "Service": SERVICE,
            "MaxAttempts": 1,
        },
        {
            "Name": "news",
            "Host": "news.example",
            "PathPrefix": "/look/",
            "Kind": "idempotent",
            "TimeoutMs": int(REQUEST_TIMEOUT_S * 1000),
            "TargetLatencyMs": 400,
            "Service": SERVICE,
            "MaxAttempts": 2,
            "Public": True,
        },
    ],
    "Services": [{"Name": SERVICE, "ConnectionLimit": 500}],
    "Limits": {},
    "Tenants": [{"Name": "north", "ApiKeys": ["right"]}],
}


@attrs.frozen(kw_only=True)
class Answer:
    """What a caller got.

    Attributes:
        request_id: Id of its request.
        host: Number of the host that it asked.
        sent_s: When it was sent, on the monotonic clock.
        status: Status; 0: none.
        complete: Whether the body was complete.
        retry_after_s: Time to return, as the response says; 0: none.
    """

    request_id: str
    host: int
    sent_s: float
    status: int = 0
    complete: bool = False
    retry_after_s: float = 0.0


@attrs.frozen(kw_only=True)
class PlainRequest:
    """A request without a prompt.

    Attributes:
        target: Its path and query.
        method: Its method.
        body: Its body; empty: none.
        is_public: Whether it has no key and goes to the public route.
    """

    target: str
    method: str = "GET"
    body: bytes = b""
    is_public: bool = False

    @property
    def host_name(self) -> str:
        """Name of the host in its URL."""
        return "news.example" if self.is_public else "shop.example"


class FleetHarness:
    """Gateways on loopback addresses of their own.

    Attributes:
        engines: The engines that all of them use.
        store: The platform's store.
        started_s_by_host: Start of each host that runs, on the monotonic clock.
        cut_off: Numbers of the hosts whose datagrams are lost.
        partition: Numbers of hosts that hear each other, but no other host.
        datagram_loss: Share of all datagrams that is lost.
        follows_evacuations: Whether hosts that start follow evacuations.
    """

    _networks = itertools.count(1)

    def __init__(
        self, engine_type: type[CrashingEngines] = CrashingEngines
    ) -> None:
        self.store = StoreService()
        self.engines = engine_type(self.store.standin)
        self.started_s_by_host: dict[int, float] = {}
        self.cut_off: set[int] = set()
        self.partition: set[int] = set()
        self.datagram_loss = 0.0
        self.follows_evacuations = False
        self._loss_rng = random.Random(2)
        self._duties = DutyService()
        self._network = (
            f"127.{20 + os.getpid() % 200}.{next(self._networks) % 250}"
        )
        self._process_by_host: dict[int, GatewayProcess] = {}
        self._request_numbers = itertools.count(1)

    async def start(self, hosts: Sequence[int], engine_count: int) -> None:
        self.store.standin.put(
            names.CONFIGURATION_KEY, json.dumps(CONFIGURATION).encode()
        )
        await self.store.start()
        await self._duties.start()
        await self.engines.start(engine_count)
        await self.start_hosts(*hosts)

    async def close(self) -> None:
        await self.kill_hosts(*self._process_by_host)
        await self.engines.close()
        await self._duties.close()
        await self.store.close()

    async def start_hosts(self, *hosts: int, first: bool = False) -> None:
        """Start hosts and wait until they are ready."""
        for host in hosts:
            process = self._make_process(host, first=first)
            self._process_by_host[host] = process
            self.started_s_by_host[host] = time.monotonic()
            await process.start()
        for _ in range(int(START_TIMEOUT_S / READY_POLL_S)):
            if all(self._process_by_host[h]._is_ready() for h in hosts):
                return
            await asyncio.sleep(READY_POLL_S)
        raise TimeoutError(f"hosts {hosts} aren't ready")

    async def kill_hosts(self, *hosts: int) -> None:
        """End hosts without a word to their peers."""
        for host in list(hosts):
            process = self._process_by_host.pop(host)
            del self.started_s_by_host[host]
            transport = process._peer_link._transport
            if transport is not None:
                transport.abort()
            process._peer_link._transport = None
            await process.close()

    def configuration_version(self, host: int) -> int:
        """Return the version of the configuration in force on a host."""
        return self._process_by_host[host]._fleet_view.configuration_version

    def evacuated(self, host: int) -> frozenset[str]:
        """Return the evacuated data centres that a host knows."""
        return self._process_by_host[host]._fleet_view.evacuations.data_centres

    async def send(self, host: int, *part_ids: str) -> Answer:
        """Send a request whose prompt has these shared parts and its own."""
        request_id = f"{next(self._request_numbers):016x}"
        parts = [f"{part_id}:400" for part_id in part_ids]
        parts.append(f"f{request_id}:200")
        lines = [
            "POST /talk/x HTTP/1.1",
            "Host: shop.example",
            f"Attempt-Id: {request_id}",
            "Deadline-Remaining: 2000",
            "X-Api-Key: right",
            "Model-Name: m",
            f"Token-Counts: {400 * len(part_ids) + 200},50",
            f"Prompt-Prefix: {','.join(parts)}",
            "Connection: close",
            "Content-Length: 0",
        ]
        return await self._exchange(host, request_id, lines, b"")

    async def send_plain(self, host: int, request: "PlainRequest") -> Answer:
        """Send a request without a prompt."""
        request_id = f"{next(self._request_numbers):016x}"
        lines = [
            f"{request.method} {request.target} HTTP/1.1",
            f"Host: {request.host_name}",
            f"Attempt-Id: {request_id}",
            "Deadline-Remaining: 2000",
            "Connection: close",
        ]
        if not request.is_public:
            lines.append("X-Api-Key: right")
        if request.body:
            lines.append(f"Content-Length: {len(request.body)}")
        return await self._exchange(host, request_id, lines, request.body)

    async def _exchange(
        self, host: int, request_id: str, lines: Sequence[str], body: bytes
    ) -> Answer:
        sent_s = time.monotonic()
        response = b""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S + 1.0):
                reader, writer = await asyncio.open_connection(
                    self._ip(host), CALLER_PORT
                )
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                while block := await reader.read(65536):
                    response += block
                writer.close()
        except (OSError, TimeoutError):
            # The response ends here; `complete` says whether it was whole.
            pass
        return _read_answer(request_id, host, sent_s, response)

    def _make_process(self, host: int, *, first: bool) -> GatewayProcess:
        ip = self._ip(host)
        settings = GatewaySettings(
            host=f"host{host}",
            data_centre="a",
            data_centres=("a",),
            ip=ip,
            caller_address=Address(ip, CALLER_PORT),
            ready_address=Address(ip, 8002),
            peer_address=Address(ip, 8003),
            peer_port=PEER_PORT,
            seed_ips=tuple(self._ip(number) for number in range(3)),
            store_address=Address("127.0.0.1", self.store.port),
            duties_address=Address("127.0.0.1", self._duties.port),
            retry_ratio=0.2,
            retry_extra=50.0,
            retry_window_s=10.0,
            grace_period_s=4.0,
            lease_s=1.5,
            usage_window_s=60.0,
            usage_lateness_s=10.0,
            is_first_start=first,
            follows_evacuations=self.follows_evacuations,
        )
        process = GatewayProcess(
            settings,
            PlatformDialect(),
            names.READY_PATH,
            PlatformStore(settings.store_address),
            PlatformDutyCalls(settings.duties_address),
            lambda: settings,
        )
        send = process._peer_link._send

        def send_unless_cut(message_type: str, data: bytes, to_ip: str) -> None:
            to_host = int(to_ip.rsplit(".", 1)[1]) - 1
            is_lost = self._loss_rng.random() < self.datagram_loss or (
                host in self.partition
            ) != (to_host in self.partition)
            if not is_lost and not {host, to_host} & self.cut_off:
                send(message_type, data, to_ip)

        setattr(process._peer_link, "_send", send_unless_cut)  # noqa: B010
        return process

    def _ip(self, host: int) -> str:
        return f"{self._network}.{host + 1}"


def _read_answer(
    request_id: str, host: int, sent_s: float, response: bytes
) -> Answer:
    head, _, body = response.partition(b"\r\n\r\n")
    if not head:
        return Answer(request_id=request_id, host=host, sent_s=sent_s)
    retry_after = 0.0
    complete = body.endswith(b"0\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"retry-after:"):
            retry_after = float(line.partition(b":")[2])
        elif line.startswith(b"content-length:"):
            complete = len(body) == int(line.partition(b":")[2])
    return Answer(
        request_id=request_id,
        host=host,
        sent_s=sent_s,
        status=int(head.split(b" ", 2)[1]),
        complete=complete,
        retry_after_s=retry_after,
    )


class Load:
    """Callers that send to random hosts at a steady rate.

    Attributes:
        answers: Answers so far.
        hosts: Numbers of the hosts that get requests.
    """

    def __init__(
        self,
        fleet: FleetHarness,
        hosts: Sequence[int],
        interval_s: float,
        choose_parts: Callable[[random.Random], Sequence[str]],
    ) -> None:
        self.answers: list[Answer] = []
        self.hosts = list(hosts)
        self._fleet = fleet
        self._interval_s = interval_s
        self._choose_parts = choose_parts
        self._rng = random.Random(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self._sender: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._sender = asyncio.create_task(self._send_all())

    async def close(self) -> None:
        """Stop sending and wait for the open requests."""
        if self._sender is not None:
            self._sender.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send_all(self) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            task = asyncio.create_task(self._send_one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_one(self) -> None:
        parts = self._choose_parts(self._rng)
        host = self._rng.choice(self.hosts)
        self.answers.append(await self._fleet.send(host, *parts))


class PlainLoad(Load):
    """Callers whose requests have no prompt."""

    def __init__(
        self,
        fleet: FleetHarness,
        hosts: Sequence[int],
        interval_s: float,
        choose_request: Callable[[random.Random], PlainRequest],
    ) -> None:
        super().__init__(fleet, hosts, interval_s, lambda _: ())
        self._choose_request = choose_request

    async def _send_one(self) -> None:
        request = self._choose_request(self._rng)
        host = self._rng.choice(self.hosts)
        self.answers.append(await self._fleet.send_plain(host, request))


def run_fleet(
    monkeypatch: pytest.MonkeyPatch,
    scenario: Callable[[FleetHarness], Awaitable[None]],
    *,
    hosts: Sequence[int] = (0, 1, 2, 3),
    engine_count: int = 8,
    engine_type: type[CrashingEngines] = CrashingEngines,
    follows_evacuations: bool = False,
) -> FleetHarness:
    """Run a scenario on a fleet that has started."""
    # Several processes share the test's standard output and its signals.
    monkeypatch.setattr(decision_log, "configure", lambda **_: None)
    monkeypatch.setattr(decision_log, "flush", lambda: None)
    monkeypatch.setattr(reload_signal, "ignore", lambda _: None)
    previous_handler = signal.getsignal(signal.SIGHUP)
    fleet = FleetHarness(engine_type)
    fleet.follows_evacuations = follows_evacuations

    async def run() -> None:
        try:
            await fleet.start(hosts, engine_count)
            await scenario(fleet)
        finally:
            await fleet.close()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run())
    signal.signal(signal.SIGHUP, previous_handler)
    return fleet
