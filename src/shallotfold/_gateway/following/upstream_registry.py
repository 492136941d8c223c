"""Keep the list of upstreams through outages of the store.

Registrations lapse while upstreams can't reach the store. Once the store is
back, live ones register again within a short time, so that a lapse that
comes with an outage is believed only after that time.
"""

from collections.abc import Iterable

import attrs

from shallotfold._services.ports import StoredValue

# Live upstreams are registered again this long after the store's return.
RETURN_GRACE_S = 2.2
# Upstreams seldom leave together: when at least this many and this share of
# them lapse at once, the store was away unnoticed.
MASS_LAPSE_COUNT = 3
MASS_LAPSE_SHARE = 0.5
# Deletions remembered against older words about the same upstreams.
DELETIONS_KEPT = 1_024


@attrs.define
class _Entry:
    value: bytes
    revision: int
    doubted_until_s: float | None = None


@attrs.define
class UpstreamRegistry:
    """Registrations by upstream id, as raw documents.

    Attributes:
        revision: Store revision up to which the list is complete.
        changed_at: Store revision of the newest change that is known.
        trouble_s: When a call to the store failed last; `None`: never.
        back_s: When the store answered again after that.
    """

    revision: int = 0
    changed_at: int = 0
    trouble_s: float | None = None
    back_s: float | None = None
    _entry_by_id: dict[str, _Entry] = attrs.field(factory=dict)
    _deleted_at: dict[str, int] = attrs.field(factory=dict)

    def note_failure(self, now_s: float) -> None:
        """Note a failed call to the store."""
        self.trouble_s = now_s
        self.back_s = None

    def note_answer(self, now_s: float) -> None:
        """Note an answer of the store."""
        if self.trouble_s is not None and self.back_s is None:
            self.back_s = now_s

    def take_snapshot(
        self, values_by_id: dict[str, StoredValue], revision: int, now_s: float
    ) -> None:
        """Take the whole list as it was at a revision."""
        lapsed = self._entry_by_id.keys() - values_by_id.keys()
        self._remove_all(lapsed, revision, now_s)
        for upstream_id, value in values_by_id.items():
            self._put(upstream_id, value)
        self.revision = max(self.revision, revision)

    def take_changes(
        self,
        values_by_id: dict[str, StoredValue],
        deleted: Iterable[str],
        revision: int,
        now_s: float,
        newest_change: int = 0,
    ) -> None:
        """Take what changed up to a revision.

        Args:
            values_by_id: Registrations that are new or other than before.
            deleted: Upstreams whose registration is gone.
            revision: Up to which the changes are complete.
            now_s: Time on the boot clock.
            newest_change: Revision of the newest change; 0: none.
        """
        self.changed_at = max(self.changed_at, newest_change)
        for upstream_id, value in values_by_id.items():
            self._put(upstream_id, value)
        self._remove_all(set(deleted), revision, now_s)
        self.revision = max(self.revision, revision)

    def expire(self, now_s: float) -> list[str]:
        """Drop what did not come back in time; return the ids."""
        due = [
            upstream_id
            for upstream_id, entry in self._entry_by_id.items()
            if entry.doubted_until_s is not None
            and self._doubt_ends_s(entry, now_s) <= now_s
        ]
        for upstream_id in due:
            del self._entry_by_id[upstream_id]
        return due

    def documents_by_id(self) -> dict[str, tuple[bytes, int]]:
        """Return document and revision of each upstream, also doubted ones."""
        return {
            upstream_id: (entry.value, entry.revision)
            for upstream_id, entry in self._entry_by_id.items()
        }

    def in_outage(self, now_s: float) -> bool:
        """Whether a lapse may be the store's fault."""
        if self.trouble_s is None:
            return False
        if self.back_s is None:
            return True
        return now_s - self.back_s < RETURN_GRACE_S

    def _doubt_ends_s(self, entry: _Entry, now_s: float) -> float:
        """Return when a lapsed entry counts as gone."""
        if self.trouble_s is not None and self.back_s is None:
            return now_s + RETURN_GRACE_S
        return entry.doubted_until_s or now_s

    def _put(self, upstream_id: str, value: StoredValue) -> None:
        entry = self._entry_by_id.get(upstream_id)
        if entry is not None and entry.revision > value.revision:
            return
        if self._deleted_at.get(upstream_id, 0) > value.revision:
            return
        self._entry_by_id[upstream_id] = _Entry(value.value, value.revision)
        self.changed_at = max(self.changed_at, value.revision)

    def _remove_all(
        self, upstream_ids: set[str], revision: int, now_s: float
    ) -> None:
        known = len(self._entry_by_id)
        lapsed = len(upstream_ids & self._entry_by_id.keys())
        if lapsed >= max(MASS_LAPSE_COUNT, known * MASS_LAPSE_SHARE):
            self.back_s = now_s
            self.trouble_s = now_s
        doubted = self.in_outage(now_s)
        for upstream_id in upstream_ids:
            self._remove(upstream_id, revision, now_s, doubted=doubted)

    def _remove(
        self, upstream_id: str, revision: int, now_s: float, *, doubted: bool
    ) -> None:
        entry = self._entry_by_id.get(upstream_id)
        if entry is None or entry.revision > revision:
            return
        self._deleted_at[upstream_id] = revision
        if len(self._deleted_at) > DELETIONS_KEPT:
            del self._deleted_at[next(iter(self._deleted_at))]
        if not doubted:
            del self._entry_by_id[upstream_id]
        elif entry.doubted_until_s is None:
            entry.doubted_until_s = (
                now_s if self.back_s is None else self.back_s
            ) + RETURN_GRACE_S
