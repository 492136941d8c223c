"""Simulate the platform's host list with its lag, without I/O."""

from collections import deque

import attrs

from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostState


@attrs.define
class HostListStandin:
    """Serve the host list as it was some time ago.

    Attributes:
        lag_s: Age of the list that clients get.
        records_by_name: The current list.
    """

    lag_s: float
    records_by_name: dict[str, HostRecord] = attrs.field(factory=dict)
    _history: deque[tuple[float, tuple[HostRecord, ...]]] = attrs.field(
        factory=deque
    )

    def add(self, record: HostRecord, now_s: float) -> None:
        """Add or replace a host."""
        self.records_by_name[record.name] = record
        self._record_snapshot(now_s)

    def mark_leaving(self, name: str, now_s: float) -> None:
        """Mark a host as leaving; unknown names are ignored."""
        record = self.records_by_name.get(name)
        if record:
            self.add(attrs.evolve(record, state=HostState.LEAVING), now_s)

    def remove(self, name: str, now_s: float) -> None:
        """Remove a host; unknown names are ignored."""
        self.records_by_name.pop(name, None)
        self._record_snapshot(now_s)

    def fetch(self, now_s: float) -> tuple[HostRecord, ...]:
        """Return the list as it was `lag_s` ago."""
        cutoff_s = now_s - self.lag_s
        while len(self._history) > 1 and self._history[1][0] <= cutoff_s:
            self._history.popleft()
        return self._history[0][1] if self._history else ()

    def _record_snapshot(self, now_s: float) -> None:
        self._history.append((now_s, tuple(self.records_by_name.values())))
