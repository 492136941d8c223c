"""Decide which upstreams to start and which to release.

The decision is a pure function of observed demand, prices and the budget.
Orders are carried out by the holder of the data centre's duty.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import enum

import attrs

from shallotfold._model.configuration import Offer

TARGET_UTILISATION = 0.75
"""Share of the output rate that may be used before latency suffers."""

RELEASE_UTILISATION = 0.6
"""Share that may be used after a release, so that none is started again."""

PROTECTED_TIERS = 2
"""Tiers, from the highest, that must survive the loss of a data centre."""

RELEASE_IDLE_S = 60.0
"""Time for which a surplus must last before an upstream is released."""


class UpstreamPhase(enum.Enum):
    """Where an ordered or declared upstream is in its life."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class OwnedUpstream:
    """An upstream that is paid for.

    Attributes:
        name: Unique name.
        offer: Offer it was started from; empty when declared.
        model: Model it serves.
        data_centre: Where it runs.
        tokens_per_s: Output rate when full.
        price_per_hour: Cost.
        reclaimable: Whether the platform may take it back at any moment.
        phase: Where it is in its life.
        surplus_s: How long the model has had more capacity than it needs.
    """

    name: str
    offer: str
    model: str
    data_centre: str
    tokens_per_s: float
    price_per_hour: float
    reclaimable: bool
    phase: UpstreamPhase
    surplus_s: float = 0.0


@attrs.frozen(kw_only=True)
class TierDemand:
    """Demand for one model in one tier.

    Attributes:
        model: Model asked for.
        tier: Tier of the classes that ask.
        tokens_per_s: Output tokens asked for per second, refused ones too.
        growth_per_s: Change of that rate per second; negative when falling.
    """

    model: str
    tier: int
    tokens_per_s: float
    growth_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class ScalingInput:
    """Everything the decision depends on.

    Attributes:
        demand: Demand by model and tier.
        upstreams: Upstreams that are paid for.
        offers_by_name: Upstreams that may be ordered.
        refused_offers: Offers that the platform refused lately.
        max_price_per_hour: Budget for all upstreams together.
    """

    demand: Sequence[TierDemand]
    upstreams: Sequence[OwnedUpstream]
    offers_by_name: Mapping[str, Offer]
    refused_offers: frozenset[str] = frozenset()
    max_price_per_hour: float


@attrs.frozen(kw_only=True)
class ScalingPlan:
    """What to order.

    Attributes:
        starts: Names of offers to start one upstream from; may repeat.
        releases: Names of upstreams to release.
        unmet_tokens_per_s: Protected demand that the budget or the offers
            leave unserved if the worst data centre is lost.
    """

    starts: tuple[str, ...]
    releases: tuple[str, ...]
    unmet_tokens_per_s: float


@attrs.frozen(kw_only=True)
class _Capacity:
    """Output rate of one upstream or offer, and where it may vanish."""

    tokens_per_s: float
    data_centre: str
    reclaimable: bool


@attrs.frozen(kw_only=True)
class _Need:
    """Output rate that one model needs.

    Attributes:
        total: Rate for all tiers while everything runs.
        protected: Rate that must remain after any one data centre's
            reclaimable upstreams are gone.
    """

    total: float
    protected: float


def plan_orders(given: ScalingInput) -> ScalingPlan:
    """Return the orders that meet demand at the least cost.

    Higher tiers come first when the budget is short. Upstreams that were
    declared by operators are counted, never released.
    """
    budget = given.max_price_per_hour - sum(
        upstream.price_per_hour for upstream in given.upstreams
    )
    starts: list[str] = []
    releases: list[str] = []
    unmet = 0.0
    for model in sorted(_models(given)):
        releases += _plan_releases(given, model)
        started = _plan_starts(given, model, budget)
        budget -= sum(
            given.offers_by_name[name].price_per_hour for name in started
        )
        starts += started
        unmet += _unmet(given, model, started)
    return ScalingPlan(
        starts=tuple(starts),
        releases=tuple(releases),
        unmet_tokens_per_s=unmet,
    )


def _models(given: ScalingInput) -> set[str]:
    asked = {demand.model for demand in given.demand}
    paid = {upstream.model for upstream in given.upstreams if upstream.model}
    return asked | paid


def _need(given: ScalingInput, model: str, utilisation: float) -> _Need:
    lead_s = min(
        (o.start_s for o in given.offers_by_name.values() if o.model == model),
        default=0.0,
    )
    total = 0.0
    protected = 0.0
    for demand in given.demand:
        if demand.model != model:
            continue
        growth = max(0.0, demand.growth_per_s) * lead_s
        rate = demand.tokens_per_s + min(growth, demand.tokens_per_s)
        total += rate
        if demand.tier <= PROTECTED_TIERS:
            protected += rate
    return _Need(total=total / utilisation, protected=protected / utilisation)


