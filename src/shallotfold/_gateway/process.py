"""Assemble a host's gateway: callers, peers, configuration and duties."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
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
from shallotfold._gateway.deciding.crash_knowledge import CrashKnowledge
from shallotfold._gateway.deciding.dispatcher import Dispatcher
from shallotfold._gateway.deciding.events import PeerCrashesReceived
from shallotfold._gateway.deciding.events import PeerLimitsReceived
from shallotfold._gateway.deciding.events import PeerLoadsReceived
from shallotfold._gateway.deciding.events import StoredHoldsRead
from shallotfold._gateway.deciding.limit_shares import SETTLING_S
from shallotfold._gateway.deciding.named_limits import LimitStatement
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
from shallotfold._gateway.following.store_followers import StoreFollowers
from shallotfold._gateway.following.stored_holds import StoredHolds
from shallotfold._gateway.http.socket_reserve import SocketReserve
from shallotfold._gateway.peers.change_messages import UpstreamChanges
from shallotfold._gateway.peers.peer_traffic import PeerTraffic
from shallotfold._gateway.peers.peers import LocalState
from shallotfold._gateway.peers.peers import PeerLink
from shallotfold._gateway.peers.peers import Peers
from shallotfold._gateway.peers.peers import PeerState
from shallotfold._gateway.peers.peers import StoreAccess
from shallotfold._gateway.serving.gateway import Gateway
from shallotfold._gateway.serving.pages import Page
from shallotfold._gateway.serving.pages import PageServer
from shallotfold._runtime import reload_signal
from shallotfold._settings.addresses import Address

METRICS_PATH = b"/metrics"
# Allocated for metrics pages in Prometheus' list of default ports.
METRICS_PORT = 9464
HOUSEKEEPING_INTERVAL_S = 0.1
# A host that has just started hasn't heard all of its peers, and takes its part
# of what is allowed to all hosts together as if they were so many.
ASSUMED_HOSTS_AT_START = 100
# Requests still open this long before the grace period ends are aborted.
SHUTDOWN_MARGIN_S = 0.5


class GatewayProcess:
    """All components of one host; a `Process` of the runtime."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        ready_path: bytes,
        store: WatchedStore,
        duty_calls: DutyCalls,
        load_settings: Callable[[], GatewaySettings],
        socket_reserve: SocketReserve | None = None,
    ) -> None:
        """Create the components; `start` runs them.

        Args:
            settings: Initial settings.
            dialect: Names and document formats of the platform.
            ready_path: Path of the readiness probe.
            store: The platform's key-value store.
            duty_calls: The platform's API for duties.
            load_settings: Reloads the settings; raises `InvalidInputError`.
            socket_reserve: Sockets that the store and the calls of duties use
                when no descriptor is free; started and closed by the process.
        """
        self._socket_reserve = socket_reserve or SocketReserve()
        self._settings = settings
        self._load_settings = load_settings
        self._incarnation = f"{random.getrandbits(64):016x}"
        self._metrics = Metrics()
        self._usage_counts = UsageCounts(window_s=settings.usage_window_s)
        self._peers = Peers(
            settings.host, self._incarnation, settings.ip, settings.seed_ips
        )
        dispatcher = Dispatcher(
            Placement(
                data_centre=settings.data_centre,
                controls_load=settings.controls_load,
            ),
            FleetRetryBudget(
                ratio=settings.retry_ratio,
                extra=settings.retry_extra,
                window_s=settings.retry_window_s,
                host_count=ASSUMED_HOSTS_AT_START,
            ),
        )
        self._gateway = Gateway(
            dialect.headers,
            dispatcher,
            self._usage_counts,
            self._metrics,
            self._peers.agreed_time_s,
        )
        self._gateway.host_count = ASSUMED_HOSTS_AT_START
        self._gateway.set_memory_limit(settings.memory_limit_mib)
        self._created_s = boot_s()
        dispatcher.region_by_data_centre = settings.region_by_data_centre
        dispatcher.crashing_requests.trial_draw = random.random()
        dispatcher.placement.limits.shares.host = settings.host
        self._peer_link = PeerLink(
            self._peers,
            settings.peer_port,
            self._make_local_state,
            dispatcher.placement.prefixes.take_unannounced,
            self._on_peer_state,
            self._on_peer_changes,
            self._on_peer_crashes,
            self._on_peer_limits,
            PeerTraffic(self._metrics),
        )
        self._peer_link.pop_samples = (
            dispatcher.placement.speeds.take_unannounced
        )
        self._gateway.announce_crashes = self._peer_link.announce_crashes
        self._gateway.announce_limits = self._peer_link.announce_limits
        self._followers = StoreFollowers(settings.host)
        # A new configuration is announced at once, for peers that get no
        # updates from the store.
        self._fleet_view = FleetView(
            dialect,
            self._gateway,
            self._peer_link.send_now,
            self._peer_link.send_changes,
            self._on_store_restored,
            settings.registration_interval_s,
        )
        self._store = store
        self._gateway.on_upstream_leaving = self._fleet_view.record_leaving
        self._watchers = self._make_watchers(dialect, store)
        self._catch_up = CatchUp(
            self._fleet_view,
            self._peers,
            self._watchers,
            settings.peer_address.port,
            self._is_follower,
            self._socket_reserve,
        )
        self._stored_holds = StoredHolds(
            store,
            dispatcher.crashing_requests,
            self._on_stored_holds,
            self._is_follower,
            self._is_isolated,
            self._has_silent_peers,
            origin=self._peers.origin,
            is_first_start=settings.is_first_start,
        )
        self._duty_lease = DutyLease(
            store,
            settings.host,
            settings.lease_s,
            self._is_duty_candidate,
            is_first_start=settings.is_first_start,
        )
        self._usage_reporter = UsageReporter(
            store,
            duty_calls,
            self._duty_lease,
            self._usage_counts,
            settings.usage_lateness_s,
            self._peers.agreed_time_s,
            self._peers.counted_share_since,
        )
        self._upstream_ordering = UpstreamOrdering(
            duty_calls,
            self._duty_lease,
            self._fleet_view.services,
            self._upstreams,
            lambda: self._fleet_view.evacuations.data_centres,
        )
        self._page_server = PageServer(
            {
                ready_path: self._ready_page,
                METRICS_PATH: self._metrics_page,
                SNAPSHOT_PATH.encode(): self._snapshot_page,
            }
        )
        self._housekeeper = PeriodicTask(
            "Housekeeping",
            self._run_housekeeping,
            lambda: HOUSEKEEPING_INTERVAL_S,
        )
        self._shutdown_done = asyncio.Event()
        self._shutdown_task: asyncio.Task[None] | None = None

    def _make_watchers(
        self, dialect: Dialect, store: WatchedStore
    ) -> list[PrefixWatcher]:
        fleet_view = self._fleet_view
        return [
            self._make_operator_watcher(dialect, store),
            PrefixWatcher(
                store,
                dialect.upstreams_prefix,
                fleet_view.apply_upstream_snapshot,
                fleet_view.apply_upstream_changes,
                fleet_view.record_store_call,
                lambda: self._followers.turn,
                self._is_follower,
                fleet_view.record_unwatched,
            ),
        ]

    def _make_operator_watcher(
        self, dialect: Dialect, store: WatchedStore
    ) -> PrefixWatcher:
        fleet_view = self._fleet_view
        if self._settings.follows_evacuations:
            prefix = dialect.operator_prefix
            on_snapshot = fleet_view.apply_operator_snapshot
            on_changes = fleet_view.apply_operator_changes
        else:
            prefix = dialect.configuration_key
            on_snapshot = on_changes = fleet_view.apply_configuration
        return PrefixWatcher(
            store,
            prefix,
            on_snapshot,
            on_changes,
            lambda error: None,
            lambda: self._followers.turn,
            self._is_follower,
        )

    async def start(self) -> None:
        """Start serving."""
        settings = self._settings
        decision_log.configure(
            host=settings.host,
            data_centre=settings.data_centre,
            incarnation=self._incarnation,
        )
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        reload_signal.release()
        await self._page_server.start(
            (
                settings.ready_address,
                settings.peer_address,
                Address(settings.ip, METRICS_PORT),
            )
        )
        self._socket_reserve.start()
        for watcher in self._watchers:
            await watcher.start()
        await self._stored_holds.start()
        await self._peer_link.start(settings.ip)
        address = settings.caller_address
        await self._gateway.start(address.ip, address.port)
        await self._duty_lease.start()
        await self._usage_reporter.start()
        await self._upstream_ordering.start()
        await self._housekeeper.start()
        decision_log.record("start", seeds=len(settings.seed_ips))

    async def close(self) -> None:
        """Stop and close all components."""
        reload_signal.ignore(asyncio.get_running_loop())
        await self._upstream_ordering.close()
        await self._usage_reporter.close()
        await self._duty_lease.close()
        await self._housekeeper.close()
        await self._catch_up.close()
        for watcher in self._watchers:
            await watcher.close()
        await self._stored_holds.close()
        await self._gateway.close()
        await self._peer_link.close()
        await self._page_server.close()
        self._socket_reserve.close()
        decision_log.record("stop")
        decision_log.flush()

    def request_shutdown(self) -> None:
        """Begin a graceful shutdown."""
        decision_log.record("stopping", grace_s=self._settings.grace_period_s)
        grace_s = self._settings.grace_period_s - SHUTDOWN_MARGIN_S
        self._gateway.begin_shutdown(grace_s)
        self._shutdown_task = asyncio.get_running_loop().create_task(
            self._finish_shutdown()
        )

    def reload(self) -> None:
        """Reload the settings; changed local addresses need a restart."""
        try:
            settings = self._load_settings()
        except InvalidInputError as error:
            decision_log.record("reload_refused", error=str(error))
            return
        old = attrs.asdict(self._settings, recurse=False)
        new = attrs.asdict(settings, recurse=False)
        changed = sorted(key for key in new if new[key] != old[key])
        self._settings = settings
        self._peers.seed_ips = settings.seed_ips
        budget = self._gateway.dispatcher.budget
        budget.ratio = settings.retry_ratio
        budget.extra = settings.retry_extra
        budget.window_s = settings.retry_window_s
        self._gateway.set_memory_limit(settings.memory_limit_mib)
        decision_log.record("reload", changed=changed)

    async def wait_stopped(self) -> int:
        """Wait until the process may end."""
        await self._shutdown_done.wait()
        return 0

    async def _finish_shutdown(self) -> None:
        """Keep serving for the grace period, then let the process end."""
        await self._gateway.drain()
        self._shutdown_done.set()

    def _on_store_restored(self) -> None:
        for watcher in self._watchers:
            watcher.restart_watch()
        self._duty_lease.record_store_restored()
        self._usage_reporter.record_store_restored()
        self._stored_holds.record_store_restored()

    def _notice_restore(self) -> None:
        """Read the store again if a call has shown that it was restored."""
        era = self._fleet_view.era
        if era is not None and self._store.era > era:
            for watcher in self._watchers:
                watcher.restart_watch()

    async def _run_housekeeping(self) -> None:
        self._gateway.host_count = self._sharing_host_count()
        self._notice_restore()
        self._peers.acts_for_fleet = self._followers.update(self._peers.alive())
        for watcher in self._watchers:
            watcher.check_enabled()
        self._fleet_view.drop_lapsed_upstreams(
            is_follower=self._is_follower(),
            next_check_s=HOUSEKEEPING_INTERVAL_S,
        )
        self._catch_up.check()
        self._socket_reserve.refill()
        decision_log.flush()

    # Peers and duties.

    def _upstreams(self) -> Iterable[Upstream]:
        return self._gateway.dispatcher.upstreams_by_id.values()

    def _sharing_host_count(self) -> int:
        """Return between how many hosts a common allowance is divided.

        A silent peer may be cut off from this host only, and use its part.
        """
        known = len(self._peers.state_by_name) + 1
        if boot_s() - self._created_s < SETTLING_S:
            return max(known, ASSUMED_HOSTS_AT_START)
        return known

    def _is_follower(self) -> bool:
        return self._followers.is_follower

    def _is_isolated(self) -> bool:
        """Whether all peers that this host knew lately are silent."""
        return bool(self._peers.state_by_name) and not self._peers.alive()

    def _has_silent_peers(self) -> bool:
        """Whether some peers that this host knew lately are silent."""
        return len(self._peers.alive()) < len(self._peers.state_by_name)

    def _store_access(self) -> StoreAccess:
        if any(watcher.failing for watcher in self._watchers):
            return StoreAccess.FAILING
        if all(watcher.reachable for watcher in self._watchers):
            return StoreAccess.WORKING
        return StoreAccess.UNKNOWN

    def _may_hold_duties(self) -> bool:
        """Whether this host is ready, reaches the store and had no term lately.

        Hosts with higher names wait for this one as long as it may.
        """
        return (
            self._is_ready()
            and not self._duty_lease.is_cooling_down
            and self._store_access() is StoreAccess.WORKING
        )

    def _is_duty_candidate(self) -> bool:
        """Whether this host should try to acquire the duty lease.

        Only the first eligible host by name tries, and only if no peer holds
        the duties, so that most hosts never call the store for it.
        """
        alive = self._peers.alive()
        if not self._may_hold_duties() or any(
            state.fencing_token for state in alive
        ):
            return False
        eligible_names = [
            state.name for state in alive if state.may_hold_duties
        ]
        return all(self._settings.host < name for name in eligible_names)

    def _make_local_state(self) -> LocalState:
        window = self._usage_counts.window_at(self._peers.agreed_time_s())
        placement = self._gateway.dispatcher.placement
        return LocalState(
            configuration_version=self._fleet_view.configuration_version,
            upstreams_revision=self._fleet_view.registry.newest_change_revision,
            fencing_token=(
                self._duty_lease.fencing_token
                if self._duty_lease.is_held
                else 0
            ),
            may_hold_duties=self._may_hold_duties(),
            loads_by_upstream=placement.loads.local_loads(),
            leaving_started_ms_by_id=self._fleet_view.leaving.announcements(
                boot_s()
            ),
            counts_by_window=self._usage_counts.local_counts(window),
            ended_counts=self._usage_counts.peer_counts(
                self._peers.ended_origins(), window
            ),
            store_access=self._store_access(),
            crash_knowledge=self._gateway.dispatcher.crashing_requests.knowledge(
                boot_s()
            ),
            limit_statements=placement.limits.own_statements(),
            demand_by_service=placement.limits.shares.announced_demand(),
            evacuated=sorted(self._fleet_view.evacuations.data_centres),
            evacuations_revision=self._fleet_view.evacuations.revision,
            prompts_by_service=(
                self._gateway.dispatcher.partition_shares.local_loads()
            ),
        )

    def _on_peer_state(self, state: PeerState) -> None:
        self._usage_counts.merge_peer_counts(
            state.origin, state.counts_by_window
        )
        for origin, counts_by_window in state.ended_counts.items():
            if origin != self._peers.origin:
                self._usage_counts.merge_peer_counts(origin, counts_by_window)
        self._fleet_view.record_leaving_at_peer(
            state.name, state.leaving_started_ms_by_id
        )
        self._fleet_view.record_evacuations_at_peer(
            state.name, state.evacuated, state.evacuations_revision
        )
        self._duty_lease.record_peer_token(state.fencing_token)
        self._gateway.deliver(
            PeerLoadsReceived(
                now_s=boot_s(),
                peer=state.name,
                loads_by_upstream=state.loads_by_upstream,
                prefixes_sent=state.prefixes_sent,
                demand_by_service=state.demand_by_service,
                prompts_by_service=state.prompts_by_service,
                speed_samples=state.speed_samples,
            )
        )
        if state.limit_statements:
            self._on_peer_limits(state.name, state.limit_statements)
        if state.crash_knowledge:
            self._on_peer_crashes(state.name, state.crash_knowledge)

    def _on_peer_crashes(self, peer: str, knowledge: CrashKnowledge) -> None:
        if peer != self._peers.name:
            self._gateway.deliver(
                PeerCrashesReceived(
                    now_s=boot_s(), peer=peer, knowledge=knowledge
                )
            )

    def _on_peer_limits(
        self, peer: str, statements: Sequence[LimitStatement]
    ) -> None:
        if peer != self._peers.name:
            self._gateway.deliver(
                PeerLimitsReceived(
                    now_s=boot_s(), peer=peer, statements=statements
                )
            )

    def _on_stored_holds(self, holds: Sequence[tuple[str, ...]]) -> None:
        self._gateway.deliver(StoredHoldsRead(now_s=boot_s(), holds=holds))

    def _on_peer_changes(self, changes: UpstreamChanges) -> None:
        if self._store_access() is StoreAccess.WORKING:
            self._fleet_view.confirm_peer_removals(changes)
        else:
            self._fleet_view.apply_peer_changes(changes)

    # Pages.

    def _is_ready(self) -> bool:
        """Whether the host should get new connections."""
        return (
            self._gateway.route_table is not None
            and bool(self._gateway.dispatcher.upstreams_by_id)
            and self._gateway.shutdown_started_s is None
        )

    def _ready_page(self) -> Page:
        if self._is_ready():
            return Page(HTTPStatus.OK)
        return Page(HTTPStatus.SERVICE_UNAVAILABLE)

    def _metrics_page(self) -> Page:
        return Page(HTTPStatus.OK, self._metrics.render(self._gauges()))

    def _snapshot_page(self) -> Page:
        snapshot = self._fleet_view.encode_snapshot()
        return Page(HTTPStatus.OK, snapshot, b"application/msgpack")

    def _gauges(self) -> dict[str, float]:
        memory = self._gateway.caller_memory
        return {
            "open_requests": self._gateway.dispatcher.open_requests,
            "held_request_bytes": self._gateway.body_budget.held_bytes,
            "caller_connections": len(memory.connections),
            "held_head_bytes": memory.head_bytes,
            "max_held_head_bytes": memory.max_head_bytes,
            "unread_response_bytes": memory.unread_bytes,
            "max_unread_response_bytes": memory.max_unread_bytes,
            "unfinished_response_bytes": (
                self._gateway.response_memory.held_bytes
            ),
            "max_unfinished_response_bytes": (
                self._gateway.response_memory.max_bytes
            ),
            "upstreams": len(self._gateway.dispatcher.upstreams_by_id),
            "peers_alive": len(self._peers.alive()),
            "configuration_version": self._fleet_view.configuration_version,
            "configuration_read_age_seconds": self._watchers[0].read_age_s,
            "upstream_connections_made": self._gateway.pool.connections_made,
            "store_era": self._store.era,
            "evacuated_data_centres": len(
                self._fleet_view.evacuations.data_centres
            ),
            "holds_duties": float(self._duty_lease.is_held),
            "limited_upstreams": len(self._gateway.dispatcher.placement.limits),
            "cold_upstreams": len(
                self._gateway.dispatcher.placement.limits.cold
            ),
            "slow_upstreams": (
                self._gateway.dispatcher.placement.speeds.slow_count
            ),
            "held_prompts": len(
                self._gateway.dispatcher.crashing_requests.holds
            ),
        }
