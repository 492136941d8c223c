import attrs
from hypothesis import given
from hypothesis import strategies

from shallotfold._controller.scaling import ProvisionedUpstream
from shallotfold._controller.scaling import ScalingInput
from shallotfold._controller.scaling import TierDemand
from shallotfold._controller.scaling import UpstreamPhase
from shallotfold._controller.scaling import plan_orders
from shallotfold._model.configuration import Offer

DATA_CENTRES = ("a", "b", "c", "d")
SPOT_OFFERS = {
    f"cheap-{name}": Offer(
        name=f"cheap-{name}",
        data_centre=name,
        model="m",
        tokens_per_s=400.0,
        price_per_hour=1.0,
        reclaimable=True,
    )
    for name in DATA_CENTRES
}
ON_DEMAND_OFFERS = {
    f"steady-{name}": Offer(
        name=f"steady-{name}",
        data_centre=name,
        model="m",
        tokens_per_s=400.0,
        price_per_hour=3.0,
    )
    for name in DATA_CENTRES
}


def make_input(
    rate: float, tier: int = 1, offers: dict[str, Offer] | None = None
) -> ScalingInput:
    return ScalingInput(
        demand=[TierDemand(model="m", tier=tier, tokens_per_s=rate)],
        upstreams=[],
        offers_by_name=SPOT_OFFERS | ON_DEMAND_OFFERS
        if offers is None
        else offers,
        max_price_per_hour=100.0,
    )


def make_upstream(
    offer: Offer, index: int, surplus_s: float = 0.0
) -> ProvisionedUpstream:
    return ProvisionedUpstream(
        name=f"{offer.name}-{index}",
        offer=offer.name,
        model=offer.model,
        data_centre=offer.data_centre,
        tokens_per_s=offer.tokens_per_s,
        price_per_hour=offer.price_per_hour,
        reclaimable=offer.reclaimable,
        phase=UpstreamPhase.SERVING,
        surplus_s=surplus_s,
    )


def test_protected_demand_survives_the_loss_of_any_data_centre() -> None:
    plan = plan_orders(make_input(600.0))
    offers = SPOT_OFFERS | ON_DEMAND_OFFERS
    for lost in DATA_CENTRES:
        remaining = sum(
            offers[name].tokens_per_s
            for name in plan.starts
            if not (
                offers[name].reclaimable and offers[name].data_centre == lost
            )
        )
        assert remaining >= 600.0
    assert plan.unmet_tokens_per_s == 0.0


def test_spot_upstreams_are_spread_over_data_centres() -> None:
    plan = plan_orders(make_input(900.0, offers=SPOT_OFFERS))
    assert sorted(plan.starts) == sorted(SPOT_OFFERS)


def test_low_tier_demand_buys_no_spare_capacity() -> None:
    plan = plan_orders(make_input(290.0, tier=4))
    assert len(plan.starts) == 1


def test_budget_is_never_exceeded() -> None:
    inputs = attrs.evolve(make_input(5000.0), max_price_per_hour=2.5)
    plan = plan_orders(inputs)
    assert len(plan.starts) == 2
    assert plan.unmet_tokens_per_s > 0


def test_refused_offer_is_left_out() -> None:
    inputs = attrs.evolve(
        make_input(250.0, tier=3), refused_offers=frozenset({"cheap-a"})
    )
    assert "cheap-a" not in plan_orders(inputs).starts


def test_lasting_surplus_is_released_most_expensive_first() -> None:
    upstreams = [
        make_upstream(ON_DEMAND_OFFERS["steady-a"], 1, surplus_s=120.0),
        make_upstream(SPOT_OFFERS["cheap-a"], 1, surplus_s=120.0),
        make_upstream(SPOT_OFFERS["cheap-b"], 1, surplus_s=120.0),
    ]
    inputs = attrs.evolve(make_input(100.0), upstreams=upstreams)
    assert plan_orders(inputs).releases == ("steady-a-1",)


def test_brief_surplus_is_kept() -> None:
    upstreams = [
        make_upstream(SPOT_OFFERS[name], 1, surplus_s=5.0)
        for name in sorted(SPOT_OFFERS)
    ]
    inputs = attrs.evolve(make_input(10.0), upstreams=upstreams)
    assert plan_orders(inputs).releases == ()


@given(
    rate=strategies.floats(0.0, 4000.0),
    tier=strategies.integers(1, 5),
    counts=strategies.lists(strategies.integers(0, 2), min_size=8, max_size=8),
)
def test_released_capacity_is_not_ordered_again(
    rate: float, tier: int, counts: list[int]
) -> None:
    offers = SPOT_OFFERS | ON_DEMAND_OFFERS
    upstreams = [
        make_upstream(offer, index, surplus_s=600.0)
        for offer, count in zip(offers.values(), counts, strict=True)
        for index in range(count)
    ]
    inputs = attrs.evolve(make_input(rate, tier=tier), upstreams=upstreams)
    plan = plan_orders(inputs)
    remaining_upstreams = [u for u in upstreams if u.name not in plan.releases]
    again = plan_orders(attrs.evolve(inputs, upstreams=remaining_upstreams))
    if plan.releases:
        assert again.starts == ()
