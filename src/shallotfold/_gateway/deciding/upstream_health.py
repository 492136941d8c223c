"""Judge upstreams by how their last attempts ended."""

import attrs

# Weight of the newest attempt in the failure ratio.
NEWEST_WEIGHT = 0.2
# Pause after the first failed connection; it doubles with each further one.
FIRST_PAUSE_S = 0.3
LONGEST_PAUSE_S = 3.0
# Failures are forgiven by half after this long without an attempt.
FORGIVING_HALF_LIFE_S = 4.0


@attrs.define
class _Record:
    failure_ratio: float = 0.0
    changed_s: float = 0.0
    unreachable: int = 0
    paused_until_s: float = 0.0
    misplaced: bool = False


@attrs.define
class UpstreamHealth:
    """Failure ratios and pauses by upstream id."""

    _record_by_upstream: dict[str, _Record] = attrs.field(factory=dict)

    def record_success(self, upstream: str, now_s: float) -> None:
        """Note a good answer."""
        record = self._record_by_upstream.get(upstream)
        if record is None:
            return
        self._learn(record, 0.0, now_s)
        record.unreachable = 0
        record.paused_until_s = 0.0

    def record_failure(self, upstream: str, now_s: float) -> None:
        """Note an answer that failed, broke off or never came."""
        self._learn(self._of(upstream), 1.0, now_s)

    def record_unreachable(self, upstream: str, now_s: float) -> None:
        """Note that no connection was established; pause the upstream."""
        record = self._of(upstream)
        self._learn(record, 1.0, now_s)
        if now_s < record.paused_until_s:
            return
        pause_s = FIRST_PAUSE_S * 2.0**record.unreachable
        record.paused_until_s = now_s + min(LONGEST_PAUSE_S, pause_s)
        record.unreachable = min(record.unreachable + 1, 8)

    def record_replaced(self, upstream: str) -> None:
        """Note that another upstream has its address: it is gone."""
        self._of(upstream).misplaced = True

    def is_available(self, upstream: str, now_s: float) -> bool:
        """Whether attempts may be sent now."""
        record = self._record_by_upstream.get(upstream)
        if record is None:
            return True
        return not record.misplaced and now_s >= record.paused_until_s

    def is_replaced(self, upstream: str) -> bool:
        """Whether the upstream's address serves another one."""
        record = self._record_by_upstream.get(upstream)
        return record is not None and record.misplaced

    def failure_ratio(self, upstream: str, now_s: float) -> float:
        """Return the share of recent attempts that failed, 0 to 1."""
        record = self._record_by_upstream.get(upstream)
        if record is None:
            return 0.0
        return record.failure_ratio * _fading(now_s - record.changed_s)

    def keep_only(self, upstreams: set[str]) -> None:
        """Forget upstreams that are registered no more."""
        for upstream in self._record_by_upstream.keys() - upstreams:
            del self._record_by_upstream[upstream]

    def _of(self, upstream: str) -> _Record:
        return self._record_by_upstream.setdefault(upstream, _Record())

    def _learn(self, record: _Record, failure: float, now_s: float) -> None:
        faded = record.failure_ratio * _fading(now_s - record.changed_s)
        record.failure_ratio = faded + NEWEST_WEIGHT * (failure - faded)
        record.changed_s = now_s


def _fading(age_s: float) -> float:
    return float(0.5 ** (max(0.0, age_s) / FORGIVING_HALF_LIFE_S))
