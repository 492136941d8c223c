"""Make an HTTP call that is never sent after a given moment."""

import asyncio
import socket

from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.http.http_client import CONNECT_TIMEOUT_S
from shallotfold._gateway.http.http_client import CallFailedError
from shallotfold._gateway.http.http_client import HttpResponse
from shallotfold._gateway.http.http_client import ResponseCollector
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import encode_request
from shallotfold._gateway.http.socket_reserve import SocketReserve
from shallotfold._gateway.http.upstream_connection import UpstreamConnection
from shallotfold._runtime.sockets import LINGER_RESET
from shallotfold._settings.addresses import Address

_MS_PER_S = 1000.0


async def call_before(
    expires_s: float,
    address: Address,
    method: bytes,
    target: bytes,
    *,
    body: bytes,
    headers: Headers,
    timeout_s: float,
    reserve: SocketReserve | None = None,
) -> HttpResponse:
    """Send a request on a new connection and wait for the response.

    A connection of its own has nothing queued, so the request is in the
    kernel's hands as soon as it is written. What the network has not taken by
    `expires_s` is dropped by resetting the connection.

    Args:
        expires_s: The request isn't sent at or after this time of the boot
            clock, and its response isn't waited for longer.
        address: Address of the service.
        method: HTTP method.
        target: Path and query.
        body: Body of the request.
        headers: Headers besides those of the connection and the body.
        timeout_s: Longest time to wait for the response.
        reserve: Sockets for when no descriptor is free.

    Raises:
        CallFailedError: The moment has passed, or no complete response arrived
            in time.
    """
    loop = asyncio.get_running_loop()
    response_future: asyncio.Future[HttpResponse] = loop.create_future()
    host = f"{address.ip}:{address.port}".encode()
    request = encode_request(
        method,
        target,
        [
            (b"Host", host),
            *headers,
            (b"Content-Length", b"%d" % len(body)),
        ],
        body,
    )
    sock, connection = await _connect(
        address, expires_s, reserve or SocketReserve()
    )
    try:
        connection.expect_response(ResponseCollector(response_future))
        _send_before(expires_s, sock, request)
        async with asyncio.timeout(min(timeout_s, expires_s - boot_s())):
            return await response_future
    except TimeoutError as error:
        raise CallFailedError(
            "no response in time", may_have_run=True
        ) from error
    finally:
        connection.abort()


async def _connect(
    address: Address, expires_s: float, reserve: SocketReserve
) -> tuple[socket.socket, UpstreamConnection]:
    loop = asyncio.get_running_loop()
    try:
        sock = reserve.open_socket()
    except OSError as error:
        raise CallFailedError(
            f"no socket ({error!r})", may_have_run=False
        ) from error
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        async with asyncio.timeout(
            min(CONNECT_TIMEOUT_S, expires_s - boot_s())
        ):
            await loop.sock_connect(sock, (address.ip, address.port))
            _, connection = await loop.create_connection(
                UpstreamConnection, sock=sock
            )
    except (OSError, TimeoutError) as error:
        sock.close()
        raise CallFailedError(
            f"no connection to {address.ip}:{address.port} ({error!r})",
            may_have_run=False,
        ) from error
    except asyncio.CancelledError:
        sock.close()
        raise
    return sock, connection


def _send_before(expires_s: float, sock: socket.socket, data: bytes) -> None:
    """Write a whole request unless its moment has passed.

    The transport would write it in a later iteration of the event loop, which
    may come after the moment.
    """
    remaining_ms = int((expires_s - boot_s()) * _MS_PER_S)
    if remaining_ms <= 0:
        raise CallFailedError(
            "the permission to send it has expired", may_have_run=False
        )
    # The kernel gives up then, even if this process is stopped.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, remaining_ms)
    try:
        is_sent = sock.send(data) == len(data)
    except OSError as error:
        raise CallFailedError(
            f"the connection broke off ({error!r})", may_have_run=False
        ) from error
    if not is_sent:
        raise CallFailedError("the request was cut off", may_have_run=False)
