"""Classify usage sources as live, complete or inactive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotfold._controller import effects
from shallotfold._controller.usage_state import ShardUsage
from shallotfold._controller.usage_state import SourceChange

if TYPE_CHECKING:
    from shallotfold._controller import events

SOURCE_INACTIVE_AFTER_S = 30.0
RETIRE_AFTER_S = 900.0
RETIRE_PERIOD_S = 300.0
RETIRING_SHARD = 0


def record_changes(usage: ShardUsage, event: events.FlushesRead) -> None:
    """Record when each source changed last."""
    changes = usage.changes_by_source
    for source in changes.keys() - event.revisions_by_source.keys():
        del changes[source]
    for source, revision in event.revisions_by_source.items():
        previous = changes.get(source)
        if previous is None or previous.revision != revision:
            changes[source] = SourceChange(
                revision=revision, changed_s=event.now_s
            )


def incomplete_sources(
    usage: ShardUsage, event: events.FlushesRead
) -> list[str]:
    """Return live sources whose counts in the next window may still rise."""
    if usage.head is None:
        return []
    inactive_cutoff_s = event.now_s - SOURCE_INACTIVE_AFTER_S
    return [
        flush.source
        for flush in event.flushes
        if not flush.retired
        and flush.closed_before <= usage.head.next_window
        and usage.changes_by_source[flush.source].changed_s > inactive_cutoff_s
    ]


def retire_when_due(
    usage: ShardUsage, event: events.FlushesRead
) -> list[effects.Effect]:
    """Retire sources inactive for long; one shard does it for all shards."""
    if event.shard != RETIRING_SHARD or event.now_s < usage.next_retire_s:
        return []
    usage.next_retire_s = event.now_s + RETIRE_PERIOD_S
    inactive_cutoff_s = event.now_s - RETIRE_AFTER_S
    inactive = {
        source: change.revision
        for source, change in usage.changes_by_source.items()
        if change.changed_s < inactive_cutoff_s
    }
    return (
        [effects.RetireSources(revisions_by_source=inactive)]
        if inactive
        else []
    )
