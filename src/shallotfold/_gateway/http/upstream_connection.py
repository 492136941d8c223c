"""Send one request at a time on a connection and read its response."""

import asyncio
import errno
import socket
import time
from typing import Protocol
from typing import cast

import httptools
from loguru import logger

from shallotfold._gateway.http.messages import FINAL_STATUSES
from shallotfold._gateway.http.messages import HEAD_METHOD
from shallotfold._gateway.http.messages import INTERIM_STATUSES
from shallotfold._gateway.http.messages import OPTIONAL_WHITESPACE
from shallotfold._gateway.http.messages import BodyFraming
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import response_framing
from shallotfold._gateway.http.read_pacing import ReadMeter
from shallotfold._gateway.http.read_pacing import ReadPacer
from shallotfold._runtime.sockets import reset_connection

# Detects a server that disappeared without a reset (TCP_USER_TIMEOUT).
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
# Bounds of what a server in trouble may send; past them it gets a reset.
MAX_RESPONSE_HEAD_BYTES = 65_536
MAX_RESPONSE_HEADERS = 256
# Bytes that belong to no response of the request: blank lines, interim
# responses, responses to other requests, chunk framing and trailers. Small
# chunks need more framing than data.
MAX_OVERHEAD_BYTES = 131_072
MAX_OVERHEAD_PER_BODY_BYTE = 16
# Time that the reads of a response have waited when that is logged.
LOGGED_WAIT_S = 1.0


class ResponseListener(Protocol):
    """Callbacks for the response to the last request sent."""

    def on_head_part(self, count: int) -> None:
        """Handle received bytes of a head that isn't complete."""
        ...

    def on_head(self, status: int, reason: bytes, headers: Headers) -> bool:
        """Handle the head of a response.

        Returns:
            Whether the response belongs to the request; if not, it is skipped.
        """
        ...

    def on_data(self, data: bytes) -> None:
        """Handle a part of the body."""
        ...

    def on_complete(self) -> None:
        """Handle the end of a complete response."""
        ...

    def on_failure(self, reason: str) -> None:
        """Handle a response that fails; the request may have run."""
        ...


