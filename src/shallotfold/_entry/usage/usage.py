"""Count answered requests per workspace and window, cumulatively.

An answer counts in the window in which it ended. A peer holds the count before
the caller gets the end of the answer, so a crash of this entry loses no count
while that peer is alive. A flush writes all counts to the store at once.
"""

import attrs

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.usage_state import UsageState
from shallotfold._entry.usage import demand
from shallotfold._entry.usage import peer_replicas
from shallotfold._entry.usage import replication
from shallotfold._wire import usage_messages
from shallotfold._wire.usage_messages import UsageCount

FLUSH_INTERVAL_S = 3.0
MAX_FLUSH_INTERVAL_S = 25.0
FLUSH_BYTES_PER_S = 1000.0
BYTES_PER_COUNT = 40
DRAIN_FLUSH_INTERVAL_S = 0.25
FLUSH_RETRY_DELAY_S = 1.0
DRAIN_HELD_TIMEOUT_S = 5.0
DRAIN_TIMEOUT_S = 60.0
LONG_PAUSE_THRESHOLD_S = 600.0


def count_answer(
    state: EntryState,
    request_id: str,
    workspace: str,
    prompt_tokens: int,
    output_tokens: int,
    *,
    now_s: float,
    wall_s: float,
) -> list[effects.Effect]:
    """Count an answer, then let the caller get its end.

    The returned effects, or those of a later event, include `FinishAnswer`.
    """
    if not workspace:
        return [effects.FinishAnswer(request_id=request_id)]
    usage = state.usage
    _detect_long_pause(state, now_s)
    window = _window_at(state, max(wall_s, usage.wall_s))
    _add(
        usage,
        UsageCount(
            workspace=workspace,
            window=window,
            requests=1,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        ),
    )
    return replication.finish_once_held(state, request_id, now_s)


def has_unflushed(state: EntryState) -> bool:
    """Whether counts are unstored or counted answers are still pending.

    While draining, unstored counts are waited for at most
    `DRAIN_HELD_TIMEOUT_S` if a peer holds all of them, and `DRAIN_TIMEOUT_S`
    otherwise.
    """
    usage = state.usage
    if usage.pending_answers_by_id:
        return True
    unstored = usage.unstored_keys()
    if not unstored or usage.draining_since_s is None:
        return bool(unstored)
    draining_for_s = (usage.last_activity_s or 0.0) - usage.draining_since_s
    is_held = all(
        usage.replicated_by_key.get(key) == usage.counts_by_key[key]
        for key in unstored
    )
    return draining_for_s < (
        DRAIN_HELD_TIMEOUT_S if is_held else DRAIN_TIMEOUT_S
    )


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Flush counts that the store does not have yet."""
    usage = state.usage
    _detect_long_pause(state, event.now_s)
    usage.wall_s = max(usage.wall_s, event.wall_s)
    if state.draining and usage.draining_since_s is None:
        usage.draining_since_s = event.now_s
        usage.next_flush_s = event.now_s
    usage.closed_before = max(
        usage.closed_before, _window_at(state, usage.wall_s)
    )
    return [
        *replication.on_tick(state, event.now_s),
        *peer_replicas.on_tick(state, event.now_s),
        *_flush_when_due(state, event.now_s),
    ]


def on_flushed(
    state: EntryState, event: events.UsageFlushed
) -> list[effects.Effect]:
    """Record what the store has and notify the holders."""
    usage = state.usage
    usage.flushing = False
    if event.sequence <= usage.stored_sequence:
        return []
    usage.stored_sequence = event.sequence
    usage.stored_closed_before = event.closed_before
    usage.mark_replicated(usage.last_flush)
    return replication.notify_holders_of_storage(state, event.sequence)


def on_flush_failed(
    state: EntryState, event: events.UsageFlushFailed
) -> list[effects.Effect]:
    """Retry the flush later, from a new source if this one was retired."""
    usage = state.usage
    usage.flushing = False
    usage.next_flush_s = event.now_s + FLUSH_RETRY_DELAY_S
    if event.retired:
        _rotate_source(state)
    return []


def on_settled(
    state: EntryState, event: events.UsageSettled
) -> list[effects.Effect]:
    """Remove counts of windows whose usage reports are final."""
    usage = state.usage
    unstored = usage.unstored_keys()
    settled = [
        key
        for key in usage.counts_by_key
        if key[1] < event.before and key not in unstored
    ]
    for key in settled:
        del usage.counts_by_key[key]
        del usage.sequences_by_key[key]
        usage.replicated_by_key.pop(key, None)
    return []


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Handle a message about held counts, as the holder or as the source."""
    message = event.message
    if isinstance(message, usage_messages.UsageHeld):
        return peer_replicas.on_held(state, event, message)
    if isinstance(message, usage_messages.UsageHoldAcknowledged):
        return replication.on_acknowledged(state, event, message)
    if isinstance(message, usage_messages.UsageStored):
        return peer_replicas.on_stored(state, message)
    return []


