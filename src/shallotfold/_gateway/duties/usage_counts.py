"""Count the runs of each workspace by window of true time."""

from collections.abc import Container
from collections.abc import Mapping

import attrs

# Windows kept on each host; older ones have long been reported.
KEPT_WINDOWS = 8
# Windows before the present one that hosts still tell each other about.
SHARED_WINDOWS = 3

Counts = dict[str, int]


@attrs.define(kw_only=True)
class UsageCounts:
    """What this host and its peers counted.

    A host's counts only grow within one incarnation, so that the largest
    figure that was heard of a window is the newest one.

    Attributes:
        window_s: Length of a window in seconds.
    """

    window_s: float
    _own: dict[int, Counts] = attrs.field(factory=dict)
    _peers: dict[int, dict[str, Counts]] = attrs.field(factory=dict)

    def window_at(self, wall_s: float) -> int:
        """Return the number of the window at a true time."""
        return int(wall_s // self.window_s)

    def add(self, workspace: str, wall_s: float) -> None:
        """Count one run."""
        window = self.window_at(wall_s)
        counts = self._own.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        while len(self._own) > KEPT_WINDOWS:
            del self._own[min(self._own)]

    def local_counts(self, newest: int) -> dict[int, Counts]:
        """Return this host's recent windows, for its peers."""
        return {
            w: c for w, c in self._own.items() if w >= newest - SHARED_WINDOWS
        }

    def merge_peer_counts(
        self, origin: str, counts_by_window: Mapping[int, Counts]
    ) -> None:
        """Note the counts of one incarnation of a peer, from it or others."""
        for window, counts in counts_by_window.items():
            known = self._peers.setdefault(window, {}).setdefault(origin, {})
            for workspace, runs in counts.items():
                known[workspace] = max(runs, known.get(workspace, 0))
        while len(self._peers) > KEPT_WINDOWS:
            del self._peers[min(self._peers)]

    def peer_counts(
        self, origins: Container[str], newest: int
    ) -> dict[str, dict[int, Counts]]:
        """Return recent counts that were heard of some incarnations."""
        found: dict[str, dict[int, Counts]] = {}
        for window, counts_by_origin in self._peers.items():
            if window < newest - SHARED_WINDOWS:
                continue
            for origin, counts in counts_by_origin.items():
                if origin in origins:
                    found.setdefault(origin, {})[window] = counts
        return found

    def total(self, window: int) -> Counts:
        """Return the counts of all hosts for a window."""
        total = dict(self._own.get(window, {}))
        for counts in self._peers.get(window, {}).values():
            for workspace, runs in counts.items():
                total[workspace] = total.get(workspace, 0) + runs
        return total
