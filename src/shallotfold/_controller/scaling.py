"""Decide which upstreams to start and which to release.

The decision is a pure function of observed demand, prices and the budget. The
holder of a data centre's duty sends that data centre's orders.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import enum

import attrs

from shallotfold._model.configuration import Offer

TARGET_UTILISATION = 0.75
"""Highest planned share of the output rate; above it latency rises."""

RELEASE_UTILISATION = 0.6
"""Highest planned share after a release; the gap avoids flapping."""

PROTECTED_TIERS = 2
"""Number of the highest tiers, whose demand is protected.

It is met even if all reclaimable upstreams of one data centre are lost.
"""

RELEASE_AFTER_SURPLUS_S = 60.0
"""How long a surplus must last before an upstream is released."""


class UpstreamPhase(enum.Enum):
    """Lifecycle phase of an ordered or declared upstream."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class ProvisionedUpstream:
    """An upstream that is paid for.

    Attributes:
        name: Unique name.
        offer: Offer it was started from; empty if declared by an operator.
        model: Model it serves.
        data_centre: Where it runs.
        tokens_per_s: Output rate at full load.
        price_per_hour: Cost.
        reclaimable: Whether the platform may reclaim it at any moment.
        phase: Lifecycle phase.
        surplus_s: For how long its model has had more capacity than needed.
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
        model: Requested model.
        tier: Tier of the requesting classes.
        tokens_per_s: Requested output tokens per second, including those of
            refused requests.
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
        refused_offers: Offers that the platform refused recently.
        max_price_per_hour: Budget for all upstreams together.
    """

    demand: Sequence[TierDemand]
    upstreams: Sequence[ProvisionedUpstream]
    offers_by_name: Mapping[str, Offer]
    refused_offers: frozenset[str] = frozenset()
    max_price_per_hour: float


@attrs.frozen(kw_only=True)
class ScalingPlan:
    """What to order.

    Attributes:
        starts: Names of offers to start one upstream from; may repeat.
        releases: Names of upstreams to release.
        unmet_tokens_per_s: Protected demand that stays unserved, for lack of
            budget or offers, in the worst loss of one data centre's
            reclaimable upstreams.
    """

    starts: tuple[str, ...]
    releases: tuple[str, ...]
    unmet_tokens_per_s: float


@attrs.frozen(kw_only=True)
class _Capacity:
    """Output rate of one upstream or offer, and where it can be reclaimed."""

    tokens_per_s: float
    data_centre: str
    reclaimable: bool


@attrs.frozen(kw_only=True)
class _RequiredCapacity:
    """Output rate that one model needs.

    Attributes:
        total: Rate for all tiers while all upstreams run.
        protected: Rate that must remain when the reclaimable upstreams of any
            one data centre are lost.
    """

    total: float
    protected: float


def plan_orders(inputs: ScalingInput) -> ScalingPlan:
    """Return the orders that meet demand at the least cost.

    Higher tiers come first when the budget is short. Upstreams declared by
    operators count as capacity and are never released.
    """
    budget = inputs.max_price_per_hour - sum(
        upstream.price_per_hour for upstream in inputs.upstreams
    )
    starts: list[str] = []
    releases: list[str] = []
    unmet_rate = 0.0
    for model in sorted(_all_models(inputs)):
        releases += _plan_releases(inputs, model)
        model_starts = _plan_starts(inputs, model, budget)
        budget -= sum(
            inputs.offers_by_name[name].price_per_hour for name in model_starts
        )
        starts += model_starts
        unmet_rate += _unmet_rate(inputs, model, model_starts)
    return ScalingPlan(
        starts=tuple(starts),
        releases=tuple(releases),
        unmet_tokens_per_s=unmet_rate,
    )


def _all_models(inputs: ScalingInput) -> set[str]:
    requested = {demand.model for demand in inputs.demand}
    provisioned = {
        upstream.model for upstream in inputs.upstreams if upstream.model
    }
    return requested | provisioned


def _required_capacity(
    inputs: ScalingInput, model: str, utilisation: float
) -> _RequiredCapacity:
    lead_time_s = min(
        (o.start_s for o in inputs.offers_by_name.values() if o.model == model),
        default=0.0,
    )
    total = 0.0
    protected = 0.0
    for demand in inputs.demand:
        if demand.model != model:
            continue
        growth = max(0.0, demand.growth_per_s) * lead_time_s
        rate = demand.tokens_per_s + min(growth, demand.tokens_per_s)
        total += rate
        if demand.tier <= PROTECTED_TIERS:
            protected += rate
    return _RequiredCapacity(
        total=total / utilisation, protected=protected / utilisation
    )