class UpstreamConnection(asyncio.BufferedProtocol):
    """An HTTP/1.1 connection that carries one request at a time.

    Attributes:
        reusable: Whether the last response ended cleanly, so that another
            request may be sent.
        idle_since_s: When the last response ended.
        keep_alive_s: Idle timeout from the Keep-Alive header; 0: not given.
        response_count: Responses read on this connection.
        echoes_ids: Whether a response on it had an id of a request; set by
            the listeners.
    """

    def __init__(self, pacer: ReadPacer | None = None) -> None:
        """Make a connection that isn't established yet.

        Args:
            pacer: Shared by the connections whose reads are paced together.
        """
        self._loop = asyncio.get_running_loop()
        self._pacer = pacer or ReadPacer()
        self._read_meter = ReadMeter()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._listener: ResponseListener | None = None
        self._reason = b""
        self._headers: Headers = []
        self._status = 0
        self._invalid_status: int | None = None
        self._skipping = False
        self._in_response = False
        self._in_body = False
        self._close_delimited = False
        self._completed = False
        # Whether the response ends with its head, as the request was HEAD.
        self._head_only = False
        self._surplus_data = False
        self._keep_alive = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._head_bytes = 0
        # Parts of the body in the bytes of one read. Each may be one byte, so
        # that the listener gets them together.
        self._body_parts: list[bytes] = []
        self._resume_timer: asyncio.TimerHandle | None = None
        self._waited_s = 0.0
        self.reusable = False
        self.idle_since_s = self._loop.time()
        self.keep_alive_s = 0.0
        self.response_count = 0
        self.echoes_ids = False

    def send(self, data: bytes, listener: ResponseListener) -> None:
        """Send a request; its response goes to `listener`."""
        self.expect_response(listener)
        self._head_only = data.startswith(HEAD_METHOD + b" ")
        if self._transport is None:
            self._fail("connection lost before the request was sent")
            return
        self._transport.write(data)

    def expect_response(self, listener: ResponseListener) -> None:
        """Pass the response to a request sent elsewhere to `listener`."""
        self._listener = listener
        self._head_only = False
        self._completed = False
        self._received_bytes = 0
        self._body_bytes = 0
        self._waited_s = 0.0
        self.reusable = False
        if self._resume_timer is not None:
            # The last response's bytes don't delay this one's.
            self._resume_timer.cancel()
            self._resume_reading()

    def abort(self) -> None:
        """Reset the connection without further calls of the listener."""
        self._listener = None
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    @property
    def connected(self) -> bool:
        """Whether the connection is open, as far as is known."""
        return self._transport is not None and not self._transport.is_closing()

    # The transport calls these.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                UNACKNOWLEDGED_TIMEOUT_MS,
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """End the current response."""
        self._transport = None
        self.reusable = False
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        if self._close_delimited and exc is None and self._listener is not None:
            self._complete()
        else:
            self._fail("connection closed" if exc is None else str(exc))
        # The parser and this object refer to each other; what they hold would
        # wait for the garbage collector.
        self._parser = None
        self._headers = []
        self._body_parts = []

    def eof_received(self) -> bool:
        """Distinguish an orderly close from a reset.

        The event loop may report the end of the input before a pending socket
        error. A response without a length is complete only after an orderly
        close.
        """
        transport = self._transport
        sock = transport.get_extra_info("socket") if transport else None
        if sock is not None:
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._fail(f"connection reset ({errno.errorcode.get(error)})")
        return False

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        del sizehint
        return self._pacer.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that were read into the buffer."""
        self.data_received(bytes(memoryview(self._pacer.buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; pause reading if they took long."""
        started_s = time.monotonic()
        self._handle_data(data)
        now_s = time.monotonic()
        work_s = now_s - started_s
        if self._read_meter.is_heavy(work_s, now_s):
            self._pause_reading(self._pacer.wait_s(work_s, now_s))

    def _pause_reading(self, pause_s: float) -> None:
        transport = self._transport
        if (
            transport is None
            or transport.is_closing()
            or not transport.is_reading()
        ):
            return
        transport.pause_reading()
        self._resume_timer = self._loop.call_later(
            pause_s, self._resume_reading
        )
        is_logged = self._waited_s > LOGGED_WAIT_S
        self._waited_s += pause_s
        if self._waited_s > LOGGED_WAIT_S and not is_logged:
            logger.info(
                "The first {} bytes of a response from {} took long to "
                "handle; its further reads are delayed",
                self._received_bytes,
                transport.get_extra_info("peername"),
            )

    def _resume_reading(self) -> None:
        self._resume_timer = None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _handle_data(self, data: bytes) -> None:
        if self._listener is None or self._parser is None:
            # No request is pending, so these bytes belong to none.
            self._close()
            return
        self._received_bytes += len(data)
        if not self._in_body:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._pass_body_on()
            self._surplus_data = True
            self._fail(f"malformed answer: {e}")
            self._close()
            return
        self._pass_body_on()
        violation = None if self._completed else self._find_violation()
        if violation is not None:
            logger.info(
                "Reset a connection after {} bytes: {}",
                self._received_bytes,
                violation,
            )
            self._fail(violation)
            self._reset()
            return
        if self._completed:
            self._end_response()
        elif not self._in_body and self._listener is not None:
            self._listener.on_head_part(len(data))

    # The parser calls these.

    def on_message_begin(self) -> None:
        """Start a new response."""
        if self._completed:
            self._surplus_data = True
        self._headers = []
        self._reason = b""
        self._in_response = True
        self._in_body = False
        self._close_delimited = False

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header, with its name as sent."""
        # Trailers belong to no head. One header more shows that the head has
        # too many; the others in the same read aren't kept.
        if not self._in_body and len(self._headers) <= MAX_RESPONSE_HEADERS:
            self._headers.append((name, value.rstrip(OPTIONAL_WHITESPACE)))

    def on_headers_complete(self) -> None:
        """Pass the head on, or skip a response to another request."""
        self._in_body = True
        self._head_bytes = 0
        if self._parser is None:
            return
        self._status = self._parser.get_status_code()
        if self._completed or self._status not in FINAL_STATUSES:
            self._skipping = True
            if self._status not in INTERIM_STATUSES and not self._completed:
                self._invalid_status = self._status
            return
        value_by_name = {name.lower(): value for name, value in self._headers}
        self.keep_alive_s = _parse_keep_alive_s(
            value_by_name.get(b"keep-alive", b"")
        )
        listener = self._listener
        self._skipping = listener is None or not listener.on_head(
            self._status,
            self._reason,
            self._headers,
        )
        # The end of a response to another request ends no other.
        self._close_delimited = not self._skipping and (
            response_framing(
                self._status, self._headers, head_only=self._head_only
            )
            is BodyFraming.CONNECTION_CLOSE
        )
        if self._head_only and not self._skipping:
            # The parser waits for the body that the head announces, so that
            # the connection can't be used again.
            self._completed = True
            self._surplus_data = True

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self._head_only and self._completed:
            return
        if not self._skipping and self._listener is not None:
            self._body_bytes += len(body)
            self._body_parts.append(body)

    def _pass_body_on(self) -> None:
        """Pass on the parts of the body in the bytes that were just read."""
        if self._body_parts:
            body = b"".join(self._body_parts)
            self._body_parts.clear()
            if self._listener is not None:
                self._listener.on_data(body)

    def on_message_complete(self) -> None:
        """Handle the end of a response."""
        self._pass_body_on()
        self._in_response = False
        self._in_body = False
        # The parser resets its value after the callback.
        self._keep_alive = (
            self._parser is not None and self._parser.should_keep_alive()
        )
        if self._skipping:
            # More stray data may follow, so the connection isn't reused.
            self._surplus_data = (
                self._surplus_data or self._status not in INTERIM_STATUSES
            )
            self._skipping = False
            return
        self._completed = True

    def _find_violation(self) -> str | None:
        """Return why the received bytes can't be or become a response."""
        if self._invalid_status is not None:
            return f"no response has the status {self._invalid_status:03}"
        if self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
            return f"the head has more than {MAX_RESPONSE_HEAD_BYTES} bytes"
        if len(self._headers) > MAX_RESPONSE_HEADERS:
            return f"the response has more than {MAX_RESPONSE_HEADERS} headers"
        overhead_bytes = self._received_bytes - self._body_bytes
        if overhead_bytes > (
            MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * self._body_bytes
        ):
            return f"{overhead_bytes} bytes belong to no response"
        return None

    def _end_response(self) -> None:
        self.response_count += 1
        self.idle_since_s = self._loop.time()
        self.reusable = (
            not self._surplus_data
            and not self._in_response
            and self._keep_alive
            and self.connected
        )
        self._complete()
        if not self.reusable:
            self._close()

    def _complete(self) -> None:
        listener, self._listener = self._listener, None
        self._close_delimited = False
        if listener is not None:
            listener.on_complete()

    def _fail(self, reason: str) -> None:
        listener, self._listener = self._listener, None
        if listener is None:
            return
        if self._completed:
            listener.on_complete()
        else:
            listener.on_failure(reason)

    def _reset(self) -> None:
        self.reusable = False
        if self._transport is not None:
            reset_connection(self._transport)

    def _close(self) -> None:
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()


def _parse_keep_alive_s(value: bytes) -> float:
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return float(seconds)
    return 0.0
