"""Pool connections to upstreams and send requests on them."""

import asyncio
import collections
from collections.abc import Callable
import functools
import math
from typing import Protocol
import weakref

import attrs
from loguru import logger

from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.http.read_pacing import ReadPacer
from shallotfold._gateway.http.socket_reserve import is_out_of_descriptors
from shallotfold._gateway.http.upstream_connection import ResponseListener
from shallotfold._gateway.http.upstream_connection import UpstreamConnection

CONNECT_TIMEOUT_S = 0.6
# Assumed idle timeout of upstreams that send no Keep-Alive header.
DEFAULT_KEEP_ALIVE_S = 4.0
# A connection this close to its idle timeout may already be closing.
KEEP_ALIVE_MARGIN_S = 1.0
MAX_IDLE_CONNECTIONS = 24
# Share of an upstream's connection limit that all hosts together may hold idle;
# the rest is left for active requests.
IDLE_CONNECTION_SHARE = 0.5
# Requests that must not run twice reuse a connection only for this long after
# its last response: if it was dropped unnoticed, the outcome would be unknown.
MAX_IDLE_NOT_REPEATABLE_S = 1.0


@attrs.define(eq=False)
class SendHandle:
    """Handle of a request being sent; `cancel` drops its connection."""

    connection: UpstreamConnection | None = None
    connect_task: asyncio.Task[None] | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Drop the request without further calls of its listener."""
        self.cancelled = True
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            self.connection.abort()


class SendListener(ResponseListener, Protocol):
    """A response listener that also handles requests that weren't sent."""

    def is_wanted(self) -> bool:
        """Whether the request should still be sent on a new connection."""
        ...

    def on_unsent(self, reason: str, *, host_is_full: bool) -> None:
        """Handle a failed connect; the request did not run.

        Args:
            reason: What failed.
            host_is_full: Whether this host had no descriptor for it.
        """
        ...


def idle_limit(connection_limit: int, host_count: int) -> int:
    """Return how many idle connections a host may keep to an upstream.

    Args:
        connection_limit: Connections that the upstream accepts from all
            hosts together; 0: not known.
        host_count: Number of hosts that send to it.
    """
    if not connection_limit:
        return MAX_IDLE_CONNECTIONS
    share = int(connection_limit * IDLE_CONNECTION_SHARE / host_count)
    return max(1, min(MAX_IDLE_CONNECTIONS, share))


