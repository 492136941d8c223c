"""Track the health of upstreams, and the pauses that they ask for."""

import attrs

# Weight of the newest attempt in the failure ratio.
NEWEST_WEIGHT = 0.2
# Ejection after the first failed connection; each further one doubles it.
BASE_EJECTION_S = 0.3
MAX_EJECTION_S = 3.0
# Without further attempts the failure ratio halves in this time.
FAILURE_HALF_LIFE_S = 4.0


@attrs.define
class _Record:
    failure_ratio: float = 0.0
    changed_s: float = 0.0
    connect_failures: int = 0
    ejected_until_s: float = 0.0
    replaced: bool = False


@attrs.define
class UpstreamHealth:
    """Failure ratios, ejections and pauses by upstream id."""

    _record_by_upstream: dict[str, _Record] = attrs.field(factory=dict)
    _paused_until_s_by_upstream: dict[str, float] = attrs.field(factory=dict)

    def record_success(self, upstream: str, now_s: float) -> None:
        """Record a complete response and end an ejection."""
        record = self._record_by_upstream.get(upstream)
        if record is None:
            return
        self._update_failure_ratio(record, 0.0, now_s)
        record.connect_failures = 0
        record.ejected_until_s = 0.0

    def record_failure(self, upstream: str, now_s: float) -> None:
        """Record a response that was an error, broke off or never came."""
        self._update_failure_ratio(self._get_or_create(upstream), 1.0, now_s)

    def record_unreachable(self, upstream: str, now_s: float) -> None:
        """Record a failed connection and eject the upstream for a while."""
        record = self._get_or_create(upstream)
        self._update_failure_ratio(record, 1.0, now_s)
        if now_s < record.ejected_until_s:
            return
        ejection_s = BASE_EJECTION_S * 2.0**record.connect_failures
        record.ejected_until_s = now_s + min(MAX_EJECTION_S, ejection_s)
        record.connect_failures = min(record.connect_failures + 1, 8)

    def record_pause(self, upstream: str, until_s: float, now_s: float) -> None:
        """Record that an upstream wants no requests until a time.

        A pause is no failure, and it also holds while the upstream isn't
        registered.
        """
        for name, paused_until_s in list(
            self._paused_until_s_by_upstream.items()
        ):
            if paused_until_s <= now_s:
                del self._paused_until_s_by_upstream[name]
        self._paused_until_s_by_upstream[upstream] = max(
            until_s, self._paused_until_s_by_upstream.get(upstream, until_s)
        )

    def pause_remaining_s(self, upstream: str, now_s: float) -> float:
        """Return how long the upstream still wants no requests."""
        until_s = self._paused_until_s_by_upstream.get(upstream, now_s)
        return max(0.0, until_s - now_s)

    def record_replaced(self, upstream: str) -> None:
        """Record that another upstream answers at its address: it is gone."""
        self._get_or_create(upstream).replaced = True

    def is_available(self, upstream: str, now_s: float) -> bool:
        """Whether it is neither replaced nor ejected now."""
        record = self._record_by_upstream.get(upstream)
        if record is None:
            return True
        return not record.replaced and now_s >= record.ejected_until_s

    def is_replaced(self, upstream: str) -> bool:
        """Whether another upstream answers at its address."""
        record = self._record_by_upstream.get(upstream)
        return record is not None and record.replaced

    def was_unreachable(self, upstream: str, since_s: float) -> bool:
        """Whether it is gone, or was ejected at `since_s` or after it."""
        record = self._record_by_upstream.get(upstream)
        return record is not None and (
            record.replaced or record.ejected_until_s > since_s
        )

    def failure_ratio(self, upstream: str, now_s: float) -> float:
        """Return the share of recent attempts that failed, 0 to 1."""
        record = self._record_by_upstream.get(upstream)
        if record is None:
            return 0.0
        return record.failure_ratio * _decay(now_s - record.changed_s)

    def keep_only(self, upstreams: set[str]) -> None:
        """Drop the records of upstreams that are no longer registered."""
        for upstream in self._record_by_upstream.keys() - upstreams:
            del self._record_by_upstream[upstream]

    def _get_or_create(self, upstream: str) -> _Record:
        return self._record_by_upstream.setdefault(upstream, _Record())

    def _update_failure_ratio(
        self, record: _Record, failure: float, now_s: float
    ) -> None:
        decayed = record.failure_ratio * _decay(now_s - record.changed_s)
        record.failure_ratio = decayed + NEWEST_WEIGHT * (failure - decayed)
        record.changed_s = now_s


def _decay(age_s: float) -> float:
    return float(0.5 ** (max(0.0, age_s) / FAILURE_HALF_LIFE_S))
