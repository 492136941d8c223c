"""Bound the memory of responses that can't be passed on yet.

A response that isn't a stream is buffered until it is complete, and an event of
a stream until its end has arrived. Upstreams in trouble may never send it.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.serving.caller_memory import BYTES_PER_MIB
from shallotfold._gateway.serving.caller_memory import DEFAULT_MEMORY_LIMIT_MIB
from shallotfold._gateway.serving.caller_memory import RELIEF_SHARE

# Share of the process's memory. Buffers that grow exist twice for a moment.
RESPONSE_SHARE = 1 / 6


class ResponseHolder(Protocol):
    """A request whose response is being received."""

    @property
    def held_response_bytes(self) -> int:
        """Bytes of responses that can't be passed on yet."""
        ...

    def give_up_response(self, reason: str) -> None:
        """Drop the response; the request ends or is sent again without it."""
        ...


class ResponseMemory:
    """Budget of the unfinished responses of one host.

    Attributes:
        max_bytes: The budget.
        held_bytes: Upper bound of what is held; see `add`.
    """

    def __init__(self, holders: Callable[[], Iterable[ResponseHolder]]) -> None:
        """Make a budget in which nothing is held.

        Args:
            holders: Returns the open requests.
        """
        self._holders = holders
        self.max_bytes = 0
        self.held_bytes = 0
        self.set_memory_limit(None)

    def set_memory_limit(self, memory_limit_mib: int | None) -> None:
        """Derive the budget from the memory that the process may use."""
        limit_mib = memory_limit_mib or DEFAULT_MEMORY_LIMIT_MIB
        self.max_bytes = int(limit_mib * BYTES_PER_MIB * RESPONSE_SHARE)

    def add(self, count: int) -> None:
        """Count received bytes; give up the largest responses if too many.

        What is released isn't counted, so that the sum is only an upper bound,
        until it reaches the budget and is measured.
        """
        self.held_bytes += count
        if self.held_bytes <= self.max_bytes:
            return
        holders = sorted(
            self._holders(), key=lambda h: h.held_response_bytes, reverse=True
        )
        self.held_bytes = sum(h.held_response_bytes for h in holders)
        if self.held_bytes <= self.max_bytes:
            return
        for holder in holders:
            if self.held_bytes <= self.max_bytes * RELIEF_SHARE:
                return
            response_bytes = holder.held_response_bytes
            decision_log.record(
                "response_given_up",
                held_bytes=response_bytes,
                unfinished_bytes=self.held_bytes,
                max_bytes=self.max_bytes,
            )
            self.held_bytes -= response_bytes
            holder.give_up_response(
                "too many bytes of unfinished responses at the same time"
            )
