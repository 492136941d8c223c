"""Bound the retries of the whole fleet with a local share on each host."""

import collections

import attrs

# Largest share of the fleet's budget that is used; the rest allows for hosts
# that temporarily have a wrong count of the fleet's hosts.
USABLE_BUDGET_SHARE = 0.7


@attrs.define(kw_only=True)
class FleetRetryBudget:
    """Retries allowed to one host, per service, in a sliding window.

    Attributes:
        ratio: Retries allowed for each request of a service.
        extra: Further retries allowed to all hosts together.
        window_s: Length of the window in seconds.
        host_count: Number of hosts that share `extra`.
    """

    ratio: float = 0.2
    extra: float = 20.0
    window_s: float = 10.0
    host_count: int = 1
    _request_times_by_service: dict[str, collections.deque[float]] = (
        attrs.field(factory=dict)
    )
    _retry_times_by_service: dict[str, collections.deque[float]] = attrs.field(
        factory=dict
    )

    def count_request(self, service: str, now_s: float) -> None:
        """Count the first attempt of a request."""
        self._recent_times(
            self._request_times_by_service, service, now_s
        ).append(now_s)

    def allows_retry(self, service: str, now_s: float) -> bool:
        """Whether the window allows one more retry."""
        retries = self._recent_times(
            self._retry_times_by_service, service, now_s
        )
        requests = self._recent_times(
            self._request_times_by_service, service, now_s
        )
        allowed = USABLE_BUDGET_SHARE * (
            self.ratio * len(requests) + self.extra / max(1, self.host_count)
        )
        return len(retries) + 1 <= allowed

    def count_retry(self, service: str, now_s: float) -> None:
        """Count a retry that was sent."""
        self._recent_times(self._retry_times_by_service, service, now_s).append(
            now_s
        )

    def _recent_times(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now_s: float,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] < now_s - self.window_s:
            times.popleft()
        return times
