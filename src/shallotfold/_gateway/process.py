"""Run a gateway on one host: callers, peers, configuration and duties."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from http import HTTPStatus
import random
import signal

import attrs

from shallotfold._errors import InvalidInputError
from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.metrics import Metrics
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.periodic_task import PeriodicTask
from shallotfold._gateway.core.ports import Dialect
from shallotfold._gateway.core.ports import DutyCalls
from shallotfold._gateway.core.ports import WatchedStore
from shallotfold._gateway.core.settings import GatewaySettings
from shallotfold._gateway.deciding.dispatcher import Dispatcher
from shallotfold._gateway.deciding.events import PeerLoadsReceived
from shallotfold._gateway.deciding.placement import Placement
from shallotfold._gateway.deciding.retry_budget import FleetRetryBudget
from shallotfold._gateway.duties.duty_lease import DutyLease
from shallotfold._gateway.duties.upstream_ordering import UpstreamOrdering
from shallotfold._gateway.duties.usage_counts import UsageCounts
from shallotfold._gateway.duties.usage_reporting import UsageReporter
from shallotfold._gateway.following.catch_up import SNAPSHOT_PATH
from shallotfold._gateway.following.catch_up import CatchUp
from shallotfold._gateway.following.fleet_view import FleetView
from shallotfold._gateway.following.prefix_watcher import PrefixWatcher
from shallotfold._gateway.peers.peers import LocalState
from shallotfold._gateway.peers.peers import PeerLink
from shallotfold._gateway.peers.peers import Peers
from shallotfold._gateway.peers.peers import PeerState
from shallotfold._gateway.serving.pages import Page
from shallotfold._gateway.serving.pages import Pages
from shallotfold._gateway.serving.serving import Gateway
from shallotfold._settings.addresses import Address

METRICS_PATH = b"/metrics"
# The port that Prometheus' list of exporters keeps for such pages.
METRICS_PORT = 9464
HOUSEKEEPING_INTERVAL_S = 0.1
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
        self._incarnation = f"{random.getrandbits(64):016x}"
        self._figures = Metrics()
        self._counts = UsageCounts(window_s=settings.usage_window_s)
        self._peers = Peers(
            settings.host, self._incarnation, settings.ip, settings.seed_ips
        )
        dispatcher = Dispatcher(
            Placement(data_centre=settings.data_centre),
            FleetRetryBudget(
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
            self._peers.agreed_time_s,
        )
        self._link = PeerLink(
            self._peers,
            settings.peer_port,
            self._own_word,
            dispatcher.placement.prefixes.take_unannounced,
            self._on_peer_word,
        )
        # Peers that the store doesn't tell learn of a configuration at once.
        self._beliefs = FleetView(dialect, self._gateway, self._link.send_now)
        self._followers = self._make_followers(dialect, store)
        self._catching_up = CatchUp(
            self._beliefs,
            self._peers,
            self._followers,
            settings.peer_address.port,
        )
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
            self._peers.agreed_time_s,
            self._peers.counted_share_since,
        )
        self._ordering = UpstreamOrdering(
            duty_calls,
            self._lease,
            settings.host,
            self._beliefs.services,
            self._upstreams,
        )
        self._pages = Pages(
            {
                ready_path: self._ready_page,
                METRICS_PATH: self._metrics_page,
                SNAPSHOT_PATH.encode(): self._snapshot_page,
            }
        )
        self._housekeeper = PeriodicTask(
            "Housekeeping", self._keep_house, lambda: HOUSEKEEPING_INTERVAL_S
        )
        self._stopped = asyncio.Event()
        self._stopper: asyncio.Task[None] | None = None

    def _make_followers(
        self, dialect: Dialect, store: WatchedStore
    ) -> list[PrefixWatcher]:
        beliefs = self._beliefs
        return [
            PrefixWatcher(
                store,
                dialect.configuration_key,
                beliefs.apply_configuration,
                beliefs.apply_configuration,
                lambda error: None,
                self._hosts,
            ),
            PrefixWatcher(
                store,
                dialect.upstreams_prefix,
                beliefs.apply_upstream_snapshot,
                beliefs.apply_upstream_changes,
                beliefs.record_store_call,
                self._hosts,
            ),
        ]

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
        await self._pages.start(
            (
                settings.ready_address,
                settings.peer_address,
                Address(settings.ip, METRICS_PORT),
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
        await self._housekeeper.start()
        decision_log.record("start", seeds=len(settings.seed_ips))

    async def close(self) -> None:
        """Release everything."""
        await self._ordering.close()
        await self._reporter.close()
        await self._lease.close()
        await self._housekeeper.close()
        await self._catching_up.close()
        for follower in self._followers:
            await follower.close()
        await self._gateway.close()
        await self._link.close()
        await self._pages.close()
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

    async def _stop(self, grace_s: float) -> None:
        """Serve what is open, then end within the grace period."""
        # Callers with an idle connection may use it until they hear
        # otherwise, so that the sockets stay open for most of the time.
        await asyncio.sleep(grace_s)
        self._gateway.close_idle_connections()
        self._stopped.set()

    async def _keep_house(self) -> None:
        self._beliefs.drop_lapsed_upstreams()
        self._catching_up.check()
        decision_log.flush()

    # Peers and duties.

    def _upstreams(self) -> Iterable[Upstream]:
        return self._gateway.dispatcher.upstreams_by_id.values()

    def _hosts(self) -> int:
        return len(self._peers.alive()) + 1

    def _may_hold_duties(self) -> bool:
        """Whether this host serves and the store answers it."""
        return self._ready() and all(f.reachable for f in self._followers)

    def _is_duty_candidate(self) -> bool:
        """Whether this host should try to take the duties.

        The first host by name tries first; others follow only when nobody
        holds them, so that most hosts never call the store for it.
        """
        alive = self._peers.alive()
        if not self._may_hold_duties() or any(
            word.fencing_token for word in alive
        ):
            return False
        names = [word.name for word in alive if word.may_hold_duties]
        return all(self._settings.host < name for name in names)

    def _own_word(self) -> LocalState:
        window = self._counts.window_at(self._peers.agreed_time_s())
        placement = self._gateway.dispatcher.placement
        return LocalState(
            configuration_version=self._beliefs.configuration_version,
            upstreams_revision=self._beliefs.registry.newest_change_revision,
            fencing_token=self._lease.fencing_token
            if self._lease.is_held
            else 0,
            may_hold_duties=self._may_hold_duties(),
            loads_by_upstream=placement.loads.local_loads(),
            counts_by_window=self._counts.local_counts(window),
            ended_counts=self._counts.peer_counts(
                self._peers.ended_origins(), window
            ),
        )

    def _on_peer_word(self, word: PeerState) -> None:
        self._counts.merge_peer_counts(word.origin, word.counts_by_window)
        for origin, counts_by_window in word.ended_counts.items():
            if origin != self._peers.origin:
                self._counts.merge_peer_counts(origin, counts_by_window)
        self._gateway.hosts = self._hosts()
        self._gateway.deliver(
            PeerLoadsReceived(
                now_s=boot_s(),
                peer=word.name,
                loads_by_upstream=word.loads_by_upstream,
                prefixes_sent=word.prefixes_sent,
            )
        )

    # Pages.

    def _ready(self) -> bool:
        """Whether new connections should come here."""
        return (
            self._gateway.table is not None
            and bool(self._gateway.dispatcher.upstreams_by_id)
            and self._gateway.stopping_s is None
        )

    def _ready_page(self) -> Page:
        if self._ready():
            return Page(HTTPStatus.OK)
        return Page(HTTPStatus.SERVICE_UNAVAILABLE)

    def _metrics_page(self) -> Page:
        return Page(HTTPStatus.OK, self._figures.render(self._gauges()))

    def _snapshot_page(self) -> Page:
        packed = self._beliefs.encode_snapshot()
        return Page(HTTPStatus.OK, packed, b"application/msgpack")

    def _gauges(self) -> dict[str, float]:
        return {
            "open_requests": self._gateway.dispatcher.open_requests,
            "upstreams": len(self._gateway.dispatcher.upstreams_by_id),
            "peers_alive": len(self._peers.alive()),
            "configuration_version": self._beliefs.configuration_version,
            "upstream_connections_made": self._gateway.pool.connections_made,
            "holds_duties": float(self._lease.is_held),
        }
