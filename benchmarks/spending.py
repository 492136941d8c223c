"""Compare what upstreams cost under several ordering policies.

A fluid model in virtual time: demand by tier over a day with bursts, spot
upstreams reclaimed by data centre, refused orders, a startup delay for each
upstream. Work is served from the highest tier down, up to the utilisation at
which latency targets are met. It doesn't model queues or single requests;
`benchmarks.policy` does.

    python -m benchmarks.spending --seed 1 --json
"""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import json
import math
import random

import attrs

from shallotfold._controller.scaling import PROTECTED_TIERS
from shallotfold._controller.scaling import RELEASE_UTILISATION
from shallotfold._controller.scaling import TARGET_UTILISATION
from shallotfold._controller.scaling import ProvisionedUpstream
from shallotfold._controller.scaling import ScalingInput
from shallotfold._controller.scaling import ScalingPlan
from shallotfold._controller.scaling import TierDemand
from shallotfold._controller.scaling import UpstreamPhase
from shallotfold._controller.scaling import plan_orders
from shallotfold._model.configuration import Offer

DAY_S = 86_400
STEP_S = 10
MODEL = "small"
DATA_CENTRES = ("a", "b", "c", "d")
PEAK_TOKENS_PER_S_BY_TIER = {1: 500.0, 2: 600.0, 3: 300.0}
BURST_COUNT = 6
BURST_S = 900
BURST_FACTOR = 3.0
RECLAIM_COUNT = 4
RECLAIM_DURATION_S = 1800
REFUSED_SHARE = 0.1
REFUSED_OFFER_BACKOFF_S = 60
BUDGET_PER_HOUR = 60.0
UPSTREAM_TOKENS_PER_S = 400.0

Policy = Callable[[ScalingInput], ScalingPlan]


@attrs.define
class PaidUpstream:
    """An upstream that is paid for from its order until it ends."""

    name: str
    offer: Offer
    ready_s: float


@attrs.frozen(kw_only=True)
class Result:
    """Results of one day under one ordering policy.

    Attributes:
        spend: Price of all upstreams.
        good_tokens: Tokens served within the utilisation that meets targets.
        spend_per_good_token: Their ratio.
        served_by_tier: Share of each tier's tokens that was served.
        protected_short_s: Time in which protected tiers were not fully served.
    """

    spend: float
    good_tokens: float
    spend_per_good_token: float
    served_by_tier: dict[int, float]
    protected_short_s: int


class Day:
    """Demand and faults of one day, the same for every ordering policy."""

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self._bursts = [
            (rng.randrange(DAY_S), rng.choice([1, 2, 3]))
            for _ in range(BURST_COUNT)
        ]
        self.reclaims = [
            (rng.randrange(DAY_S), rng.choice(DATA_CENTRES))
            for _ in range(RECLAIM_COUNT)
        ]
        self._ripple_phase = rng.uniform(0.0, 100.0)

    def rate(self, tier: int, at_s: int) -> float:
        """Return the demand of a tier in tokens per second."""
        daily = 0.55 - 0.45 * math.cos(2 * math.pi * at_s / DAY_S)
        ripple = 1 + 0.1 * math.sin(at_s / 300 + tier + self._ripple_phase)
        burst = any(
            start_s <= at_s < start_s + BURST_S and tier == burst_tier
            for start_s, burst_tier in self._bursts
        )
        factor = BURST_FACTOR if burst else 1.0
        return PEAK_TOKENS_PER_S_BY_TIER[tier] * daily * ripple * factor

    def growth(self, tier: int, at_s: int) -> float:
        """Return the change of the rate per second."""
        before = self.rate(tier, at_s - STEP_S)
        return (self.rate(tier, at_s) - before) / STEP_S

    def reclaimed(self, at_s: int) -> set[str]:
        """Return the data centres without spot upstreams at a time."""
        return {
            data_centre
            for start_s, data_centre in self.reclaims
            if start_s <= at_s < start_s + RECLAIM_DURATION_S
        }


