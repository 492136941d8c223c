"""Simulate an engine's prefix cache and its delayed cache events."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

MAX_STORED_EVENTS = 1000


@attrs.frozen
class CacheEvent:
    """One published change of the cache.

    Attributes:
        sequence: Number of the event, rising by one; unpublished events
            leave a gap.
        held: Digests added to the cache.
        dropped: Digests evicted from the cache.
        at_s: Monotonic time of the change.
    """

    sequence: int
    held: tuple[str, ...]
    dropped: tuple[str, ...]
    at_s: float


@attrs.define
class PrefixCache:
    """Keep the most recently used digests and record changes as events.

    Attributes:
        capacity: Maximum number of cached digests.
        lag_s: Age at which an event is published.
        gap_every: Every N-th event is never published; 0 for none.
    """

    capacity: int
    lag_s: float
    gap_every: int = 0
    _cached: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    _events: list[CacheEvent] = attrs.field(factory=list)
    _sequence: int = 0

    @property
    def used_ratio(self) -> float:
        """Share of the capacity in use, 0 to 1."""
        return len(self._cached) / self.capacity

    def count_hits(self, digests: Sequence[str]) -> int:
        """Return how many of the nested prefixes are cached."""
        return sum(digest in self._cached for digest in digests)

    def add(self, digests: Sequence[str], now_s: float) -> None:
        """Add digests and evict the least recently used ones."""
        new_digests = tuple(d for d in digests if d not in self._cached)
        for digest in digests:
            self._cached[digest] = None
            self._cached.move_to_end(digest)
        evicted = []
        while len(self._cached) > self.capacity:
            evicted.append(self._cached.popitem(last=False)[0])
        if new_digests or evicted:
            self._record(new_digests, tuple(evicted), now_s)

    def published_after(
        self, sequence: int, now_s: float
    ) -> tuple[CacheEvent, ...]:
        """Return the published events after `sequence`."""
        cutoff_s = now_s - self.lag_s
        return tuple(
            event
            for event in self._events
            if event.sequence > sequence and event.at_s <= cutoff_s
        )

    def _record(
        self, cached: tuple[str, ...], evicted: tuple[str, ...], now_s: float
    ) -> None:
        self._sequence += 1
        if self.gap_every and self._sequence % self.gap_every == 0:
            return
        event = CacheEvent(self._sequence, cached, evicted, now_s)
        self._events.append(event)
        del self._events[:-MAX_STORED_EVENTS]
