"""Stand-ins for the services that gateways call: store, duties, upstreams."""

import asyncio
import collections
from collections.abc import Callable
import itertools
import json
import math
import random
import re
import time
from typing import Any
import weakref

import attrs

from shallotfold._runtime.sockets import reset_connection
from tests.platform.store_standin import StoreStandIn

USAGE_WINDOW_S = 2
STREAM_EVENTS = 8
EVENT_INTERVAL_S = 0.03
# Streams with neither a length nor chunks.
CLOSE_DELIMITED_SHARE = 0.4
# Streams that end inside an event; the others of them end like whole ones.
TRUNCATED_SHARE = 0.1
TRUNCATED_BY_RESET_SHARE = 0.3
WATCH_POLL_INTERVAL_S = 0.02
LEASE_S = 1.5
# Upstreams end when they begin to answer a prompt with this part.
CRASHING_PART = "bad0"
# They also end when they run a plain request with this body.
CRASHING_BODY = b"bad"
HEADER_END = b"\r\n\r\n"
_CONTENT_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")


async def read_request(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return the head and the body of the next request."""
    head = await reader.readuntil(HEADER_END)
    match = _CONTENT_LENGTH.search(head)
    body = await reader.readexactly(int(match[1])) if match else b""
    return head, body


def get_header(head: bytes, name: str) -> str:
    """Return the value of a header; empty if it is missing."""
    match = re.search(rb"(?i)\r\n" + name.encode() + rb": *([^\r]*)", head)
    return match[1].decode() if match else ""


def make_response(status: int, body: bytes, *headers: str) -> bytes:
    """Return a complete response."""
    lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + HEADER_END + body


class Service:
    """A server of HTTP/1.1 requests on loopback."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def handle(
        self, head: bytes, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head, body = await read_request(reader)
                await self.handle(head, body, writer)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            # The caller disconnected or the run is over.
            pass
        finally:
            writer.close()


class StoreService(Service):
    """Serves a store stand-in over HTTP; watches are long polls."""

    def __init__(self) -> None:
        super().__init__()
        self.standin = StoreStandIn()
        self._renewed_s_by_lease: dict[int, float] = {}
        self._busy_writers: set[asyncio.StreamWriter] = set()
        self._silent_writers: weakref.WeakSet[asyncio.StreamWriter] = (
            weakref.WeakSet()
        )

    def silence_connections(self, share: float = 1.0) -> None:
        """Never answer on a share of those that wait for a response now."""
        count = math.ceil(share * len(self._busy_writers))
        self._silent_writers |= set(itertools.islice(self._busy_writers, count))

    async def handle(
        self, head: bytes, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a call; a watch waits for events until its timeout."""
        self._busy_writers.add(writer)
        try:
            await self._wait_for_events(head)
        finally:
            self._busy_writers.discard(writer)
        if writer not in self._silent_writers:
            writer.write(self.standin.respond(head + body))

    async def _wait_for_events(self, head: bytes) -> None:
        target = head.split(b" ", 2)[1].decode()
        self._end_leases(target)
        wait_match = re.search(r"WaitTimeoutMs=(\d+)", target)
        remaining_s = int(wait_match[1]) / 1000 if wait_match else 0.0
        while remaining_s > 0 and not self._has_events(target):
            await asyncio.sleep(WATCH_POLL_INTERVAL_S)
            remaining_s -= WATCH_POLL_INTERVAL_S

    def _end_leases(self, target: str) -> None:
        """End the leases that were not renewed in time."""
        now_s = time.monotonic()
        renewed = re.match(r"/shallotfold/kv-keep/(\d+)", target)
        if renewed:
            self._renewed_s_by_lease[int(renewed[1])] = now_s
        for lease in list(self.standin.leases):
            renewed_s = self._renewed_s_by_lease.setdefault(lease, now_s)
            lifetime_ms = self.standin.lifetime_ms_by_lease[lease]
            if now_s - renewed_s > lifetime_ms / 1000:
                self.standin.end_lease(lease)

    def _has_events(self, target: str) -> bool:
        query = dict(
            part.split("=", 1) for part in target.split("?")[1].split("&")
        )
        prefix = query["PathPrefix"].replace("%2F", "/")
        after = int(query["After"])
        return after < self.standin.oldest_kept_revision or any(
            e["Revision"] > after and e["Key"].startswith(prefix)
            for e in reversed(self.standin.history[-200:])
        )


@attrs.frozen(kw_only=True)
class DutyArrival:
    """A duty call that reached the platform.

    Attributes:
        holder: Host that made the call.
        fencing_token: Token that it carried.
        arrived_s: When it arrived, on the monotonic clock.
    """

    holder: str
    fencing_token: int
    arrived_s: float


class DutyService(Service):
    """Accepts duty calls without checking tokens, and records them.

    Attributes:
        counts_by_window: Different counts that were reported for a window.
        report_delays_s_by_window: Times from the end of a window to each of
            its reports.
        arrivals: All calls, in the order of their arrival.
    """

    def __init__(self) -> None:
        super().__init__()
        self.counts_by_window: dict[int, set[str]] = collections.defaultdict(
            set
        )
        self.report_delays_s_by_window: dict[int, list[float]] = (
            collections.defaultdict(list)
        )
        self.arrivals: list[DutyArrival] = []

    async def handle(
        self, head: bytes, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Record a call and accept it."""
        call = json.loads(body)
        self.arrivals.append(
            DutyArrival(
                holder=get_header(head, "Duty-Holder"),
                fencing_token=int(get_header(head, "Fencing-Token")),
                arrived_s=time.monotonic(),
            )
        )
        if "WindowNumber" in call:
            counts = json.dumps(call["Counts"], sort_keys=True)
            window = call["WindowNumber"]
            self.counts_by_window[window].add(counts)
            window_end_s = (window + 1) * USAGE_WINDOW_S
            self.report_delays_s_by_window[window].append(
                time.time() - window_end_s
            )
        writer.write(make_response(200, b"{}"))


@attrs.frozen
class LeavingArrival:
    """A request that reached an upstream that was leaving.

    Attributes:
        request_id: Id of the request.
        upstream_id: Id of the upstream.
        started_ms: Start of the upstream in Unix milliseconds.
    """

    request_id: str
    upstream_id: str
    started_ms: int


@attrs.frozen
class Arrival:
    """A request that reached an upstream.

    Attributes:
        request_id: Id of the request.
        upstream_id: Id of the upstream.
        arrived_s: When it arrived, on the monotonic clock.
        pause_s: Pause that the upstream asked for in its response; 0: none.
    """

    request_id: str
    upstream_id: str
    arrived_s: float
    pause_s: float


@attrs.define
class NamedLimit:
    """A time in which an upstream names a limit in its responses.

    Attributes:
        upstream_id: Id of the upstream.
        rate: Requests a second that it takes from all hosts together.
        from_s: When it begins, on the monotonic clock.
        to_s: When it ends.
    """

    upstream_id: str
    rate: float
    from_s: float
    to_s: float = math.inf


@attrs.frozen
class EqualCrash:
    """A request that is sent again and again, and ended an upstream.

    Attributes:
        request_id: Its id.
        workspace: Workspace of its caller; requests of different workspaces
            aren't equal.
        crashed_s: When, on the monotonic clock.
    """

    request_id: str
    workspace: str
    crashed_s: float


@attrs.define
class Runs:
    """Requests that reached upstreams.

    Attributes:
        starts_by_id: Number of times that each request was started.
        workspace_by_id: Workspace that each request ran for.
        leaving_arrivals: Requests that reached leaving upstreams.
        arrivals: All requests that reached the upstream they were meant for.
        crashes_s: Times at which an upstream ended under a crashing prompt, on
            the monotonic clock.
        crashing_ids: Requests with such a prompt that reached an upstream.
        equal_crashes: Equal requests that ended upstreams.
        limits: Limits that upstreams named.
    """

    starts_by_id: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    workspace_by_id: dict[str, str] = attrs.field(factory=dict)
    leaving_arrivals: list[LeavingArrival] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)
    crashes_s: list[float] = attrs.field(factory=list)
    crashing_ids: list[str] = attrs.field(factory=list)
    equal_crashes: list[EqualCrash] = attrs.field(factory=list)
    limits: list[NamedLimit] = attrs.field(factory=list)


def _ignore_crash() -> None:
    """The upstream goes on."""


class UpstreamService(Service):
    """An upstream that serves plain calls and streams."""

    def __init__(self, upstream_id: str, runs: Runs) -> None:
        super().__init__()
        self.upstream_id = upstream_id
        self.failing = False
        self.pause_s = 0.0
        self.leaving = False
        self.ended = False
        self.started_ms = int(time.time() * 1000)
        self.on_crash: Callable[[], None] = _ignore_crash
        self._runs = runs
        self._limit: NamedLimit | None = None

    def name_limit(self, rate: float) -> None:
        """Name a limit in all responses from now on."""
        self._limit = NamedLimit(self.upstream_id, rate, time.monotonic())
        self._runs.limits.append(self._limit)

    def end_limit(self) -> None:
        """Name no limit any longer."""
        if self._limit is not None:
            self._limit.to_s = time.monotonic()
            self._limit = None

    async def handle(
        self, head: bytes, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request."""
        request_id = get_header(head, "Attempt-Id")
        echo_header = f"Attempt-Id: {request_id}"
        if self.leaving:
            echo_header += "\r\nServer-Leaving: 1"
        if get_header(head, "Expected-Instance") != self.upstream_id:
            writer.write(make_response(421, b"", echo_header))
            return
        if self.leaving:
            self._runs.leaving_arrivals.append(
                LeavingArrival(request_id, self.upstream_id, self.started_ms)
            )
        if self._limit is not None:
            echo_header += f"\r\nServer-Limit: {self._limit.rate}"
        pause_s = self.pause_s if self.failing else 0.0
        self._runs.arrivals.append(
            Arrival(request_id, self.upstream_id, time.monotonic(), pause_s)
        )
        if self.failing:
            headers = [echo_header, "Not-Executed: 1"]
            if pause_s:
                headers.append(f"Retry-After: {pause_s:.2f}")
            writer.write(make_response(503, b"", *headers))
            return
        self._runs.starts_by_id[request_id] += 1
        self._runs.workspace_by_id[request_id] = get_header(head, "Tenant-Name")
        if b"/stream/" in head.split(b"\r\n")[0]:
            await self._stream(head, request_id, echo_header, writer)
            return
        await asyncio.sleep(EVENT_INTERVAL_S)
        if body == CRASHING_BODY:
            workspace = self._runs.workspace_by_id[request_id]
            self._runs.equal_crashes.append(
                EqualCrash(request_id, workspace, time.monotonic())
            )
            self.on_crash()
            return
        signature_header = "Response-Signature: s"
        writer.write(
            make_response(
                200, request_id.encode(), echo_header, signature_header
            )
        )

    async def _stream(
        self,
        head: bytes,
        request_id: str,
        echo_header: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        if CRASHING_PART in get_header(head, "Prompt-Prefix"):
            self._runs.crashing_ids.append(request_id)
            await asyncio.sleep(EVENT_INTERVAL_S)
            if not self.ended:
                self._runs.crashes_s.append(time.monotonic())
            self.on_crash()
            return
        last_event_id = int(get_header(head, "Last-Event-Id") or 0)
        # Drawn from the request's id and run, so that a seed repeats them.
        run_count = self._runs.starts_by_id[request_id]
        rng = random.Random(f"{request_id}/{run_count}")
        chunked = rng.random() >= CLOSE_DELIMITED_SHARE
        truncated_event = 0
        if rng.random() < TRUNCATED_SHARE:
            truncated_event = rng.randint(last_event_id + 1, STREAM_EVENTS)
        lines = [
            "HTTP/1.1 200 OK",
            "Transfer-Encoding: chunked" if chunked else "Connection: close",
            "Content-Type: text/event-stream",
            echo_header,
            "Response-Signature: s",
        ]
        writer.write("\r\n".join(lines).encode() + HEADER_END)
        for number in range(last_event_id + 1, STREAM_EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            if number == truncated_event:
                event = event[: rng.randrange(1, len(event))]
            writer.write(_encode_chunk(event) if chunked else event)
            await writer.drain()
            if number == truncated_event:
                break
        if truncated_event and rng.random() < TRUNCATED_BY_RESET_SHARE:
            reset_connection(writer.transport)
        elif chunked:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_registration(
    service: str, address: str, started_ms: int, *, draining: bool
) -> bytes:
    """Return an upstream's registration as JSON."""
    fields: dict[str, Any] = {
        "Service": service,
        "Address": address,
        "Zone": "a",
        "Version": "v1",
        "Slots": 16,
        "State": "draining" if draining else "ready",
        "ColdRemainingMs": 0,
        "SequenceNumber": 1,
        "born": started_ms,
    }
    return json.dumps(fields).encode()
