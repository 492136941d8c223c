"""Accept callers' requests and run the dispatcher's effects."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
import itertools
import math
import random
import resource
from typing import Any

import attrs

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.clocks import running_s
from shallotfold._gateway.core.loop_delay import LoopDelayMonitor
from shallotfold._gateway.core.metrics import Metrics
from shallotfold._gateway.core.model import RequestLimits
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.periodic_task import PeriodicTask
from shallotfold._gateway.core.wire_names import HeaderNames
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from shallotfold._gateway.deciding.dispatcher import Dispatcher
from shallotfold._gateway.duties.usage_counts import UsageCounts
from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.http.messages import encode_local_response
from shallotfold._gateway.http.messages import find_header
from shallotfold._gateway.http.upstream_pool import UpstreamPool
from shallotfold._gateway.http.upstream_pool import idle_limit
from shallotfold._gateway.serving.body_budget import BodyBudget
from shallotfold._gateway.serving.caller_connection import CallerConnection
from shallotfold._gateway.serving.caller_connection import Exchange
from shallotfold._gateway.serving.caller_memory import CallerMemory
from shallotfold._gateway.serving.descriptor_shares import divide_descriptors
from shallotfold._gateway.serving.relay import MAX_LOGGED_ID_BYTES
from shallotfold._gateway.serving.relay import Admission
from shallotfold._gateway.serving.relay import Relay
from shallotfold._gateway.serving.request_parsing import parse_deadline_s
from shallotfold._gateway.serving.request_parsing import parse_prompt
from shallotfold._gateway.serving.request_parsing import request_fingerprint
from shallotfold._gateway.serving.response_memory import ResponseMemory
from shallotfold._gateway.serving.route_table import RouteTable
from shallotfold._gateway.serving.route_table import allowed_regions
from shallotfold._gateway.serving.route_table import choose_service
from shallotfold._model.events import Event

# Deadline of requests that declare none.
DEFAULT_DEADLINE_S = 30.0
TICK_INTERVAL_S = 0.05
# Callers may reuse an idle connection for four fifths of the idle timeout; the
# first sweep after the whole timeout closes it.
# In a shutdown, no requests are taken in this last part of the grace period, so
# that those taken before can be answered.
LAST_REQUESTS_BEFORE_END_S = 2.0
CONNECTION_SWEEP_INTERVAL_S = 0.25
# After a shutdown begins, all requests are accepted for this long; after that,
# only those whose timeout ends before the process does.
SHUTDOWN_ACCEPT_ALL_S = 2.5
# A host without a configuration usually gets one within this time.
NOT_READY_RETRY_AFTER_S = 0.5


@attrs.frozen
class _Rejection:
    """Response to a request that is not dispatched."""

    status: int
    reason: str


def _announce_nothing() -> None:
    """Without peers there is nobody to tell."""


def _ignore_leaving(upstream: Upstream) -> bool:
    del upstream
    return False


class Gateway:
    """Serves callers with the current configuration and upstreams.

    Attributes:
        dispatcher: Decides on requests; gets its events only from `deliver`.
        pool: Pool of connections to upstreams.
        body_budget: Memory of the bodies of callers' requests.
        caller_memory: Memory of heads and of unread responses.
        response_memory: Memory of unfinished responses of upstreams.
        route_table: Current routes; `None` before the first configuration.
        shutdown_started_s: When a shutdown began, on the boot clock; `None`
            before.
        shutdown_ends_s: When the process ends after a shutdown began.
        host_count: Number of hosts that share what is allowed to all together:
            retries and connections.
        on_upstream_leaving: Called when an upstream says in a response that it
            is leaving; returns whether that is new.
        announce_crashes: Called when peers should learn of crashing prompts.
        announce_limits: Called when peers should learn of upstreams' limits.
    """

    def __init__(
        self,
        names: HeaderNames,
        dispatcher: Dispatcher,
        usage: UsageCounts,
        metrics: Metrics,
        agreed_time_s: Callable[[], float],
    ) -> None:
        self.names = names
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.body_budget = BodyBudget()
        self.caller_memory = CallerMemory()
        self.caller_memory.count_ended = metrics.count_ended_connection
        self.response_memory = ResponseMemory(
            lambda: list(self._relay_by_request.values())
        )
        self.pool = UpstreamPool(self._idle_limit)
        self.route_table: RouteTable | None = None
        self.shutdown_started_s: float | None = None
        self.shutdown_ends_s = math.inf
        self.host_count = 1
        self._invalid_signals: set[tuple[str, str]] = set()
        self.on_upstream_leaving: Callable[[Upstream], bool] = _ignore_leaving
        self.announce_crashes: Callable[[], None] = _announce_nothing
        self.announce_limits: Callable[[], None] = _announce_nothing
        self._usage = usage
        self._agreed_time_s = agreed_time_s
        self._request_numbers = itertools.count(1)
        self._relay_by_request: dict[int, Relay] = {}
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._last_sweep_s = 0.0
        self._loop_delay = LoopDelayMonitor(TICK_INTERVAL_S, metrics)
        self._ticker = PeriodicTask(
            "A tick", self._tick, lambda: TICK_INTERVAL_S
        )
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            effects.SendAttempt: self._send,
            effects.CancelAttempt: self._cancel,
            effects.DeliverFailure: self._deliver_failure,
            effects.Refuse: self._refuse,
            effects.Fail: self._fail,
            effects.LogHoldChange: self._log_hold_change,
            effects.AnnounceCrashes: self._announce_crashes,
            effects.LogLimitChange: self._log_limit_change,
            effects.LogColdChange: self._log_cold_change,
            effects.AnnounceLimits: self._announce_limits,
            effects.LogPartition: self._log_partition,
            effects.LogSpeedChange: self._log_speed_change,
        }

    def set_memory_limit(self, memory_limit_mib: int | None) -> None:
        """Derive the budgets from the memory that the process may use."""
        self.body_budget.set_memory_limit(memory_limit_mib)
        self.caller_memory.set_memory_limit(memory_limit_mib)
        self.response_memory.set_memory_limit(memory_limit_mib)

    async def start(self, ip: str, port: int) -> None:
        """Listen for callers."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        shares = divide_descriptors(descriptors)
        self.caller_memory.max_connections = shares.callers
        self.pool.max_connections = shares.upstreams
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(
                self, self._connections, self.caller_memory
            ),
            ip,
            port,
            backlog=1024,
        )
        await self._ticker.start()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        await self._ticker.close()
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()
        await self.pool.close()

    def begin_shutdown(self, grace_s: float) -> None:
        """Begin a graceful shutdown: responses ask callers to disconnect.

        Args:
            grace_s: Time until the process ends.
        """
        self.shutdown_started_s = boot_s()
        self.shutdown_ends_s = self.shutdown_started_s + grace_s

    async def drain(self) -> None:
        """Serve until the shutdown ends; take no requests shortly before.

        Callers may use an idle connection until it is closed, so idle ones stay
        open at first. What arrives in the last moments couldn't be answered.
        Requests that are still open at the end get their final response then:
        without one, a caller can't tell what became of them.
        """
        last_request_s = self.shutdown_ends_s - LAST_REQUESTS_BEFORE_END_S
        await asyncio.sleep(max(0.0, last_request_s - boot_s()))
        if self._server is not None:
            self._server.close()
        while self._connections and boot_s() < self.shutdown_ends_s:
            self._close_idle_connections()
            await asyncio.sleep(TICK_INTERVAL_S)
        self.deliver(events.ServingEnded(now_s=boot_s()))

    def _close_idle_connections(self) -> None:
        for connection in list(self._connections):
            if connection.idle:
                connection.close()

    @property
    def busy(self) -> bool:
        """Whether requests are in progress."""
        return bool(self._relay_by_request)

    def deliver(self, event: Event) -> None:
        """Pass an event to the dispatcher and run the resulting effects."""
        for effect in self.dispatcher.reduce(event):
            self._effect_handlers[type(effect)](effect)

    def set_upstreams(
        self, upstreams_by_id: dict[str, Upstream], source: str = ""
    ) -> None:
        """Set the upstreams that may get requests, and where they come from."""
        self.deliver(
            events.UpstreamsChanged(
                now_s=boot_s(), upstreams_by_id=upstreams_by_id, source=source
            )
        )
        self.pool.retain_only(list(upstreams_by_id.values()))
        self._invalid_signals = {
            reported
            for reported in self._invalid_signals
            if reported[0] in upstreams_by_id
        }

    # The connections call these.

    def limits(self) -> RequestLimits:
        """Return the request limits in force."""
        if self.route_table is None:
            return RequestLimits()
        return self.route_table.configuration.limits

    def is_draining(self) -> bool:
        """Whether responses should ask callers to close the connection."""
        return self.shutdown_started_s is not None

    def start_request(
        self, request: IncomingRequest, connection: CallerConnection
    ) -> Exchange | None:
        """Check a request against the configuration and dispatch it."""
        admission = self._admit(request)
        if isinstance(admission, _Rejection):
            self._reject(connection, request, admission)
            return None
        now_s = boot_s()
        route = admission.route
        request_number = next(self._request_numbers)
        workspace = admission.workspace
        fingerprint = request_fingerprint(
            request, self.names, workspace.name if workspace else None
        )
        relay = Relay(
            self, request_number, request, connection, admission, fingerprint
        )
        self._relay_by_request[request_number] = relay
        deadline_s = parse_deadline_s(request, self.names, DEFAULT_DEADLINE_S)
        self.deliver(
            events.RequestArrived(
                now_s=now_s,
                request=request_number,
                route=route,
                service=choose_service(route, random.random()),
                rank=admission.rank,
                prompt=parse_prompt(request, self.names),
                fingerprint=fingerprint,
                deadline_s=now_s + deadline_s,
                draw=random.random(),
                allowed_regions=allowed_regions(route, workspace),
            )
        )
        return relay if request_number in self._relay_by_request else None

    def _admit(self, request: IncomingRequest) -> Admission | _Rejection:
        """Check a request against the configuration in force."""
        if self.route_table is None:
            return _Rejection(503, "no configuration known yet")
        if request.body_refused:
            return _Rejection(503, "this host holds too many large requests")
        if request.head_refused:
            return _Rejection(
                503, "this host holds too many requests with large heads"
            )
        host = find_header(request.headers, b"host") or b""
        route = self.route_table.find(host.decode("latin-1"), request.path)
        if route is None:
            return _Rejection(404, "no route for host and path")
        if self._rejects_during_shutdown(route.timeout_s):
            return _Rejection(503, "this host is stopping")
        configuration = self.route_table.configuration
        if route.public or not configuration.requires_keys:
            return Admission(route, None, self.route_table.rank(route, None))
        key = find_header(request.headers, self.names.key) or b""
        workspace = configuration.workspaces_by_key.get(key.decode("latin-1"))
        if workspace is None:
            return _Rejection(401, "unknown or withdrawn key")
        rank = self.route_table.rank(route, workspace)
        return Admission(route, workspace, rank)

    # The relays call these.

    def report_invalid_signal(self, upstream: Upstream, signal: str) -> bool:
        """Report an unusable header; return whether it is the first."""
        reported = (upstream.upstream_id, signal)
        is_first = reported not in self._invalid_signals
        self._invalid_signals.add(reported)
        return is_first

    def report_leaving(self, upstream: Upstream) -> bool:
        """Report that an upstream is leaving; return whether that is new."""
        is_new = self.on_upstream_leaving(upstream)
        if is_new:
            self.metrics.count_upstream_signal("leaving")
        return is_new

    def remove_relay(self, relay: Relay) -> None:
        """Remove a request that has finished."""
        self._relay_by_request.pop(relay.request_number, None)

    def count_response_bytes(self, count: int) -> None:
        """Count bytes of unfinished responses; some may be given up."""
        self.response_memory.add(count)

    def count_run(self, relay: Relay) -> None:
        """Count a request for the workspace's usage."""
        if relay.workspace is not None:
            self._usage.add(relay.workspace.name, self._agreed_time_s())

    def _idle_limit(self, upstream: Upstream) -> int:
        service = None
        if self.route_table is not None:
            services = self.route_table.configuration.services_by_name
            service = services.get(upstream.service)
        limit = service.connection_limit if service is not None else 0
        return idle_limit(limit, self.host_count)

    # Effects.

    def _send(self, effect: effects.SendAttempt) -> None:
        relay = self._relay_by_request.get(effect.request)
        if relay is not None:
            relay.send(effect)

    def _cancel(self, effect: effects.CancelAttempt) -> None:
        relay = self._relay_by_request.get(effect.request)
        if relay is not None:
            relay.cancel()

    def _deliver_failure(self, effect: effects.DeliverFailure) -> None:
        relay = self._relay_by_request.get(effect.request)
        if relay is not None:
            relay.forward_failure()

    def _refuse(self, effect: effects.Refuse) -> None:
        relay = self._relay_by_request.get(effect.request)
        if relay is not None:
            relay.respond(503, effect.reason, effect.retry_after_s)

    def _fail(self, effect: effects.Fail) -> None:
        relay = self._relay_by_request.get(effect.request)
        if relay is not None:
            status = 504 if effect.timed_out else 502
            relay.respond(status, effect.reason, None)

    def _log_hold_change(self, effect: effects.LogHoldChange) -> None:
        change = effect.change
        decision_log.record(
            change.decision,
            traits=change.traits,
            reason=change.reason,
            upstreams=change.upstreams or None,
        )

    def _log_limit_change(self, effect: effects.LogLimitChange) -> None:
        change = effect.change
        decision_log.record(
            "upstream_limit",
            upstream=change.upstream,
            per_second=_finite_or_none(change.rate),
            previous_per_second=_finite_or_none(change.previous_rate),
            peer=change.peer,
        )

    def _log_cold_change(self, effect: effects.LogColdChange) -> None:
        change = effect.change
        decision_log.record(
            "upstream_cold",
            upstream=change.upstream,
            per_second=change.rate,
            remaining_s=round(change.remaining_s, 3),
            source=change.source,
        )

    def _announce_crashes(self, effect: effects.AnnounceCrashes) -> None:
        del effect
        self.announce_crashes()

    def _announce_limits(self, effect: effects.AnnounceLimits) -> None:
        del effect
        self.announce_limits()

    def _log_speed_change(self, effect: effects.LogSpeedChange) -> None:
        change = effect.change
        decision_log.record(
            "upstream_slow" if change.is_slow else "upstream_no_longer_slow",
            upstream=change.upstream,
            service=change.service,
            factor=round(change.factor, 2),
            limit=change.limit,
            slots=change.slots,
        )

    def _log_partition(self, effect: effects.LogPartition) -> None:
        decision_log.record(
            "engines_divided",
            service=effect.service,
            long_share=round(effect.long_share, 2),
        )

    # Helpers.

    def _rejects_during_shutdown(self, timeout_s: float) -> bool:
        if self.shutdown_started_s is None:
            return False
        now_s = boot_s()
        if now_s >= self.shutdown_ends_s:
            return True
        return (
            now_s > self.shutdown_started_s + SHUTDOWN_ACCEPT_ALL_S
            and now_s + timeout_s > self.shutdown_ends_s
        )

    def _reject(
        self,
        connection: CallerConnection,
        request: IncomingRequest,
        rejection: _Rejection,
    ) -> None:
        request_id = find_header(request.headers, self.names.request_id) or b""
        decision_log.record(
            "reject",
            request_id=request_id[:MAX_LOGGED_ID_BYTES].decode("latin-1"),
            status=rejection.status,
            reason=rejection.reason,
            configuration=(
                self.route_table.configuration.version
                if self.route_table
                else 0
            ),
        )
        self.metrics.count_response(rejection.status)
        retry_after_s = None
        if rejection.status == HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after_s = NOT_READY_RETRY_AFTER_S * (0.5 + random.random())
        close = connection.must_close
        connection.write(
            encode_local_response(
                rejection.status,
                body=rejection.reason.encode(),
                retry_after_s=retry_after_s,
                close=close,
                head_only=request.head_only,
            )
        )
        connection.finish(close=close)

    async def _tick(self) -> None:
        now_s = boot_s()
        self._loop_delay.record(now_s, running_s())
        self.deliver(
            events.TimePassed(
                now_s=now_s,
                host_count=self.host_count,
                clock_offset_s=self._agreed_time_s() - now_s,
            )
        )
        if now_s - self._last_sweep_s >= CONNECTION_SWEEP_INTERVAL_S:
            self._last_sweep_s = now_s
            self._sweep_connections()

    def _sweep_connections(self) -> None:
        """Close connections that exceed the idle or the request timeout."""
        now_s = asyncio.get_running_loop().time()
        limits = self.limits()
        for connection in list(self._connections):
            idle_s = now_s - connection.last_active_s
            if connection.disconnect_if_unread(now_s):
                continue
            if connection.idle and idle_s > limits.idle_timeout_s:
                connection.close()
            elif connection.request_timed_out(now_s):
                connection.reject_timed_out_request()
            elif connection.reading_paused and connection.caller_has_left():
                connection.disconnect()


def _finite_or_none(rate: float) -> float | None:
    return rate if math.isfinite(rate) else None
