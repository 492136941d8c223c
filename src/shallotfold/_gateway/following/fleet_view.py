"""Hold what a host believes of the configuration and of upstreams.

Words come from the store and, where it is silent, from peers. Newer ones
replace older ones, whoever brings them.
"""

from collections.abc import Callable

from loguru import logger
import msgpack

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.ports import Dialect
from shallotfold._gateway.following.upstream_registry import UpstreamRegistry
from shallotfold._gateway.serving.route_table import RouteTable
from shallotfold._gateway.serving.serving import Gateway
from shallotfold._services.ports import StoreChanges
from shallotfold._services.ports import StoredValue

FROM_STORE = "store"


class FleetView:
    """Puts configurations and upstreams in force as they become known.

    Attributes:
        registry: The upstreams' registrations.
    """

    def __init__(
        self,
        dialect: Dialect,
        gateway: Gateway,
        on_configuration: Callable[[], None],
    ) -> None:
        """Make them.

        Args:
            dialect: Reads the documents.
            gateway: Serves by what is believed.
            on_configuration: Called when a configuration came into force.
        """
        self._dialect = dialect
        self._gateway = gateway
        self._on_configuration = on_configuration
        self._configuration = StoredValue("", b"", 0)
        self.registry = UpstreamRegistry()

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0: none."""
        table = self._gateway.table
        return table.configuration.version if table else 0

    def services(self) -> list[Service]:
        """Return the services in force."""
        table = self._gateway.table
        if table is None:
            return []
        return list(table.configuration.services_by_name.values())

    # Words of the store.

    def apply_configuration(self, changes: StoreChanges) -> None:
        """Take what the store says of the configuration."""
        for value in changes.changed:
            if value.key == self._dialect.configuration_key:
                self._adopt(value, FROM_STORE)

    def record_store_call(self, error: Exception | None) -> None:
        """Note whether the store answered the last call."""
        if error is None:
            self.registry.record_response(boot_s())
        else:
            self.registry.record_failure(boot_s())

    def apply_upstream_snapshot(self, changes: StoreChanges) -> None:
        """Take the whole list of upstreams."""
        self.record_store_call(None)
        self.registry.apply_snapshot(
            self._by_upstream(changes), changes.revision, boot_s()
        )
        self._apply_upstreams(FROM_STORE)

    def apply_upstream_changes(self, changes: StoreChanges) -> None:
        """Take what changed in the list of upstreams."""
        prefix = len(self._dialect.upstreams_prefix)
        self.registry.apply_changes(
            self._by_upstream(changes),
            [key[prefix:] for key in changes.deleted],
            changes.revision,
            boot_s(),
            changes.newest_change,
        )
        if changes.changed or changes.deleted:
            self._apply_upstreams(FROM_STORE)

    def drop_lapsed_upstreams(self) -> None:
        """Give up on upstreams that did not come back after an outage."""
        if self.registry.remove_expired_suspects(boot_s()):
            self._apply_upstreams("lapse")

    # Words of peers.

    def encode_snapshot(self) -> bytes:
        """Write all that is believed, for a peer that lacks some of it."""
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
        return packed

    def apply_peer_snapshot(self, peer: str, data: bytes) -> None:
        """Take what a peer believes, as far as it is newer.

        Raises:
            ValueError, TypeError or LookupError: The data can't be read.
        """
        key, value, revision, at, documents = msgpack.unpackb(data)
        if value:
            self._adopt(StoredValue(key, value, revision), peer)
        if at <= self.registry.revision:
            return
        self.registry.apply_snapshot(
            {
                upstream_id: StoredValue(upstream_id, document, changed)
                for upstream_id, (document, changed) in documents.items()
            },
            at,
            boot_s(),
        )
        self._apply_upstreams(peer)

    # Steps.

    def _adopt(self, value: StoredValue, source: str) -> None:
        try:
            configuration = self._dialect.read_configuration(value.value)
        except ValueError as error:
            logger.error("Configuration of {} refused: {}", source, error)
            return
        before = self.configuration_version
        if configuration.version <= before:
            return
        self._configuration = value
        self._gateway.table = RouteTable(configuration)
        decision_log.record(
            "configuration",
            version=configuration.version,
            before=before,
            source=source,
            routes=len(configuration.routes),
            keys=len(configuration.workspaces_by_key),
        )
        self._on_configuration()

    def _by_upstream(self, changes: StoreChanges) -> dict[str, StoredValue]:
        prefix = self._dialect.upstreams_prefix
        return {
            value.key.removeprefix(prefix): value for value in changes.changed
        }

    def _apply_upstreams(self, source: str) -> None:
        usable: dict[str, Upstream] = {}
        documents = self.registry.documents_by_id()
        for upstream_id, (document, _) in documents.items():
            try:
                usable[upstream_id] = self._dialect.read_upstream(
                    upstream_id, document
                )
            except ValueError as error:
                logger.info("Upstream {} is not used: {}", upstream_id, error)
        before = self._gateway.dispatcher.upstreams_by_id
        if dict(before) == usable:
            return
        decision_log.record(
            "upstreams",
            source=source,
            revision=self.registry.revision,
            added=sorted(usable.keys() - before.keys()),
            removed=sorted(before.keys() - usable.keys()),
            draining=sorted(i for i, u in usable.items() if u.draining),
        )
        self._gateway.set_upstreams(usable)
