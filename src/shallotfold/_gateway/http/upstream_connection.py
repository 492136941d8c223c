"""Send one request at a time on a connection and read the answer exactly."""

import asyncio
import errno
from http import HTTPStatus
import socket
from typing import Protocol
from typing import cast

import httptools

from shallotfold._gateway.http.messages import Headers

# A peer that vanished without a reset is noticed after this long.
SILENT_PEER_TIMEOUT_MS = 2_000
MAX_ANSWER_HEAD_BYTES = 65_536


class AnswerReader(Protocol):
    """What is told of the answer to the request that was sent last."""

    def on_head(self, status: int, reason: bytes, headers: Headers) -> bool:
        """Take the head of an answer.

        Returns:
            Whether the answer belongs to the request; another one is skipped.
        """
        ...

    def on_data(self, data: bytes) -> None:
        """Take a part of the body."""
        ...

    def on_complete(self) -> None:
        """Note that the whole answer is in."""
        ...

    def on_failure(self, reason: str) -> None:
        """Note that no whole answer will come; the request may have run."""
        ...


class UpstreamConnection(asyncio.Protocol):
    """An HTTP/1.1 connection that carries one request at a time.

    Attributes:
        reusable: Whether the last answer ended cleanly and may be followed.
        idle_since_s: When the last answer ended.
        keep_alive_s: How long the peer keeps it idle; 0: unsaid.
        served: Answers that were read on this connection.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._reader: AnswerReader | None = None
        self._reason = b""
        self._headers: Headers = []
        self._status = 0
        self._skipping = False
        self._in_answer = False
        self._until_close = False
        self._completed = False
        self._surplus = False
        self._keep_alive = False
        self.reusable = False
        self.idle_since_s = self._loop.time()
        self.keep_alive_s = 0.0
        self.served = 0

    def send(self, data: bytes, reader: AnswerReader) -> None:
        """Send a request; `reader` learns of its answer."""
        self._reader = reader
        self._completed = False
        self.reusable = False
        if self._transport is None:
            self._fail("connection lost before the request was sent")
            return
        self._transport.write(data)

    def abort(self) -> None:
        """Reset the connection; the reader hears nothing more."""
        self._reader = None
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    def pause(self) -> None:
        """Read no more until `resume`."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._transport is not None:
            self._transport.resume_reading()

    @property
    def connected(self) -> bool:
        """Whether the connection still stands, as far as is known."""
        return self._transport is not None and not self._transport.is_closing()

    # The transport calls these.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new connection."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                SILENT_PEER_TIMEOUT_MS,
            )

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer under way."""
        self._transport = None
        self.reusable = False
        if self._until_close and exc is None and self._reader is not None:
            self._complete()
            return
        self._fail("connection closed" if exc is None else str(exc))

    def eof_received(self) -> bool:
        """Tell an orderly end from a reset that was read as an end.

        The loop may see the end of the stream before the error behind it; an
        answer without a length is whole only after an orderly end.
        """
        transport = self._transport
        sock = transport.get_extra_info("socket") if transport else None
        if sock is not None:
            error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if error:
                self._fail(f"connection reset ({errno.errorcode.get(error)})")
        return False

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self._reader is None:
            # Bytes that nobody waits for belong to no request.
            self._close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._surplus = True
            self._fail(f"malformed answer: {e}")
            self._close()
            return
        if self._completed:
            self._end_answer()

    # The parser calls these.

    def on_message_begin(self) -> None:
        """Start to read an answer."""
        if self._completed:
            self._surplus = True
        self._headers = []
        self._reason = b""
        self._in_answer = True
        self._until_close = False

    def on_status(self, status: bytes) -> None:
        """Collect the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header, in the spelling of the upstream."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hand the head over unless it belongs to another request."""
        self._status = self._parser.get_status_code()
        if self._status < HTTPStatus.OK or self._completed:
            self._skipping = True
            return
        lowered = {name.lower(): value for name, value in self._headers}
        has_length = b"content-length" in lowered or (
            b"chunked" in lowered.get(b"transfer-encoding", b"").lower()
        )
        bodiless = self._status in (
            HTTPStatus.NO_CONTENT,
            HTTPStatus.NOT_MODIFIED,
        )
        self._until_close = not has_length and not bodiless
        self.keep_alive_s = _keep_alive_s(lowered.get(b"keep-alive", b""))
        reader = self._reader
        self._skipping = reader is None or not reader.on_head(
            self._status,
            self._reason,
            self._headers,
        )

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        if not self._skipping and self._reader is not None:
            self._reader.on_data(body)

    def on_message_complete(self) -> None:
        """Note the end of an answer."""
        self._in_answer = False
        # The parser forgets it once the callback has returned.
        self._keep_alive = self._parser.should_keep_alive()
        if self._skipping:
            # What follows a stray answer can't be trusted for long.
            self._surplus = self._surplus or self._status >= HTTPStatus.OK
            self._skipping = False
            return
        self._completed = True

    def _end_answer(self) -> None:
        self.served += 1
        self.idle_since_s = self._loop.time()
        self.reusable = (
            not self._surplus
            and not self._in_answer
            and self._keep_alive
            and self.connected
        )
        self._complete()
        if not self.reusable:
            self._close()

    def _complete(self) -> None:
        reader, self._reader = self._reader, None
        self._until_close = False
        if reader is not None:
            reader.on_complete()

    def _fail(self, reason: str) -> None:
        reader, self._reader = self._reader, None
        if reader is None:
            return
        if self._completed:
            reader.on_complete()
        else:
            reader.on_failure(reason)

    def _close(self) -> None:
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()


def _keep_alive_s(value: bytes) -> float:
    for part in value.split(b","):
        name, _, figure = part.strip().partition(b"=")
        if name.lower() == b"timeout" and figure.isdigit():
            return float(figure)
    return 0.0
