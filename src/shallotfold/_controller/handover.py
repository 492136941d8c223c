"""Give duties up so that nothing can be sent under them afterwards."""

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
    """Free what was given up, now that nothing more can be sent under it.

    Freeing it earlier would let a successor start while a freeze keeps an
    unsent order alive in this process.
    """
    duties = state.duties
    duties.aborting.difference_update(event.duties)
    freed: list[effects.Effect] = [
        effects.ReleaseDuty(duty=name, fencing=duties.releasing.pop(name))
        for name in event.duties
        if name in duties.releasing
    ]
    if duties.lease is not None or duties.aborting:
        return freed
    if duties.revoking:
        freed.append(effects.RevokeLease(lease_id=duties.revoking))
        duties.revoking = ""
    return [*freed, effects.DisarmFence(), *_exit_when_done(state)]


def on_shutdown(
    state: ControllerState, event: events.ShutdownRequested
) -> list[effects.Effect]:
    """Hand everything over; the successor need not wait for the lease."""
    del event
    state.draining = True
    return step_down(state, "the process shuts down")


def step_down(state: ControllerState, why: str) -> list[effects.Effect]:
    """Give up the lease and all duties; the fence stays armed till the end."""
    duties = state.duties
    if duties.lease is not None:
        duties.revoking = duties.lease.lease_id
    names = tuple(sorted(duties.held_by_name))
    duties.lease = None
    duties.lease_call_open = False
    duties.acquiring.clear()
    if not names:
        return [effects.AbortSends(duties=())]
    given_up = give_up(state, names, why)
    duties.releasing.clear()
    return given_up


def give_up(
    state: ControllerState, names: tuple[str, ...], why: str
) -> list[effects.Effect]:
    """Stop holding some duties; they are freed once sends are aborted."""
    duties = state.duties
    if not names:
        return []
    given_up: list[effects.Effect] = [effects.AbortSends(duties=names)]
    duties.aborting.update(names)
    for name in names:
        held = duties.held_by_name.pop(name)
        duties.releasing[name] = held.fencing
        before = f"held by {state.host} with fencing number {held.fencing}"
        given_up.append(audit(state, name, why, before=before))
    return given_up


def _exit_when_done(state: ControllerState) -> list[effects.Effect]:
    return [effects.ExitProcess()] if state.draining else []


def audit(
    state: ControllerState,
    duty: str,
    why: str,
    *,
    before: str = "",
    after: str = "",
) -> effects.RecordAudit:
    """Return the audit record of a change of a duty's holder."""
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
