"""Collect the input of the scaling decision and add its result to a journal."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from shallotfold._controller.scaling import RELEASE_UTILISATION
from shallotfold._controller.scaling import ProvisionedUpstream
from shallotfold._controller.scaling import ScalingInput
from shallotfold._controller.scaling import UpstreamPhase
from shallotfold._controller.scaling import plan_orders
from shallotfold._fleet.order_journal import OrderAction
from shallotfold._fleet.order_journal import OrderJournal
from shallotfold._model.configuration import Offer
from shallotfold._model.configuration import Upstream
from shallotfold._model.upstreams import HostState

if TYPE_CHECKING:
    from shallotfold._controller.state import ControllerState

MAX_INTENTS_PER_ACTION = 16
UNLISTED_GRACE_S = 120.0
MIN_DEMAND_INTERVALS = 1


def plan_journal(
    state: ControllerState,
    data_centre: str,
    journal: OrderJournal,
    journals_by_data_centre: Mapping[str, OrderJournal],
    now_s: float,
) -> OrderJournal:
    """Return the journal with the intents of a new plan for one data centre.

    Every holder plans for the whole fleet from the same input and sends only
    the orders of its data centre. Returns `journal` itself if nothing changes.
    """
    releases = _upstreams_to_release(state, journal, now_s)
    starts: list[str] = []
    if state.orders.demand.intervals >= MIN_DEMAND_INTERVALS:
        journals = {**journals_by_data_centre, data_centre: journal}
        plan = plan_orders(scaling_input(state, journals, now_s))
        releases += [
            name
            for name in plan.releases
            if name in journal.offers_by_upstream and name not in releases
        ]
        offers = state.configuration.offers_by_name
        starts = [
            name
            for name in plan.starts
            if offers[name].data_centre == data_centre
        ]
    for offer in starts[:MAX_INTENTS_PER_ACTION]:
        journal = journal.with_start(data_centre, offer)
    for upstream in releases[:MAX_INTENTS_PER_ACTION]:
        journal = journal.with_release(data_centre, upstream)
    return journal


def scaling_input(
    state: ControllerState,
    journals_by_data_centre: Mapping[str, OrderJournal],
    now_s: float,
) -> ScalingInput:
    """Return everything that the scaling decision depends on."""
    configuration = state.configuration
    refused_until = state.orders.refused_until_by_offer
    demand = state.orders.demand.by_tier(configuration.classes_by_name)
    upstreams = [
        _declared_upstream(state, upstream)
        for upstream in configuration.upstreams_by_name.values()
        if upstream.model
    ]
    for journal in journals_by_data_centre.values():
        upstreams += _ordered_upstreams(state, journal)
    demand_rate_by_model: dict[str, float] = {}
    for tier_demand in demand:
        demand_rate_by_model[tier_demand.model] = (
            demand_rate_by_model.get(tier_demand.model, 0.0)
            + tier_demand.tokens_per_s
        )
    return ScalingInput(
        demand=demand,
        upstreams=_with_surplus_times(
            state, upstreams, demand_rate_by_model, now_s
        ),
        offers_by_name=configuration.offers_by_name,
        refused_offers=frozenset(
            name for name, until_s in refused_until.items() if now_s < until_s
        ),
        max_price_per_hour=configuration.budget.max_price_per_hour,
    )


def _declared_upstream(
    state: ControllerState, upstream: Upstream
) -> ProvisionedUpstream:
    return ProvisionedUpstream(
        name=upstream.name,
        offer="",
        model=upstream.model,
        data_centre=upstream.data_centre,
        tokens_per_s=upstream.tokens_per_s,
        price_per_hour=upstream.price_per_hour,
        reclaimable=upstream.reclaimable,
        phase=_phase(state, upstream.name, UpstreamPhase.SERVING),
    )


def _ordered_upstreams(
    state: ControllerState, journal: OrderJournal
) -> list[ProvisionedUpstream]:
    offers_by_upstream = dict(journal.offers_by_upstream)
    releasing = set()
    for intent in journal.intents:
        offers_by_upstream[intent.upstream] = intent.offer
        if intent.action is OrderAction.RELEASE:
            releasing.add(intent.upstream)
    ordered = []
    for name, offer_name in sorted(offers_by_upstream.items()):
        offer = state.configuration.offers_by_name.get(offer_name)
        if offer is not None:
            phase = _phase(state, name, UpstreamPhase.STARTING)
            if name in releasing:
                phase = UpstreamPhase.LEAVING
            ordered.append(_upstream_from_offer(name, offer, phase))
    return ordered


def _upstream_from_offer(
    name: str, offer: Offer, phase: UpstreamPhase
) -> ProvisionedUpstream:
    return ProvisionedUpstream(
        name=name,
        offer=offer.name,
        model=offer.model,
        data_centre=offer.data_centre,
        tokens_per_s=offer.tokens_per_s,
        price_per_hour=offer.price_per_hour,
        reclaimable=offer.reclaimable,
        phase=phase,
    )


def _phase(
    state: ControllerState, name: str, phase_if_unlisted: UpstreamPhase
) -> UpstreamPhase:
    record = state.hosts_by_name.get(name)
    if record is None:
        delisted = name in state.delisted_upstreams
        return UpstreamPhase.LEAVING if delisted else phase_if_unlisted
    if record.state is HostState.LEAVING:
        return UpstreamPhase.LEAVING
    return UpstreamPhase.SERVING


def _with_surplus_times(
    state: ControllerState,
    upstreams: list[ProvisionedUpstream],
    demand_rate_by_model: Mapping[str, float],
    now_s: float,
) -> list[ProvisionedUpstream]:
    """Set for how long each model has had more capacity than required."""
    capacity_by_model: dict[str, float] = {}
    for upstream in upstreams:
        if upstream.phase is not UpstreamPhase.LEAVING:
            subtotal = capacity_by_model.get(upstream.model, 0.0)
            capacity_by_model[upstream.model] = subtotal + upstream.tokens_per_s
    surplus_since = state.orders.surplus_since_by_model
    for model, capacity in capacity_by_model.items():
        required_rate = (
            demand_rate_by_model.get(model, 0.0) / RELEASE_UTILISATION
        )
        if capacity > required_rate:
            surplus_since.setdefault(model, now_s)
        else:
            surplus_since.pop(model, None)
    return [
        attrs.evolve(u, surplus_s=now_s - surplus_since.get(u.model, now_s))
        for u in upstreams
    ]


def _upstreams_to_release(
    state: ControllerState, journal: OrderJournal, now_s: float
) -> list[str]:
    """Return the started upstreams to release.

    Their offer was withdrawn, or they have been off the host list for so long
    that they count as reclaimed.
    """
    releases = []
    last_listed = state.orders.last_listed_by_upstream
    for name, offer_name in sorted(journal.offers_by_upstream.items()):
        offer = state.configuration.offers_by_name.get(offer_name)
        record = state.hosts_by_name.get(name)
        if record is not None:
            last_listed[name] = now_s
        last_listed_s = last_listed.setdefault(name, now_s)
        start_s = offer.start_s if offer is not None else 0.0
        if offer is None or now_s - last_listed_s > start_s + UNLISTED_GRACE_S:
            releases.append(name)
    return releases
