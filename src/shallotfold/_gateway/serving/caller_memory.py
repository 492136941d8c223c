"""Bound the memory of heads and unread responses of all caller connections.

The connections that hold the most are ended first, so that ordinary callers
keep theirs while a few unusual ones fill a budget.
"""

from collections.abc import Callable
from collections.abc import Iterable
import heapq
from typing import Protocol

import attrs

from shallotfold._gateway.core import decision_log

BYTES_PER_MIB = 1_048_576
# The smallest hosts have this much.
DEFAULT_MEMORY_LIMIT_MIB = 160
# A head in service also exists as the encoded request and, while header
# objects are needed, as these; the shares leave room for the copies.
HEAD_SHARE = 1 / 16
UNREAD_SHARE = 1 / 8
# Connections are ended until this share of a budget is in use, so that the
# search for those that hold the most is rare.
RELIEF_SHARE = 7 / 8
# Connections that one search for idle ones finds, so that a crowd of new
# connections doesn't cost a search each.
CONNECTIONS_PER_SEARCH = 64
# Larger heads are refused while those in service take half of the budget.
SMALL_HEAD_BYTES = 2_048


class MemoryHolder(Protocol):
    """A caller's connection.

    Attributes:
        opened_s: When it was opened, in event loop time.
        last_active_s: When bytes arrived or a response ended.
        waiting_head_bytes: Bytes of heads and raw input that aren't in service.
    """

    opened_s: float
    last_active_s: float
    waiting_head_bytes: int

    @property
    def idle(self) -> bool:
        """Whether no request is being read or served."""
        ...

    @property
    def serving(self) -> bool:
        """Whether a request is in service."""
        ...

    def refresh_unread_bytes(self) -> int:
        """Measure, count and return the bytes of unread responses."""
        ...

    def end_input(self) -> None:
        """Drop all input that isn't in service, and close the connection."""
        ...

    def disconnect(self) -> None:
        """Drop the connection."""
        ...


@attrs.frozen
class Holding:
    """What one connection holds.

    Attributes:
        holder: The connection.
        held_bytes: Bytes that are released when it is ended.
        opened_s: When it was opened, in event loop time.
    """

    holder: MemoryHolder
    held_bytes: int
    opened_s: float


def choose_largest(
    holdings: Iterable[Holding], excess_bytes: float
) -> list[Holding]:
    """Return the largest holdings, and the oldest of equal ones.

    Args:
        holdings: Candidates.
        excess_bytes: The chosen holdings together have at least this size, if
            all of them have.
    """
    chosen = []
    for holding in sorted(holdings, key=lambda h: (-h.held_bytes, h.opened_s)):
        if excess_bytes <= 0 or not holding.held_bytes:
            break
        chosen.append(holding)
        excess_bytes -= holding.held_bytes
    return chosen


