"""Parse the requests of one caller's connection and write the answers."""

import asyncio
import collections
from http import HTTPStatus
from typing import Protocol
from typing import cast

import httptools
from loguru import logger

from shallotfold._gateway.core.model import RequestLimits
from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.http.messages import encode_local_response

# A caller that pipelines more than this waits until answers are out.
MAX_WAITING_REQUESTS = 4
# A caller that leaves more than this unread is cut off, to bound memory.
MAX_UNSENT_BYTES = 4_194_304


class Exchange(Protocol):
    """The work on one request, told what happens to its caller."""

    def on_caller_disconnected(self) -> None:
        """The connection is gone; nothing can be written any more."""
        ...


class RequestHandler(Protocol):
    """What serves the requests of a connection."""

    def accept(
        self, request: IncomingRequest, connection: "CallerConnection"
    ) -> Exchange | None:
        """Begin to serve a request.

        Returns:
            The work, or `None` if the answer has been written already.
        """
        ...

    def limits(self) -> RequestLimits:
        """Return the bounds in force."""
        ...

    def is_draining(self) -> bool:
        """Whether answers should ask callers to leave the connection."""
        ...


class CallerConnection(asyncio.Protocol):
    """Serve the requests of one connection one after the other."""

    def __init__(
        self, handler: RequestHandler, connections: "set[CallerConnection]"
    ) -> None:
        self._handler = handler
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiting: collections.deque[IncomingRequest] = collections.deque()
        self._exchange: Exchange | None = None
        self._serving = False
        self._keep_alive = True
        self._broken = False
        self._unparsed_bytes = 0
        self._reset_request()
        self.last_active_s = self._loop.time()
        self.request_started_s: float | None = None
        self.head_complete = False

    def _reset_request(self) -> None:
        self._target = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._original_names: list[bytes] = []
        self._body = bytearray()
        self._has_body = False
        self._body_too_large = False
        self._head_bytes = 0
        self._head_too_large = False

    # The transport calls these.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the work under way that its caller has left."""
        del exc
        self._transport = None
        self._connections.discard(self)
        self._waiting.clear()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.on_caller_disconnected()

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self._broken:
            return
        self.last_active_s = self._loop.time()
        if self.request_started_s is None:
            self.request_started_s = self.last_active_s
        if not self.head_complete:
            self._unparsed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not offered; the request itself is served.
            self._keep_alive = False
            self._broken = True
        except httptools.HttpParserError as error:
            logger.info("Malformed request: {}", error)
            self._reject(HTTPStatus.BAD_REQUEST)
        if not self.head_complete and self._head_is_too_large():
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        self._serve_next()

    # The parser calls these.

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset_request()
        self.head_complete = False

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header."""
        self._head_bytes += len(name) + len(value) + len(b": \r\n")
        lowered = name.lower()
        self._headers.append((lowered, value))
        self._original_names.append(name)
        if lowered in (b"content-length", b"transfer-encoding"):
            self._has_body = True
        elif lowered == b"expect" and value.lower() == b"100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_headers_complete(self) -> None:
        """Note that the head is in."""
        self.head_complete = True
        self._unparsed_bytes = 0
        self._head_too_large = self._head_is_too_large()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if len(self._body) + len(body) > self._handler.limits().max_body_bytes:
            self._body_too_large = True
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Queue the request that is now whole."""
        if self._broken:
            return
        if self._head_too_large:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        if self._body_too_large:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        started_s = self.request_started_s
        self._waiting.append(
            IncomingRequest(
                method=self._parser.get_method(),
                target=bytes(self._target),
                headers=self._headers,
                original_names=self._original_names,
                body=bytes(self._body),
                has_body=self._has_body,
                keep_alive=self._parser.should_keep_alive(),
                started_s=self._loop.time() if started_s is None else started_s,
            )
        )
        self._body = bytearray()
        self.request_started_s = None
        self._unparsed_bytes = 0
        if self._transport and len(self._waiting) >= MAX_WAITING_REQUESTS:
            self._transport.pause_reading()

    # The work on a request calls these.

    @property
    def idle(self) -> bool:
        """Whether no request is being read or served."""
        return (
            not self._serving
            and not self._waiting
            and self.request_started_s is None
        )

    @property
    def must_close(self) -> bool:
        """Whether the answer under way is the last on this connection."""
        return (
            not self._keep_alive or self._broken or self._handler.is_draining()
        )

    def write(self, data: bytes) -> None:
        """Send bytes; a caller that reads far too slowly is cut off."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            logger.info("Caller doesn't read; connection aborted")
            transport.abort()

    def finish(self, *, close: bool) -> None:
        """End the answer under way and serve the next request."""
        self._exchange = None
        self._serving = False
        self.last_active_s = self._loop.time()
        if close:
            self.close()
            return
        # Not from inside the parser's or the finished work's own call.
        self._loop.call_soon(self._serve_next)

    def abort(self) -> None:
        """Reset the connection, so that no answer looks complete."""
        self._exchange = None
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close after what was written; requests not begun yet are dropped."""
        self._broken = True
        self._waiting.clear()
        if self._transport is not None:
            self._transport.close()

    def request_is_late(self, now_s: float) -> bool:
        """Whether a head or a body that has begun takes too long."""
        if self.request_started_s is None:
            return False
        limits = self._handler.limits()
        if not self.head_complete:
            return now_s - self.request_started_s > limits.header_timeout_s
        return now_s - self.last_active_s > limits.idle_timeout_s

    def reject_late_request(self) -> None:
        """Give up on a caller that did not send its request in time."""
        self._reject(HTTPStatus.REQUEST_TIMEOUT)

    def _head_is_too_large(self) -> bool:
        most = self._handler.limits().max_header_bytes
        # One long header may be waiting for its end inside the parser.
        return max(self._head_bytes, self._unparsed_bytes) > most

    def _reject(self, status: HTTPStatus) -> None:
        # A request under way keeps its connection until its answer is out.
        self._broken = True
        self._keep_alive = False
        if not self._serving and not self._waiting:
            self.write(encode_local_response(status, close=True))
            self.close()

    def _serve_next(self) -> None:
        while self._waiting and not self._serving and self._transport:
            request = self._waiting.popleft()
            self._serving = True
            self._keep_alive = self._keep_alive and request.keep_alive
            if len(self._waiting) < MAX_WAITING_REQUESTS:
                self._transport.resume_reading()
            self._exchange = self._handler.accept(request, self)
