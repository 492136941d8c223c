"""Decide which share of a limited upstream's requests this host may send.

Shares follow the demand that hosts announce in their heartbeats. A host counts
with a demand that its peers have had time to learn, and its peers with the
larger one of their last two: while demand moves, the shares of all hosts add up
to less than one rather than to more.
"""

from collections.abc import Mapping

import attrs

# Demand is announced for this long before it changes; at least one heartbeat
# falls into it.
DEMAND_PERIOD_S = 2.0
# A peer still uses its previous demand for a whole period after it announced a
# new one. Its next heartbeat may take as long again, and one may be lost.
PREVIOUS_DEMAND_VALIDITY_S = 3.0 * DEMAND_PERIOD_S
# Weight of the newest period in the demand that is announced.
NEWEST_WEIGHT = 0.4
# Every host gets a share, so that its first callers are served too.
BASE_DEMAND_PER_S = 0.05
# A demand below this isn't announced; it matters less than the one above.
MIN_ANNOUNCED_PER_S = 0.01
# A host that has just started doesn't know its peers yet.
SETTLING_S = 3.0
# A peer that is silent may be cut off from this host only and still send, so
# its share isn't given to others until it is forgotten.
FORGET_AFTER_S = 60.0
# Peers that don't know of a larger demand leave no room for it. A host uses it
# only if it heard at least this share of its peers since it was announced. With
# demand in force that no peer knew of, 72 hosts that were cut off after a burst
# took 0.66 of the slots each.
MIN_HEARD_SHARE = 2.0 / 3.0
# A host that hears less than half of its peers for this long can't know whether
# they hear of its demand.
IN_TOUCH_S = 5.0
MIN_IN_TOUCH_SHARE = 0.5


@attrs.frozen
class Share:
    """Part of the interval from 0 to 1 that belongs to one host.

    Attributes:
        low: Its lower end, included.
        high: Its upper end, excluded.
    """

    low: float
    high: float

    @property
    def width(self) -> float:
        """The fraction that belongs to the host."""
        return self.high - self.low


NO_SHARE = Share(0.0, 0.0)


@attrs.define
class _Demand:
    """Announced requests per second by service.

    Attributes:
        newest: The newest announcement.
        previous: The one before.
        changed_s: When the newest one replaced it.
        received_s: When the host was last heard.
    """

    newest: Mapping[str, float]
    previous: Mapping[str, float]
    changed_s: float
    received_s: float

    def largest(self, service: str, now_s: float) -> float:
        demand = self.newest.get(service, 0.0)
        if now_s - self.changed_s < PREVIOUS_DEMAND_VALIDITY_S:
            demand = max(demand, self.previous.get(service, 0.0))
        return demand + BASE_DEMAND_PER_S


@attrs.define(kw_only=True)
class LimitShares:
    """Demand of all hosts, and the share of this one.

    Attributes:
        host: Name of this host.
    """

    host: str = ""
    _started_s: float | None = None
    _period_started_s: float = 0.0
    _count_by_service: dict[str, int] = attrs.field(factory=dict)
    _announced: dict[str, float] = attrs.field(factory=dict)
    _in_force: dict[str, float] = attrs.field(factory=dict)
    _demand_by_peer: dict[str, _Demand] = attrs.field(factory=dict)

    def count_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._count_by_service[service] = (
            self._count_by_service.get(service, 0) + 1
        )

    def announced_demand(self) -> dict[str, float]:
        """Return the demand of this host, for its peers."""
        return dict(self._announced)

    def record_peer_demand(
        self, peer: str, demand_by_service: Mapping[str, float], now_s: float
    ) -> None:
        """Record the demand that a peer announced."""
        known = self._demand_by_peer.get(peer)
        if known is None:
            known = _Demand(demand_by_service, {}, now_s, now_s)
            self._demand_by_peer[peer] = known
        elif demand_by_service != known.newest:
            known.previous = known.newest
            known.newest = demand_by_service
            known.changed_s = now_s
        known.received_s = now_s

    def update(self, now_s: float) -> None:
        """Begin a new period when the last one is over."""
        if self._started_s is None:
            self._started_s = self._period_started_s = now_s
        period_s = now_s - self._period_started_s
        if period_s < DEMAND_PERIOD_S:
            return
        for peer, demand in list(self._demand_by_peer.items()):
            if now_s - demand.received_s > FORGET_AFTER_S:
                del self._demand_by_peer[peer]
        counts, self._count_by_service = self._count_by_service, {}
        self._period_started_s = now_s
        measured = {
            service: (1.0 - NEWEST_WEIGHT) * self._announced.get(service, 0.0)
            + NEWEST_WEIGHT * counts.get(service, 0) / period_s
            for service in counts.keys() | self._announced.keys()
        }
        measured = {
            service: demand
            for service, demand in measured.items()
            if demand >= MIN_ANNOUNCED_PER_S
        }
        if self._heard_share(now_s, period_s) >= MIN_HEARD_SHARE:
            self._in_force = self._announced
        else:
            self._in_force = _lower(self._announced, self._in_force)
        if self._heard_share(now_s, IN_TOUCH_S) >= MIN_IN_TOUCH_SHARE:
            self._announced = measured
        else:
            self._announced = _lower(measured, self._announced)

    def share_of(self, service: str, now_s: float) -> Share:
        """Return the share of this host for a service."""
        if self._started_s is None or now_s - self._started_s < SETTLING_S:
            return NO_SHARE
        own = self._in_force.get(service, 0.0) + BASE_DEMAND_PER_S
        before = total = 0.0
        for peer, demand in self._demand_by_peer.items():
            peer_demand = demand.largest(service, now_s)
            total += peer_demand
            if peer < self.host:
                before += peer_demand
        total += own
        return Share(before / total, (before + own) / total)

    def _heard_share(self, now_s: float, span_s: float) -> float:
        """Return the share of peers heard within the span; 1 without peers."""
        if not self._demand_by_peer:
            return 1.0
        heard = sum(
            now_s - demand.received_s <= span_s
            for demand in self._demand_by_peer.values()
        )
        return heard / len(self._demand_by_peer)


def _lower(
    demand: Mapping[str, float], bound: Mapping[str, float]
) -> dict[str, float]:
    """Return the demand by service, bounded by another one."""
    return {
        service: min(rate, bound.get(service, 0.0))
        for service, rate in demand.items()
    }