def _paid_capacity(given: ScalingInput, model: str) -> list[_Capacity]:
    return [
        _Capacity(
            tokens_per_s=upstream.tokens_per_s,
            data_centre=upstream.data_centre,
            reclaimable=upstream.reclaimable,
        )
        for upstream in given.upstreams
        if upstream.model == model
        and upstream.phase is not UpstreamPhase.LEAVING
    ]


def _offered_capacity(offer: Offer) -> _Capacity:
    return _Capacity(
        tokens_per_s=offer.tokens_per_s,
        data_centre=offer.data_centre,
        reclaimable=offer.reclaimable,
    )


def _shortfall(capacities: Iterable[_Capacity], need: _Need) -> float:
    """Return the missing rate, summed over both needs; 0 when both hold."""
    total = 0.0
    reclaimable_by_data_centre: dict[str, float] = {}
    for capacity in capacities:
        total += capacity.tokens_per_s
        if capacity.reclaimable:
            lost = reclaimable_by_data_centre.get(capacity.data_centre, 0.0)
            reclaimable_by_data_centre[capacity.data_centre] = (
                lost + capacity.tokens_per_s
            )
    remaining = total - max(reclaimable_by_data_centre.values(), default=0.0)
    return max(0.0, need.total - total) + max(0.0, need.protected - remaining)


def _plan_starts(given: ScalingInput, model: str, budget: float) -> list[str]:
    need = _need(given, model, TARGET_UTILISATION)
    capacities = _paid_capacity(given, model)
    started: list[str] = []
    while (missing := _shortfall(capacities, need)) > 0:
        offer = _best_offer(given, model, capacities, started, budget)
        if offer is None:
            break
        added = [*capacities, _offered_capacity(offer)]
        if _shortfall(added, need) >= missing:
            break
        capacities = added
        budget -= offer.price_per_hour
        started.append(offer.name)
    return started


def _best_offer(
    given: ScalingInput,
    model: str,
    capacities: Sequence[_Capacity],
    started: Sequence[str],
    budget: float,
) -> Offer | None:
    """Return the offer that closes the most shortfall per price."""
    need = _need(given, model, TARGET_UTILISATION)
    missing = _shortfall(capacities, need)

    def price_per_gain(offer: Offer) -> tuple[float, float, str]:
        added = [*capacities, _offered_capacity(offer)]
        gain = missing - _shortfall(added, need)
        in_place = sum(
            capacity.tokens_per_s
            for capacity in capacities
            if capacity.data_centre == offer.data_centre
        )
        price = offer.price_per_hour
        return price / gain if gain > 0 else float("inf"), in_place, offer.name

    candidates = [
        offer
        for offer in given.offers_by_name.values()
        if offer.model == model
        and offer.name not in given.refused_offers
        and offer.price_per_hour <= budget
        and _count(given, offer, started) < offer.max_count
    ]
    return min(candidates, key=price_per_gain, default=None)


def _count(given: ScalingInput, offer: Offer, started: Sequence[str]) -> int:
    running = sum(u.offer == offer.name for u in given.upstreams)
    return running + started.count(offer.name)


def _plan_releases(given: ScalingInput, model: str) -> list[str]:
    """Release the dearest surplus first while the need stays met."""
    need = _need(given, model, RELEASE_UTILISATION)
    kept = [
        upstream
        for upstream in given.upstreams
        if upstream.model == model
        and upstream.phase is not UpstreamPhase.LEAVING
    ]
    released: list[str] = []
    dearest_first = sorted(
        kept,
        key=lambda u: (-u.price_per_hour / u.tokens_per_s, u.name),
    )
    for upstream in dearest_first:
        if not upstream.offer or upstream.surplus_s < RELEASE_IDLE_S:
            continue
        rest = [other for other in kept if other is not upstream]
        capacities = [
            _Capacity(
                tokens_per_s=other.tokens_per_s,
                data_centre=other.data_centre,
                reclaimable=other.reclaimable,
            )
            for other in rest
        ]
        if rest and _shortfall(capacities, need) == 0.0:
            kept = rest
            released.append(upstream.name)
    return released


def _unmet(given: ScalingInput, model: str, started: Sequence[str]) -> float:
    need = _need(given, model, TARGET_UTILISATION)
    capacities = _paid_capacity(given, model)
    capacities += [
        _offered_capacity(given.offers_by_name[name]) for name in started
    ]
    protected_only = _Need(total=need.protected, protected=need.protected)
    return _shortfall(capacities, protected_only) / 2
