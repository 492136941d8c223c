"""Find free duties, acquire them and detect lost ones."""

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


CANDIDATES_PER_DUTY = 3
"""Hosts per duty that poll the duty records often and acquire it first."""

CANDIDATE_POLL_PERIOD_S = 2.0
OTHER_POLL_PERIOD_S = 30.0
ACQUIRE_DELAY_PER_RANK_S = 1.5


def on_tick(state: ControllerState, event: events.Tick) -> list[effects.Effect]:
    """Step down if the lease is about to expire.

    Otherwise renew the lease, read the duties, revoke an idle lease and
    rebalance, each when due.
    """
    now_s = event.now_s
    duties = state.duties
    placement.rank_last_without_hosts(state, now_s)
    if duties.lease is not None and lease.send_time_left_s(state, now_s) <= 0:
        return handover.step_down(
            state, "the lease could not be renewed in time"
        )
    return [
        *lease.renew(state, now_s),
        *_list_when_due(state, event),
        *lease.revoke_when_idle(state, now_s),
        *placement.rebalance(state, now_s),
    ]


def on_listed(
    state: ControllerState, event: events.DutiesListed
) -> list[effects.Effect]:
    """Reconcile the duties of this process with the store's records."""
    duties = state.duties
    duties.list_in_flight = False
    records_by_name = {record.name: record for record in event.records}
    lost = _lost_duties(state, records_by_name, event.started_s)
    relinquished = handover.relinquish(
        state, lost, "the store names another holder"
    )
    adopted = _adopt_own_records(state, event)
    due = [
        name
        for name in state.duty_names()
        if name not in records_by_name
        and _is_acquisition_due(state, name, event.now_s)
    ]
    for name in records_by_name:
        duties.free_since_by_name.pop(name, None)
    if state.draining:
        return relinquished
    return [*relinquished, *adopted, *_acquire(state, due, event.now_s)]


def on_list_failed(
    state: ControllerState, event: events.DutiesListFailed
) -> list[effects.Effect]:
    """Reset how long duties have been free, as the store could not be read."""
    del event
    state.duties.list_in_flight = False
    state.duties.free_since_by_name.clear()
    return []


def on_acquired(
    state: ControllerState, event: events.DutyAcquired
) -> list[effects.Effect]:
    """Start holding a duty; the first send waits for `takeover_wait_s`."""
    duties = state.duties
    duties.acquiring.discard(event.duty)
    if (
        event.token != lease.holder_token(state)
        or event.duty in duties.held_by_name
    ):
        return []
    if state.draining or event.duty in duties.aborting:
        return [effects.ReleaseDuty(duty=event.duty, fencing=event.fencing)]
    return [_start_holding(state, event.duty, event.fencing, event.now_s)]


def on_not_acquired(
    state: ControllerState, event: events.DutyNotAcquired
) -> list[effects.Effect]:
    """Try again after the next read of the duties."""
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
        is_own = record is not None and record.fencing == held.fencing
        # A read sent before the duty was acquired may not show it yet.
        if not is_own and held.acquired_s < started_s:
            lost.append(name)
    return tuple(sorted(lost))


def _adopt_own_records(
    state: ControllerState, event: events.DutiesListed
) -> list[effects.Effect]:
    """Start holding duties whose acquisition succeeded without a response."""
    duties = state.duties
    if duties.lease is None:
        return []
    own_records = [
        record
        for record in event.records
        if record.token == lease.holder_token(state)
        and record.name not in duties.held_by_name
        and record.name not in duties.acquiring
        and record.name not in duties.aborting
    ]
    return [_adopt_record(state, record, event.now_s) for record in own_records]


def _adopt_record(
    state: ControllerState, record: DutyRecord, now_s: float
) -> effects.Effect:
    if now_s < state.duties.paused_until_by_name.get(record.name, 0.0):
        return effects.ReleaseDuty(duty=record.name, fencing=record.fencing)
    return _start_holding(state, record.name, record.fencing, now_s)


def _start_holding(
    state: ControllerState, name: str, fencing: int, now_s: float
) -> effects.Effect:
    state.duties.held_by_name[name] = HeldDuty(
        name=name,
        fencing=fencing,
        acquired_s=now_s,
        active_from_s=now_s + state.takeover_wait_s,
    )
    after = f"held by {state.host} with fencing number {fencing}"
    return handover.audit_effect(state, name, "the duty was free", after=after)


def _is_acquisition_due(
    state: ControllerState, name: str, now_s: float
) -> bool:
    """Tell whether it is this host's turn to acquire a free duty."""
    duties = state.duties
    if now_s < duties.paused_until_by_name.get(name, 0.0):
        return False
    since_s = duties.free_since_by_name.setdefault(name, now_s)
    rank = duties.rank_by_name.get(name)
    if rank is None:
        return False
    return (
        now_s - since_s
        >= min(rank, CANDIDATES_PER_DUTY) * ACQUIRE_DELAY_PER_RANK_S
    )


def _acquire(
    state: ControllerState, names: list[str], now_s: float
) -> list[effects.Effect]:
    duties = state.duties
    to_acquire = [
        name
        for name in names
        if name not in duties.held_by_name
        and name not in duties.acquiring
        and name not in duties.aborting
    ]
    if not to_acquire or duties.aborting:
        return []
    duties.acquiring.update(to_acquire)
    if duties.lease is not None:
        duties.lease.last_used_s = now_s
        return lease.acquire_effects(state, to_acquire)
    if duties.lease_call_in_flight:
        return []
    duties.lease_call_in_flight = True
    return [effects.GrantLease(ttl_s=state.lease_ttl_s)]


def _list_when_due(
    state: ControllerState, event: events.Tick
) -> list[effects.Effect]:
    duties = state.duties
    if (
        duties.list_in_flight
        or event.now_s < duties.next_list_s
        or not state.configuration_version
    ):
        return []
    polls_often = bool(duties.held_by_name) or any(
        rank < CANDIDATES_PER_DUTY for rank in duties.rank_by_name.values()
    )
    period_s = CANDIDATE_POLL_PERIOD_S if polls_often else OTHER_POLL_PERIOD_S
    duties.next_list_s = event.now_s + period_s * (0.75 + event.random / 2)
    duties.list_in_flight = True
    return [effects.ListDuties()]
