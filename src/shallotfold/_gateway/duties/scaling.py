"""Decide how many upstreams to order in each data centre.

Spot upstreams may be reclaimed by the platform and cost a fraction of
on-demand ones. They are spread over all data centres, so that losing all of
them in one data centre costs a fraction of the capacity; on-demand ones replace
them while no spot capacity is available.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set

import attrs

from shallotfold._gateway.core.model import ScalingLimits
from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.ports import CapacityOrder
from shallotfold._gateway.core.ports import DutyOutcome

# Spot upstreams are ordered only up to this share of the on-demand price.
MAX_SPOT_PRICE_RATIO = 0.5
# While there is no spot capacity, on-demand upstreams raise the total only to
# this share of the maximum: they cost several times as much, and shortages soon
# end.
SHORTAGE_CAPACITY_SHARE = 0.5
# An order whose upstreams are still missing this long after their boot time
# is sent again: it may have been lost, or undone by an older one that was late.
ORDER_RETRY_MARGIN_S = 3.0
# After an order that found no capacity, the next one waits this long.
UNAVAILABLE_RETRY_S = 3.0

# Service, data centre, and whether spot upstreams are ordered.
OrderKey = tuple[str, str, bool]


@attrs.define
class _SentOrder:
    count: int
    sent_s: float


@attrs.define
class ScalingPlanner:
    """Plans orders; remembers sent ones and where capacity was lacking."""

    _order_by_key: dict[OrderKey, _SentOrder] = attrs.field(factory=dict)
    _unavailable_until_s: dict[OrderKey, float] = attrs.field(factory=dict)
    # Where the last order of spot upstreams found no capacity.
    _shortages: set[OrderKey] = attrs.field(factory=set)

    def forget_orders(self) -> None:
        """Forget the sent orders: another host may have sent others since."""
        self._order_by_key.clear()

    def record_outcome(
        self, order: CapacityOrder, outcome: DutyOutcome, now_s: float
    ) -> None:
        """Record the outcome of an order."""
        key = (order.service, order.data_centre, order.spot)
        if outcome is DutyOutcome.UNAVAILABLE:
            self._unavailable_until_s[key] = now_s + UNAVAILABLE_RETRY_S
            self._order_by_key.pop(key, None)
            self._shortages.add(key)
        elif outcome is DutyOutcome.DONE:
            self._order_by_key[key] = _SentOrder(order.count, now_s)
            self._shortages.discard(key)

    def plan(
        self,
        service: Service,
        upstreams: Iterable[Upstream],
        now_s: float,
        evacuated: Set[str] = frozenset(),
    ) -> list[CapacityOrder]:
        """Return the orders to send now.

        Args:
            service: The service.
            upstreams: All upstreams.
            now_s: Time on the boot clock.
            evacuated: Data centres for which nothing is ordered.
        """
        limits = service.scaling
        if limits is None:
            return []
        live_counts: dict[tuple[str, bool], int] = {}
        for upstream in upstreams:
            if upstream.service == service.name and not upstream.draining:
                kind = (upstream.data_centre, upstream.spot)
                live_counts[kind] = live_counts.get(kind, 0) + 1
        orders = []
        data_centre_prices = sorted(
            (
                item
                for item in limits.price_by_data_centre.items()
                if item[0] not in evacuated
            ),
            key=lambda item: item[1],
        )
        min_total = round(
            limits.maximum * len(data_centre_prices) * SHORTAGE_CAPACITY_SHARE
        )
        shortfall = min_total - sum(live_counts.values())
        shortfall -= self._booting_on_demand(
            service.name, live_counts, evacuated
        )
        for data_centre, _ in data_centre_prices:
            spot_live = live_counts.get((data_centre, True), 0)
            on_demand_live = live_counts.get((data_centre, False), 0)
            on_demand = self._on_demand_count(
                service.name,
                limits,
                data_centre,
                spot_live,
                on_demand_live,
            )
            if shortfall > 0 and self._lacks_spot_capacity(
                service.name, data_centre
            ):
                room = limits.maximum - on_demand - spot_live
                # Without room for a spot upstream, none would replace them.
                added = min(shortfall, room - limits.minimum)
                on_demand += max(0, added)
                shortfall -= max(0, added)
            spot = self._spot_count(limits, max(on_demand, on_demand_live))
            orders += [
                CapacityOrder(
                    service=service.name,
                    data_centre=data_centre,
                    spot=is_spot,
                    count=count,
                )
                for is_spot, count, live_count in (
                    (True, spot, spot_live),
                    (False, on_demand, on_demand_live),
                )
                if self._is_due(
                    (service.name, data_centre, is_spot),
                    count,
                    live_count,
                    limits.boot_s,
                    now_s,
                )
            ]
        return orders

    def _booting_on_demand(
        self,
        service: str,
        live_counts: Mapping[tuple[str, bool], int],
        evacuated: Set[str],
    ) -> int:
        """Return how many ordered on-demand upstreams don't serve yet."""
        return sum(
            max(0, order.count - live_counts.get((data_centre, False), 0))
            for (name, data_centre, spot), order in self._order_by_key.items()
            if name == service and not spot and data_centre not in evacuated
        )

    def _on_demand_count(
        self,
        service: str,
        limits: ScalingLimits,
        data_centre: str,
        spot_live: int,
        on_demand_live: int,
    ) -> int:
        """Return how many on-demand upstreams to run besides spot ones."""
        if limits.spot_price_ratio > MAX_SPOT_PRICE_RATIO:
            return limits.maximum
        # Spot upstreams get the room that on-demand ones leave until then.
        room = limits.maximum - on_demand_live
        replacing = max(1, min(limits.minimum, room), min(on_demand_live, room))
        if spot_live >= replacing:
            return max(0, on_demand_live - spot_live)
        # No on-demand upstream is released before its replacement serves, and
        # none that boots is given up when spot upstreams are tried again: a
        # boot takes longer than the time between the tries.
        order = self._order_by_key.get((service, data_centre, False))
        on_demand = order.count if order else on_demand_live
        if self._lacks_spot_capacity(service, data_centre):
            return max(limits.minimum, on_demand)
        return max(limits.minimum - spot_live, on_demand)

    def _spot_count(self, limits: ScalingLimits, on_demand: int) -> int:
        if limits.spot_price_ratio > MAX_SPOT_PRICE_RATIO:
            return 0
        return max(0, limits.maximum - on_demand)

    def _lacks_spot_capacity(self, service: str, data_centre: str) -> bool:
        return (service, data_centre, True) in self._shortages

    def _is_due(
        self,
        key: OrderKey,
        count: int,
        live_count: int,
        boot_s: float,
        now_s: float,
    ) -> bool:
        if now_s < self._unavailable_until_s.get(key, 0.0):
            return False
        order = self._order_by_key.get(key)
        if order is None:
            return count != live_count
        if order.count != count:
            return True
        overdue = now_s - order.sent_s > boot_s + ORDER_RETRY_MARGIN_S
        return live_count != count and overdue
