"""Send JSON requests whose bytes can't arrive after the sender's lease ends.

Each request uses a new connection. Once it is connected, the remaining time is
computed again and limits how long the kernel keeps unacknowledged bytes
(`TCP_USER_TIMEOUT`), also while this process is paused. Closing the socket,
also when the process dies, resets the connection and discards undelivered bytes
(`SO_LINGER` with time 0).
"""

import asyncio
from collections.abc import Callable
import socket
import time
from typing import Any

import aiohttp
import attrs

from shallotfold._errors import PlatformError
from shallotfold._runtime.sockets import LINGER_RESET
from shallotfold._services.http_json import JsonResponse

MS_PER_S = 1000
MIN_TIMEOUT_MS = 1
MAX_USABLE_STATUS = 499


@attrs.define
class FencedHttpClient:
    """Send each request on a connection that doesn't outlive its timeout.

    Attributes:
        base_url: Base URL of the interface, `http://IP:PORT`.
        clock: Monotonic time in seconds.
    """

    base_url: str
    clock: Callable[[], float] = time.monotonic
    _sockets: set[socket.socket] = attrs.field(factory=set)
    _transports: set[asyncio.Transport] = attrs.field(factory=set)

    async def call(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> JsonResponse:
        """Send a request and parse the response.

        Raises:
            PlatformError: No usable response in time; the outcome is unknown.
        """
        deadline_s = self.clock() + timeout_s
        try:
            async with aiohttp.ClientSession(
                connector=self._make_connector(deadline_s),
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                trust_env=False,
            ) as session:
                return await self._exchange(session, method, path, body)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as e:
            raise PlatformError(
                f"{method} {self.base_url}{path}: no usable response "
                f"({type(e).__name__}: {e}); check the outcome before retrying"
            ) from e

    async def abort(self) -> None:
        """Reset all connections and return once their sockets are closed."""
        for transport in self._transports:
            transport.abort()
        self._transports.clear()
        # The event loop closes an aborted socket within a few iterations, and
        # there is no notification.
        while any(  # noqa: ASYNC110
            sock.fileno() != -1 for sock in self._sockets
        ):
            await asyncio.sleep(0)
        self._sockets.clear()

    async def _exchange(
        self, session: aiohttp.ClientSession, method: str, path: str, body: Any
    ) -> JsonResponse:
        async with session.request(
            method, self.base_url + path, json=body, allow_redirects=False
        ) as response:
            if response.status > MAX_USABLE_STATUS:
                raise ValueError(f"status {response.status}")
            return JsonResponse(
                response.status, await response.json(content_type=None)
            )

    def _make_connector(self, deadline_s: float) -> aiohttp.TCPConnector:
        return _FencedConnector(
            socket_factory=self._make_socket,
            on_connected=lambda transport: self._limit_lifetime(
                transport, deadline_s
            ),
            force_close=True,
            limit=1,
        )

    def _make_socket(self, info: aiohttp.AddrInfoType) -> socket.socket:
        new_socket = socket.socket(info[0], info[1], info[2])
        new_socket.settimeout(0)
        new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._sockets = {sock for sock in self._sockets if sock.fileno() != -1}
        self._sockets.add(new_socket)
        return new_socket

    def _limit_lifetime(
        self, transport: asyncio.Transport, deadline_s: float
    ) -> None:
        remaining_ms = int((deadline_s - self.clock()) * MS_PER_S)
        if remaining_ms < MIN_TIMEOUT_MS:
            transport.abort()
            raise TimeoutError("the deadline passed before sending")
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, remaining_ms
        )
        self._transports = {t for t in self._transports if not t.is_closing()}
        self._transports.add(transport)


class _FencedConnector(aiohttp.TCPConnector):
    """Call a function after connecting and before sending."""

    def __init__(
        self,
        on_connected: Callable[[asyncio.Transport], None],
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._on_connected = on_connected

    async def connect(self, *args: Any, **options: Any) -> Any:
        connection = await super().connect(*args, **options)
        try:
            self._on_connected(_transport_of(connection))
        except BaseException:
            connection.close()
            raise
        return connection


def _transport_of(connection: Any) -> asyncio.Transport:
    # uvloop's transports are not subclasses of asyncio.Transport.
    transport: asyncio.Transport | None = connection.transport
    if transport is None:
        raise ValueError(
            "the connection was closed before the request was sent"
        )
    return transport
