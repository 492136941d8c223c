"""Keep connections to upstreams and send requests on them."""

import asyncio
import collections
from collections.abc import Callable
import math
from typing import Protocol

import attrs
from loguru import logger

from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.http.upstream_connection import AnswerReader
from shallotfold._gateway.http.upstream_connection import UpstreamConnection

CONNECT_TIMEOUT_S = 0.6
# Peers that name no idle time are assumed to keep connections this long.
DEFAULT_IDLE_S = 4.0
# A connection this close to its idle limit may be closing already.
IDLE_MARGIN_S = 1.0
MAX_IDLE_CONNECTIONS = 24
# Of the connections that an upstream accepts, this share may be idle ones of
# all hosts together; the rest is left for requests under way.
IDLE_SHARE = 0.5
# What must not run twice goes on a connection only this soon after its last
# answer: one that was dropped unnoticed would leave the outcome unknown.
LONGEST_IDLE_ONCE_S = 1.0


@attrs.define(eq=False)
class Sending:
    """One request on its way; `cancel` drops its connection."""

    connection: UpstreamConnection | None = None
    connecting: asyncio.Task[None] | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Drop the request; its reader hears nothing more."""
        self.cancelled = True
        if self.connecting is not None:
            self.connecting.cancel()
        if self.connection is not None:
            self.connection.abort()


class SendListener(AnswerReader, Protocol):
    """An answer reader that also learns when nothing could be sent."""

    def on_unsent(self, reason: str) -> None:
        """No connection was established, so that the request did not run."""
        ...


def idle_limit(connection_limit: int, hosts: int) -> int:
    """Return how many idle connections one host keeps to an upstream.

    Args:
        connection_limit: Connections that the upstream accepts from all
            hosts together; 0: not known.
        hosts: Hosts that send to it.
    """
    if not connection_limit:
        return MAX_IDLE_CONNECTIONS
    share = int(connection_limit * IDLE_SHARE / hosts)
    return max(1, min(MAX_IDLE_CONNECTIONS, share))


class UpstreamPool:
    """Idle connections by address and incarnation of an upstream."""

    def __init__(self, limit_of: Callable[[Upstream], int]) -> None:
        """Make a pool.

        Args:
            limit_of: Returns how many idle connections to keep to an
                upstream.
        """
        self._limit_of = limit_of
        self._idle_by_upstream: dict[
            tuple[str, int, str], collections.deque[UpstreamConnection]
        ] = {}
        self._connecting: set[asyncio.Task[None]] = set()
        self.connections_made = 0

    async def close(self) -> None:
        """Drop all idle connections and attempts to connect."""
        tasks = list(self._connecting)
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
    ) -> Sending:
        """Send a request on a kept connection or on a new one.

        Args:
            upstream: Where to.
            data: The whole request.
            listener: Told of the answer.
            repeatable: Whether the request may be sent again if the
                connection turns out to be dead.
        """
        longest_s = math.inf if repeatable else LONGEST_IDLE_ONCE_S
        kept = self._take_idle(upstream, longest_s)
        if kept is not None:
            kept.send(data, listener)
            return Sending(connection=kept)
        sending = Sending()
        task = asyncio.get_running_loop().create_task(
            self._connect_and_send(upstream, data, listener, sending)
        )
        sending.connecting = task
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)
        return sending

    def release(self, upstream: Upstream, sending: Sending) -> None:
        """Keep the connection of an answered request if it may be reused."""
        connection, sending.connection = sending.connection, None
        if connection is None or not connection.reusable:
            return
        idle = self._idle_by_upstream.setdefault(
            _key(upstream), collections.deque()
        )
        if len(idle) >= self._limit_of(upstream):
            connection.abort()
            return
        idle.append(connection)

    def keep_only(self, upstreams: list[Upstream]) -> None:
        """Close idle connections to upstreams that left."""
        kept = {_key(upstream) for upstream in upstreams}
        for key in self._idle_by_upstream.keys() - kept:
            for connection in self._idle_by_upstream.pop(key):
                connection.abort()

    def _take_idle(
        self, upstream: Upstream, longest_s: float
    ) -> UpstreamConnection | None:
        idle = self._idle_by_upstream.get(_key(upstream))
        now_s = asyncio.get_running_loop().time()
        while idle:
            connection = idle.pop()
            limit_s = connection.keep_alive_s or DEFAULT_IDLE_S
            # Whole seconds may have been rounded up.
            usable_s = max(0.5, limit_s - IDLE_MARGIN_S)
            if not connection.connected or not connection.reusable:
                continue
            idle_s = now_s - connection.idle_since_s
            if idle_s < min(usable_s, longest_s):
                return connection
            if idle_s < usable_s:
                # All others have been idle for longer still.
                idle.append(connection)
                return None
            connection.abort()
        return None

    async def _connect_and_send(
        self,
        upstream: Upstream,
        data: bytes,
        listener: SendListener,
        sending: Sending,
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    UpstreamConnection, upstream.ip, upstream.port
                )
        except (OSError, TimeoutError) as error:
            sending.connecting = None
            if not sending.cancelled:
                logger.info(
                    "No connection to upstream {}: {!r}",
                    upstream.upstream_id,
                    error,
                )
                listener.on_unsent(repr(error))
            return
        sending.connecting = None
        self.connections_made += 1
        if sending.cancelled:
            connection.abort()
            return
        sending.connection = connection
        connection.send(data, listener)


def _key(upstream: Upstream) -> tuple[str, int, str]:
    return upstream.ip, upstream.port, upstream.upstream_id
