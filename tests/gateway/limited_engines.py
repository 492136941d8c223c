"""Engines that name how many requests a second they take from all hosts."""

import time

import attrs

from tests.gateway.crashing_engines import CrashingEngines

# The stated rule: in any span of this length an engine may get so many times
# what its limit allows, and so many requests more.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5.0


@attrs.frozen(kw_only=True)
class Arrival:
    """A request that reached an engine.

    Attributes:
        request_id: Its id.
        engine_id: The engine.
        arrived_s: When it arrived, on the monotonic clock.
        rate: Limit that the engine named in its response; `None`: none.
    """

    request_id: str
    engine_id: str
    arrived_s: float
    rate: float | None


@attrs.define(eq=False)
class LimitedEngines(CrashingEngines):
    """Engines that name limits.

    Attributes:
        rate_by_id: Limits that engines name now.
        all_arrivals: All requests that reached engines, in order.
    """

    rate_by_id: dict[str, float] = attrs.field(factory=dict)
    all_arrivals: list[Arrival] = attrs.field(factory=list)

    @property
    def ids(self) -> list[str]:
        return list(self._servers)

    def arrivals_since(self, from_s: float) -> list[Arrival]:
        return [a for a in self.all_arrivals if a.arrived_s >= from_s]

    def _on_arrival(self, engine_id: str, request_id: str) -> list[str]:
        rate = self.rate_by_id.get(engine_id)
        self.all_arrivals.append(
            Arrival(
                request_id=request_id,
                engine_id=engine_id,
                arrived_s=time.monotonic(),
                rate=rate,
            )
        )
        return [] if rate is None else [f"Server-Limit: {rate}"]


def allowed_in_window(rate: float) -> float:
    """Return how many requests an engine may get in `WINDOW_S`."""
    return ALLOWED_FACTOR * rate * WINDOW_S + ALLOWED_EXTRA


def most_in_window(times_s: list[float], window_s: float = WINDOW_S) -> int:
    """Return the largest number of times in any span of this length."""
    ordered_s = sorted(times_s)
    most = first = 0
    for last, at_s in enumerate(ordered_s):
        while ordered_s[first] <= at_s - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
