"""Report usage: freeze a window's figures, then send exactly these.

Each shard has at most one call in flight. Nothing is sent before the head of
the shard, written under this holder's fencing token, lists the window as
frozen.
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
from shallotfold._fleet.usage_ledger import advance_head
from shallotfold._fleet.usage_ledger import freeze_window
from shallotfold._services.ports import UsageReport

if TYPE_CHECKING:
    from shallotfold._controller import events
    from shallotfold._controller.state import ControllerState

RETRY_DELAY_S = 1.0
FREEZE_DELAY_S = 5.0
FREEZE_RETRY_DELAY_S = 2.0
MAX_FREEZE_WAIT_S = 60.0
REPORTS_PER_BATCH = 50
REPORT_TIMEOUT_S = 5.0
MAX_KEPT_WINDOWS = 20


def on_tick(state: ControllerState, event: events.Tick) -> list[effects.Effect]:
    """Start the next call of each held shard that has none in flight."""
    state.usage.wall_s = event.wall_s
    fencing_by_shard = _fencing_by_shard(state)
    usage_by_shard = state.usage.by_shard
    for shard in [
        s
        for s, u in usage_by_shard.items()
        if fencing_by_shard.get(s) != u.fencing
    ]:
        del usage_by_shard[shard]
    calls: list[effects.Effect] = []
    for shard, fencing in sorted(fencing_by_shard.items()):
        usage_by_shard.setdefault(shard, ShardUsage(fencing=fencing))
        calls += _start_next_call(state, shard, event.now_s)
    return calls


def on_head_read(
    state: ControllerState, event: events.UsageHeadRead
) -> list[effects.Effect]:
    """Adopt the head, or create it with the current window."""
    usage = _current_usage(state, event)
    if usage is None:
        return []
    usage.call_in_flight = False
    usage.revision = event.revision
    usage.head = event.head
    if event.head is None:
        window_s = state.configuration.usage_window_s
        current_window = int(state.usage.wall_s // window_s) * window_s
        first_head = UsageHead(
            fencing=event.fencing, next_window=current_window, window_s=window_s
        )
        return _write(state, event.shard, usage, first_head)
    return _start_next_call(state, event.shard, event.now_s)


def on_head_written(
    state: ControllerState, event: events.UsageHeadWritten
) -> list[effects.Effect]:
    """Continue with the head, now that it is in the store."""
    usage = _current_usage(state, event)
    if usage is None:
        return []
    usage.call_in_flight = False
    usage.head = event.head
    usage.revision = event.revision
    usage.deleted_windows.intersection_update(event.head.kept)
    return _start_next_call(state, event.shard, event.now_s)


def on_call_failed(
    state: ControllerState, event: events.UsageCallFailed
) -> list[effects.Effect]:
    """Discard the head, so that it is read again before any other call."""
    usage = _current_usage(state, event)
    if usage is None:
        return []
    usage.call_in_flight = False
    usage.head = None
    usage.reporting = None
    usage.due_since_s = None
    usage.next_call_s = event.now_s + RETRY_DELAY_S
    return []


def on_flushes_read(
    state: ControllerState, event: events.FlushesRead
) -> list[effects.Effect]:
    """Freeze the next window once its sources are complete.

    After `MAX_FREEZE_WAIT_S`, freeze it without the missing counts.
    """
    usage = _current_usage(state, event)
    if usage is None or usage.head is None:
        return []
    usage.call_in_flight = False
    usage_sources.record_changes(usage, event)
    if usage.due_since_s is None:
        usage.due_since_s = event.now_s
    waited_s = event.now_s - usage.due_since_s
    if waited_s < MAX_FREEZE_WAIT_S and usage_sources.incomplete_sources(
        usage, event
    ):
        usage.next_call_s = event.now_s + FREEZE_RETRY_DELAY_S
        return []
    frozen = attrs.evolve(
        freeze_window(usage.head, event.flushes, event.shard),
        token=_write_token(state),
    )
    retirements = usage_sources.retire_when_due(usage, event)
    if not frozen.figures_by_workspace:
        return [*retirements, *_advance(state, usage, frozen)]
    usage.call_in_flight = True
    freeze_effect = effects.FreezeWindow(fencing=event.fencing, frozen=frozen)
    return [*retirements, freeze_effect]


def on_window_frozen(
    state: ControllerState, event: events.WindowFrozen
) -> list[effects.Effect]:
    """Advance the head past a new frozen window, or report an unsent one."""
    usage = _current_usage(state, event)
    if usage is None or usage.head is None:
        return []
    usage.call_in_flight = False
    if event.frozen.window in usage.head.unsent:
        usage.reporting = event.frozen
        usage.reported_workspaces = set()
        return _start_next_call(state, event.shard, event.now_s)
    late_requests = sum(
        f.requests for f in event.frozen.late_by_workspace.values()
    )
    return [
        *_advance(state, usage, event.frozen),
        effects.CountMetric(name="usage.late_requests", value=late_requests),
        _audit_window(state, event.frozen, "frozen before the first report"),
    ]


def on_reports_sent(
    state: ControllerState, event: events.ReportsSent
) -> list[effects.Effect]:
    """Record what was reported and continue with the rest of the window."""
    usage = _current_usage(state, event)
    if usage is None or usage.reporting is None:
        return []
    usage.call_in_flight = False
    answered_reports = [*event.reports, *event.conflicts]
    usage.reported_workspaces.update(
        report.workspace for report in answered_reports
    )
    if not answered_reports:
        usage.next_call_s = event.now_s + RETRY_DELAY_S
    conflict_effects: list[effects.Effect] = []
    if event.conflicts:
        names = ", ".join(sorted(r.workspace for r in event.conflicts))
        why = f"the platform has other figures for {names}"
        conflict_effects = [
            effects.CountMetric(
                name="usage.conflicts", value=len(event.conflicts)
            ),
            _audit_window(state, usage.reporting, why),
        ]
    return [
        *conflict_effects,
        *_start_next_call(state, event.shard, event.now_s),
    ]


def on_frozen_window_deleted(
    state: ControllerState, event: events.FrozenWindowDeleted
) -> list[effects.Effect]:
    """Record the deletion; the next finished window updates `kept`."""
    usage = _current_usage(state, event)
    if usage is not None:
        usage.deleted_windows.add(event.window)
    return []


def _start_next_call(
    state: ControllerState, shard: int, now_s: float
) -> list[effects.Effect]:
    """Start the next call of a shard if one is due and allowed."""
    usage = state.usage.by_shard[shard]
    duty = f"{USAGE_PREFIX}{shard}"
    allowed = lease.may_send(state, duty, now_s)
    if usage.call_in_flight or now_s < usage.next_call_s or not allowed:
        return []
    head = usage.head
    if head is None:
        usage.call_in_flight = True
        return [effects.ReadUsageHead(shard=shard, fencing=usage.fencing)]
    if head.fencing > usage.fencing:
        why = "the usage head names a newer holder"
        return handover.relinquish(state, (duty,), why)
    if head.fencing < usage.fencing:
        return _write(state, shard, usage, head)
    if head.unsent:
        return _send_reports(state, shard, usage, head, now_s)
    return _read_flushes_when_due(state, shard, usage, head)


def _send_reports(
    state: ControllerState,
    shard: int,
    usage: ShardUsage,
    head: UsageHead,
    now_s: float,
) -> list[effects.Effect]:
    window = head.unsent[0]
    frozen = usage.reporting
    if frozen is None or frozen.window != window:
        usage.call_in_flight = True
        return [
            effects.ReadFrozenWindow(
                shard=shard, fencing=usage.fencing, window=window
            )
        ]
    unreported = [
        UsageReport(
            workspace=workspace,
            window=window,
            figures=figures,
            fencing=usage.fencing,
        )
        for workspace, figures in sorted(frozen.figures_by_workspace.items())
        if workspace not in usage.reported_workspaces
    ]
    if not unreported:
        return _finish_window(state, shard, usage, head)
    usage.call_in_flight = True
    remaining_s = lease.send_time_left_s(state, now_s)
    return [
        effects.SendReports(
            shard=shard,
            fencing=usage.fencing,
            window=window,
            reports=tuple(unreported[:REPORTS_PER_BATCH]),
            timeout_s=min(REPORT_TIMEOUT_S, remaining_s),
        )
    ]


def _finish_window(
    state: ControllerState, shard: int, usage: ShardUsage, head: UsageHead
) -> list[effects.Effect]:
    """Mark the oldest unsent window as reported and prune the kept figures."""
    finished = head.unsent[0]
    usage.reporting = None
    kept = tuple(
        window
        for window in (*head.kept, finished)
        if window not in usage.deleted_windows
    )
    head_write = _write(
        state,
        shard,
        usage,
        attrs.evolve(head, unsent=head.unsent[1:], kept=kept),
    )
    if len(kept) <= MAX_KEPT_WINDOWS:
        return head_write
    deletion = effects.DeleteFrozenWindow(
        shard=shard, fencing=usage.fencing, window=kept[0]
    )
    return [*head_write, deletion]


def _read_flushes_when_due(
    state: ControllerState, shard: int, usage: ShardUsage, head: UsageHead
) -> list[effects.Effect]:
    due_s = head.next_window + head.window_s + FREEZE_DELAY_S
    if state.usage.wall_s < due_s:
        usage.due_since_s = None
        return []
    usage.call_in_flight = True
    return [effects.ReadFlushes(shard=shard, fencing=usage.fencing)]


def _advance(
    state: ControllerState, usage: ShardUsage, frozen: FrozenWindow
) -> list[effects.Effect]:
    if usage.head is None or frozen.window != usage.head.next_window:
        return []
    usage.due_since_s = None
    window_s = state.configuration.usage_window_s
    next_head = advance_head(usage.head, frozen, window_s)
    return _write(state, frozen.shard, usage, next_head)


def _write(
    state: ControllerState, shard: int, usage: ShardUsage, head: UsageHead
) -> list[effects.Effect]:
    usage.call_in_flight = True
    return [
        effects.WriteUsageHead(
            shard=shard,
            fencing=usage.fencing,
            head=attrs.evolve(
                head, fencing=usage.fencing, token=_write_token(state)
            ),
            expected_revision=usage.revision,
        )
    ]


def _current_usage(
    state: ControllerState, event: events.UsageEvent
) -> ShardUsage | None:
    """Return the state that an event is about; `None` if of an earlier term."""
    usage = state.usage.by_shard.get(event.shard)
    fencing = _fencing_by_shard(state).get(event.shard)
    if usage is None or fencing != event.fencing or usage.fencing != fencing:
        return None
    return usage


def _fencing_by_shard(state: ControllerState) -> dict[int, int]:
    return {
        int(name.removeprefix(USAGE_PREFIX)): held.fencing
        for name, held in state.duties.held_by_name.items()
        if name.startswith(USAGE_PREFIX)
    }


def _write_token(state: ControllerState) -> str:
    state.usage.write_count += 1
    return f"{state.process_token}/usage/{state.usage.write_count}"


def _audit_window(
    state: ControllerState, frozen: FrozenWindow, why: str
) -> effects.RecordAudit:
    figures = frozen.figures_by_workspace
    requests = sum(f.requests for f in figures.values())
    late_requests = sum(f.requests for f in frozen.late_by_workspace.values())
    return effects.RecordAudit(
        change=AuditChange(
            kind="usage",
            who=f"controller {state.host}",
            why=why,
            what=f"usage/{frozen.shard}/{frozen.window}",
            before="open",
            after=(
                f"frozen: {len(figures)} workspaces, {requests} requests, "
                f"{late_requests} of them late"
            ),
        )
    )
