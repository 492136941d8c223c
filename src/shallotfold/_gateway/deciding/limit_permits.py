"""Divide the requests that a limited upstream takes between hosts by time.

Time is divided into slots, one for each request that the upstream takes. The
number of a slot is hashed to a point between 0 and 1 and belongs to the host
whose share has that point. All hosts compute this alike, so that none asks
another one before a request, and limits below one request a second are shared
too. Where hosts differ in what they know, each still sends no more than its
share of the rate.
"""

import collections
import hashlib
import math

import attrs

from shallotfold._gateway.deciding.limit_shares import Share

# A slot that wasn't used may be used for this long after its start. A host has
# few requests, and most slots would pass without one.
PERMIT_VALIDITY_S = 1.5
# A cold upstream may get 1.5 times its rate and 5 requests in one second. Its
# slots may be used for their own length and this time, so that at most 1.25
# times its rate and 2 requests are permitted in a second. The rest is for
# requests that arrive delayed or bunched, and for hosts whose shares overlap.
COLD_PERMIT_EXTRA_S = 0.25
# Bounds the work for a large limit; of older slots none is used.
MAX_CHECKED_SLOTS = 64
# An upstream that takes next to nothing still gets a request now and then:
# only its response can say that the limit has ended.
MIN_RATE_PER_S = 1.0 / 60.0
# The agreed time moves by small steps; a larger one begins a new count.
MAX_CLOCK_STEP_S = 1.0
# Multiples of the golden ratio, as a fraction of 2**64, spread evenly.
_GOLDEN_RATIO = 0x9E3779B97F4A7C15
_MODULUS = 2**64


@attrs.define
class _Slots:
    """Slots of one upstream.

    Attributes:
        rate: Slots per second.
        offset: Where the hash of the slots begins.
        is_cold: Whether the upstream is cold.
        checked: Number of the last slot that was looked at.
        expiries_s: When the unused slots of this host expire.
    """

    rate: float
    offset: int
    is_cold: bool
    checked: int
    expiries_s: collections.deque[float] = attrs.field(
        factory=collections.deque
    )

    def update(self, share: Share, now_s: float) -> None:
        """Look at the slots that have begun since the last call."""
        self._drop_expired(now_s)
        current = math.floor(now_s * self.rate)
        if self.checked > current + self.rate * MAX_CLOCK_STEP_S + 1:
            self.checked = current
        validity_s = max(PERMIT_VALIDITY_S, 1.0 / self.rate)
        if self.is_cold:
            validity_s = min(validity_s, 1.0 / self.rate + COLD_PERMIT_EXTRA_S)
        lookback_s = min(PERMIT_VALIDITY_S, validity_s)
        oldest = math.floor((now_s - lookback_s) * self.rate)
        first = max(self.checked + 1, oldest, current - MAX_CHECKED_SLOTS)
        for slot in range(first, current + 1):
            if share.low <= self._point(slot) < share.high:
                start_s = slot / self.rate
                self.expiries_s.append(start_s + validity_s)
        self.checked = max(self.checked, current)
        if self.is_cold:
            # The oldest of these slots may have expired already.
            self._drop_expired(now_s)

    def _drop_expired(self, now_s: float) -> None:
        while self.expiries_s and self.expiries_s[0] <= now_s:
            self.expiries_s.popleft()

    def _point(self, slot: int) -> float:
        return ((self.offset + slot * _GOLDEN_RATIO) % _MODULUS) / _MODULUS


@attrs.define
class LimitPermits:
    """The slots that this host may use, by upstream id.

    Times are of the agreed time of day, which is about the same on all hosts.
    """

    _slots_by_upstream: dict[str, _Slots] = attrs.field(factory=dict)

    def begin(
        self,
        upstream: str,
        rate: float,
        now_s: float,
        *,
        is_cold: bool = False,
    ) -> None:
        """Count slots for a limit that is new or changed.

        The slot that has begun isn't used: under another number it may have
        been used before.

        Args:
            upstream: Id of the upstream.
            rate: Its limit, in requests a second.
            now_s: Agreed time of day.
            is_cold: Whether the upstream is cold.
        """
        rate = max(rate, MIN_RATE_PER_S)
        self._slots_by_upstream[upstream] = _Slots(
            rate,
            _hash(upstream),
            is_cold=is_cold,
            checked=math.floor(now_s * rate),
        )

    def has_begun(self, upstream: str, rate: float, *, is_cold: bool) -> bool:
        """Whether slots are counted for this limit."""
        slots = self._slots_by_upstream.get(upstream)
        return (
            slots is not None
            and slots.rate == max(rate, MIN_RATE_PER_S)
            and slots.is_cold == is_cold
        )

    def has_permit(self, upstream: str, share: Share, now_s: float) -> bool:
        """Whether a request may be sent now.

        Args:
            upstream: Id of the upstream, whose limit is known to `begin`.
            share: Share of this host.
            now_s: Agreed time of day.
        """
        slots = self._slots_by_upstream[upstream]
        slots.update(share, now_s)
        return bool(slots.expiries_s)

    def use_permit(self, upstream: str) -> None:
        """Count a request that is sent; `has_permit` was true."""
        self._slots_by_upstream[upstream].expiries_s.popleft()

    def drop(self, upstream: str) -> None:
        """Forget an upstream that no longer names a limit."""
        self._slots_by_upstream.pop(upstream, None)


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