class CallerMemory:
    """Budgets of heads and of unread responses of one host.

    Attributes:
        max_head_bytes: Budget of the heads of all connections.
        max_unread_bytes: Budget of the responses that callers haven't read.
        max_connections: Connections that callers may have; `None`: any number.
        head_bytes: Bytes of all heads: unfinished, queued and in service, with
            input that isn't parsed yet.
        served_head_bytes: Those in service.
        unread_bytes: Upper bound of the bytes of unread responses.
        count_ended: Called with the reason for each connection that is ended.
    """

    def __init__(self, memory_limit_mib: int | None = None) -> None:
        """Create empty budgets.

        Args:
            memory_limit_mib: Memory that the process may use; `None`: unknown.
        """
        self.max_head_bytes = 0
        self.max_unread_bytes = 0
        self.set_memory_limit(memory_limit_mib)
        self.max_connections: int | None = None
        self.connections: set[MemoryHolder] = set()
        # Result of the last search, with the time of their last activity. The
        # next one to be ended comes last.
        self._found_waiting: list[tuple[MemoryHolder, float]] = []
        self.head_bytes = 0
        self.served_head_bytes = 0
        self.unread_bytes = 0
        self.count_ended: Callable[[str], None] = lambda reason: None

    def set_memory_limit(self, memory_limit_mib: int | None) -> None:
        """Derive the budgets from the memory that the process may use."""
        limit_mib = memory_limit_mib or DEFAULT_MEMORY_LIMIT_MIB
        limit_bytes = limit_mib * BYTES_PER_MIB
        self.max_head_bytes = int(limit_bytes * HEAD_SHARE)
        self.max_unread_bytes = int(limit_bytes * UNREAD_SHARE)

    def add(self, connection: MemoryHolder) -> bool:
        """Add a new connection; return whether there is a descriptor for it."""
        if (
            self.max_connections is not None
            and len(self.connections) >= self.max_connections
            and not self._end_waiting_connection()
        ):
            self._log_end(
                "descriptors", Holding(connection, 0, connection.opened_s)
            )
            return False
        self.connections.add(connection)
        return True

    def remove(self, connection: MemoryHolder) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)

    def admits(self, head_bytes: int) -> bool:
        """Whether a request with a head of this size may be served now."""
        return (
            head_bytes <= SMALL_HEAD_BYTES
            or self.served_head_bytes + head_bytes <= self.max_head_bytes // 2
        )

    def change_heads(self, change_bytes: int) -> None:
        """Count a change of the heads; end connections beyond the budget."""
        self.head_bytes += change_bytes
        if change_bytes <= 0 or self.head_bytes <= self.max_head_bytes:
            return
        chosen = choose_largest(
            (
                Holding(c, c.waiting_head_bytes, c.opened_s)
                for c in self.connections
                if c.waiting_head_bytes
            ),
            self.head_bytes - self.max_head_bytes * RELIEF_SHARE,
        )
        for holding in chosen:
            self._log_end("heads", holding)
            holding.holder.end_input()

    def change_unread(self, change_bytes: int) -> None:
        """Count a change of unread bytes; abort connections beyond the budget.

        The event loop doesn't report what callers have read meanwhile, so the
        sum is only an upper bound, until it reaches the budget.
        """
        self.unread_bytes += change_bytes
        if change_bytes <= 0 or self.unread_bytes <= self.max_unread_bytes:
            return
        holdings = [
            Holding(c, c.refresh_unread_bytes(), c.opened_s)
            for c in self.connections
        ]
        if self.unread_bytes <= self.max_unread_bytes:
            return
        chosen = choose_largest(
            holdings, self.unread_bytes - self.max_unread_bytes * RELIEF_SHARE
        )
        for holding in chosen:
            self._log_end("unread responses", holding)
            holding.holder.disconnect()

    def _end_waiting_connection(self) -> bool:
        """End the idle connection, or else the unread request, of longest ago.

        Returns:
            Whether there was one.
        """
        chosen = self._next_waiting()
        if chosen is None:
            self._search_waiting()
            chosen = self._next_waiting()
        if chosen is None:
            return False
        self._log_end(
            "descriptors",
            Holding(chosen, chosen.waiting_head_bytes, chosen.opened_s),
        )
        self.connections.discard(chosen)
        chosen.disconnect()
        return True

    def _next_waiting(self) -> MemoryHolder | None:
        """Return the next connection of the last search that still waits."""
        while self._found_waiting:
            connection, last_active_s = self._found_waiting.pop()
            if (
                connection in self.connections
                and not connection.serving
                and connection.last_active_s == last_active_s
            ):
                return connection
        return None

    def _search_waiting(self) -> None:
        """Find the connections to end next.

        These are the ones that are idle for longest. Without idle ones, they
        are those whose unfinished request got no bytes for longest.
        """
        waiting = [c for c in self.connections if not c.serving]
        idle = [c for c in waiting if c.idle]
        found = heapq.nsmallest(
            CONNECTIONS_PER_SEARCH,
            idle or waiting,
            key=lambda connection: connection.last_active_s,
        )
        self._found_waiting = [(c, c.last_active_s) for c in reversed(found)]

    def _log_end(self, reason: str, holding: Holding) -> None:
        self.count_ended(reason)
        decision_log.record(
            "connection_ended",
            reason=reason,
            held_bytes=holding.held_bytes,
            head_bytes=self.head_bytes,
            max_head_bytes=self.max_head_bytes,
            unread_bytes=self.unread_bytes,
            max_unread_bytes=self.max_unread_bytes,
            connections=len(self.connections),
        )
