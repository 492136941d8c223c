"""Stand in for an engine's prompt prefix cache and its late events."""

from collections import OrderedDict
from collections.abc import Sequence

import attrs

MAX_EVENTS_KEPT = 1000


@attrs.frozen
class CacheEvent:
    """One published change of the cache.

    Attributes:
        sequence: Number of the event, rising by one; unpublished ones leave
            a gap.
        held: Digests now held.
        dropped: Digests no longer held.
        at_s: Monotonic time of the change.
    """

    sequence: int
    held: tuple[str, ...]
    dropped: tuple[str, ...]
    at_s: float


@attrs.define
class PrefixCache:
    """Hold the digests used last and remember what changed.

    Attributes:
        capacity: Number of digests held.
        lag_s: Age that an event must have to be published.
        gap_every: Every N-th event is never published; 0: none.
    """

    capacity: int
    lag_s: float
    gap_every: int = 0
    _held: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    _events: list[CacheEvent] = attrs.field(factory=list)
    _sequence: int = 0

    @property
    def used_ratio(self) -> float:
        """Share of the capacity in use, 0 to 1."""
        return len(self._held) / self.capacity

    def count_hits(self, digests: Sequence[str]) -> int:
        """Return how many of the growing prefixes are held."""
        return sum(digest in self._held for digest in digests)

    def hold(self, digests: Sequence[str], now_s: float) -> None:
        """Hold digests and drop those unused for longest."""
        added = tuple(d for d in digests if d not in self._held)
        for digest in digests:
            self._held[digest] = None
            self._held.move_to_end(digest)
        dropped = []
        while len(self._held) > self.capacity:
            dropped.append(self._held.popitem(last=False)[0])
        if added or dropped:
            self._record(added, tuple(dropped), now_s)

    def published_after(
        self, sequence: int, now_s: float
    ) -> tuple[CacheEvent, ...]:
        """Return the events after `sequence` that are old enough."""
        newest_at_s = now_s - self.lag_s
        return tuple(
            event
            for event in self._events
            if event.sequence > sequence and event.at_s <= newest_at_s
        )

    def _record(
        self, held: tuple[str, ...], dropped: tuple[str, ...], now_s: float
    ) -> None:
        self._sequence += 1
        if self.gap_every and self._sequence % self.gap_every == 0:
            return
        event = CacheEvent(self._sequence, held, dropped, now_s)
        self._events.append(event)
        del self._events[:-MAX_EVENTS_KEPT]
