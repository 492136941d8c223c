"""Stand in for the platform's upstream orders, without I/O."""

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
class TakenOrder:
    """An order that was carried out.

    Attributes:
        order: The order.
        arrived_at_s: Monotonic time of its arrival.
    """

    order: UpstreamOrder
    arrived_at_s: float


@attrs.define
class OrdersStandin:
    """Carry out orders with the engines that are spare.

    Attributes:
        data_centres: Data centres that take orders.
        unfenced: Data centres that ignore fencing numbers.
        spares: Engines that start orders may bring into service.
        hosts: The list on which started engines appear.
        start_s: Time from a start order to its entry on the list.
        taken: Orders carried out, in the order of arrival.
        stale_count: Orders with an old fencing number, refused or not.
        repeat_count: Repeats of an order that was carried out.
    """

    data_centres: Sequence[str]
    unfenced: set[str]
    spares: Sequence[SpareEngine]
    hosts: HostListStandin
    start_s: float = 1.0
    taken: list[TakenOrder] = attrs.field(factory=list)
    stale_count: int = 0
    repeat_count: int = 0
    _highest_fencing: dict[str, int] = attrs.field(factory=dict)
    _spares_by_upstream: dict[str, SpareEngine] = attrs.field(factory=dict)
    _starting: list[tuple[float, HostRecord]] = attrs.field(factory=list)

    def place(self, order: UpstreamOrder, now_s: float) -> None:
        """Carry an order out; a repeat of one that was taken does nothing.

        Raises:
            OrderRefusedError: The order was not carried out.
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
        self.taken.append(TakenOrder(order, now_s))

    def look_up(self, data_centre: str, order_id: str) -> TakenOrder | None:
        """Return an order that was carried out."""
        for taken in self.taken_in(data_centre):
            if taken.order.order_id == order_id:
                return taken
        return None

    def taken_in(self, data_centre: str) -> list[TakenOrder]:
        """Return the orders of a data centre in the order of arrival."""
        return [t for t in self.taken if t.order.data_centre == data_centre]

    def advance(self, now_s: float) -> None:
        """Put the engines that have started on the host list."""
        ready = [record for at_s, record in self._starting if at_s <= now_s]
        self._starting = [item for item in self._starting if item[0] > now_s]
        for record in ready:
            self.hosts.add(record, now_s)

    def reclaim(
        self, data_centre: str, offers: Sequence[str], now_s: float
    ) -> list[str]:
        """Mark as leaving every started upstream of some offers.

        Args:
            data_centre: Data centre in which capacity is taken back.
            offers: Names of the offers; all when empty.
            now_s: Monotonic time.

        Returns:
            URLs of the upstreams taken back. Their engines stay ordered, so
            that they can't be started again.
        """
        urls = []
        for upstream, spare in self._spares_by_upstream.items():
            if spare.data_centre != data_centre:
                continue
            if not offers or spare.offer in offers:
                self.hosts.mark_leaving(upstream, now_s)
                urls.append(spare.url)
        return urls

    def _check_fencing(self, order: UpstreamOrder) -> None:
        highest = self._highest_fencing.get(order.data_centre, 0)
        if order.fencing >= highest:
            self._highest_fencing[order.data_centre] = order.fencing
            return
        self.stale_count += 1
        if order.data_centre not in self.unfenced:
            raise OrderRefusedError(
                "stale_fencing", f"{order.fencing} is older than {highest}"
            )

    def _start(self, order: UpstreamOrder, now_s: float) -> None:
        used = self._spares_by_upstream.values()
        free = [
            spare
            for spare in self.spares
            if spare.data_centre == order.data_centre
            and spare.offer == order.offer
            and spare not in used
        ]
        if not free:
            raise OrderRefusedError("no_capacity", "no engine is spare")
        self._spares_by_upstream[order.upstream] = free[0]
        record = HostRecord(
            name=order.upstream,
            role=HostRole.UPSTREAM,
            state=HostState.LIVE,
            data_centre=order.data_centre,
            address=free[0].url,
            offer=order.offer,
        )
        self._starting.append((now_s + self.start_s, record))

    def _release(self, order: UpstreamOrder, now_s: float) -> None:
        self._spares_by_upstream.pop(order.upstream, None)
        self._starting = [
            item for item in self._starting if item[1].name != order.upstream
        ]
        self.hosts.remove(order.upstream, now_s)
