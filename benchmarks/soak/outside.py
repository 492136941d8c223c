"""Stand in for what gateways talk to: the store, duties and upstreams."""

import asyncio
import collections
import json
import re
import time
from typing import Any

import attrs

from tests.platform.store_standin import StoreStandIn

USAGE_WINDOW_S = 2
STREAM_EVENTS = 8
EVENT_GAP_S = 0.03
WATCH_STEP_S = 0.02
HEAD_END = b"\r\n\r\n"
_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)")


async def read_request(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return head and body of the next request."""
    head = await reader.readuntil(HEAD_END)
    found = _LENGTH.search(head)
    body = await reader.readexactly(int(found[1])) if found else b""
    return head, body


def header(head: bytes, name: str) -> str:
    """Return the value of a header; empty if it is missing."""
    found = re.search(rb"(?i)\r\n" + name.encode() + rb": *([^\r]*)", head)
    return found[1].decode() if found else ""


def answer(status: int, body: bytes, *headers: str) -> bytes:
    """Write a whole answer."""
    lines = [f"HTTP/1.1 {status} S", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + HEAD_END + body


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
            # The caller left, or the run is over; nobody to tell.
            pass
        finally:
            writer.close()


class StoreService(Service):
    """The store's stand-in, with watches that wait."""

    def __init__(self) -> None:
        super().__init__()
        self.content = StoreStandIn()

    async def handle(
        self, head: bytes, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a call; a watch waits until it has something to say."""
        target = head.split(b" ", 2)[1].decode()
        wait = re.search(r"WaitTimeoutMs=(\d+)", target)
        left_s = int(wait[1]) / 1000 if wait else 0.0
        while left_s > 0 and not self._has_events(target):
            await asyncio.sleep(WATCH_STEP_S)
            left_s -= WATCH_STEP_S
        writer.write(self.content.respond(head + body))

    def _has_events(self, target: str) -> bool:
        query = dict(
            part.split("=", 1) for part in target.split("?")[1].split("&")
        )
        prefix = query["PathPrefix"].replace("%2F", "/")
        after = int(query["After"])
        return after < self.content.oldest_kept_revision or any(
            e["Revision"] > after and e["Key"].startswith(prefix)
            for e in reversed(self.content.history[-200:])
        )


class DutyService(Service):
    """Takes duty calls; remembers which figures came for each window.

    Attributes:
        figures_by_window: Different figures that came for a window.
        ages_s_by_window: How long a window had ended when figures came.
        hosts_by_fencing: Hosts that used a fencing number.
    """

    def __init__(self) -> None:
        super().__init__()
        self.figures_by_window: dict[int, set[str]] = collections.defaultdict(
            set
        )
        self.ages_s_by_window: dict[int, list[float]] = collections.defaultdict(
            list
        )
        self.hosts_by_fencing: dict[str, set[str]] = collections.defaultdict(
            set
        )

    async def handle(
        self, head: bytes, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Take a call."""
        content = json.loads(body)
        fencing = header(head, "Fencing-Token")
        self.hosts_by_fencing[fencing].add(header(head, "Duty-Holder"))
        if "WindowNumber" in content:
            figures = json.dumps(content["Counts"], sort_keys=True)
            window = content["WindowNumber"]
            self.figures_by_window[window].add(figures)
            ended_s = (window + 1) * USAGE_WINDOW_S
            self.ages_s_by_window[window].append(time.time() - ended_s)
        writer.write(answer(200, b"{}"))


@attrs.define
class Runs:
    """What upstreams ran, by request id.

    Attributes:
        starts_by_id: How often each request began.
        workspace_by_id: For whom it ran.
    """

    starts_by_id: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    workspace_by_id: dict[str, str] = attrs.field(factory=dict)


class UpstreamService(Service):
    """An upstream that runs calls and streams."""

    def __init__(self, upstream_id: str, runs: Runs) -> None:
        super().__init__()
        self.upstream_id = upstream_id
        self.failing = False
        self._runs = runs

    async def handle(
        self, head: bytes, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request."""
        del body
        request_id = header(head, "Attempt-Id")
        echoed = f"Attempt-Id: {request_id}"
        if header(head, "Expected-Instance") != self.upstream_id:
            writer.write(answer(421, b"", echoed))
            return
        if self.failing:
            writer.write(answer(503, b"", echoed, "Not-Executed: 1"))
            return
        self._runs.starts_by_id[request_id] += 1
        self._runs.workspace_by_id[request_id] = header(head, "Tenant-Name")
        if b"/stream/" in head.split(b"\r\n")[0]:
            await self._stream(head, request_id, writer)
            return
        await asyncio.sleep(EVENT_GAP_S)
        signature = "Response-Signature: s"
        writer.write(answer(200, request_id.encode(), echoed, signature))

    async def _stream(
        self, head: bytes, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        last = int(header(head, "Last-Event-Id") or 0)
        lines = [
            "HTTP/1.1 200 OK",
            "Transfer-Encoding: chunked",
            "Content-Type: text/event-stream",
            f"Attempt-Id: {request_id}",
            "Response-Signature: s",
        ]
        writer.write("\r\n".join(lines).encode() + HEAD_END)
        for number in range(last + 1, STREAM_EVENTS + 1):
            await asyncio.sleep(EVENT_GAP_S)
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def registration(service: str, address: str, *, draining: bool) -> bytes:
    """Write an upstream's registration."""
    fields: dict[str, Any] = {
        "Service": service,
        "Address": address,
        "Zone": "a",
        "Slots": 16,
        "State": "draining" if draining else "ready",
        "ColdRemainingMs": 0,
        "SequenceNumber": 1,
    }
    return json.dumps(fields).encode()
