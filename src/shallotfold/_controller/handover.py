"""Relinquish duties so that nothing can be sent under them afterwards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotfold._controller import effects
from shallotfold._fleet.audit import AuditChange

if TYPE_CHECKING:
    from shallotfold._controller import events
    from shallotfold._controller.state import ControllerState


def on_sends_aborted(
    state: ControllerState, event: events.SendsAborted
) -> list[effects.Effect]:
    """Release the duties, now that nothing more can be sent under them.

    If they were released earlier and this process then paused with an unsent
    order, a successor could start before that order is sent.
    """
    duties = state.duties
    duties.aborting.difference_update(event.duties)
    releases: list[effects.Effect] = [
        effects.ReleaseDuty(
            duty=name, fencing=duties.pending_releases.pop(name)
        )
        for name in event.duties
        if name in duties.pending_releases
    ]
    if duties.lease is not None or duties.aborting:
        return releases
    if duties.pending_revocation:
        releases.append(effects.RevokeLease(lease_id=duties.pending_revocation))
        duties.pending_revocation = ""
    return [*releases, effects.DisarmFence(), *_exit_if_draining(state)]


def on_shutdown(
    state: ControllerState, event: events.ShutdownRequested
) -> list[effects.Effect]:
    """Hand all duties over; the successor need not wait for lease expiry."""
    del event
    state.draining = True
    return step_down(state, "the process shuts down")


def step_down(state: ControllerState, why: str) -> list[effects.Effect]:
    """Relinquish the lease and all duties.

    The fence stays armed until all sends are aborted.
    """
    duties = state.duties
    if duties.lease is not None:
        duties.pending_revocation = duties.lease.lease_id
    names = tuple(sorted(duties.held_by_name))
    duties.lease = None
    duties.lease_call_in_flight = False
    duties.acquiring.clear()
    if not names:
        return [effects.AbortSends(duties=())]
    relinquished = relinquish(state, names, why)
    duties.pending_releases.clear()
    return relinquished


def relinquish(
    state: ControllerState, names: tuple[str, ...], why: str
) -> list[effects.Effect]:
    """Stop holding some duties; they are released once sends are aborted."""
    duties = state.duties
    if not names:
        return []
    relinquished: list[effects.Effect] = [effects.AbortSends(duties=names)]
    duties.aborting.update(names)
    for name in names:
        held = duties.held_by_name.pop(name)
        duties.pending_releases[name] = held.fencing
        before = f"held by {state.host} with fencing number {held.fencing}"
        relinquished.append(audit_effect(state, name, why, before=before))
    return relinquished


def _exit_if_draining(state: ControllerState) -> list[effects.Effect]:
    return [effects.ExitProcess()] if state.draining else []


def audit_effect(
    state: ControllerState,
    duty: str,
    why: str,
    *,
    before: str = "",
    after: str = "",
) -> effects.RecordAudit:
    """Return the effect that records a change of a duty's holder."""
    return effects.RecordAudit(
        change=AuditChange(
            kind="lease",
            who=f"controller {state.host}",
            why=why,
            what=f"duties/{duty}",
            before=before or "held by nobody",
            after=after or "held by nobody",
        )
    )