class UpstreamPool:
    """Connections to upstreams, and which of them are idle.

    Attributes:
        max_connections: Connections that may be open or being opened; `None`:
            any number.
        connections_made: Connections that were established so far.
    """

    def __init__(self, idle_limit_of: Callable[[Upstream], int]) -> None:
        """Create an empty pool.

        Args:
            idle_limit_of: Returns the maximum number of idle connections to
                an upstream.
        """
        self._idle_limit_of = idle_limit_of
        self._idle_by_upstream: dict[
            tuple[str, int, str], collections.deque[UpstreamConnection]
        ] = {}
        self._connect_tasks: set[asyncio.Task[None]] = set()
        # Connections that are closing are removed when the limit is reached.
        self._connections: weakref.WeakSet[UpstreamConnection] = (
            weakref.WeakSet()
        )
        self._opening_count = 0
        self.max_connections: int | None = None
        self._pacer = ReadPacer()
        self.connections_made = 0

    async def close(self) -> None:
        """Close all idle connections and cancel pending connects."""
        tasks = list(self._connect_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for idle in self._idle_by_upstream.values():
            for connection in idle:
                connection.abort()
        self._idle_by_upstream.clear()

    def send(
        self,
        upstream: Upstream,
        data: bytes,
        listener: SendListener,
        *,
        repeatable: bool,
    ) -> SendHandle:
        """Send a request on an idle connection or on a new one.

        Args:
            upstream: Destination.
            data: Encoded request.
            listener: Receives the response.
            repeatable: Whether the request may be sent again if the idle
                connection turns out to be dead.
        """
        max_idle_s = math.inf if repeatable else MAX_IDLE_NOT_REPEATABLE_S
        connection = self._pop_idle(upstream, max_idle_s)
        if connection is not None:
            connection.send(data, listener)
            return SendHandle(connection=connection)
        send_handle = SendHandle()
        task = asyncio.get_running_loop().create_task(
            self._connect_and_send(upstream, data, listener, send_handle)
        )
        send_handle.connect_task = task
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)
        return send_handle

    def release(self, upstream: Upstream, send_handle: SendHandle) -> None:
        """Return the connection of a completed request to the pool."""
        connection, send_handle.connection = send_handle.connection, None
        if connection is None or not connection.reusable:
            return
        idle = self._idle_by_upstream.setdefault(
            _pool_key(upstream), collections.deque()
        )
        if len(idle) >= self._idle_limit_of(upstream):
            connection.abort()
            return
        idle.append(connection)

    def retain_only(self, upstreams: list[Upstream]) -> None:
        """Close idle connections to all other upstreams."""
        retained_keys = {_pool_key(upstream) for upstream in upstreams}
        for key in self._idle_by_upstream.keys() - retained_keys:
            for connection in self._idle_by_upstream.pop(key):
                connection.abort()

    def _pop_idle(
        self, upstream: Upstream, max_idle_s: float
    ) -> UpstreamConnection | None:
        idle = self._idle_by_upstream.get(_pool_key(upstream))
        now_s = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            keep_alive_s = connection.keep_alive_s or DEFAULT_KEEP_ALIVE_S
            # The upstream may have rounded its timeout up to whole seconds.
            keep_alive_limit_s = max(0.5, keep_alive_s - KEEP_ALIVE_MARGIN_S)
            if not connection.connected or not connection.reusable:
                continue
            idle_s = now_s - connection.idle_since_s
            if idle_s < min(keep_alive_limit_s, max_idle_s):
                return connection
            if idle_s < keep_alive_limit_s:
                # The remaining connections have been idle for longer.
                idle.append(connection)
                return None
            connection.abort()
        return None

    def _has_room(self) -> bool:
        """Whether a connection may be opened; closes an idle one for it."""
        if self.max_connections is None:
            return True
        limit = self.max_connections - self._opening_count
        if len(self._connections) < limit:
            return True
        self._connections = weakref.WeakSet(
            c for c in self._connections if c.connected
        )
        return len(self._connections) < limit or self._close_oldest_idle()

    def _close_oldest_idle(self) -> bool:
        """Close the connection that has been idle for longest, if any is."""
        connections = (
            (connection.idle_since_s, key)
            for key, idle in self._idle_by_upstream.items()
            for connection in idle
            if connection.connected
        )
        _, key = min(connections, default=(0.0, None))
        if key is None:
            return False
        idle = self._idle_by_upstream[key]
        # Those before the first open one have been closed by the upstream.
        while idle:
            connection = idle.popleft()
            if connection.connected:
                connection.abort()
                self._connections.discard(connection)
                return True
        return False

    async def _connect_and_send(
        self,
        upstream: Upstream,
        data: bytes,
        listener: SendListener,
        send_handle: SendHandle,
    ) -> None:
        loop = asyncio.get_running_loop()
        if not self._has_room():
            send_handle.connect_task = None
            if not send_handle.cancelled:
                listener.on_unsent(
                    f"{self.max_connections} connections to upstreams are open",
                    host_is_full=True,
                )
            return
        self._opening_count += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    functools.partial(UpstreamConnection, self._pacer),
                    upstream.ip,
                    upstream.port,
                )
        except (OSError, TimeoutError) as error:
            send_handle.connect_task = None
            if not send_handle.cancelled:
                logger.info(
                    "No connection to upstream {}: {!r}",
                    upstream.upstream_id,
                    error,
                )
                listener.on_unsent(
                    repr(error), host_is_full=is_out_of_descriptors(error)
                )
            return
        finally:
            self._opening_count -= 1
        send_handle.connect_task = None
        self.connections_made += 1
        if self.max_connections is not None:
            self._connections.add(connection)
        if send_handle.cancelled:
            connection.abort()
            return
        send_handle.connection = connection
        if listener.is_wanted():
            connection.send(data, listener)
        else:
            connection.abort()


def _pool_key(upstream: Upstream) -> tuple[str, int, str]:
    return upstream.ip, upstream.port, upstream.upstream_id