def _provisioned_capacity(inputs: ScalingInput, model: str) -> list[_Capacity]:
    return [
        _Capacity(
            tokens_per_s=upstream.tokens_per_s,
            data_centre=upstream.data_centre,
            reclaimable=upstream.reclaimable,
        )
        for upstream in inputs.upstreams
        if upstream.model == model
        and upstream.phase is not UpstreamPhase.LEAVING
    ]


def _offered_capacity(offer: Offer) -> _Capacity:
    return _Capacity(
        tokens_per_s=offer.tokens_per_s,
        data_centre=offer.data_centre,
        reclaimable=offer.reclaimable,
    )


def _shortfall(
    capacities: Iterable[_Capacity], required: _RequiredCapacity
) -> float:
    """Return the missing rate, summed over `total` and `protected`; or 0."""
    total = 0.0
    reclaimable_by_data_centre: dict[str, float] = {}
    for capacity in capacities:
        total += capacity.tokens_per_s
        if capacity.reclaimable:
            reclaimable_rate = reclaimable_by_data_centre.get(
                capacity.data_centre, 0.0
            )
            reclaimable_by_data_centre[capacity.data_centre] = (
                reclaimable_rate + capacity.tokens_per_s
            )
    remaining = total - max(reclaimable_by_data_centre.values(), default=0.0)
    return max(0.0, required.total - total) + max(
        0.0, required.protected - remaining
    )


def _plan_starts(inputs: ScalingInput, model: str, budget: float) -> list[str]:
    required = _required_capacity(inputs, model, TARGET_UTILISATION)
    capacities = _provisioned_capacity(inputs, model)
    starts: list[str] = []
    while (shortfall := _shortfall(capacities, required)) > 0:
        offer = _best_offer(inputs, model, capacities, starts, budget)
        if offer is None:
            break
        added = [*capacities, _offered_capacity(offer)]
        if _shortfall(added, required) >= shortfall:
            break
        capacities = added
        budget -= offer.price_per_hour
        starts.append(offer.name)
    return starts


def _best_offer(
    inputs: ScalingInput,
    model: str,
    capacities: Sequence[_Capacity],
    starts: Sequence[str],
    budget: float,
) -> Offer | None:
    """Return the offer with the lowest price per removed shortfall."""
    required = _required_capacity(inputs, model, TARGET_UTILISATION)
    shortfall = _shortfall(capacities, required)

    def price_per_gain(offer: Offer) -> tuple[float, float, str]:
        added = [*capacities, _offered_capacity(offer)]
        gain = shortfall - _shortfall(added, required)
        data_centre_rate = sum(
            capacity.tokens_per_s
            for capacity in capacities
            if capacity.data_centre == offer.data_centre
        )
        price = offer.price_per_hour
        return (
            price / gain if gain > 0 else float("inf"),
            data_centre_rate,
            offer.name,
        )

    candidates = [
        offer
        for offer in inputs.offers_by_name.values()
        if offer.model == model
        and offer.name not in inputs.refused_offers
        and offer.price_per_hour <= budget
        and _ordered_count(inputs, offer, starts) < offer.max_count
    ]
    return min(candidates, key=price_per_gain, default=None)


def _ordered_count(
    inputs: ScalingInput, offer: Offer, starts: Sequence[str]
) -> int:
    existing = sum(u.offer == offer.name for u in inputs.upstreams)
    return existing + starts.count(offer.name)


def _plan_releases(inputs: ScalingInput, model: str) -> list[str]:
    """Return the upstreams to release, most expensive first.

    The others still meet the required rate.
    """
    required = _required_capacity(inputs, model, RELEASE_UTILISATION)
    remaining = [
        upstream
        for upstream in inputs.upstreams
        if upstream.model == model
        and upstream.phase is not UpstreamPhase.LEAVING
    ]
    releases: list[str] = []
    most_expensive_first = sorted(
        remaining,
        key=lambda u: (-u.price_per_hour / u.tokens_per_s, u.name),
    )
    for upstream in most_expensive_first:
        if not upstream.offer or upstream.surplus_s < RELEASE_AFTER_SURPLUS_S:
            continue
        others = [other for other in remaining if other is not upstream]
        capacities = [
            _Capacity(
                tokens_per_s=other.tokens_per_s,
                data_centre=other.data_centre,
                reclaimable=other.reclaimable,
            )
            for other in others
        ]
        if others and _shortfall(capacities, required) == 0.0:
            remaining = others
            releases.append(upstream.name)
    return releases


def _unmet_rate(
    inputs: ScalingInput, model: str, starts: Sequence[str]
) -> float:
    required = _required_capacity(inputs, model, TARGET_UTILISATION)
    capacities = _provisioned_capacity(inputs, model)
    capacities += [
        _offered_capacity(inputs.offers_by_name[name]) for name in starts
    ]
    protected_only = _RequiredCapacity(
        total=required.protected, protected=required.protected
    )
    return _shortfall(capacities, protected_only) / 2
