"""Simulate the platform's upstream orders, without I/O."""

from collections.abc import Sequence

import attrs

from shallotfold._errors import OrderRefusedError
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState
from shallotfold._services.ports import UpstreamOrder
from shallotfold._settings.standin import SpareEngine
from shallotfold._standin.hosts import HostListStandin


@attrs.frozen
class ExecutedOrder:
    """An order that was executed.

    Attributes:
        order: The order.
        arrived_at_s: Monotonic time of its arrival.
    """

    order: UpstreamOrder
    arrived_at_s: float


@attrs.define
class OrdersStandin:
    """Execute orders by putting spare engines into service.

    Attributes:
        data_centres: Data centres that accept orders.
        unfenced_data_centres: Data centres that ignore fencing tokens.
        spare_engines: Running engines that a `start` order may put into
            service.
        hosts: Host list to which started engines are added.
        start_s: Time from a `start` order until its engine is on the list.
        executed: Executed orders, in order of arrival.
        stale_count: Orders with an old fencing token, refused or not.
        repeat_count: Repeats of an executed order.
    """

    data_centres: Sequence[str]
    unfenced_data_centres: set[str]
    spare_engines: Sequence[SpareEngine]
    hosts: HostListStandin
    start_s: float = 1.0
    executed: list[ExecutedOrder] = attrs.field(factory=list)
    stale_count: int = 0
    repeat_count: int = 0
    _highest_fencing: dict[str, int] = attrs.field(factory=dict)
    _engines_by_upstream: dict[str, SpareEngine] = attrs.field(factory=dict)
    _starting_hosts: list[tuple[float, HostRecord]] = attrs.field(factory=list)

    def execute(self, order: UpstreamOrder, now_s: float) -> None:
        """Execute an order; a repeat of an executed order has no effect.

        Raises:
            OrderRefusedError: The order was not executed.
        """
        if order.data_centre not in self.data_centres:
            raise OrderRefusedError("unknown_data_centre", order.data_centre)
        self._check_fencing(order)
        if self.look_up(order.data_centre, order.order_id):
            self.repeat_count += 1
            return
        if order.action == "start":
            self._start(order, now_s)
        elif order.action == "release":
            self._release(order, now_s)
        else:
            raise OrderRefusedError("unknown_action", order.action)
        self.executed.append(ExecutedOrder(order, now_s))

    def look_up(self, data_centre: str, order_id: str) -> ExecutedOrder | None:
        """Return an executed order; `None` if there is none with the id."""
        for item in self.executed_in(data_centre):
            if item.order.order_id == order_id:
                return item
        return None

    def executed_in(self, data_centre: str) -> list[ExecutedOrder]:
        """Return the executed orders of a data centre in order of arrival."""
        return [e for e in self.executed if e.order.data_centre == data_centre]

    def advance(self, now_s: float) -> None:
        """Add the engines that have started to the host list."""
        started = [
            record for at_s, record in self._starting_hosts if at_s <= now_s
        ]
        self._starting_hosts = [
            item for item in self._starting_hosts if item[0] > now_s
        ]
        for record in started:
            self.hosts.add(record, now_s)

    def reclaim(
        self, data_centre: str, offers: Sequence[str], now_s: float
    ) -> list[str]:
        """Reclaim started upstreams: mark them as leaving.

        Args:
            data_centre: Data centre in which capacity is reclaimed.
            offers: Names of the offers; all if empty.
            now_s: Monotonic time.

        Returns:
            URLs of the reclaimed upstreams. Their engines still count as
            used, so they can't be started again.
        """
        urls = []
        for upstream, engine in self._engines_by_upstream.items():
            if engine.data_centre != data_centre:
                continue
            if not offers or engine.offer in offers:
                self.hosts.mark_leaving(upstream, now_s)
                urls.append(engine.url)
        return urls

    def _check_fencing(self, order: UpstreamOrder) -> None:
        highest = self._highest_fencing.get(order.data_centre, 0)
        if order.fencing >= highest:
            self._highest_fencing[order.data_centre] = order.fencing
            return
        self.stale_count += 1
        if order.data_centre not in self.unfenced_data_centres:
            raise OrderRefusedError(
                "stale_fencing", f"{order.fencing} is older than {highest}"
            )

    def _start(self, order: UpstreamOrder, now_s: float) -> None:
        used = self._engines_by_upstream.values()
        available = [
            spare
            for spare in self.spare_engines
            if spare.data_centre == order.data_centre
            and spare.offer == order.offer
            and spare not in used
        ]
        if not available:
            raise OrderRefusedError("no_capacity", "no engine is spare")
        self._engines_by_upstream[order.upstream] = available[0]
        record = HostRecord(
            name=order.upstream,
            role=HostRole.UPSTREAM,
            state=HostState.LIVE,
            data_centre=order.data_centre,
            address=available[0].url,
            offer=order.offer,
        )
        self._starting_hosts.append((now_s + self.start_s, record))

    def _release(self, order: UpstreamOrder, now_s: float) -> None:
        self._engines_by_upstream.pop(order.upstream, None)
        self._starting_hosts = [
            item
            for item in self._starting_hosts
            if item[1].name != order.upstream
        ]
        self.hosts.remove(order.upstream, now_s)
