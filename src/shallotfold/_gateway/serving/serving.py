"""Accept callers' requests and run what the dispatcher decides."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
import itertools
import math
import random
from typing import Any

import attrs

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
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
from shallotfold._gateway.http.messages import find_header
from shallotfold._gateway.http.messages import plain_answer
from shallotfold._gateway.http.upstream_pool import UpstreamPool
from shallotfold._gateway.http.upstream_pool import idle_limit
from shallotfold._gateway.serving.caller_connection import CallerConnection
from shallotfold._gateway.serving.caller_connection import Exchange
from shallotfold._gateway.serving.relay import Admission
from shallotfold._gateway.serving.relay import Relay
from shallotfold._gateway.serving.request_reading import read_deadline_s
from shallotfold._gateway.serving.request_reading import read_prompt
from shallotfold._gateway.serving.route_table import RouteTable
from shallotfold._gateway.serving.route_table import choose_service
from shallotfold._model.events import Event

# Callers that name no deadline wait at most this long.
DEFAULT_DEADLINE_S = 30.0
TICK_INTERVAL_S = 0.05
# Callers may use a kept connection until four fifths of the idle limit; a
# little later it may be closed.
SWEEP_INTERVAL_S = 0.25
# While the process stops, every request is accepted for this long; later ones
# only if their time-out is over before the process ends.
ACCEPT_WHILE_STOPPING_S = 2.5
# A host that knows no configuration yet usually learns it within this time.
START_RETRY_AFTER_S = 0.5


@attrs.frozen
class _Rejection:
    """Why a request is answered without being dispatched."""

    status: int
    reason: str


class Gateway:
    """Serve callers by the configuration and the upstreams in force.

    Attributes:
        dispatcher: Decides; only `deliver` feeds it.
        pool: Connections to upstreams.
        table: Routes in force; `None` before the first configuration.
        stopping_s: When an orderly stop began, on the boot clock.
        ends_s: When the process ends after an orderly stop began.
        hosts: Hosts that share the fleet's retry budget.
    """

    def __init__(
        self,
        names: HeaderNames,
        dispatcher: Dispatcher,
        usage: UsageCounts,
        figures: Metrics,
        wall_s: Callable[[], float],
    ) -> None:
        self.names = names
        self.dispatcher = dispatcher
        self.figures = figures
        self.pool = UpstreamPool(self._idle_limit)
        self.table: RouteTable | None = None
        self.stopping_s: float | None = None
        self.ends_s = math.inf
        self.hosts = 1
        self._usage = usage
        self._wall_s = wall_s
        self._numbers = itertools.count(1)
        self._relay_by_request: dict[int, Relay] = {}
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._swept_s = 0.0
        self._ticker = PeriodicTask(
            "A tick", self._tick, lambda: TICK_INTERVAL_S
        )
        self._runners: dict[type, Callable[[Any], None]] = {
            effects.SendAttempt: self._send,
            effects.CancelAttempt: self._cancel,
            effects.DeliverFailure: self._deliver_failure,
            effects.Refuse: self._refuse,
            effects.Fail: self._fail,
        }

    async def start(self, ip: str, port: int) -> None:
        """Listen for callers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self, self._connections),
            ip,
            port,
            backlog=1024,
        )
        await self._ticker.start()

    async def close(self) -> None:
        """Stop listening and drop what is left."""
        await self._ticker.close()
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()
        await self.pool.close()

    def begin_stop(self, grace_s: float) -> None:
        """Begin an orderly stop: answers ask callers to leave.

        Args:
            grace_s: Time until the process ends.
        """
        self.stopping_s = boot_s()
        self.ends_s = self.stopping_s + grace_s

    def close_idle_connections(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self._connections):
            if connection.idle:
                connection.close()

    @property
    def busy(self) -> bool:
        """Whether requests are under way."""
        return bool(self._relay_by_request)

    def deliver(self, event: Event) -> None:
        """Feed the dispatcher and run its effects."""
        for effect in self.dispatcher.reduce(event):
            self._runners[type(effect)](effect)

    def set_upstreams(self, upstreams_by_id: dict[str, Upstream]) -> None:
        """Take the upstreams that may get requests from now on."""
        self.deliver(
            events.UpstreamsChanged(
                now_s=boot_s(), upstreams_by_id=upstreams_by_id
            )
        )
        self.pool.keep_only(list(upstreams_by_id.values()))

    # The connections call these.

    def limits(self) -> RequestLimits:
        """Return the bounds in force."""
        if self.table is None:
            return RequestLimits()
        return self.table.configuration.limits

    def closing(self) -> bool:
        """Whether answers should ask callers to leave the connection."""
        return self.stopping_s is not None

    def accept(
        self, request: IncomingRequest, connection: CallerConnection
    ) -> Exchange | None:
        """Check a request against the configuration and dispatch it."""
        admitted = self._admit(request)
        if isinstance(admitted, _Rejection):
            self._reject(connection, request, admitted)
            return None
        now_s = boot_s()
        route = admitted.route
        number = next(self._numbers)
        relay = Relay(self, number, request, connection, admitted)
        self._relay_by_request[number] = relay
        deadline_s = read_deadline_s(request, self.names, DEFAULT_DEADLINE_S)
        self.deliver(
            events.RequestArrived(
                now_s=now_s,
                request=number,
                route=route,
                service=choose_service(route, random.random()),
                rank=admitted.rank,
                prompt=read_prompt(request, self.names),
                deadline_s=now_s + deadline_s,
                draw=random.random(),
            )
        )
        return relay if number in self._relay_by_request else None

    def _admit(self, request: IncomingRequest) -> Admission | _Rejection:
        """Check a request against the configuration in force."""
        if self.table is None:
            return _Rejection(503, "no configuration known yet")
        host = find_header(request.headers, b"host") or b""
        route = self.table.find(host.decode("latin-1"), request.path)
        if route is None:
            return _Rejection(404, "no route for host and path")
        if self._stops_too_soon(route.timeout_s):
            return _Rejection(503, "this host is stopping")
        configuration = self.table.configuration
        if route.public or not configuration.requires_keys:
            return Admission(route, None, self.table.rank(route, None))
        key = find_header(request.headers, self.names.key) or b""
        workspace = configuration.workspaces_by_key.get(key.decode("latin-1"))
        if workspace is None:
            return _Rejection(401, "unknown or withdrawn key")
        rank = self.table.rank(route, workspace)
        return Admission(route, workspace, rank)

    # The relays call these.

    def ended(self, relay: Relay) -> None:
        """Forget a request that has its final answer."""
        self._relay_by_request.pop(relay.number, None)

    def count_run(self, relay: Relay) -> None:
        """Count a request for the workspace's usage."""
        if relay.workspace is not None:
            self._usage.add(relay.workspace.name, self._wall_s())

    def _idle_limit(self, upstream: Upstream) -> int:
        service = None
        if self.table is not None:
            services = self.table.configuration.services_by_name
            service = services.get(upstream.service)
        limit = service.connection_limit if service is not None else 0
        return idle_limit(limit, self.hosts)

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
            relay.deliver_held()

    def _refuse(self, effect: effects.Refuse) -> None:
        relay = self._relay_by_request.get(effect.request)
        if relay is not None:
            relay.answer(503, effect.reason, effect.retry_after_s)

    def _fail(self, effect: effects.Fail) -> None:
        relay = self._relay_by_request.get(effect.request)
        if relay is not None:
            status = 504 if effect.timed_out else 502
            relay.answer(status, effect.reason, None)

    # Helpers.

    def _stops_too_soon(self, timeout_s: float) -> bool:
        if self.stopping_s is None:
            return False
        now_s = boot_s()
        return (
            now_s > self.stopping_s + ACCEPT_WHILE_STOPPING_S
            and now_s + timeout_s > self.ends_s
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
            request_id=request_id.decode("latin-1"),
            status=rejection.status,
            reason=rejection.reason,
            configuration=(
                self.table.configuration.version if self.table else 0
            ),
        )
        self.figures.count_answer(rejection.status)
        retry_after_s = None
        if rejection.status == HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after_s = START_RETRY_AFTER_S * (0.5 + random.random())
        close = connection.must_close
        connection.write(
            plain_answer(
                rejection.status,
                body=rejection.reason.encode(),
                retry_after_s=retry_after_s,
                close=close,
            )
        )
        connection.finish(close=close)

    async def _tick(self) -> None:
        now_s = boot_s()
        self.deliver(events.TimePassed(now_s=now_s, hosts=self.hosts))
        if now_s - self._swept_s >= SWEEP_INTERVAL_S:
            self._swept_s = now_s
            self._sweep()

    def _sweep(self) -> None:
        """Close connections that are idle or whose head doesn't come."""
        now_s = asyncio.get_running_loop().time()
        limits = self.limits()
        for connection in list(self._connections):
            idle_s = now_s - connection.last_active_s
            if connection.idle and idle_s > limits.idle_timeout_s:
                connection.close()
            elif connection.request_is_late(now_s):
                connection.reject_late_request()
