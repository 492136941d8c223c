"""Acquire, renew and revoke the one lease of this process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotfold._controller import effects
from shallotfold._controller import handover
from shallotfold._controller.duty_state import HeldLease

if TYPE_CHECKING:
    from shallotfold._controller import events
    from shallotfold._controller.state import ControllerState


SEND_STOP_MARGIN_S = 1.0
RENEWALS_PER_TTL = 4
RENEWAL_RETRY_DELAY_S = 0.5
IDLE_LEASE_TIMEOUT_S = 15.0


def may_send(state: ControllerState, duty: str, now_s: float) -> bool:
    """Tell whether this process may send under a duty now."""
    held_duty = state.duties.held_by_name.get(duty)
    return (
        held_duty is not None
        and held_duty.active_from_s <= now_s
        and send_time_left_s(state, now_s) > 0
    )


def send_time_left_s(state: ControllerState, now_s: float) -> float:
    """Return how long sends under the lease are allowed from now on."""
    lease = state.duties.lease
    return lease.deadline_s - SEND_STOP_MARGIN_S - now_s if lease else 0.0


def on_lease_granted(
    state: ControllerState, event: events.LeaseGranted
) -> list[effects.Effect]:
    """Arm the fence, then acquire the duties that waited for the lease."""
    duties = state.duties
    revocation = [effects.RevokeLease(lease_id=event.lease_id)]
    if duties.lease is not None:
        return list(revocation)
    duties.lease_call_in_flight = False
    if duties.aborting:
        duties.acquiring.clear()
        return list(revocation)
    duties.lease = HeldLease(
        lease_id=event.lease_id,
        ttl_s=event.ttl_s,
        deadline_s=event.started_s + event.ttl_s,
        next_renewal_s=event.started_s + event.ttl_s / RENEWALS_PER_TTL,
        last_used_s=event.now_s,
    )
    if send_time_left_s(state, event.now_s) <= 0 or state.draining:
        return handover.step_down(state, "the lease came too late")
    return [
        effects.ArmFence(deadline_s=duties.lease.deadline_s),
        *acquire_effects(state, sorted(duties.acquiring)),
    ]


def on_lease_renewed(
    state: ControllerState, event: events.LeaseRenewed
) -> list[effects.Effect]:
    """Extend the deadline, counted from before the renewal was sent."""
    duties = state.duties
    lease = duties.lease
    if lease is None or lease.lease_id != event.lease_id:
        return []
    duties.lease_call_in_flight = False
    lease.deadline_s = event.started_s + lease.ttl_s
    lease.next_renewal_s = event.started_s + lease.ttl_s / RENEWALS_PER_TTL
    return [effects.ArmFence(deadline_s=lease.deadline_s)]


def on_lease_call_failed(
    state: ControllerState, event: events.LeaseCallFailed
) -> list[effects.Effect]:
    """Retry soon; the deadline stays unchanged."""
    duties = state.duties
    held_id = duties.lease.lease_id if duties.lease else ""
    if event.lease_id != held_id:
        return []
    duties.lease_call_in_flight = False
    if duties.lease is not None:
        duties.lease.next_renewal_s = event.now_s + RENEWAL_RETRY_DELAY_S
    else:
        duties.acquiring.clear()
    return [effects.CountMetric(name="lease.unanswered")]


def on_lease_lost(
    state: ControllerState, event: events.LeaseLost
) -> list[effects.Effect]:
    """Relinquish all duties at once."""
    lease = state.duties.lease
    if lease is None or lease.lease_id != event.lease_id:
        return []
    return handover.step_down(state, "the store refused the renewal")


def renew(state: ControllerState, now_s: float) -> list[effects.Effect]:
    """Renew the lease when due."""
    duties = state.duties
    lease = duties.lease
    if (
        lease is None
        or duties.lease_call_in_flight
        or now_s < lease.next_renewal_s
    ):
        return []
    duties.lease_call_in_flight = True
    return [effects.RenewLease(lease_id=lease.lease_id)]


def revoke_when_idle(
    state: ControllerState, now_s: float
) -> list[effects.Effect]:
    """Revoke a lease under which no duty was held for a while."""
    duties = state.duties
    lease = duties.lease
    if lease is None:
        return []
    if duties.held_by_name or duties.acquiring:
        lease.last_used_s = now_s
    if now_s - lease.last_used_s < IDLE_LEASE_TIMEOUT_S:
        return []
    return handover.step_down(state, "no duty is held")


def acquire_effects(
    state: ControllerState, names: list[str]
) -> list[effects.Effect]:
    """Return the effects that record this process as holder of duties."""
    lease = state.duties.lease
    if lease is None:
        return []
    return [
        effects.AcquireDuty(
            duty=name, lease_id=lease.lease_id, token=holder_token(state)
        )
        for name in names
    ]


def holder_token(state: ControllerState) -> str:
    """Return the token of this process under its current lease."""
    lease = state.duties.lease
    return f"{state.process_token}/{lease.lease_id if lease else ''}"
