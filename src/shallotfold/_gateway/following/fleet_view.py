"""Cache the configuration and the list of upstreams on each host.

Updates come from the store and, when it doesn't answer, from peers. Newer
data replaces older data, whatever its source.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import zlib

import attrs
import msgpack

from shallotfold._errors import WatchInterruptedError
from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.ports import Dialect
from shallotfold._gateway.core.settings import DEFAULT_REGISTRATION_INTERVAL_S
from shallotfold._gateway.deciding.events import ServicesChanged
from shallotfold._gateway.following.evacuations import Evacuations
from shallotfold._gateway.following.leaving_upstreams import LeavingUpstreams
from shallotfold._gateway.following.registration_decoder import (
    MAX_LOGGED_CHARACTERS,
)
from shallotfold._gateway.following.registration_decoder import (
    RegistrationDecoder,
)
from shallotfold._gateway.following.upstream_registry import UpstreamRegistry
from shallotfold._gateway.peers.change_messages import UpstreamChanges
from shallotfold._gateway.serving.gateway import Gateway
from shallotfold._gateway.serving.route_table import RouteTable
from shallotfold._services.ports import StoreChanges
from shallotfold._services.ports import StoredValue
from shallotfold._services.revisions import era_of
from shallotfold._services.revisions import number_of

FROM_STORE = "store"
# Larger snapshots are refused; the largest configurations have a few hundred
# kilobytes.
MAX_SNAPSHOT_BYTES = 16_777_216


class FleetView:
    """This host's view of the configuration and the upstreams.

    Each newer configuration or list of upstreams takes effect at once.

    Attributes:
        registry: The upstreams' registrations.
        leaving: Upstreams that said that they are leaving.
        evacuations: Data centres whose upstreams get nothing new.
        era: Era of the store that the view follows; see `_services.revisions`.
    """

    def __init__(
        self,
        dialect: Dialect,
        gateway: Gateway,
        on_configuration: Callable[[], None],
        on_changes: Callable[[UpstreamChanges], None],
        on_store_restored: Callable[[], None],
        registration_interval_s: float = DEFAULT_REGISTRATION_INTERVAL_S,
    ) -> None:
        """Make an empty view.

        Args:
            dialect: Decodes the documents.
            gateway: Serves callers according to the view.
            on_configuration: Called when a configuration from the store took
                effect.
            on_changes: Called with changes of the upstreams from the store, to
                be passed on to peers.
            on_store_restored: Called when the store came back from a backup.
            registration_interval_s: Time between two registrations of an
                upstream.
        """
        self._dialect = dialect
        self._gateway = gateway
        self._on_configuration = on_configuration
        self._on_changes = on_changes
        self._on_store_restored = on_store_restored
        # Up to here peers have got the changes, or can fetch a snapshot.
        self._announced_revision = 0
        self._decoder = RegistrationDecoder(dialect, gateway.metrics)
        self._encoded_snapshot: tuple[tuple[int, int, int], bytes] | None = None
        self._configuration = StoredValue("", b"", 0)
        self.registry = UpstreamRegistry(registration_interval_s)
        self.leaving = LeavingUpstreams()
        self.evacuations = Evacuations()
        self.era: int | None = None

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0: none."""
        table = self._gateway.route_table
        return table.configuration.version if table else 0

    def services(self) -> list[Service]:
        """Return the services in force."""
        table = self._gateway.route_table
        if table is None:
            return []
        return list(table.configuration.services_by_name.values())

    # Updates from the store.

    def apply_configuration(self, changes: StoreChanges) -> None:
        """Apply the configuration if it is among the changes."""
        self._follow_era(changes.revision)
        for value in changes.changed:
            if value.key == self._dialect.configuration_key:
                self._adopt(value, FROM_STORE)

    def apply_operator_snapshot(self, changes: StoreChanges) -> None:
        """Apply all that operators have written."""
        self.apply_configuration(changes)
        if self.evacuations.replace(
            self._evacuated(value.key for value in changes.changed),
            changes.revision,
        ):
            self._record_evacuations(FROM_STORE)

    def apply_operator_changes(self, changes: StoreChanges) -> None:
        """Apply the changes of what operators have written."""
        self.apply_configuration(changes)
        if self.evacuations.apply_changes(
            self._evacuated(value.key for value in changes.changed),
            self._evacuated(changes.deleted),
            changes.revision,
        ):
            self._record_evacuations(FROM_STORE)

    def record_store_call(self, error: Exception | None) -> None:
        """Record whether the last call to the store succeeded."""
        if error is None or isinstance(error, WatchInterruptedError):
            self.registry.record_contact(boot_s())
        else:
            self.registry.record_failure(boot_s())

    def record_unwatched(self) -> None:
        """Record that this host no longer watches the store."""
        self.registry.record_unwatched(boot_s())

    def apply_upstream_snapshot(self, changes: StoreChanges) -> None:
        """Apply the whole list of upstreams."""
        self.record_store_call(None)
        self._follow_era(changes.revision)
        self.registry.apply_snapshot(
            self._values_by_upstream_id(changes), changes.revision, boot_s()
        )
        self._announced_revision = self.registry.revision
        self._apply_upstreams(FROM_STORE)

    def apply_upstream_changes(self, changes: StoreChanges) -> None:
        """Apply the changes in the list of upstreams."""
        self.record_store_call(None)
        prefix_length = len(self._dialect.upstreams_prefix)
        values_by_id = self._values_by_upstream_id(changes)
        deleted = [key[prefix_length:] for key in changes.deleted]
        self.registry.apply_changes(
            values_by_id,
            deleted,
            changes.revision,
            boot_s(),
            changes.newest_change,
        )
        if values_by_id or deleted:
            self._announce(
                values_by_id,
                deleted,
                in_outage=self.registry.in_outage(boot_s()),
            )
            self._apply_upstreams(FROM_STORE)

    def drop_lapsed_upstreams(
        self, *, is_follower: bool, next_check_s: float = 0.0
    ) -> None:
        """Remove upstreams that didn't register again after an outage.

        Args:
            is_follower: Whether this host watches the store, and thus knows
                best; it tells its peers.
            next_check_s: Time until the next call of this method. What would
                be kept for too long by then is removed now.
        """
        expired = self.registry.remove_expired_suspects(boot_s() + next_check_s)
        if expired:
            if is_follower:
                self._announce({}, expired, in_outage=False)
            self._apply_upstreams("lapse")

    # Updates from responses and peers.

    def record_leaving(self, upstream: Upstream) -> bool:
        """Record that an upstream said in a response that it is leaving.

        Returns:
            Whether that is new.
        """
        is_new = self.leaving.add(
            upstream.upstream_id,
            upstream.started_ms,
            boot_s(),
            from_response=True,
        )
        if is_new:
            self._apply_upstreams("response")
        return is_new

    def record_leaving_at_peer(
        self, peer: str, started_ms_by_id: Mapping[str, int]
    ) -> None:
        """Record upstreams that said to a peer that they are leaving."""
        learned = [
            upstream_id
            for upstream_id, started_ms in started_ms_by_id.items()
            if self.leaving.add(
                upstream_id, started_ms, boot_s(), from_response=False
            )
        ]
        if learned:
            decision_log.record(
                "upstreams_leaving", upstreams=sorted(learned), peer=peer
            )
            self._apply_upstreams(peer)

    def record_evacuations_at_peer(
        self, peer: str, data_centres: Iterable[str], revision: int
    ) -> None:
        """Record the evacuations that a peer knows as of a revision."""
        if self.evacuations.replace(data_centres, revision):
            self._record_evacuations(peer)

    def apply_peer_changes(self, changes: UpstreamChanges) -> None:
        """Apply changes that a peer got from the store.

        If changes before them are missing, the heartbeats of peers show it and
        a snapshot is fetched.
        """
        if self.registry.revision < changes.after_revision:
            return
        # Several peers send the same changes; the later copies bring no
        # registration back that is suspect since.
        is_known = self.registry.revision >= changes.revision
        values_by_id = {} if is_known else dict(changes.values_by_id)
        if not values_by_id and not changes.deleted:
            return
        self._follow_era(changes.revision)
        # The peer reaches the store. Failed calls of this host alone, whose
        # path to it may be cut, make no outage of its removals.
        self.registry.apply_changes(
            values_by_id,
            changes.deleted,
            changes.revision,
            boot_s(),
            in_outage=changes.in_outage,
        )
        self._apply_upstreams("peer")

    def confirm_peer_removals(self, changes: UpstreamChanges) -> None:
        """Drop upstreams that a peer saw removed outside of an outage.

        A host that watches the store gets the changes themselves from there,
        but after failed calls of its own it would take the removals for lapses.
        """
        if changes.in_outage:
            return
        if self.registry.confirm_removals(changes.deleted, changes.revision):
            self._apply_upstreams("peer")

    def encode_snapshot(self) -> bytes:
        """Encode the whole view for a peer that lacks a part of it."""
        state = (
            self._configuration.revision,
            self.registry.revision,
            len(self.registry.documents_by_id()),
        )
        if self._encoded_snapshot is None or self._encoded_snapshot[0] != state:
            self._encoded_snapshot = (state, self._encode_snapshot())
        return self._encoded_snapshot[1]

    def _encode_snapshot(self) -> bytes:
        configuration = self._configuration
        packed: bytes = msgpack.packb(
            (
                configuration.key,
                configuration.value,
                configuration.revision,
                self.registry.revision,
                self.registry.documents_by_id(),
            )
        )
        return zlib.compress(packed, 1)

    def apply_peer_snapshot(self, peer: str, data: bytes) -> None:
        """Apply the parts of a peer's view that are newer.

        Raises:
            ValueError, TypeError or LookupError: The data can't be decoded.
        """
        data = _decompress(data)
        key, value, revision, upstreams_revision, documents = msgpack.unpackb(
            data
        )
        if value:
            self._adopt(StoredValue(key, value, revision), peer)
        if upstreams_revision <= self.registry.revision:
            return
        self._follow_era(upstreams_revision)
        self.registry.apply_snapshot(
            {
                upstream_id: StoredValue(upstream_id, document, changed_at)
                for upstream_id, (document, changed_at) in documents.items()
            },
            upstreams_revision,
            boot_s(),
        )
        self._apply_upstreams(peer)

    # Helpers.

    def _evacuated(self, keys: Iterable[str]) -> list[str]:
        """Return the data centres that keys of evacuations name."""
        prefix = self._dialect.evacuations_prefix
        return [
            key.removeprefix(prefix) for key in keys if key.startswith(prefix)
        ]

    def _record_evacuations(self, source: str) -> None:
        decision_log.record(
            "evacuations",
            data_centres=sorted(self.evacuations.data_centres),
            revision=self.evacuations.revision,
            source=source,
        )
        self._apply_upstreams(source)
        if source == FROM_STORE:
            self._on_configuration()

    def _announce(
        self,
        values_by_id: dict[str, StoredValue],
        deleted: list[str],
        *,
        in_outage: bool,
    ) -> None:
        changes = UpstreamChanges(
            after_revision=self._announced_revision,
            revision=self.registry.revision,
            in_outage=in_outage,
            values_by_id=values_by_id,
            deleted=deleted,
        )
        self._announced_revision = self.registry.revision
        self._on_changes(changes)

    def _follow_era(self, revision: int) -> None:
        """Prepare for data of a restored store, which may be older."""
        era, previous = era_of(revision), self.era
        if previous is None:
            self.era = era
        if previous is None or era <= previous:
            return
        self.era = era
        now_s = boot_s()
        self.registry.record_outage(now_s)
        upstreams = self._gateway.dispatcher.upstreams_by_id.values()
        draining = [
            u
            for u in upstreams
            if u.draining and u.data_centre not in self.evacuations.data_centres
        ]
        # The backup may say that they are still ready.
        for upstream in draining:
            self.leaving.add(
                upstream.upstream_id,
                upstream.started_ms,
                now_s,
                from_response=False,
            )
        decision_log.record(
            "store_restored",
            era=era,
            before=previous,
            revision=number_of(revision),
            revision_before=number_of(self.registry.revision),
            upstreams=len(upstreams),
            draining=len(draining),
        )
        self._on_store_restored()

    def _adopt(self, value: StoredValue, source: str) -> None:
        try:
            configuration = self._dialect.read_configuration(value.value)
        except ValueError as error:
            self._gateway.metrics.count_invalid_document("configuration")
            decision_log.record(
                "configuration_refused",
                source=source,
                revision=value.revision,
                version_in_force=self.configuration_version,
                error=str(error)[:MAX_LOGGED_CHARACTERS],
            )
            return
        previous_version = self.configuration_version
        if configuration.version <= previous_version:
            return
        self._configuration = value
        self._gateway.route_table = RouteTable(configuration)
        self._gateway.deliver(
            ServicesChanged(
                now_s=boot_s(), services_by_name=configuration.services_by_name
            )
        )
        decision_log.record(
            "configuration",
            version=configuration.version,
            before=previous_version,
            source=source,
            routes=len(configuration.routes),
            keys=len(configuration.workspaces_by_key),
        )
        if source == FROM_STORE:
            self._on_configuration()

    def _values_by_upstream_id(
        self, changes: StoreChanges
    ) -> dict[str, StoredValue]:
        prefix = self._dialect.upstreams_prefix
        return {
            value.key.removeprefix(prefix): value for value in changes.changed
        }

    def _apply_upstreams(self, source: str) -> None:
        usable = self._decoder.decode(self.registry.documents_by_id())
        for upstream_id, upstream in usable.items():
            if (
                upstream.data_centre in self.evacuations.data_centres
                or self.leaving.includes(upstream, boot_s())
            ):
                usable[upstream_id] = attrs.evolve(upstream, draining=True)
        previous = self._gateway.dispatcher.upstreams_by_id
        if dict(previous) == usable and not self._has_cold_news(usable):
            return
        decision_log.record(
            "upstreams",
            source=source,
            revision=self.registry.revision,
            added=sorted(usable.keys() - previous.keys()),
            removed=sorted(previous.keys() - usable.keys()),
            draining=sorted(i for i, u in usable.items() if u.draining),
        )
        self._gateway.set_upstreams(usable, source)

    def _has_cold_news(self, usable: Mapping[str, Upstream]) -> bool:
        """Whether a registration says anew that its upstream is cold.

        An upstream that becomes cold again early may name the same remaining
        time as before.
        """
        if not any(service.cold_rate_per_s for service in self.services()):
            return False
        previous = self._gateway.dispatcher.upstreams_by_id
        return any(
            upstream.cold_remaining_s > 0.0
            and upstream.sequence != previous[upstream_id].sequence
            for upstream_id, upstream in usable.items()
        )


def _decompress(data: bytes) -> bytes:
    """Return a peer's snapshot, also of earlier builds that don't compress it.

    Raises:
        ValueError: The data is damaged or too large.
    """
    if data[:1] != b"x":
        return data
    decompressor = zlib.decompressobj()
    try:
        snapshot = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise ValueError(f"the snapshot is damaged: {error}") from error
    if not decompressor.eof:
        raise ValueError("the snapshot is cut off or too large")
    return snapshot
