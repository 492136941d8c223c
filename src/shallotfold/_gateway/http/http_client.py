"""Call HTTP services without retries."""

import asyncio

import attrs

from shallotfold._errors import PlatformError
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import encode_request
from shallotfold._gateway.http.messages import find_header
from shallotfold._gateway.http.socket_reserve import SocketReserve
from shallotfold._gateway.http.socket_reserve import is_out_of_descriptors
from shallotfold._gateway.http.upstream_connection import UpstreamConnection

# A lost opening packet is sent again after a second.
CONNECT_TIMEOUT_S = 1.3
# The largest responses are pages of the store and snapshots of peers.
MAX_BODY_BYTES = 16_777_216


class CallFailedError(PlatformError):
    """No complete response arrived.

    Attributes:
        may_have_run: Whether the service may have executed the call.
    """

    def __init__(self, reason: str, *, may_have_run: bool) -> None:
        self.may_have_run = may_have_run
        super().__init__(f"{reason}; try again when the service is back")


class CallInterruptedError(CallFailedError):
    """The connection ended, or was unusable, before the response's end."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, may_have_run=True)


@attrs.frozen
class HttpResponse:
    """A complete response.

    Attributes:
        status: HTTP status.
        headers: Header names in lower case, with their values.
        body: Complete body.
    """

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


class ResponseCollector:
    """Collects one response into a future."""

    def __init__(self, response_future: "asyncio.Future[HttpResponse]") -> None:
        self._response_future = response_future
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()

    def on_head_part(self, count: int) -> None:
        """Ignore the part: the bound of a single head is enough here."""

    def on_head(self, status: int, reason: bytes, headers: Headers) -> bool:
        del reason
        self._status = status
        self._headers = [(name.lower(), value) for name, value in headers]
        return True

    def on_data(self, data: bytes) -> None:
        if len(self._body) + len(data) > MAX_BODY_BYTES:
            self.on_failure(f"the body has more than {MAX_BODY_BYTES} bytes")
            return
        self._body += data

    def on_complete(self) -> None:
        if not self._response_future.done():
            response = HttpResponse(
                self._status, self._headers, bytes(self._body)
            )
            self._response_future.set_result(response)

    def on_failure(self, reason: str) -> None:
        if not self._response_future.done():
            self._response_future.set_exception(CallInterruptedError(reason))


class HttpClient:
    """HTTP client for one address.

    Each call has a connection of its own. Responses carry no id here, so a
    second copy of one that arrives late on a reused connection would be taken
    for the response to the next call.
    """

    def __init__(
        self, ip: str, port: int, reserve: SocketReserve | None = None
    ) -> None:
        """Make a client that has no connection yet.

        Args:
            ip: Address of the service.
            port: Port of the service.
            reserve: Sockets for when no descriptor is free.
        """
        self._ip = ip
        self._port = port
        self._reserve = reserve or SocketReserve()
        self.call_count = 0

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        timeout_s: float,
    ) -> HttpResponse:
        """Send one request and wait for the response.

        Raises:
            CallFailedError: No complete response arrived in time.
        """
        self.call_count += 1
        connection = await self._connect()
        loop = asyncio.get_running_loop()
        response_future: asyncio.Future[HttpResponse] = loop.create_future()
        host = f"{self._ip}:{self._port}".encode()
        request_headers = [(b"Host", host), *headers]
        if body or method != "GET":
            request_headers.append((b"Content-Length", b"%d" % len(body)))
        connection.send(
            encode_request(
                method.encode(), target.encode(), request_headers, body
            ),
            ResponseCollector(response_future),
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await response_future
        except TimeoutError as error:
            raise CallFailedError(
                "no response in time", may_have_run=True
            ) from error
        finally:
            connection.abort()

    async def _connect(self) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                try:
                    _, connection = await loop.create_connection(
                        UpstreamConnection, self._ip, self._port
                    )
                except OSError as error:
                    if not is_out_of_descriptors(error):
                        raise
                    connection = await self._connect_reserved()
        except (OSError, TimeoutError) as error:
            raise CallFailedError(
                f"no connection to {self._ip}:{self._port} ({error!r})",
                may_have_run=False,
            ) from error
        return connection

    async def _connect_reserved(self) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        sock = self._reserve.open_socket()
        try:
            await loop.sock_connect(sock, (self._ip, self._port))
            _, connection = await loop.create_connection(
                UpstreamConnection, sock=sock
            )
        except BaseException:
            sock.close()
            raise
        return connection
