"""Distribute duties over the live controllers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from shallotfold._controller import effects
from shallotfold._controller import handover
from shallotfold._fleet.duties import rank_hosts
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState

if TYPE_CHECKING:
    from shallotfold._controller import events
    from shallotfold._controller.state import ControllerState


REBALANCE_PERIOD_S = 30.0
HOST_LIST_GRACE_S = 15.0
LAST_RANK = 1_000_000
REACQUIRE_PAUSE_S = 60.0


def on_hosts(
    state: ControllerState, event: events.HostsListed
) -> list[effects.Effect]:
    """Rank this host among the live ones for each duty."""
    if not state.duties.rank_by_name:
        state.duties.next_list_s = event.now_s
    rank_duties(state)
    return []


def rank_duties(state: ControllerState) -> None:
    """Compute this host's rank for each duty from the host list."""
    record = state.hosts_by_name.get(state.host)
    leaving = record is not None and record.state is HostState.LEAVING
    if leaving or not state.hosts_by_name:
        state.duties.rank_by_name = {}
        return
    live_hosts = {*_live_hosts(state), state.host}
    state.duties.rank_by_name = {
        name: rank_hosts(name, live_hosts).index(state.host)
        for name in state.duty_names()
    }


def rank_last_without_hosts(state: ControllerState, now_s: float) -> None:
    """Rank this host last for all duties if no host list is available."""
    duties = state.duties
    if state.hosts_by_name or duties.rank_by_name:
        return
    if duties.first_tick_s is None:
        duties.first_tick_s = now_s
    if now_s - duties.first_tick_s >= HOST_LIST_GRACE_S:
        duties.rank_by_name = dict.fromkeys(state.duty_names(), LAST_RANK)


def rebalance(state: ControllerState, now_s: float) -> list[effects.Effect]:
    """Relinquish duties to hosts that rank first for them.

    A leaving host relinquishes all its duties. A host that exceeds its fair
    share by more than one relinquishes one.
    """
    duties = state.duties
    live_hosts = _live_hosts(state)
    if now_s < duties.next_rebalance_s or not live_hosts:
        return []
    duties.next_rebalance_s = now_s + REBALANCE_PERIOD_S
    leaving = state.host in state.hosts_by_name and not duties.rank_by_name
    surplus = sorted(duties.held_by_name)
    if not leaving:
        surplus = _surplus_duties(state, len(live_hosts), now_s)
    for name in surplus:
        duties.paused_until_by_name[name] = now_s + REACQUIRE_PAUSE_S
    return handover.relinquish(
        state, tuple(surplus), "another host ranks first for it"
    )


def _surplus_duties(
    state: ControllerState, live_count: int, now_s: float
) -> list[str]:
    duties = state.duties
    fair_share = math.ceil(len(state.duty_names()) / live_count)
    if len(duties.held_by_name) <= fair_share + 1:
        return []
    return [
        name
        for name, held in sorted(duties.held_by_name.items())
        if duties.rank_by_name.get(name) != 0
        and held.acquired_s < now_s - REBALANCE_PERIOD_S
    ][:1]


def _live_hosts(state: ControllerState) -> list[str]:
    return [
        host.name
        for host in state.hosts_by_name.values()
        if host.role is HostRole.ENTRY and host.state is HostState.LIVE
    ]