def _detect_long_pause(state: EntryState, now_s: float) -> None:
    """Start a new source after a pause that may have retired this one."""
    usage = state.usage
    previous_activity_s = usage.last_activity_s
    usage.last_activity_s = now_s
    if (
        previous_activity_s is not None
        and now_s - previous_activity_s > LONG_PAUSE_THRESHOLD_S
    ):
        # Others may have stored and reported the counts of this entry, and
        # those that it holds for peers.
        usage.held_by_source.clear()
        _rotate_source(state)


def _flush_when_due(state: EntryState, now_s: float) -> list[effects.Effect]:
    usage = state.usage
    # A source without a value in the store need not report final windows.
    has_new_final_windows = 0 < usage.stored_closed_before < usage.closed_before
    needs_flush = (
        has_new_final_windows
        or bool(usage.unstored_keys())
        or demand.has_unflushed(state)
    )
    if usage.flushing or now_s < usage.next_flush_s or not needs_flush:
        return []
    usage.flushing = True
    usage.last_flush = dict(usage.counts_by_key)
    usage.next_flush_s = now_s + _flush_interval_s(state)
    usage.sequence += 1
    return [
        effects.FlushUsage(
            sequence=usage.sequence,
            counts=tuple(usage.counts_by_key.values()),
            host=state.host,
            incarnation=replication.source_incarnation(state),
            closed_before=usage.closed_before,
            demand=demand.snapshot_for_flush(state),
        )
    ]


def _flush_interval_s(state: EntryState) -> float:
    """Return an interval that bounds the bytes per second of flushes."""
    if state.draining:
        return DRAIN_FLUSH_INTERVAL_S
    size_bytes = BYTES_PER_COUNT * len(state.usage.counts_by_key)
    interval_s = max(FLUSH_INTERVAL_S, size_bytes / FLUSH_BYTES_PER_S)
    return min(interval_s, MAX_FLUSH_INTERVAL_S)


def _window_at(state: EntryState, wall_s: float) -> int:
    window_length_s = state.configuration.current.usage_window_s
    window = int(wall_s // window_length_s) * window_length_s
    return max(window, state.usage.closed_before)


def _add(usage: UsageState, added: UsageCount) -> None:
    key = (added.workspace, added.window)
    previous = usage.counts_by_key.get(key)
    if previous is not None:
        added = attrs.evolve(
            previous,
            requests=previous.requests + added.requests,
            prompt_tokens=previous.prompt_tokens + added.prompt_tokens,
            output_tokens=previous.output_tokens + added.output_tokens,
        )
    usage.counts_by_key[key] = added
    usage.sequence += 1
    usage.sequences_by_key[key] = usage.sequence
    usage.unsent_keys.add(key)


def _rotate_source(state: EntryState) -> None:
    """Continue with a new source; replicated counts stay with the old one.

    Counts that were sent but not confirmed may have arrived and been reported,
    so they are not counted again.
    """
    usage = state.usage
    usage.mark_replicated(usage.last_flush)
    if usage.pending_hold is not None:
        usage.mark_replicated(usage.pending_hold.counts_by_key)
    remaining_counts = [
        _unreplicated_part(count, usage.replicated_by_key.get(key))
        for key, count in usage.counts_by_key.items()
    ]
    usage.source_rotations += 1
    usage.counts_by_key.clear()
    usage.sequences_by_key.clear()
    usage.replicated_by_key.clear()
    usage.unsent_keys.clear()
    usage.pending_hold = None
    usage.last_flush = {}
    usage.stored_sequence = usage.sequence
    usage.stored_closed_before = 0
    for count in remaining_counts:
        if count.requests:
            _add(usage, count)


def _unreplicated_part(
    count: UsageCount, replicated: UsageCount | None
) -> UsageCount:
    if replicated is None:
        return count
    return attrs.evolve(
        count,
        requests=count.requests - replicated.requests,
        prompt_tokens=count.prompt_tokens - replicated.prompt_tokens,
        output_tokens=count.output_tokens - replicated.output_tokens,
    )
