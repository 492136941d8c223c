"""Find free duties, acquire them and notice lost ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotfold._controller import effects
from shallotfold._controller import handover
from shallotfold._controller import lease
from shallotfold._controller import placement
from shallotfold._controller.duty_state import HeldDuty
from shallotfold._fleet.duties import DutyRecord

if TYPE_CHECKING:
    from shallotfold._controller import events
    from shallotfold._controller.state import ControllerState


CANDIDATES = 3
"""Hosts per duty that read the duties often and acquire them first."""

CANDIDATE_POLL_S = 2.0
OTHER_POLL_S = 30.0
RANK_DELAY_S = 1.5


def on_tick(state: ControllerState, event: events.Tick) -> list[effects.Effect]:
    """Stop in time, renew, look for free duties, spread the load."""
    now_s = event.now_s
    duties = state.duties
    placement.rank_without_hosts(state, now_s)
    if duties.lease is not None and lease.send_time_left_s(state, now_s) <= 0:
        return handover.step_down(
            state, "the lease could not be renewed in time"
        )
    return [
        *lease.renew(state, now_s),
        *_list_when_due(state, event),
        *lease.drop_when_idle(state, now_s),
        *placement.hand_surplus_over(state, now_s),
    ]


def on_listed(
    state: ControllerState, event: events.DutiesListed
) -> list[effects.Effect]:
    """Compare the store's records with what this process believes."""
    duties = state.duties
    duties.listing = False
    records_by_name = {record.name: record for record in event.records}
    lost = _lost_duties(state, records_by_name, event.started_s)
    given_up = handover.give_up(state, lost, "the store names another holder")
    found = _adopt_own_records(state, event)
    wanted = [
        name
        for name in state.duty_names()
        if name not in records_by_name and _is_due(state, name, event.now_s)
    ]
    for name in records_by_name:
        duties.free_since_by_name.pop(name, None)
    if state.draining:
        return given_up
    return [*given_up, *found, *_acquire(state, wanted, event.now_s)]


def on_list_failed(
    state: ControllerState, event: events.DutiesListFailed
) -> list[effects.Effect]:
    """Forget how long duties were free; the store was not seen since."""
    del event
    state.duties.listing = False
    state.duties.free_since_by_name.clear()
    return []


def on_acquired(
    state: ControllerState, event: events.DutyAcquired
) -> list[effects.Effect]:
    """Hold a duty; its first send must wait."""
    duties = state.duties
    duties.acquiring.discard(event.duty)
    if event.token != lease.token(state) or event.duty in duties.held_by_name:
        return []
    if state.draining or event.duty in duties.aborting:
        return [effects.ReleaseDuty(duty=event.duty, fencing=event.fencing)]
    return [_hold(state, event.duty, event.fencing, event.now_s)]


def on_not_acquired(
    state: ControllerState, event: events.DutyNotAcquired
) -> list[effects.Effect]:
    """Look again at the next read of the duties."""
    state.duties.acquiring.discard(event.duty)
    state.duties.free_since_by_name.pop(event.duty, None)
    return []


def _lost_duties(
    state: ControllerState,
    records_by_name: dict[str, DutyRecord],
    started_s: float,
) -> tuple[str, ...]:
    lost = []
    for name, held in state.duties.held_by_name.items():
        record = records_by_name.get(name)
        ours = record is not None and record.fencing == held.fencing
        # A read sent before the duty was acquired may not show it yet.
        if not ours and held.acquired_s < started_s:
            lost.append(name)
    return tuple(sorted(lost))


def _adopt_own_records(
    state: ControllerState, event: events.DutiesListed
) -> list[effects.Effect]:
    """Take in duties whose acquisition took effect with its answer lost."""
    duties = state.duties
    if duties.lease is None:
        return []
    own = [
        record
        for record in event.records
        if record.token == lease.token(state)
        and record.name not in duties.held_by_name
        and record.name not in duties.acquiring
        and record.name not in duties.aborting
    ]
    return [_adopt(state, record, event.now_s) for record in own]


def _adopt(
    state: ControllerState, record: DutyRecord, now_s: float
) -> effects.Effect:
    if now_s < state.duties.paused_until_by_name.get(record.name, 0.0):
        return effects.ReleaseDuty(duty=record.name, fencing=record.fencing)
    return _hold(state, record.name, record.fencing, now_s)


def _hold(
    state: ControllerState, name: str, fencing: int, now_s: float
) -> effects.Effect:
    state.duties.held_by_name[name] = HeldDuty(
        name=name,
        fencing=fencing,
        acquired_s=now_s,
        active_from_s=now_s + state.takeover_wait_s,
    )
    after = f"held by {state.host} with fencing number {fencing}"
    return handover.audit(state, name, "the duty was free", after=after)


def _is_due(state: ControllerState, name: str, now_s: float) -> bool:
    """Tell whether it is this host's turn to take a free duty."""
    duties = state.duties
    if now_s < duties.paused_until_by_name.get(name, 0.0):
        return False
    since_s = duties.free_since_by_name.setdefault(name, now_s)
    rank = duties.rank_by_name.get(name)
    if rank is None:
        return False
    return now_s - since_s >= min(rank, CANDIDATES) * RANK_DELAY_S


def _acquire(
    state: ControllerState, names: list[str], now_s: float
) -> list[effects.Effect]:
    duties = state.duties
    fresh = [
        name
        for name in names
        if name not in duties.held_by_name
        and name not in duties.acquiring
        and name not in duties.aborting
    ]
    if not fresh or duties.aborting:
        return []
    duties.acquiring.update(fresh)
    if duties.lease is not None:
        duties.lease.used_s = now_s
        return lease.acquisitions(state, fresh)
    if duties.lease_call_open:
        return []
    duties.lease_call_open = True
    return [effects.GrantLease(ttl_s=state.lease_ttl_s)]


def _list_when_due(
    state: ControllerState, event: events.Tick
) -> list[effects.Effect]:
    duties = state.duties
    if duties.listing or event.now_s < duties.next_list_s or not state.version:
        return []
    often = bool(duties.held_by_name) or any(
        rank < CANDIDATES for rank in duties.rank_by_name.values()
    )
    period_s = CANDIDATE_POLL_S if often else OTHER_POLL_S
    duties.next_list_s = event.now_s + period_s * (0.75 + event.random / 2)
    duties.listing = True
    return [effects.ListDuties()]
