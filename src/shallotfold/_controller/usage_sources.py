"""Judge which sources of usage are live, complete or gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotfold._controller import effects
from shallotfold._controller.usage_state import ShardUsage
from shallotfold._controller.usage_state import SourceSeen

if TYPE_CHECKING:
    from shallotfold._controller import events

SOURCE_SILENT_S = 30.0
RETIRE_AFTER_S = 900.0
RETIRE_PERIOD_S = 300.0
RETIRING_SHARD = 0


def note_changes(usage: ShardUsage, event: events.FlushesRead) -> None:
    """Remember when each source changed last."""
    seen = usage.seen_by_source
    for source in seen.keys() - event.revisions_by_source.keys():
        del seen[source]
    for source, revision in event.revisions_by_source.items():
        known = seen.get(source)
        if known is None or known.revision != revision:
            seen[source] = SourceSeen(revision=revision, changed_s=event.now_s)


def missing(usage: ShardUsage, event: events.FlushesRead) -> list[str]:
    """Return the live sources whose counts may still rise."""
    if usage.head is None:
        return []
    silent_since_s = event.now_s - SOURCE_SILENT_S
    return [
        flush.source
        for flush in event.flushes
        if not flush.retired
        and flush.closed_before <= usage.head.next_window
        and usage.seen_by_source[flush.source].changed_s > silent_since_s
    ]


def retire_when_due(
    usage: ShardUsage, event: events.FlushesRead
) -> list[effects.Effect]:
    """Retire sources that were silent for long; one shard does it for all."""
    if event.shard != RETIRING_SHARD or event.now_s < usage.next_retire_s:
        return []
    usage.next_retire_s = event.now_s + RETIRE_PERIOD_S
    silent_since_s = event.now_s - RETIRE_AFTER_S
    silent = {
        source: seen.revision
        for source, seen in usage.seen_by_source.items()
        if seen.changed_s < silent_since_s
    }
    return [effects.RetireSources(revisions_by_source=silent)] if silent else []
