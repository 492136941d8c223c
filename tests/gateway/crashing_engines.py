"""Engines that end when they begin to answer a prompt with a certain part."""

import asyncio
import itertools
import time

import attrs

from benchmarks.soak.external_services import HEADER_END
from benchmarks.soak.external_services import get_header
from benchmarks.soak.external_services import make_registration
from benchmarks.soak.external_services import read_request
from shallotfold.platform import names
from tests.gateway.backends import sse_event
from tests.platform.store_standin import StoreStandIn

CRASHING_PART = "bad0"
SERVICE = "workers"
EVENTS = 5
EVENT_INTERVAL_S = 0.01
# An engine ends this long after the head of its answer.
CRASH_DELAY_S = 0.05
# A new engine takes the place of one that ended after this time.
RESTART_S = 0.4


@attrs.frozen
class CrashingArrival:
    """A crashing request that reached an engine.

    Attributes:
        request_id: Its id.
        arrived_s: When it arrived, on the monotonic clock.
    """

    request_id: str
    arrived_s: float


@attrs.define(eq=False)
class CrashingEngines:
    """A service whose engines the crashing part ends, one after the other.

    Attributes:
        store: Where the engines register.
        crashes_s: Times at which engines ended, on the monotonic clock.
        arrivals: Crashing requests that reached engines.
    """

    store: StoreStandIn
    crashes_s: list[float] = attrs.field(factory=list)
    arrivals: list[CrashingArrival] = attrs.field(factory=list)
    _port_by_id: dict[str, int] = attrs.field(factory=dict)
    _numbers: "itertools.count[int]" = attrs.field(factory=itertools.count)
    _servers: "dict[str, asyncio.Server]" = attrs.field(factory=dict)
    _writers_by_id: dict[str, set[asyncio.StreamWriter]] = attrs.field(
        factory=dict
    )
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self, count: int) -> None:
        for _ in range(count):
            await self._start_engine()

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for engine_id in list(self._servers):
            self._stop_engine(engine_id)

    def crash_all(self) -> None:
        """End all engines at the same moment, whatever they are doing."""
        for engine_id in list(self._servers):
            self._crash(engine_id)

    def late_arrivals(
        self, allowed_s: float, *, crash: int = 5
    ) -> list[CrashingArrival]:
        """Return arrivals later than `allowed_s` after the n-th crash."""
        if len(self.crashes_s) < crash:
            return []
        from_s = sorted(self.crashes_s)[crash - 1] + allowed_s
        return [a for a in self.arrivals if a.arrived_s > from_s]

    async def _start_engine(self) -> None:
        engine_id = f"e{next(self._numbers)}"
        self._writers_by_id[engine_id] = set()
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(engine_id, reader, writer),
            "127.0.0.1",
            0,
        )
        self._servers[engine_id] = server
        port = server.sockets[0].getsockname()[1]
        self._port_by_id[engine_id] = port
        self.store.put(
            f"{names.UPSTREAMS_PREFIX}{engine_id}",
            make_registration(
                SERVICE,
                f"127.0.0.1:{port}",
                int(time.time() * 1000),
                draining=False,
            ),
        )

    def _stop_engine(self, engine_id: str) -> None:
        self._servers.pop(engine_id).close()
        for writer in self._writers_by_id.pop(engine_id):
            writer.transport.abort()

    def _crash(self, engine_id: str) -> None:
        if engine_id not in self._servers:
            return
        self.crashes_s.append(time.monotonic())
        self._stop_engine(engine_id)
        task = asyncio.create_task(self._replace(engine_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _replace(self, engine_id: str) -> None:
        await asyncio.sleep(RESTART_S)
        await self._start_engine()
        self.store.remove(f"{names.UPSTREAMS_PREFIX}{engine_id}")

    async def _serve(
        self,
        engine_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers_by_id.setdefault(engine_id, set()).add(writer)
        try:
            while True:
                head, _ = await read_request(reader)
                await self._answer(engine_id, head, writer)
        except (asyncio.IncompleteReadError, ConnectionError, RuntimeError):
            # The gateway closed the connection, or the engine ended: uvloop
            # raises RuntimeError for a write to an aborted transport.
            pass
        finally:
            self._writers_by_id.get(engine_id, set()).discard(writer)
            writer.close()

    async def _answer(
        self, engine_id: str, head: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = get_header(head, "Attempt-Id")
        extra_headers = self._on_arrival(engine_id, request_id)
        parts = get_header(head, "Prompt-Prefix").split(",")
        crashes = any(part.split(":")[0] == CRASHING_PART for part in parts)
        if crashes:
            self.arrivals.append(CrashingArrival(request_id, time.monotonic()))
        lines = [
            "HTTP/1.1 200 OK",
            "Transfer-Encoding: chunked",
            "Content-Type: text/event-stream",
            f"Attempt-Id: {request_id}",
            "Response-Signature: s",
            *extra_headers,
        ]
        writer.write("\r\n".join(lines).encode() + HEADER_END)
        if crashes:
            await asyncio.sleep(CRASH_DELAY_S)
            self._crash(engine_id)
            return
        last_event = int(get_header(head, "Last-Event-Id") or 0)
        for number in range(last_event + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            event = sse_event(number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _on_arrival(self, engine_id: str, request_id: str) -> list[str]:
        """Return what the engine says of itself in its response."""
        del engine_id, request_id
        return []