def make_offers() -> dict[str, Offer]:
    """Return a spot and an on-demand offer in each data centre."""
    offers = {}
    for name in DATA_CENTRES:
        for kind, price, reclaimable in (
            ("cheap", 1.2, True),
            ("steady", 4.0, False),
        ):
            offers[f"{kind}-{name}"] = Offer(
                name=f"{kind}-{name}",
                data_centre=name,
                model=MODEL,
                tokens_per_s=UPSTREAM_TOKENS_PER_S,
                price_per_hour=price,
                reclaimable=reclaimable,
                start_s=60.0,
                max_count=6,
            )
    return offers


def provision_for_peak(inputs: ScalingInput) -> ScalingPlan:
    """Keep on-demand upstreams for the known peak all day."""
    peak = sum(PEAK_TOKENS_PER_S_BY_TIER.values()) * 1.1 / TARGET_UTILISATION
    required_count = math.ceil(peak / UPSTREAM_TOKENS_PER_S)
    missing = max(0, required_count - len(inputs.upstreams))
    names = [f"steady-{name}" for name in DATA_CENTRES]
    starts = tuple(names[index % len(names)] for index in range(missing))
    return ScalingPlan(starts=starts, releases=(), unmet_tokens_per_s=0.0)


def track_demand_with_cheapest(inputs: ScalingInput) -> ScalingPlan:
    """Follow demand with the cheapest offer, without spread or reserve."""
    rate = sum(demand.tokens_per_s for demand in inputs.demand)
    required_count = math.ceil(
        rate / TARGET_UTILISATION / UPSTREAM_TOKENS_PER_S
    )
    upstream_count = len(inputs.upstreams)
    usable_offers = sorted(
        (o.price_per_hour, o.name)
        for o in inputs.offers_by_name.values()
        if o.name not in inputs.refused_offers
    )
    starts = (
        (usable_offers[0][1],) * max(0, required_count - upstream_count)
        if usable_offers
        else ()
    )
    surplus = [u.name for u in inputs.upstreams if u.surplus_s >= 60.0]
    releases = tuple(surplus[: max(0, upstream_count - required_count)])
    return ScalingPlan(starts=starts, releases=releases, unmet_tokens_per_s=0.0)


