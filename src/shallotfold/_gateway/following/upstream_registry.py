"""Keep the list of upstreams through outages of the store.

Registrations lapse while upstreams can't reach the store. Live upstreams
register again soon after the store is back, so an upstream whose registration
lapses around an outage is only suspected for a grace period, then removed.
"""

from collections.abc import Iterable
import math

import attrs

from shallotfold._gateway.core.settings import DEFAULT_REGISTRATION_INTERVAL_S
from shallotfold._services.ports import StoredValue
from shallotfold._services.revisions import era_of

# Live upstreams have registered again this long after the store is back. No
# longer, since an upstream that has left may stop serving after this time.
REREGISTRATION_GRACE_S = 2.0
# Upstreams seldom leave together: when at least this many and this share of
# them lapse at once, there was an outage of the store in which no call failed.
MASS_LAPSE_COUNT = 3
MASS_LAPSE_SHARE = 0.5
# Tombstones keep older data from bringing removed upstreams back.
MAX_TOMBSTONES = 1_024


@attrs.define
class _Registration:
    value: bytes
    revision: int
    # Infinite while it isn't known whether the store is away.
    suspect_until_s: float | None = None


@attrs.define
class UpstreamRegistry:
    """Registrations by upstream id, as raw documents.

    Attributes:
        registration_interval_s: Time between two registrations of an upstream.
            They lapse after several missed ones, so never because of an outage
            that is shorter than this.
        revision: Store revision up to which the list is complete.
        newest_change_revision: Store revision of the newest known change.
    """

    registration_interval_s: float = DEFAULT_REGISTRATION_INTERVAL_S
    revision: int = 0
    newest_change_revision: int = 0
    # When the store was last known to serve this host; `None`: not known.
    _contact_s: float | None = None
    # Since when all calls have failed; `None`: the last one succeeded.
    _failing_since_s: float | None = None
    # When the last outage ended; `None`: there was none.
    _outage_ended_s: float | None = None
    _registration_by_id: dict[str, _Registration] = attrs.field(factory=dict)
    _tombstone_revision_by_id: dict[str, int] = attrs.field(factory=dict)

    def record_failure(self, now_s: float) -> None:
        """Record a failed call to the store."""
        if self._failing_since_s is None:
            self._failing_since_s = (
                now_s if self._contact_s is None else self._contact_s
            )

    def record_contact(self, now_s: float) -> None:
        """Record that the store responded, or cut a call that it had taken."""
        self._end_failure(now_s)
        self._contact_s = now_s

    def record_unwatched(self, now_s: float) -> None:
        """Record that this host no longer calls the store.

        An outage that it still saw would have no end otherwise: the hosts that
        watch tell it of the lapses of later ones.
        """
        self._end_failure(now_s)
        self._contact_s = None

    def record_outage(self, now_s: float) -> None:
        """Record that registrations may be missing because of an outage.

        The store may also have come back from a backup that lacks them.
        """
        self._failing_since_s = None
        self._end_outage(now_s)

    def apply_snapshot(
        self, values_by_id: dict[str, StoredValue], revision: int, now_s: float
    ) -> None:
        """Apply the whole list as of a revision."""
        lapsed = self._registration_by_id.keys() - values_by_id.keys()
        self._remove_all(lapsed, revision, now_s)
        for upstream_id, value in values_by_id.items():
            if not self._is_revived(upstream_id, value):
                self._put(upstream_id, value)
        self.revision = max(self.revision, revision)

    def apply_changes(
        self,
        values_by_id: dict[str, StoredValue],
        deleted: Iterable[str],
        revision: int,
        now_s: float,
        newest_change: int = 0,
        *,
        in_outage: bool | None = None,
    ) -> None:
        """Apply the changes up to a revision.

        Args:
            values_by_id: Registrations that are new or changed.
            deleted: Upstreams whose registration is gone.
            revision: Store revision up to which the changes are complete.
            now_s: Time on the boot clock.
            newest_change: Revision of the newest change; 0: none.
            in_outage: Whether an outage may be the cause of the deletions;
                `None`: decided by this host's own calls to the store.
        """
        self.newest_change_revision = max(
            self.newest_change_revision, newest_change
        )
        for upstream_id, value in values_by_id.items():
            self._put(upstream_id, value)
        if in_outage is None:
            self._remove_all(set(deleted), revision, now_s)
        else:
            # A suspicion of an outage that this host sees outlasts the peer's.
            ends_s = max(
                now_s + REREGISTRATION_GRACE_S, self._grace_ends_s(now_s)
            )
            for upstream_id in deleted:
                self._remove(
                    upstream_id,
                    revision,
                    suspect_until_s=ends_s if in_outage else None,
                )
        self.revision = max(self.revision, revision)

    def confirm_removals(
        self, upstream_ids: Iterable[str], revision: int
    ) -> bool:
        """Remove upstreams that a peer saw removed outside of an outage.

        Args:
            upstream_ids: Upstreams whose registration is gone.
            revision: Store revision as of which it is.

        Returns:
            Whether the list has changed.
        """
        count = len(self._registration_by_id)
        for upstream_id in upstream_ids:
            self._remove(upstream_id, revision, suspect_until_s=None)
        return len(self._registration_by_id) != count

    def remove_expired_suspects(self, now_s: float) -> list[str]:
        """Remove suspects that didn't register in time; return their ids."""
        expired = [
            upstream_id
            for upstream_id, registration in self._registration_by_id.items()
            if registration.suspect_until_s is not None
            and registration.suspect_until_s <= now_s
        ]
        for upstream_id in expired:
            del self._registration_by_id[upstream_id]
        return expired

    def documents_by_id(self) -> dict[str, tuple[bytes, int]]:
        """Return each upstream's document and revision, suspects included."""
        return {
            upstream_id: (registration.value, registration.revision)
            for upstream_id, registration in self._registration_by_id.items()
        }

    def in_outage(self, now_s: float) -> bool:
        """Whether an outage of the store may be the cause of a lapse."""
        return self._grace_ends_s(now_s) > now_s

    def _grace_ends_s(self, now_s: float) -> float:
        """Return until when a registration that lapses now is kept."""
        if self._failing_since_s is not None:
            return math.inf
        if self._outage_ended_s is None:
            return now_s
        return self._outage_ended_s + REREGISTRATION_GRACE_S

    def _end_failure(self, now_s: float) -> None:
        if self._failing_since_s is None:
            return
        failed_s = now_s - self._failing_since_s
        self._failing_since_s = None
        if failed_s >= self.registration_interval_s:
            self._end_outage(now_s)
        else:
            self._limit_suspicions(now_s)

    def _end_outage(self, now_s: float) -> None:
        self._outage_ended_s = now_s
        self._limit_suspicions(now_s)

    def _limit_suspicions(self, now_s: float) -> None:
        """Set the end of suspicions that began while calls failed."""
        ends_s = self._grace_ends_s(now_s)
        for registration in self._registration_by_id.values():
            if registration.suspect_until_s == math.inf:
                registration.suspect_until_s = ends_s

    def _is_revived(self, upstream_id: str, value: StoredValue) -> bool:
        """Whether a backup brought back an upstream that had been removed.

        A live one registers again, which a watch shows as a change.
        """
        removed_at = self._tombstone_revision_by_id.get(upstream_id)
        return (
            removed_at is not None
            and upstream_id not in self._registration_by_id
            and era_of(removed_at) < era_of(value.revision)
        )

    def _put(self, upstream_id: str, value: StoredValue) -> None:
        registration = self._registration_by_id.get(upstream_id)
        if registration is not None and registration.revision > value.revision:
            return
        if self._tombstone_revision_by_id.get(upstream_id, 0) > value.revision:
            return
        self._registration_by_id[upstream_id] = _Registration(
            value.value, value.revision
        )
        self.newest_change_revision = max(
            self.newest_change_revision, value.revision
        )

    def _remove_all(
        self, upstream_ids: set[str], revision: int, now_s: float
    ) -> None:
        known = len(self._registration_by_id)
        lapsed = len(upstream_ids & self._registration_by_id.keys())
        if lapsed >= max(MASS_LAPSE_COUNT, known * MASS_LAPSE_SHARE):
            self.record_outage(now_s)
        ends_s = self._grace_ends_s(now_s) if self.in_outage(now_s) else None
        for upstream_id in upstream_ids:
            self._remove(upstream_id, revision, suspect_until_s=ends_s)

    def _remove(
        self, upstream_id: str, revision: int, *, suspect_until_s: float | None
    ) -> None:
        """Remove a registration, or suspect it until a time if there is one."""
        registration = self._registration_by_id.get(upstream_id)
        if registration is None or registration.revision > revision:
            return
        self._tombstone_revision_by_id[upstream_id] = revision
        if len(self._tombstone_revision_by_id) > MAX_TOMBSTONES:
            del self._tombstone_revision_by_id[
                next(iter(self._tombstone_revision_by_id))
            ]
        if suspect_until_s is None:
            del self._registration_by_id[upstream_id]
        elif registration.suspect_until_s is None:
            registration.suspect_until_s = suspect_until_s
