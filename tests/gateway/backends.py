"""Upstream stand-ins that send scripted responses."""

import asyncio
from collections.abc import Callable
import re

import attrs

from shallotfold._runtime.sockets import reset_connection

REQUEST_END = b"\r\n\r\n"
_CONTENT_LENGTH = re.compile(rb"(?i)content-length: (\d+)")


@attrs.define(eq=False)
class Backend:
    """A TCP server that responds to each request with scripted bytes.

    Attributes:
        respond: Returns the response to a request; empty: none is sent.
        reset: Whether to reset the connection after the response.
        close: Whether to close the connection cleanly after the response.
        requests: Requests received, in order.
        disconnects: Connections that the client closed or reset.
        resets: Connections that the client reset.
    """

    respond: Callable[[bytes], bytes]
    reset: bool = False
    close: bool = False
    requests: list[bytes] = attrs.field(factory=list)
    disconnects: int = 0
    resets: int = 0
    port: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while not writer.is_closing():
                await self._serve_one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.disconnects += 1
            self.resets += isinstance(error, ConnectionResetError)
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(REQUEST_END)
        length = _CONTENT_LENGTH.search(head)
        body = await reader.readexactly(int(length[1])) if length else b""
        self.requests.append(head + body)
        response = self.respond(head + body)
        writer.write(response)
        await writer.drain()
        if self.reset:
            reset_connection(writer.transport)
        elif self.close:
            writer.close()


def complete_response(
    body: bytes,
    *headers: bytes,
    status: bytes = b"200 OK",
) -> bytes:
    lines = [b"HTTP/1.1 " + status, b"Content-Length: %d" % len(body)]
    return b"\r\n".join([*lines, *headers]) + REQUEST_END + body


def stream_response(*events: bytes, ended: bool = True) -> bytes:
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(e), e) for e in events)
    return head + chunks + (b"0\r\n\r\n" if ended else b"")


def close_delimited_stream(*parts: bytes) -> bytes:
    """Return a stream with neither a length nor chunks."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    return head + b"".join(parts)


def sse_event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)
