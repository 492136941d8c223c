"""Bound the second sends of all hosts together, as each host can see them."""

import collections

import attrs

# Share of the fleet's budget that is used at most; the rest covers hosts
# that count others wrongly for a moment.
USED_SHARE = 0.7


@attrs.define(kw_only=True)
class FleetRetryBudget:
    """Second sends allowed to one host, per service, in a sliding window.

    Attributes:
        ratio: Second sends allowed for each request of a service.
        extra: Second sends allowed besides, to all hosts together.
        window_s: Length of the window in seconds.
        hosts: Hosts that share `extra`.
    """

    ratio: float = 0.2
    extra: float = 20.0
    window_s: float = 10.0
    hosts: int = 1
    _requests_s: dict[str, collections.deque[float]] = attrs.field(factory=dict)
    _repeats_s: dict[str, collections.deque[float]] = attrs.field(factory=dict)

    def count_request(self, service: str, now_s: float) -> None:
        """Note the first send of a request."""
        self._recent(self._requests_s, service, now_s).append(now_s)

    def take(self, service: str, now_s: float) -> bool:
        """Take one second send if the window has room for it."""
        repeats = self._recent(self._repeats_s, service, now_s)
        requests = self._recent(self._requests_s, service, now_s)
        allowed = USED_SHARE * (
            self.ratio * len(requests) + self.extra / max(1, self.hosts)
        )
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now_s)
        return True

    def _recent(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now_s: float,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] < now_s - self.window_s:
            times.popleft()
        return times
