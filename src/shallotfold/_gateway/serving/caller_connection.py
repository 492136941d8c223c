"""Parse the requests on a caller's connection and write the responses."""

import asyncio
import collections
from http import HTTPStatus
from typing import Protocol
from typing import cast

import attrs
import httptools
from loguru import logger

from shallotfold._gateway.core.model import RequestLimits
from shallotfold._gateway.http.compact_head import CompactHead
from shallotfold._gateway.http.messages import OPTIONAL_WHITESPACE
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.http.messages import encode_local_response
from shallotfold._gateway.http.request_parser import RequestParser
from shallotfold._gateway.serving.body_budget import BodyBudget
from shallotfold._gateway.serving.body_budget import BodyHold
from shallotfold._gateway.serving.caller_memory import CallerMemory
from shallotfold._runtime.sockets import is_closed_by_peer
from shallotfold._runtime.sockets import reset_connection

# Parsing and reading pause while this many pipelined requests are queued.
MAX_QUEUED_REQUESTS = 4
# Input with more blank lines, each of which can end a request, is parsed in
# parts of this size: the parser can't stop within the bytes that it is given.
MAX_BLANK_LINES_AT_ONCE = 4
PARSED_PART_BYTES = 256
# A caller with more unread response data is disconnected, to bound memory.
MAX_WRITE_BUFFER_BYTES = 4_194_304
# Chunk framing and trailers of a request, as far as they aren't its body.
MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_PER_BODY_BYTE = 16


class Exchange(Protocol):
    """A request being served."""

    def on_caller_disconnected(self) -> None:
        """Handle the loss of the caller's connection."""
        ...


class RequestHandler(Protocol):
    """Serves the requests of caller connections."""

    @property
    def body_budget(self) -> BodyBudget:
        """Budget of the bodies of all connections."""
        ...

    def start_request(
        self, request: IncomingRequest, connection: "CallerConnection"
    ) -> Exchange | None:
        """Start serving a request.

        Returns:
            The request in progress; `None` if the response is already written.
        """
        ...

    def limits(self) -> RequestLimits:
        """Return the request limits in force."""
        ...

    def is_draining(self) -> bool:
        """Whether responses should ask callers to close the connection."""
        ...


@attrs.frozen
class _QueuedRequest:
    request: IncomingRequest
    body_hold: BodyHold
    head_bytes: int


