"""Decide how many upstreams to order in each data centre.

Reclaimable upstreams cost a fraction of the others. They are spread over all
data centres, so that the loss of all of one data centre takes a fraction of
the capacity; ordinary ones stand in while reclaimable ones can't be had.
"""

from collections.abc import Iterable

import attrs

from shallotfold._gateway.core.model import ScalingLimits
from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.ports import DutyOutcome
from shallotfold._gateway.core.ports import UpstreamCount

# Reclaimable upstreams are preferred while they cost less than this share.
CHEAP_SPOT_RATIO = 0.5
# Ordinary upstreams fill up to this share where reclaimable ones can't be had:
# they cost several times as much, and the shortage is soon over.
SHORTAGE_SHARE = 0.5
# An order whose upstreams are still missing this long after their boot time
# is repeated: it may have been lost or undone by an older, late one.
REPEAT_MARGIN_S = 3.0
# Where no reclaimable upstream was available, it is asked again after this.
DRY_PAUSE_S = 3.0

Place = tuple[str, str, bool]


@attrs.define
class _Order:
    count: int
    sent_s: float


@attrs.define
class ScalingPlanner:
    """What was ordered, and where nothing was available."""

    _order_by_place: dict[Place, _Order] = attrs.field(factory=dict)
    _dry_until_s: dict[Place, float] = attrs.field(factory=dict)

    def forget(self) -> None:
        """Forget all orders: another host may have ordered since."""
        self._order_by_place.clear()

    def note_outcome(
        self, wanted: UpstreamCount, outcome: DutyOutcome, now_s: float
    ) -> None:
        """Note what became of an order."""
        place = (wanted.service, wanted.data_centre, wanted.spot)
        if outcome is DutyOutcome.UNAVAILABLE:
            self._dry_until_s[place] = now_s + DRY_PAUSE_S
            self._order_by_place.pop(place, None)
        elif outcome is DutyOutcome.DONE:
            self._order_by_place[place] = _Order(wanted.count, now_s)

    def plan(
        self, service: Service, upstreams: Iterable[Upstream], now_s: float
    ) -> list[UpstreamCount]:
        """Return the orders to send now."""
        limits = service.scaling
        if limits is None:
            return []
        live: dict[tuple[str, bool], int] = {}
        for upstream in upstreams:
            if upstream.service == service.name and not upstream.draining:
                place = (upstream.data_centre, upstream.spot)
                live[place] = live.get(place, 0) + 1
        wanted = []
        places = sorted(
            limits.price_by_data_centre.items(), key=lambda item: item[1]
        )
        fewest = round(limits.maximum * len(places) * SHORTAGE_SHARE)
        missing = fewest - sum(live.values())
        for data_centre, _ in places:
            spot_live = live.get((data_centre, True), 0)
            plain_live = live.get((data_centre, False), 0)
            plain = self._plain_count(
                service.name, limits, data_centre, spot_live, plain_live, now_s
            )
            if missing > 0 and self._is_dry(service.name, data_centre, now_s):
                added = min(missing, limits.maximum - plain - spot_live)
                plain += max(0, added)
                missing -= max(0, added)
            spot = self._spot_count(limits, max(plain, plain_live))
            wanted += [
                UpstreamCount(
                    service=service.name,
                    data_centre=data_centre,
                    spot=is_spot,
                    count=count,
                )
                for is_spot, count, alive in (
                    (True, spot, spot_live),
                    (False, plain, plain_live),
                )
                if self._is_due(
                    (service.name, data_centre, is_spot),
                    count,
                    alive,
                    limits.boot_s,
                    now_s,
                )
            ]
        return wanted

    def _plain_count(
        self,
        service: str,
        limits: ScalingLimits,
        data_centre: str,
        spot_live: int,
        plain_live: int,
        now_s: float,
    ) -> int:
        """Return how many ordinary upstreams to keep while spot ones serve."""
        if limits.spot_price_ratio > CHEAP_SPOT_RATIO:
            return limits.maximum
        if spot_live >= limits.minimum:
            return 0
        # None is given up before its replacement serves.
        if self._is_dry(service, data_centre, now_s):
            return max(limits.minimum, plain_live)
        return max(limits.minimum - spot_live, plain_live)

    def _spot_count(self, limits: ScalingLimits, plain: int) -> int:
        if limits.spot_price_ratio > CHEAP_SPOT_RATIO:
            return 0
        return max(0, limits.maximum - plain)

    def _is_dry(self, service: str, data_centre: str, now_s: float) -> bool:
        return now_s < self._dry_until_s.get((service, data_centre, True), 0.0)

    def _is_due(
        self,
        place: Place,
        count: int,
        alive: int,
        boot_s: float,
        now_s: float,
    ) -> bool:
        if now_s < self._dry_until_s.get(place, 0.0):
            return False
        order = self._order_by_place.get(place)
        if order is None:
            return count != alive
        if order.count != count:
            return True
        overdue = now_s - order.sent_s > boot_s + REPEAT_MARGIN_S
        return alive != count and overdue
