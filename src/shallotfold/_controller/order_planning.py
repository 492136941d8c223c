"""Prepare the scaling decision and write its result into a journal."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from shallotfold._controller.scaling import RELEASE_UTILISATION
from shallotfold._controller.scaling import OwnedUpstream
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

MAX_INTENTS = 16
MISSING_GRACE_S = 120.0
MIN_INTERVALS = 1


def plan_journal(
    state: ControllerState,
    data_centre: str,
    journal: OrderJournal,
    journals_by_data_centre: Mapping[str, OrderJournal],
    now_s: float,
) -> OrderJournal:
    """Return the journal with the intents of a new plan for one data centre.

    Every holder plans for the whole fleet from the same input and carries out
    its own part. The same journal is returned when there is nothing to do.
    """
    releases = _gone_upstreams(state, journal, now_s)
    starts: list[str] = []
    if state.orders.demand.intervals >= MIN_INTERVALS:
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
    for offer in starts[:MAX_INTENTS]:
        journal = journal.with_start(data_centre, offer)
    for upstream in releases[:MAX_INTENTS]:
        journal = journal.with_release(data_centre, upstream)
    return journal


def scaling_input(
    state: ControllerState,
    journals_by_data_centre: Mapping[str, OrderJournal],
    now_s: float,
) -> ScalingInput:
    """Return everything that the scaling decision depends on."""
    configuration = state.configuration
    refused = state.orders.refused_until_by_offer
    demand = state.orders.demand.by_tier(configuration.classes_by_name)
    upstreams = [
        _declared(state, upstream)
        for upstream in configuration.upstreams_by_name.values()
        if upstream.model
    ]
    for journal in journals_by_data_centre.values():
        upstreams += _ordered(state, journal)
    needed: dict[str, float] = {}
    for item in demand:
        needed[item.model] = needed.get(item.model, 0.0) + item.tokens_per_s
    return ScalingInput(
        demand=demand,
        upstreams=_with_surplus(state, upstreams, needed, now_s),
        offers_by_name=configuration.offers_by_name,
        refused_offers=frozenset(
            name for name, until_s in refused.items() if now_s < until_s
        ),
        max_price_per_hour=configuration.budget.max_price_per_hour,
    )


def _declared(state: ControllerState, upstream: Upstream) -> OwnedUpstream:
    return OwnedUpstream(
        name=upstream.name,
        offer="",
        model=upstream.model,
        data_centre=upstream.data_centre,
        tokens_per_s=upstream.tokens_per_s,
        price_per_hour=upstream.price_per_hour,
        reclaimable=upstream.reclaimable,
        phase=_phase(state, upstream.name, UpstreamPhase.SERVING),
    )


def _ordered(
    state: ControllerState, journal: OrderJournal
) -> list[OwnedUpstream]:
    offers_by_upstream = dict(journal.offers_by_upstream)
    leaving = set()
    for intent in journal.intents:
        offers_by_upstream[intent.upstream] = intent.offer
        if intent.action is OrderAction.RELEASE:
            leaving.add(intent.upstream)
    found = []
    for name, offer_name in sorted(offers_by_upstream.items()):
        offer = state.configuration.offers_by_name.get(offer_name)
        if offer is not None:
            phase = _phase(state, name, UpstreamPhase.STARTING)
            if name in leaving:
                phase = UpstreamPhase.LEAVING
            found.append(_from_offer(name, offer, phase))
    return found


def _from_offer(name: str, offer: Offer, phase: UpstreamPhase) -> OwnedUpstream:
    return OwnedUpstream(
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
    state: ControllerState, name: str, unlisted: UpstreamPhase
) -> UpstreamPhase:
    record = state.hosts_by_name.get(name)
    if record is None:
        gone = name in state.missing_upstreams
        return UpstreamPhase.LEAVING if gone else unlisted
    if record.state is HostState.LEAVING:
        return UpstreamPhase.LEAVING
    return UpstreamPhase.SERVING


def _with_surplus(
    state: ControllerState,
    upstreams: list[OwnedUpstream],
    needed_by_model: Mapping[str, float],
    now_s: float,
) -> list[OwnedUpstream]:
    """Note how long each model has had more capacity than it needs."""
    capacity_by_model: dict[str, float] = {}
    for upstream in upstreams:
        if upstream.phase is not UpstreamPhase.LEAVING:
            known = capacity_by_model.get(upstream.model, 0.0)
            capacity_by_model[upstream.model] = known + upstream.tokens_per_s
    since = state.orders.surplus_since_by_model
    for model, capacity in capacity_by_model.items():
        needed = needed_by_model.get(model, 0.0) / RELEASE_UTILISATION
        if capacity > needed:
            since.setdefault(model, now_s)
        else:
            since.pop(model, None)
    return [
        attrs.evolve(u, surplus_s=now_s - since.get(u.model, now_s))
        for u in upstreams
    ]


def _gone_upstreams(
    state: ControllerState, journal: OrderJournal, now_s: float
) -> list[str]:
    """Return started upstreams to release: reclaimed, or without an offer."""
    gone = []
    missing_since = state.orders.missing_since_by_upstream
    for name, offer_name in sorted(journal.offers_by_upstream.items()):
        offer = state.configuration.offers_by_name.get(offer_name)
        record = state.hosts_by_name.get(name)
        if record is not None:
            missing_since[name] = now_s
        since_s = missing_since.setdefault(name, now_s)
        start_s = offer.start_s if offer is not None else 0.0
        if offer is None or now_s - since_s > start_s + MISSING_GRACE_S:
            gone.append(name)
    return gone