class CallerConnection(asyncio.Protocol):
    """A caller's connection; its requests are served in order.

    Attributes:
        last_active_s: When bytes arrived or a response ended, in event loop
            time.
        request_started_s: Arrival of the first byte of a request that is not
            complete yet; `None`: there is none.
        head_complete: Whether the head of that request is complete.
        ends_response: Whether the current response ends with the connection.
        opened_s: When it was opened, in event loop time.
        waiting_head_bytes: Bytes of heads and raw input that aren't in service.
    """

    def __init__(
        self,
        handler: RequestHandler,
        connections: "set[CallerConnection]",
        memory: CallerMemory | None = None,
    ) -> None:
        """Make a connection that isn't open yet.

        Args:
            handler: Serves the requests.
            connections: Set that holds the connection while it is open.
            memory: Budgets of all connections; `None`: this one has its own.
        """
        self._memory = memory or CallerMemory()
        self._handler = handler
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._parser: RequestParser | None = RequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._queued_requests: collections.deque[_QueuedRequest] = (
            collections.deque()
        )
        # Holds of the request that is read and of the one that is served.
        self._body_hold = BodyHold(handler.body_budget)
        self._served_body_hold = self._body_hold
        self._exchange: Exchange | None = None
        self._serving = False
        self._keep_alive = True
        self._input_closed = False
        self._unparsed_bytes = 0
        # Received bytes that wait until fewer requests are queued.
        self._raw_input = b""
        self._parsing = False
        self._queued_head_bytes = 0
        self._served_head_bytes = 0
        self._unread_bytes = 0
        self._aborted = False
        # What a closing connection still had to send, and since when.
        self._closing_bytes: int | None = None
        self._closing_since_s = 0.0
        # About the bytes that are parsed at present.
        self._part_body_bytes = 0
        self._part_ends_request = False
        # Bytes written so far, the ends of the writes that may be incomplete,
        # and the end of the last complete one.
        self._written_bytes = 0
        self._write_ends: collections.deque[int] = collections.deque()
        self._complete_bytes = 0
        self.waiting_head_bytes = 0
        self._reset_request()
        self.opened_s = self.last_active_s = self._loop.time()
        self.request_started_s: float | None = None
        self.head_complete = False
        self.ends_response = False

    def _reset_request(self) -> None:
        self._target = bytearray()
        self._head = CompactHead()
        self._body = bytearray()
        self._has_body = False
        self._body_too_large = False
        self._body_bytes = 0
        self._head_bytes = 0
        self._head_too_large = False
        self._body_input_bytes = 0
        self._continue_expected = False

    # The transport calls these.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._connections.add(self)
        if not self._memory.add(self):
            self._input_closed = True
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the request in progress."""
        del exc
        self._transport = None
        self._connections.discard(self)
        self._memory.remove(self)
        self._drop_input()
        # The parser refers to this object; without it, the memory is free at
        # once and not at the next garbage collection.
        if self._parser is not None:
            self._parser.close()
            self._parser = None
        self._input_closed = True
        self._count_heads()
        self._release_served_head()
        self._memory.change_unread(-self._unread_bytes)
        self._unread_bytes = 0
        self._body_hold.release()
        self._served_body_hold.release()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.on_caller_disconnected()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._input_closed:
            return
        self.last_active_s = self._loop.time()
        if self._raw_input or self._parsing:
            self._raw_input += data
        elif _blank_lines(data) <= MAX_BLANK_LINES_AT_ONCE:
            self._parse(data)
            self._serve_next()
        else:
            self._raw_input = data
            self._parse_raw_input()
        self._count_heads()

    def _parse_raw_input(self) -> None:
        """Parse what was received, until too many requests are queued."""
        if self._parsing:
            return
        self._parsing = True
        data, self._raw_input = self._raw_input, b""
        start = 0
        while start < len(data) and not self._input_closed:
            if self.reading_paused:
                break
            self._parse(data[start : start + PARSED_PART_BYTES])
            start += PARSED_PART_BYTES
            self._serve_next()
        if not self._input_closed:
            self._raw_input = data[start:] + self._raw_input
        self._parsing = False
        if self._transport is not None and not self._transport.is_closing():
            if self._raw_input:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def _parse(self, data: bytes) -> None:
        assert self._parser is not None
        if self.request_started_s is None:
            self.request_started_s = self.last_active_s
        if not self.head_complete:
            self._unparsed_bytes += len(data)
        else:
            self._body_input_bytes += len(data)
        self._part_body_bytes = 0
        self._part_ends_request = False
        try:
            self._parser.feed(data)
        except httptools.HttpParserError as error:
            logger.info("Malformed request: {}", error)
            self._reject(HTTPStatus.BAD_REQUEST)
        self._check_limits(data)

    def _check_limits(self, data: bytes) -> None:
        """Reject a request that exceeds a limit, after parsing its bytes."""
        if self._part_ends_request and not self.head_complete:
            # The head of the next request, after the body of the last one.
            self._unparsed_bytes = (
                0
                if self.request_started_s is None
                else max(
                    0, _bytes_after_blank_line(data) - self._part_body_bytes
                )
            )
        if not self.head_complete and self._head_is_too_large():
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        elif self.request_started_s is not None and not self._input_closed:
            if self._body_too_large:
                self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            elif self._has_excess_framing():
                logger.info("Rejected a request: too much chunk framing")
                self._reject(HTTPStatus.BAD_REQUEST)

    # The parser calls these.

    def on_message_begin(self) -> None:
        """Start a new request."""
        if self._input_closed:
            return
        if self.request_started_s is None:
            self.request_started_s = self.last_active_s
        self._reset_request()
        self._body_hold = BodyHold(
            self._handler.body_budget, on_refused=self._drop_body
        )
        self.head_complete = False

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        if self._input_closed:
            return
        self._target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are dropped."""
        if self.head_complete or self._input_closed:
            return
        # No more than was sent: white space after the colon is optional.
        self._head_bytes += len(name) + len(value) + len(b":\r\n")
        value = value.rstrip(OPTIONAL_WHITESPACE)
        name_lower = name.lower()
        self._head.add(name, value)
        if name_lower in (b"content-length", b"transfer-encoding"):
            self._has_body = True
        elif name_lower == b"expect" and value.lower() == b"100-continue":
            self._continue_expected = True

    def current_headers(self) -> Headers:
        """Return the headers of the request that is read, in lower case."""
        headers, _ = self._head.expand()
        return headers

    def on_headers_complete(self) -> None:
        """Handle the end of the header section."""
        self.head_complete = True
        self._unparsed_bytes = 0
        self._head_too_large = self._head_is_too_large()
        self._send_continue()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self._input_closed:
            return
        self._body_bytes += len(body)
        self._part_body_bytes += len(body)
        if self._body_bytes > self._handler.limits().max_body_bytes:
            self._body_too_large = True
            return
        if self._body_hold.add(len(body)):
            self._body += body

    def _drop_body(self) -> None:
        # The rest is read, so that the caller gets the response to it.
        self._body = bytearray()

    def on_message_complete(self) -> None:
        """Queue the request, which is now complete."""
        self._continue_expected = False
        if self._input_closed or self._parser is None:
            self._body_hold.release()
            return
        if self._head_too_large or self._body_too_large:
            self._body_hold.release()
            self._reject(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                if self._head_too_large
                else HTTPStatus.REQUEST_ENTITY_TOO_LARGE
            )
            return
        self._body_hold.complete()
        started_s = self.request_started_s
        head_bytes = len(self._target) + len(self._head)
        request = IncomingRequest(
            method=self._parser.method,
            target=bytes(self._target),
            headers=[],
            original_names=[],
            compact_head=self._head,
            body=bytes(self._body),
            has_body=self._has_body,
            keep_alive=self._parser.should_keep_alive,
            accepts_chunks=self._parser.http_version != "1.0",
            started_s=self._loop.time() if started_s is None else started_s,
            body_refused=self._body_hold.refused,
        )
        self._queued_requests.append(
            _QueuedRequest(request, self._body_hold, head_bytes)
        )
        self._queued_head_bytes += head_bytes
        self._target = bytearray()
        self._head = CompactHead()
        self._body = bytearray()
        self.request_started_s = None
        self.head_complete = False
        self._part_ends_request = True
        self._unparsed_bytes = 0
        if (
            self._transport
            and len(self._queued_requests) >= MAX_QUEUED_REQUESTS
        ):
            self._transport.pause_reading()

    # Request handlers call these.

    @property
    def idle(self) -> bool:
        """Whether no request is being read or served."""
        return (
            not self._serving
            and not self._queued_requests
            and not self._raw_input
            and self.request_started_s is None
        )

    @property
    def serving(self) -> bool:
        """Whether a request is in service."""
        return self._serving

    def caller_has_left(self) -> bool:
        """Whether the caller has closed the connection."""
        return self._transport is None or is_closed_by_peer(self._transport)

    @property
    def reading_paused(self) -> bool:
        """Whether too many pipelined requests are queued to read on."""
        return len(self._queued_requests) >= MAX_QUEUED_REQUESTS

    def disconnect(self) -> None:
        """Drop the connection; its caller has left or holds too much."""
        self._input_closed = True
        self._drop_input()
        if self._transport is not None:
            self._abort_transport()

    def end_input(self) -> None:
        """Drop all input that isn't in service, and close the connection.

        The caller may be told 431: no request is dropped that was being served.
        """
        self._drop_input()
        self._input_closed = True
        self._keep_alive = False
        self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        self._count_heads()
        if self._transport is not None and not self._transport.is_closing():
            # The end of the connection has to be noticed.
            self._transport.resume_reading()

    def disconnect_if_unread(self, now_s: float) -> bool:
        """Drop a closing connection whose caller reads nothing any more.

        Returns:
            Whether it was dropped.
        """
        transport = self._transport
        if transport is None or self._aborted or not transport.is_closing():
            return False
        buffered_bytes = transport.get_write_buffer_size()
        if buffered_bytes != self._closing_bytes:
            self._closing_bytes = buffered_bytes
            self._closing_since_s = now_s
        timeout_s = self._handler.limits().idle_timeout_s
        if now_s - self._closing_since_s <= timeout_s:
            return False
        self._abort_transport()
        return True

    def refresh_unread_bytes(self) -> int:
        """Measure, count and return the bytes of unread responses."""
        transport = self._transport
        if transport is None or self._aborted:
            unread_bytes = 0
        else:
            unread_bytes = self._kept_bytes(transport.get_write_buffer_size())
        change_bytes = unread_bytes - self._unread_bytes
        self._unread_bytes = unread_bytes
        self._memory.change_unread(min(0, change_bytes))
        return unread_bytes

    @property
    def must_close(self) -> bool:
        """Whether the current response is the last on this connection."""
        return (
            not self._keep_alive
            or self._input_closed
            or self._handler.is_draining()
        )

    def write(self, data: bytes) -> None:
        """Send bytes; abort the connection if too many of them stay unread."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        transport.write(data)
        self._written_bytes += len(data)
        self._write_ends.append(self._written_bytes)
        buffered_bytes = transport.get_write_buffer_size()
        unread_bytes = self._kept_bytes(buffered_bytes)
        change_bytes = unread_bytes - self._unread_bytes
        self._unread_bytes = unread_bytes
        self._memory.change_unread(change_bytes)
        if buffered_bytes > MAX_WRITE_BUFFER_BYTES:
            logger.info(
                "Aborted a connection: the caller doesn't read its responses"
            )
            self._abort_transport()

    def finish(self, *, close: bool) -> None:
        """End the current response and serve the next request."""
        self._exchange = None
        self._serving = False
        self._served_body_hold.release()
        self._release_served_head()
        self.ends_response = False
        self.last_active_s = self._loop.time()
        if close:
            self.close()
            return
        # Deferred, since the parser or the request handler is on the stack.
        self._loop.call_soon(self._serve_next)

    def abort(self) -> None:
        """Drop the connection, so that no partial response looks complete."""
        self._exchange = None
        self._abort_transport()

    def close(self) -> None:
        """Close once written data is out; drop queued requests."""
        self._input_closed = True
        self._drop_input()
        self._count_heads()
        if self.ends_response:
            self._abort_transport()
        elif self._transport is not None:
            self._transport.close()

    def request_timed_out(self, now_s: float) -> bool:
        """Whether the rest of a partly received request is overdue."""
        if self.request_started_s is None:
            return False
        if self.reading_paused or self._raw_input:
            # The host itself doesn't read on.
            return False
        limits = self._handler.limits()
        if not self.head_complete:
            return now_s - self.request_started_s > limits.header_timeout_s
        return now_s - self.last_active_s > limits.idle_timeout_s

    def reject_timed_out_request(self) -> None:
        """Reject a request that wasn't received in time."""
        self._reject(HTTPStatus.REQUEST_TIMEOUT)

    def _kept_bytes(self, buffered_bytes: int) -> int:
        """Return the size of the writes that aren't complete.

        The transport keeps the data of a write until all of it was sent; for a
        large response that is several times what its buffer size says.
        """
        sent_bytes = self._written_bytes - buffered_bytes
        while self._write_ends and self._write_ends[0] <= sent_bytes:
            self._complete_bytes = self._write_ends.popleft()
        return self._written_bytes - self._complete_bytes

    def _drop_input(self) -> None:
        """Drop queued requests, and input of requests that aren't complete."""
        for queued in self._queued_requests:
            queued.body_hold.release()
        self._queued_requests.clear()
        self._queued_head_bytes = 0
        self._raw_input = b""
        self._unparsed_bytes = 0
        self._target = bytearray()
        self._head = CompactHead()

    def _count_heads(self) -> None:
        """Count what this connection holds of requests not in service."""
        held_bytes = self._queued_head_bytes + len(self._raw_input)
        if self.request_started_s is not None:
            held_bytes += max(
                self._unparsed_bytes, len(self._target) + len(self._head)
            )
        change_bytes = held_bytes - self.waiting_head_bytes
        if change_bytes:
            self.waiting_head_bytes = held_bytes
            self._memory.change_heads(change_bytes)

    def _release_served_head(self) -> None:
        self._memory.served_head_bytes -= self._served_head_bytes
        self._memory.change_heads(-self._served_head_bytes)
        self._served_head_bytes = 0

    def _abort_transport(self) -> None:
        if self._transport is None:
            return
        self._aborted = True
        if self.ends_response:
            reset_connection(self._transport)
        else:
            # Its framing shows that the response isn't complete. A reset could
            # discard parts that the caller hasn't read.
            self._transport.abort()

    def _head_is_too_large(self) -> bool:
        max_bytes = self._handler.limits().max_header_bytes
        # The parser may be buffering one long, incomplete header.
        return max(self._head_bytes, self._unparsed_bytes) > max_bytes

    def _has_excess_framing(self) -> bool:
        framing_bytes = self._body_input_bytes - self._body_bytes
        return framing_bytes > (
            MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
        )

    def _reject(self, status: HTTPStatus) -> None:
        # A request in progress keeps the connection until its response is sent.
        self._input_closed = True
        self._keep_alive = False
        if not self._serving and not self._queued_requests:
            self.write(encode_local_response(status, close=True))
            self.close()

    def _send_continue(self) -> None:
        """Ask for the body of the next request, unless a response is under way.

        In the middle of a response it would be taken for a part of that.
        """
        if (
            self._continue_expected
            and self.head_complete
            and not self._serving
            and not self._queued_requests
            and not self._input_closed
        ):
            self._continue_expected = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _serve_next(self) -> None:
        while self._queued_requests and not self._serving and self._transport:
            queued = self._queued_requests.popleft()
            request, self._served_body_hold = queued.request, queued.body_hold
            self._serving = True
            self._queued_head_bytes -= queued.head_bytes
            request.head_refused = not self._memory.admits(queued.head_bytes)
            # Not counted as a growth: it is counted as waiting until now.
            self.waiting_head_bytes -= queued.head_bytes
            self._served_head_bytes = queued.head_bytes
            self._memory.served_head_bytes += queued.head_bytes
            request.restore_headers()
            self._keep_alive = self._keep_alive and request.keep_alive
            if not self._raw_input and not self.reading_paused:
                self._transport.resume_reading()
            self._exchange = self._handler.start_request(request, self)
            request.release_headers()
        if self._raw_input and not self.reading_paused:
            # The time in which nothing was parsed is not the caller's.
            self.last_active_s = self._loop.time()
            if self.request_started_s is not None:
                self.request_started_s = self.last_active_s
            self._parse_raw_input()
            self._count_heads()
        self._send_continue()


def _blank_lines(data: bytes) -> int:
    """Return how many blank lines end in these bytes."""
    return data.count(b"\n\r\n") + data.count(b"\n\n")


def _bytes_after_blank_line(data: bytes) -> int:
    """Return how many bytes follow the last blank line."""
    ends = (data.rfind(mark) + len(mark) for mark in (b"\n\r\n", b"\n\n"))
    return len(data) - max(ends)
