"""Run a gateway on one host: callers, peers, configuration and duties."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from http import HTTPStatus
import random
import signal

import attrs
from loguru import logger
import msgpack

from shallotfold._errors import InvalidInputError
from shallotfold._gateway import decision_log
from shallotfold._gateway.caller_connection import CallerConnection
from shallotfold._gateway.clocks import boot_s
from shallotfold._gateway.dispatcher import Dispatcher
from shallotfold._gateway.duty_lease import DutyLease
from shallotfold._gateway.events import PeerLoadsReceived
from shallotfold._gateway.figures import Figures
from shallotfold._gateway.http_calls import CallFailedError
from shallotfold._gateway.http_calls import HttpCaller
from shallotfold._gateway.messages import IncomingRequest
from shallotfold._gateway.messages import plain_answer
from shallotfold._gateway.model import RequestLimits
from shallotfold._gateway.model import Service
from shallotfold._gateway.model import Upstream
from shallotfold._gateway.peers import OwnWord
from shallotfold._gateway.peers import PeerLink
from shallotfold._gateway.peers import Peers
from shallotfold._gateway.peers import PeerWord
from shallotfold._gateway.placement import Placement
from shallotfold._gateway.ports import Dialect
from shallotfold._gateway.ports import DutyCalls
from shallotfold._gateway.ports import WatchedStore
from shallotfold._gateway.retry_budget import RetryBudget
from shallotfold._gateway.route_table import RouteTable
from shallotfold._gateway.serving import Gateway
from shallotfold._gateway.settings import GatewaySettings
from shallotfold._gateway.store_following import PrefixFollower
from shallotfold._gateway.upstream_ordering import UpstreamOrdering
from shallotfold._gateway.upstream_registry import UpstreamRegistry
from shallotfold._gateway.usage_counts import UsageCounts
from shallotfold._gateway.usage_reporting import UsageReporter
from shallotfold._services.ports import StoreChanges
from shallotfold._services.ports import StoredValue
from shallotfold._settings.addresses import Address

SNAPSHOT_PATH = b"/peer/snapshot"
METRICS_PATH = b"/metrics"
# The port that Prometheus' list of exporters keeps for such pages.
METRICS_PORT = 9464
HOUSEKEEPING_INTERVAL_S = 0.1
# What a peer knows and this host doesn't is asked of the store again after
# this time, and of the peer if the store still hasn't said it, or can't.
ASK_STORE_AFTER_S = 0.4
PEER_FETCH_AFTER_S = 1.0
PEER_FETCH_TIMEOUT_S = 1.0
# Requests still open this long before the grace period ends are broken off.
STOP_MARGIN_S = 0.5


class GatewayProcess:
    """Everything that one host runs; a `Process` of the runtime."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        ready_path: bytes,
        store: WatchedStore,
        duty_calls: DutyCalls,
        load_settings: Callable[[], GatewaySettings],
    ) -> None:
        """Make a process.

        Args:
            settings: What it starts with.
            dialect: How the platform spells things.
            ready_path: Path on which readiness is asked for.
            store: The platform's store.
            duty_calls: The platform's interface for duties.
            load_settings: Reads the settings again; raises
                `InvalidInputError`.
        """
        self._settings = settings
        self._load_settings = load_settings
        self._dialect = dialect
        self._ready_path = ready_path
        self._store = store
        self._incarnation = f"{random.getrandbits(64):016x}"
        self._origin = f"{settings.host}/{self._incarnation}"
        self._figures = Figures()
        self._counts = UsageCounts(window_s=settings.usage_window_s)
        self._peers = Peers(
            settings.host, self._incarnation, settings.ip, settings.seed_ips
        )
        dispatcher = Dispatcher(
            Placement(data_centre=settings.data_centre),
            RetryBudget(
                ratio=settings.retry_ratio,
                extra=settings.retry_extra,
                window_s=settings.retry_window_s,
            ),
        )
        self._gateway = Gateway(
            dialect.headers,
            dispatcher,
            self._counts,
            self._figures,
            self._peers.true_s,
        )
        self._registry = UpstreamRegistry()
        self._configuration = StoredValue("", b"", 0)
        self._lease = DutyLease(
            store, settings.host, settings.lease_s, self._is_duty_candidate
        )
        self._reporter = UsageReporter(
            store,
            duty_calls,
            self._lease,
            self._counts,
            settings.host,
            settings.usage_lateness_s,
            self._peers.true_s,
        )
        self._ordering = UpstreamOrdering(
            duty_calls,
            self._lease,
            settings.host,
            self._services,
            self._upstreams,
        )
        self._followers = [
            PrefixFollower(
                store,
                dialect.configuration_key,
                self._on_configuration,
                self._on_configuration,
                lambda error: None,
                self._hosts,
            ),
            PrefixFollower(
                store,
                dialect.upstreams_prefix,
                self._on_upstream_snapshot,
                self._on_upstream_changes,
                self._on_store_contact,
                self._hosts,
            ),
        ]
        self._link = PeerLink(
            self._peers,
            settings.peer_port,
            self._own_word,
            dispatcher.placement.prefixes.take_fresh,
            self._on_peer_word,
        )
        self._servers: list[asyncio.Server] = []
        self._connections: set[CallerConnection] = set()
        self._housekeeper: asyncio.Task[None] | None = None
        self._fetching: asyncio.Task[None] | None = None
        self._behind_since_s: float | None = None
        self._asked_store = False
        self._stopped = asyncio.Event()
        self._stopper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to serve."""
        settings = self._settings
        decision_log.configure(
            host=settings.host,
            data_centre=settings.data_centre,
            incarnation=self._incarnation,
        )
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        metrics_address = Address(settings.ip, METRICS_PORT)
        for address in (
            settings.ready_address,
            settings.peer_address,
            metrics_address,
        ):
            self._servers.append(
                await loop.create_server(
                    lambda: CallerConnection(self, self._connections),
                    address.ip,
                    address.port,
                )
            )
        for follower in self._followers:
            await follower.start()
        await self._link.start(settings.ip)
        address = settings.caller_address
        await self._gateway.start(address.ip, address.port)
        await self._lease.start()
        await self._reporter.start()
        await self._ordering.start()
        self._housekeeper = loop.create_task(self._keep_house())
        decision_log.record("start", seeds=len(settings.seed_ips))

    async def close(self) -> None:
        """Release everything."""
        await self._ordering.close()
        await self._reporter.close()
        await self._lease.close()
        if self._housekeeper is not None:
            self._housekeeper.cancel()
            await asyncio.gather(self._housekeeper, return_exceptions=True)
        for follower in self._followers:
            await follower.close()
        await self._gateway.close()
        await self._link.close()
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.close()
        decision_log.record("stop")
        decision_log.flush()

    def request_shutdown(self) -> None:
        """Begin an orderly stop."""
        decision_log.record("stopping", grace_s=self._settings.grace_period_s)
        grace_s = self._settings.grace_period_s - STOP_MARGIN_S
        self._gateway.begin_stop(grace_s)
        self._stopper = asyncio.get_running_loop().create_task(
            self._stop(grace_s)
        )

    def reload(self) -> None:
        """Read the settings again; own addresses hold until a restart."""
        try:
            settings = self._load_settings()
        except InvalidInputError as error:
            decision_log.record("reload_refused", error=str(error))
            return
        before = attrs.asdict(self._settings, recurse=False)
        after = attrs.asdict(settings, recurse=False)
        changed = sorted(key for key in after if after[key] != before[key])
        self._settings = settings
        self._peers.seed_ips = settings.seed_ips
        budget = self._gateway.dispatcher.budget
        budget.ratio = settings.retry_ratio
        budget.extra = settings.retry_extra
        budget.window_s = settings.retry_window_s
        decision_log.record("reload", changed=changed)

    async def wait_stopped(self) -> int:
        """Wait until the process may end."""
        await self._stopped.wait()
        return 0

    @property
    def ready(self) -> bool:
        """Whether new connections should come here."""
        return (
            self._gateway.table is not None
            and bool(self._gateway.dispatcher.upstreams_by_id)
            and self._gateway.stopping_s is None
        )

    # The connections of the readiness and peer addresses call these.

    def accept(
        self, request: IncomingRequest, connection: CallerConnection
    ) -> None:
        """Answer a question of the platform, a peer or a metrics reader."""
        if request.target == self._ready_path:
            status = HTTPStatus.OK if self.ready else 503
            answer = plain_answer(status)
        elif request.target == METRICS_PATH:
            answer = plain_answer(
                HTTPStatus.OK, body=self._figures.render(self._gauges())
            )
        elif request.target == SNAPSHOT_PATH:
            answer = plain_answer(
                HTTPStatus.OK,
                body=self._snapshot_bytes(),
                content_type=b"application/msgpack",
            )
        else:
            answer = plain_answer(HTTPStatus.NOT_FOUND)
        connection.write(answer)
        connection.finish(close=not request.keep_alive)

    def limits(self) -> RequestLimits:
        """Return the bounds of these connections."""
        return RequestLimits()

    def closing(self) -> bool:
        """Whether answers should ask callers to leave the connection."""
        return False

    # Beliefs.

    def _is_duty_candidate(self) -> bool:
        """Whether this host should try to take the duties.

        The first host by name tries first; others follow only when nobody
        holds them, so that most hosts never call the store for it.
        """
        if not self.ready:
            return False
        alive = self._peers.alive()
        if any(word.duty for word in alive):
            return False
        names = [word.name for word in alive if not word.stopping]
        return all(self._settings.host < name for name in names)

    def _services(self) -> list[Service]:
        table = self._gateway.table
        if table is None:
            return []
        return list(table.configuration.services_by_name.values())

    def _upstreams(self) -> Iterable[Upstream]:
        return self._gateway.dispatcher.upstreams_by_id.values()

    def _on_configuration(self, changes: StoreChanges) -> None:
        for value in changes.changed:
            if value.key == self._dialect.configuration_key:
                self._take_configuration(value, "store")

    def _take_configuration(self, value: StoredValue, source: str) -> None:
        try:
            configuration = self._dialect.read_configuration(value.value)
        except ValueError as error:
            logger.error("Configuration of {} refused: {}", source, error)
            return
        table = self._gateway.table
        current = table.configuration.version if table else 0
        if configuration.version <= current:
            return
        self._configuration = value
        self._gateway.table = RouteTable(configuration)
        decision_log.record(
            "configuration",
            version=configuration.version,
            before=current,
            source=source,
            routes=len(configuration.routes),
            keys=len(configuration.workspaces_by_key),
        )
        # Peers that the store doesn't tell learn it at once.
        self._link.send_now()

    def _on_store_contact(self, error: Exception | None) -> None:
        if error is None:
            self._registry.note_answer(boot_s())
        else:
            self._registry.note_failure(boot_s())

    def _on_upstream_snapshot(self, changes: StoreChanges) -> None:
        self._on_store_contact(None)
        self._registry.take_snapshot(
            self._by_upstream(changes), changes.revision, boot_s()
        )
        self._apply_upstreams("store")

    def _on_upstream_changes(self, changes: StoreChanges) -> None:
        prefix = len(self._dialect.upstreams_prefix)
        self._registry.take_changes(
            self._by_upstream(changes),
            [key[prefix:] for key in changes.deleted],
            changes.revision,
            boot_s(),
            changes.newest_change,
        )
        if changes.changed or changes.deleted:
            self._apply_upstreams("store")

    def _by_upstream(self, changes: StoreChanges) -> dict[str, StoredValue]:
        prefix = self._dialect.upstreams_prefix
        return {
            value.key.removeprefix(prefix): value for value in changes.changed
        }

    def _apply_upstreams(self, source: str) -> None:
        usable: dict[str, Upstream] = {}
        for upstream_id, (
            document,
            _,
        ) in self._registry.documents_by_id().items():
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
            revision=self._registry.revision,
            added=sorted(usable.keys() - before.keys()),
            removed=sorted(before.keys() - usable.keys()),
            draining=sorted(i for i, u in usable.items() if u.draining),
        )
        self._gateway.set_upstreams(usable)

    # Peers.

    def _own_word(self) -> OwnWord:
        table = self._gateway.table
        window = self._counts.window_at(self._peers.true_s())
        placement = self._gateway.dispatcher.placement
        return OwnWord(
            configuration=table.configuration.version if table else 0,
            upstreams_at=self._registry.changed_at,
            duty=self._lease.fencing if self._lease.holds else 0,
            stopping=self._gateway.stopping_s is not None,
            loads_by_upstream=placement.loads.own(),
            counts_by_window=self._counts.own(window),
            ended_counts=self._counts.of_origins(
                self._peers.ended_origins(), window
            ),
        )

    def _on_peer_word(self, word: PeerWord) -> None:
        self._counts.hear(word.origin, word.counts_by_window)
        for origin, counts_by_window in word.ended_counts.items():
            if origin != self._origin:
                self._counts.hear(origin, counts_by_window)
        self._gateway.hosts = self._hosts()
        self._gateway.deliver(
            PeerLoadsReceived(
                now_s=boot_s(),
                peer=word.name,
                loads_by_upstream=word.loads_by_upstream,
                prefixes_sent=word.prefixes_sent,
            )
        )

    def _hosts(self) -> int:
        return len(self._peers.alive()) + 1

    def _best_informed_peer(self) -> PeerWord | None:
        """Return a peer that knows what this host lacks."""
        table = self._gateway.table
        version = table.configuration.version if table else 0
        knowing = [w for w in self._peers.alive() if w.configuration > version]
        if not knowing:
            knowing = [
                word
                for word in self._peers.alive()
                if word.upstreams_at > self._registry.revision
            ]
        if not knowing:
            return None
        return max(knowing, key=lambda w: (w.configuration, w.upstreams_at))

    def _fetch_if_behind(self) -> None:
        peer = self._best_informed_peer()
        now_s = boot_s()
        if peer is None:
            self._behind_since_s = None
            self._asked_store = False
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        behind_s = now_s - self._behind_since_s
        if behind_s < ASK_STORE_AFTER_S:
            return
        if not self._asked_store:
            # An answer of the store may have been lost.
            self._asked_store = True
            for follower in self._followers:
                follower.hurry()
        if behind_s < PEER_FETCH_AFTER_S and self._followers[0].reachable:
            return
        if self._fetching is None or self._fetching.done():
            self._behind_since_s = now_s
            self._fetching = asyncio.create_task(self._fetch(peer))

    async def _fetch(self, peer: PeerWord) -> None:
        caller = HttpCaller(peer.ip, self._settings.peer_address.port)
        try:
            answer = await caller.call(
                "GET", SNAPSHOT_PATH.decode(), timeout_s=PEER_FETCH_TIMEOUT_S
            )
            self._take_peer_snapshot(peer.name, answer.body)
        except (CallFailedError, ValueError, TypeError, LookupError) as error:
            logger.info("No snapshot of peer {}: {}", peer.name, error)
        finally:
            await caller.close()

    def _snapshot_bytes(self) -> bytes:
        configuration = self._configuration
        packed: bytes = msgpack.packb(
            (
                configuration.key,
                configuration.value,
                configuration.revision,
                self._registry.revision,
                self._registry.documents_by_id(),
            )
        )
        return packed

    def _take_peer_snapshot(self, peer: str, data: bytes) -> None:
        key, value, revision, at, documents = msgpack.unpackb(data)
        if value:
            self._take_configuration(StoredValue(key, value, revision), peer)
        if at <= self._registry.revision:
            return
        self._registry.take_snapshot(
            {
                upstream_id: StoredValue(upstream_id, document, changed)
                for upstream_id, (document, changed) in documents.items()
            },
            at,
            boot_s(),
        )
        self._apply_upstreams(peer)

    # Housekeeping.

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            if self._registry.expire(boot_s()):
                self._apply_upstreams("lapse")
            self._fetch_if_behind()
            decision_log.flush()

    def _gauges(self) -> dict[str, float]:
        table = self._gateway.table
        return {
            "open_requests": self._gateway.dispatcher.open_requests,
            "upstreams": len(self._gateway.dispatcher.upstreams_by_id),
            "peers_alive": len(self._peers.alive()),
            "configuration_version": (
                table.configuration.version if table else 0
            ),
            "upstream_connections_made": self._gateway.pool.connections_made,
            "holds_duties": float(self._lease.holds),
        }

    async def _stop(self, grace_s: float) -> None:
        """Serve what is open, then end within the grace period."""
        # Callers with an idle connection may use it until they hear
        # otherwise, so that the sockets stay open for most of the time.
        await asyncio.sleep(grace_s)
        self._gateway.close_idle_connections()
        self._stopped.set()