class Run:
    """One day under one ordering policy."""

    def __init__(self, day: Day, policy: Policy, seed: int) -> None:
        self._day = day
        self._policy = policy
        self._random = random.Random(f"{seed}/orders")
        self._offers = make_offers()
        self._upstreams: list[PaidUpstream] = []
        self._refused_until_s_by_offer: dict[str, int] = {}
        self._surplus_since_s: int | None = None
        self._spend = 0.0
        self._demanded_by_tier = dict.fromkeys(PEAK_TOKENS_PER_S_BY_TIER, 0.0)
        self._served_by_tier = dict.fromkeys(PEAK_TOKENS_PER_S_BY_TIER, 0.0)
        self._shortfall_s = 0

    def run(self) -> Result:
        """Run the whole day and return its results."""
        for at_s in range(0, DAY_S, STEP_S):
            self._reclaim(at_s)
            demand = self._demand(at_s)
            self._update_surplus(demand, at_s)
            self._order(self._policy(self._make_input(demand, at_s)), at_s)
            self._serve(demand, at_s)
        good_tokens = sum(self._served_by_tier.values())
        return Result(
            spend=round(self._spend, 2),
            good_tokens=round(good_tokens),
            spend_per_good_token=self._spend / good_tokens,
            served_by_tier={
                tier: round(self._served_by_tier[tier] / demanded, 4)
                for tier, demanded in self._demanded_by_tier.items()
            },
            protected_short_s=self._shortfall_s,
        )

    def _reclaim(self, at_s: int) -> None:
        reclaimed = self._day.reclaimed(at_s)
        self._upstreams = [
            upstream
            for upstream in self._upstreams
            if not _is_reclaimed(upstream.offer, reclaimed)
        ]

    def _demand(self, at_s: int) -> list[TierDemand]:
        return [
            TierDemand(
                model=MODEL,
                tier=tier,
                tokens_per_s=self._day.rate(tier, at_s),
                growth_per_s=self._day.growth(tier, at_s),
            )
            for tier in PEAK_TOKENS_PER_S_BY_TIER
        ]

    def _update_surplus(self, demand: list[TierDemand], at_s: int) -> None:
        needed = sum(d.tokens_per_s for d in demand) / RELEASE_UTILISATION
        if UPSTREAM_TOKENS_PER_S * (len(self._upstreams) - 1) < needed:
            self._surplus_since_s = None
        elif self._surplus_since_s is None:
            self._surplus_since_s = at_s

    def _make_input(self, demand: list[TierDemand], at_s: int) -> ScalingInput:
        refused = frozenset(
            name
            for name, until_s in self._refused_until_s_by_offer.items()
            if at_s < until_s
        )
        return ScalingInput(
            demand=demand,
            upstreams=[
                _to_provisioned(upstream, at_s, self._surplus_since_s)
                for upstream in self._upstreams
            ],
            offers_by_name=self._offers,
            refused_offers=refused,
            max_price_per_hour=BUDGET_PER_HOUR,
        )

    def _order(self, plan: ScalingPlan, at_s: int) -> None:
        reclaimed = self._day.reclaimed(at_s)
        self._upstreams = [
            u for u in self._upstreams if u.name not in plan.releases
        ]
        for index, name in enumerate(plan.starts):
            offer = self._offers[name]
            refused = self._random.random() < REFUSED_SHARE
            if refused or _is_reclaimed(offer, reclaimed):
                self._refused_until_s_by_offer[name] = (
                    at_s + REFUSED_OFFER_BACKOFF_S
                )
                continue
            upstream_name = f"{name}-{at_s}-{index}"
            self._upstreams.append(
                PaidUpstream(upstream_name, offer, at_s + offer.start_s)
            )

    def _serve(self, demand: list[TierDemand], at_s: int) -> None:
        ready = [u for u in self._upstreams if u.ready_s <= at_s]
        remaining_rate = TARGET_UTILISATION * UPSTREAM_TOKENS_PER_S * len(ready)
        has_shortfall = False
        for tier_demand in demand:
            rate = min(remaining_rate, tier_demand.tokens_per_s)
            remaining_rate -= rate
            self._demanded_by_tier[tier_demand.tier] += (
                tier_demand.tokens_per_s * STEP_S
            )
            self._served_by_tier[tier_demand.tier] += rate * STEP_S
            if (
                tier_demand.tier <= PROTECTED_TIERS
                and rate < tier_demand.tokens_per_s
            ):
                has_shortfall = True
        self._shortfall_s += STEP_S * has_shortfall
        prices = sum(
            upstream.offer.price_per_hour for upstream in self._upstreams
        )
        self._spend += prices * STEP_S / 3600


def _is_reclaimed(offer: Offer, data_centres: set[str]) -> bool:
    return offer.reclaimable and offer.data_centre in data_centres


def _to_provisioned(
    upstream: PaidUpstream, at_s: int, surplus_since_s: int | None
) -> ProvisionedUpstream:
    serving = upstream.ready_s <= at_s
    return ProvisionedUpstream(
        name=upstream.name,
        offer=upstream.offer.name,
        model=MODEL,
        data_centre=upstream.offer.data_centre,
        tokens_per_s=upstream.offer.tokens_per_s,
        price_per_hour=upstream.offer.price_per_hour,
        reclaimable=upstream.offer.reclaimable,
        phase=UpstreamPhase.SERVING if serving else UpstreamPhase.STARTING,
        surplus_s=0.0 if surplus_since_s is None else at_s - surplus_since_s,
    )


POLICIES: dict[str, Policy] = {
    "steady_peak": provision_for_peak,
    "cheapest_first": track_demand_with_cheapest,
    "current": plan_orders,
}


def main(argv: Sequence[str] | None = None) -> None:
    """Print the results of every policy for one seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args(argv)
    results = {
        name: Run(Day(options.seed), policy, options.seed).run()
        for name, policy in POLICIES.items()
    }
    if options.json:
        results_by_policy = {
            name: attrs.asdict(r) for name, r in results.items()
        }
        print(json.dumps({"seed": options.seed, **results_by_policy}))
        return
    for name, result in results.items():
        print(
            f"{name:15} spend={result.spend:.2f} "
            f"per_million_good={1e6 * result.spend_per_good_token:.3f} "
            f"served={result.served_by_tier} "
            f"protected_short_s={result.protected_short_s}"
        )


if __name__ == "__main__":
    main()
