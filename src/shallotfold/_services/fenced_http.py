"""Send JSON requests whose bytes can't outlive the sender's lease.

Each request has a fresh connection. It is connected first; then the time
left is read again and bounds how long the kernel keeps unacknowledged bytes
(`TCP_USER_TIMEOUT`), also while this process is frozen. Closing the socket,
also by the death of the process, resets the connection and drops what was not
delivered (`SO_LINGER` with time 0).
"""

import asyncio
from collections.abc import Callable
import socket
import struct
import time
from typing import Any

import aiohttp
import attrs

from shallotfold._errors import PlatformError
from shallotfold._services.http_json import JsonAnswer

LINGER_RESET = struct.pack("ii", 1, 0)
MS_PER_S = 1000
MIN_TIMEOUT_MS = 1
MAX_STATUS = 499


@attrs.define
class FencedHttpClient:
    """Send requests on connections that end with the time given to them.

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
    ) -> JsonAnswer:
        """Send a request and parse its answer.

        Raises:
            PlatformError: No usable answer in time; the effect is unknown.
        """
        deadline_s = self.clock() + timeout_s
        try:
            async with aiohttp.ClientSession(
                connector=self._connector(deadline_s),
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                trust_env=False,
            ) as session:
                return await self._exchange(session, method, path, body)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as e:
            raise PlatformError(
                f"{method} {self.base_url}{path}: no usable answer "
                f"({type(e).__name__}: {e}); look the effect up before a repeat"
            ) from e

    async def abort(self) -> None:
        """Reset all connections; returns when their sockets are closed."""
        for transport in self._transports:
            transport.abort()
        self._transports.clear()
        # The loop closes an aborted socket within a few turns and tells no one.
        while any(  # noqa: ASYNC110
            one.fileno() != -1 for one in self._sockets
        ):
            await asyncio.sleep(0)
        self._sockets.clear()

    async def _exchange(
        self, session: aiohttp.ClientSession, method: str, path: str, body: Any
    ) -> JsonAnswer:
        async with session.request(
            method, self.base_url + path, json=body, allow_redirects=False
        ) as response:
            if response.status > MAX_STATUS:
                raise ValueError(f"status {response.status}")
            return JsonAnswer(
                response.status, await response.json(content_type=None)
            )

    def _connector(self, deadline_s: float) -> aiohttp.TCPConnector:
        return _FencedConnector(
            socket_factory=self._make_socket,
            on_connected=lambda transport: self._guard(transport, deadline_s),
            force_close=True,
            limit=1,
        )

    def _make_socket(self, info: aiohttp.AddrInfoType) -> socket.socket:
        made = socket.socket(info[0], info[1], info[2])
        made.settimeout(0)
        made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._sockets = {one for one in self._sockets if one.fileno() != -1}
        self._sockets.add(made)
        return made

    def _guard(self, transport: asyncio.Transport, deadline_s: float) -> None:
        left_ms = int((deadline_s - self.clock()) * MS_PER_S)
        if left_ms < MIN_TIMEOUT_MS:
            transport.abort()
            raise TimeoutError("no time left to send")
        transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, left_ms
        )
        self._transports = {t for t in self._transports if not t.is_closing()}
        self._transports.add(transport)


class _FencedConnector(aiohttp.TCPConnector):
    """Call back between connecting and sending."""

    def __init__(
        self,
        on_connected: Callable[[asyncio.Transport], None],
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._on_connected = on_connected

    async def connect(self, *given: Any, **options: Any) -> Any:
        connection = await super().connect(*given, **options)
        try:
            self._on_connected(_transport_of(connection))
        except BaseException:
            connection.close()
            raise
        return connection


def _transport_of(connection: Any) -> asyncio.Transport:
    # The transports of uvloop are no subclasses of asyncio.Transport.
    transport: asyncio.Transport | None = connection.transport
    if transport is None:
        raise ValueError("the connection was lost before the request")
    return transport
