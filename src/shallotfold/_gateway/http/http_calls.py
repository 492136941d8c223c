"""Call HTTP services on kept connections; calls are never repeated."""

import asyncio
import collections

import attrs

from shallotfold._errors import PlatformError
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import find_header
from shallotfold._gateway.http.messages import request_bytes
from shallotfold._gateway.http.upstream_connection import UpstreamConnection

CONNECT_TIMEOUT_S = 0.8
MAX_IDLE_S = 20.0


class CallFailedError(PlatformError):
    """No whole answer came; the call may have been carried out.

    Attributes:
        sent: Whether the call may have been carried out.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        self.sent = sent
        super().__init__(f"{reason}; try again when the service is back")


@attrs.frozen
class CallAnswer:
    """A whole answer.

    Attributes:
        status: HTTP status.
        headers: Names in lower case.
        body: Whole body.
    """

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


class _Reader:
    """Collects one answer into a future."""

    def __init__(self, answered: "asyncio.Future[CallAnswer]") -> None:
        self._answered = answered
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()

    def on_head(self, status: int, reason: bytes, headers: Headers) -> bool:
        del reason
        self._status = status
        self._headers = [(name.lower(), value) for name, value in headers]
        return True

    def on_data(self, data: bytes) -> None:
        self._body += data

    def on_complete(self) -> None:
        if not self._answered.done():
            answer = CallAnswer(self._status, self._headers, bytes(self._body))
            self._answered.set_result(answer)

    def on_failure(self, reason: str) -> None:
        if not self._answered.done():
            self._answered.set_exception(CallFailedError(reason, sent=True))


class HttpCaller:
    """Calls to one address."""

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self._port = port
        self._idle: collections.deque[UpstreamConnection] = collections.deque()
        self.calls = 0

    async def close(self) -> None:
        """Drop idle connections."""
        while self._idle:
            self._idle.pop().abort()

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        timeout_s: float,
    ) -> CallAnswer:
        """Make one call.

        Raises:
            CallFailedError: No whole answer within the timeout.
        """
        self.calls += 1
        connection = await self._connection()
        loop = asyncio.get_running_loop()
        answered: asyncio.Future[CallAnswer] = loop.create_future()
        host = f"{self._ip}:{self._port}".encode()
        head = [(b"Host", host), *headers]
        if body or method != "GET":
            head.append((b"Content-Length", b"%d" % len(body)))
        connection.send(
            request_bytes(method.encode(), target.encode(), head, body),
            _Reader(answered),
        )
        try:
            async with asyncio.timeout(timeout_s):
                answer = await answered
        except TimeoutError as error:
            # The answer may still be on its way: the connection is spent.
            connection.abort()
            raise CallFailedError("no answer in time", sent=True) from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        if connection.reusable:
            self._idle.append(connection)
        return answer

    async def _connection(self) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        while self._idle:
            kept = self._idle.pop()
            limit_s = kept.keep_alive_s * 0.8 or MAX_IDLE_S
            if kept.connected and loop.time() - kept.idle_since_s < limit_s:
                return kept
            kept.abort()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, made = await loop.create_connection(
                    UpstreamConnection, self._ip, self._port
                )
        except (OSError, TimeoutError) as error:
            raise CallFailedError(
                f"no connection to {self._ip}:{self._port} ({error!r})",
                sent=False,
            ) from error
        return made
