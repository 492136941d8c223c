"""Count the runs of each workspace by window of the fleet's agreed time."""

from collections.abc import Container
from collections.abc import Mapping

import attrs

# Windows kept on each host; older ones have long been reported.
RETAINED_WINDOWS = 8
# Windows before the current one whose counts hosts still exchange.
EXCHANGED_WINDOWS = 3

Counts = dict[str, int]


@attrs.define(kw_only=True)
class UsageCounts:
    """Counts of this host and of its peers.

    Within one incarnation of a host counts only grow, so peer counts are merged
    by their maximum: the largest count of a window is the newest.

    Attributes:
        window_s: Length of a window in seconds.
    """

    window_s: float
    _local_by_window: dict[int, Counts] = attrs.field(factory=dict)
    _peers_by_window: dict[int, dict[str, Counts]] = attrs.field(factory=dict)

    def window_at(self, agreed_s: float) -> int:
        """Return the number of the window at an agreed time."""
        return int(agreed_s // self.window_s)

    def add(self, workspace: str, agreed_s: float) -> None:
        """Count one run at an agreed time."""
        window = self.window_at(agreed_s)
        counts = self._local_by_window.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        while len(self._local_by_window) > RETAINED_WINDOWS:
            del self._local_by_window[min(self._local_by_window)]

    def local_counts(self, current_window: int) -> dict[int, Counts]:
        """Return the recent counts of this host, for its peers."""
        return {
            w: c
            for w, c in self._local_by_window.items()
            if w >= current_window - EXCHANGED_WINDOWS
        }

    def merge_peer_counts(
        self, origin: str, counts_by_window: Mapping[int, Counts]
    ) -> None:
        """Merge counts of one incarnation, from it or relayed by others."""
        for window, counts in counts_by_window.items():
            known = self._peers_by_window.setdefault(window, {}).setdefault(
                origin, {}
            )
            for workspace, runs in counts.items():
                known[workspace] = max(runs, known.get(workspace, 0))
        while len(self._peers_by_window) > RETAINED_WINDOWS:
            del self._peers_by_window[min(self._peers_by_window)]

    def peer_counts(
        self, origins: Container[str], current_window: int
    ) -> dict[str, dict[int, Counts]]:
        """Return the known recent counts of some incarnations."""
        recent: dict[str, dict[int, Counts]] = {}
        for window, counts_by_origin in self._peers_by_window.items():
            if window < current_window - EXCHANGED_WINDOWS:
                continue
            for origin, counts in counts_by_origin.items():
                if origin in origins:
                    recent.setdefault(origin, {})[window] = counts
        return recent

    def total(self, window: int) -> Counts:
        """Return the counts of a window, summed over all hosts."""
        total = dict(self._local_by_window.get(window, {}))
        for counts in self._peers_by_window.get(window, {}).values():
            for workspace, runs in counts.items():
                total[workspace] = total.get(workspace, 0) + runs
        return total
