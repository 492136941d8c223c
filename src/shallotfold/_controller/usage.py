"""Report usage: freeze a window's figures, then send just these.

For each shard one call is under way at a time. Nothing is sent before the
head of the shard, written under this holder's fencing number, says that the
window is frozen.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from shallotfold._controller import effects
from shallotfold._controller import handover
from shallotfold._controller import lease
from shallotfold._controller import usage_sources
from shallotfold._controller.usage_state import ShardUsage
from shallotfold._fleet.audit import AuditChange
from shallotfold._fleet.duties import USAGE_PREFIX
from shallotfold._fleet.usage_ledger import FrozenWindow
from shallotfold._fleet.usage_ledger import UsageHead
from shallotfold._fleet.usage_ledger import freeze_window
from shallotfold._fleet.usage_ledger import head_after
from shallotfold._services.ports import UsageReport

if TYPE_CHECKING:
    from shallotfold._controller import events
    from shallotfold._controller.state import ControllerState

RETRY_S = 1.0
FREEZE_DELAY_S = 5.0
FREEZE_RETRY_S = 2.0
FREEZE_LIMIT_S = 60.0
REPORTS_PER_BATCH = 50
REPORT_TIMEOUT_S = 5.0
KEPT_WINDOWS = 20


def on_tick(state: ControllerState, event: events.Tick) -> list[effects.Effect]:
    """Go on where nothing is under way."""
    state.usage.wall_s = event.wall_s
    held = _held_fencing(state)
    known = state.usage.by_shard
    for shard in [s for s, u in known.items() if held.get(s) != u.fencing]:
        del known[shard]
    going_on: list[effects.Effect] = []
    for shard, fencing in sorted(held.items()):
        known.setdefault(shard, ShardUsage(fencing=fencing))
        going_on += _go_on(state, shard, event.now_s)
    return going_on


def on_head_read(
    state: ControllerState, event: events.UsageHeadRead
) -> list[effects.Effect]:
    """Take the shard over, or begin it with the current window."""
    usage = _current(state, event)
    if usage is None:
        return []
    usage.busy = False
    usage.revision = event.revision
    usage.head = event.head
    if event.head is None:
        window_s = state.configuration.usage_window_s
        first = int(state.usage.wall_s // window_s) * window_s
        begun = UsageHead(
            fencing=event.fencing, next_window=first, window_s=window_s
        )
        return _write(state, event.shard, usage, begun)
    return _go_on(state, event.shard, event.now_s)


def on_head_written(
    state: ControllerState, event: events.UsageHeadWritten
) -> list[effects.Effect]:
    """Act on the head, now that it is in the store."""
    usage = _current(state, event)
    if usage is None:
        return []
    usage.busy = False
    usage.head = event.head
    usage.revision = event.revision
    usage.deleted.intersection_update(event.head.kept)
    return _go_on(state, event.shard, event.now_s)


def on_call_failed(
    state: ControllerState, event: events.UsageCallFailed
) -> list[effects.Effect]:
    """Read the head again before anything else."""
    usage = _current(state, event)
    if usage is None:
        return []
    usage.busy = False
    usage.head = None
    usage.sending = None
    usage.due_since_s = None
    usage.retry_s = event.now_s + RETRY_S
    return []


def on_flushes_read(
    state: ControllerState, event: events.FlushesRead
) -> list[effects.Effect]:
    """Freeze the next window once its sources are complete."""
    usage = _current(state, event)
    if usage is None or usage.head is None:
        return []
    usage.busy = False
    usage_sources.note_changes(usage, event)
    if usage.due_since_s is None:
        usage.due_since_s = event.now_s
    waited_s = event.now_s - usage.due_since_s
    if waited_s < FREEZE_LIMIT_S and usage_sources.missing(usage, event):
        usage.retry_s = event.now_s + FREEZE_RETRY_S
        return []
    frozen = attrs.evolve(
        freeze_window(usage.head, event.flushes, event.shard),
        token=_token(state),
    )
    retired = usage_sources.retire_when_due(usage, event)
    if not frozen.figures_by_workspace:
        return [*retired, *_advance(state, usage, frozen)]
    usage.busy = True
    freeze = effects.FreezeWindow(fencing=event.fencing, frozen=frozen)
    return [*retired, freeze]


def on_frozen(
    state: ControllerState, event: events.WindowFrozen
) -> list[effects.Effect]:
    """Let the frozen window count, or go on reporting it."""
    usage = _current(state, event)
    if usage is None or usage.head is None:
        return []
    usage.busy = False
    if event.frozen.window in usage.head.unsent:
        usage.sending = event.frozen
        usage.sent = set()
        return _go_on(state, event.shard, event.now_s)
    late = sum(f.requests for f in event.frozen.late_by_workspace.values())
    return [
        *_advance(state, usage, event.frozen),
        effects.CountMetric(name="usage.late_requests", value=late),
        _audit(state, event.frozen, "frozen before the first report"),
    ]


def on_sent(
    state: ControllerState, event: events.ReportsSent
) -> list[effects.Effect]:
    """Go on with the rest of the window."""
    usage = _current(state, event)
    if usage is None or usage.sending is None:
        return []
    usage.busy = False
    done = [*event.reports, *event.conflicts]
    usage.sent.update(report.workspace for report in done)
    if not done:
        usage.retry_s = event.now_s + RETRY_S
    conflicts: list[effects.Effect] = []
    if event.conflicts:
        names = ", ".join(sorted(r.workspace for r in event.conflicts))
        why = f"the platform has other figures for {names}"
        conflicts = [
            effects.CountMetric(
                name="usage.conflicts", value=len(event.conflicts)
            ),
            _audit(state, usage.sending, why),
        ]
    return [*conflicts, *_go_on(state, event.shard, event.now_s)]


def on_frozen_deleted(
    state: ControllerState, event: events.FrozenDeleted
) -> list[effects.Effect]:
    """Drop the window from the head at its next write."""
    usage = _current(state, event)
    if usage is not None:
        usage.deleted.add(event.window)
    return []


def _go_on(
    state: ControllerState, shard: int, now_s: float
) -> list[effects.Effect]:
    """Start the next call of a shard, if one is due and allowed."""
    usage = state.usage.by_shard[shard]
    duty = f"{USAGE_PREFIX}{shard}"
    allowed = lease.may_send(state, duty, now_s)
    if usage.busy or now_s < usage.retry_s or not allowed:
        return []
    head = usage.head
    if head is None:
        usage.busy = True
        return [effects.ReadUsageHead(shard=shard, fencing=usage.fencing)]
    if head.fencing > usage.fencing:
        why = "the usage head names a newer holder"
        return handover.give_up(state, (duty,), why)
    if head.fencing < usage.fencing:
        return _write(state, shard, usage, head)
    if head.unsent:
        return _report(state, shard, usage, head, now_s)
    return _read_when_due(state, shard, usage, head)


def _report(
    state: ControllerState,
    shard: int,
    usage: ShardUsage,
    head: UsageHead,
    now_s: float,
) -> list[effects.Effect]:
    window = head.unsent[0]
    frozen = usage.sending
    if frozen is None or frozen.window != window:
        usage.busy = True
        return [
            effects.ReadFrozen(
                shard=shard, fencing=usage.fencing, window=window
            )
        ]
    waiting = [
        UsageReport(
            workspace=workspace,
            window=window,
            figures=figures,
            fencing=usage.fencing,
        )
        for workspace, figures in sorted(frozen.figures_by_workspace.items())
        if workspace not in usage.sent
    ]
    if not waiting:
        return _finish_window(state, shard, usage, head)
    usage.busy = True
    left_s = lease.send_time_left_s(state, now_s)
    return [
        effects.SendReports(
            shard=shard,
            fencing=usage.fencing,
            window=window,
            reports=tuple(waiting[:REPORTS_PER_BATCH]),
            timeout_s=min(REPORT_TIMEOUT_S, left_s),
        )
    ]


def _finish_window(
    state: ControllerState, shard: int, usage: ShardUsage, head: UsageHead
) -> list[effects.Effect]:
    """Take the oldest window off the list and clean an old one up."""
    finished = head.unsent[0]
    usage.sending = None
    kept = tuple(
        window
        for window in (*head.kept, finished)
        if window not in usage.deleted
    )
    written = _write(
        state,
        shard,
        usage,
        attrs.evolve(head, unsent=head.unsent[1:], kept=kept),
    )
    if len(kept) <= KEPT_WINDOWS:
        return written
    oldest = effects.DeleteFrozen(
        shard=shard, fencing=usage.fencing, window=kept[0]
    )
    return [*written, oldest]


def _read_when_due(
    state: ControllerState, shard: int, usage: ShardUsage, head: UsageHead
) -> list[effects.Effect]:
    due_s = head.next_window + head.window_s + FREEZE_DELAY_S
    if state.usage.wall_s < due_s:
        usage.due_since_s = None
        return []
    usage.busy = True
    return [effects.ReadFlushes(shard=shard, fencing=usage.fencing)]


def _advance(
    state: ControllerState, usage: ShardUsage, frozen: FrozenWindow
) -> list[effects.Effect]:
    if usage.head is None or frozen.window != usage.head.next_window:
        return []
    usage.due_since_s = None
    window_s = state.configuration.usage_window_s
    after = head_after(usage.head, frozen, window_s)
    return _write(state, frozen.shard, usage, after)


def _write(
    state: ControllerState, shard: int, usage: ShardUsage, head: UsageHead
) -> list[effects.Effect]:
    usage.busy = True
    return [
        effects.WriteUsageHead(
            shard=shard,
            fencing=usage.fencing,
            head=attrs.evolve(head, fencing=usage.fencing, token=_token(state)),
            expected_revision=usage.revision,
        )
    ]


def _current(
    state: ControllerState, event: events.UsageEvent
) -> ShardUsage | None:
    """Return the state an event is about; `None` for an earlier tenure."""
    usage = state.usage.by_shard.get(event.shard)
    held = _held_fencing(state).get(event.shard)
    if usage is None or held != event.fencing or usage.fencing != held:
        return None
    return usage


def _held_fencing(state: ControllerState) -> dict[int, int]:
    return {
        int(name.removeprefix(USAGE_PREFIX)): held.fencing
        for name, held in state.duties.held_by_name.items()
        if name.startswith(USAGE_PREFIX)
    }


def _token(state: ControllerState) -> str:
    state.usage.write_count += 1
    return f"{state.process_token}/usage/{state.usage.write_count}"


def _audit(
    state: ControllerState, frozen: FrozenWindow, why: str
) -> effects.RecordAudit:
    figures = frozen.figures_by_workspace
    requests = sum(f.requests for f in figures.values())
    late = sum(f.requests for f in frozen.late_by_workspace.values())
    return effects.RecordAudit(
        change=AuditChange(
            kind="usage",
            who=f"controller {state.host}",
            why=why,
            what=f"usage/{frozen.shard}/{frozen.window}",
            before="open",
            after=(
                f"frozen: {len(figures)} workspaces, {requests} requests, "
                f"{late} of them late"
            ),
        )
    )
