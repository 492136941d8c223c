"""Hold usage counts for peers, and store those of a lost peer."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.membership import membership
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.usage_state import HeldSource
from shallotfold._fleet.usage_flush import larger_count
from shallotfold._wire import usage_messages

LOST_PEER_WRITE_DELAY_S = 3.0
LIVE_PEER_WRITE_DELAY_S = 120.0
WRITE_RETRY_INTERVAL_S = 3.0


def on_held(
    state: EntryState,
    event: events.PeerMessageReceived,
    message: usage_messages.UsageHeld,
) -> list[effects.Effect]:
    """Hold counts for a peer and acknowledge them."""
    source_key = (message.host, message.incarnation)
    held_source = state.usage.held_by_source.setdefault(
        source_key, HeldSource(host=source_key[0], incarnation=source_key[1])
    )
    held_source.received_s = event.now_s
    for count in message.counts:
        key = (count.workspace, count.window)
        previous = held_source.counts_by_key.get(key)
        held_source.counts_by_key[key] = (
            larger_count(previous, count) if previous else count
        )
        held_source.sequences_by_key[key] = message.sequence
    acknowledgement = usage_messages.UsageHoldAcknowledged(
        sequence=message.sequence
    )
    return [effects.SendToPeer(host=event.host, message=acknowledgement)]


def on_stored(
    state: EntryState, message: usage_messages.UsageStored
) -> list[effects.Effect]:
    """Remove held counts that the store has."""
    _remove_stored(state, message.host, message.incarnation, message.sequence)
    return []


def on_tick(state: EntryState, now_s: float) -> list[effects.Effect]:
    """Write counts of peers that are lost or can't reach the store."""
    live = membership.live_entries(state)
    writes: list[effects.Effect] = []
    for held_source in state.usage.held_by_source.values():
        write_delay_s = (
            LIVE_PEER_WRITE_DELAY_S
            if held_source.host in live
            else LOST_PEER_WRITE_DELAY_S
        )
        due = (
            now_s - held_source.received_s > write_delay_s
            and now_s >= held_source.next_write_s
        )
        if held_source.writing or not due:
            continue
        held_source.writing = True
        writes.append(
            effects.FlushHeldUsage(
                host=held_source.host,
                incarnation=held_source.incarnation,
                sequence=max(held_source.sequences_by_key.values(), default=0),
                counts=tuple(held_source.counts_by_key.values()),
            )
        )
    return writes


def on_held_flushed(
    state: EntryState, event: events.HeldUsageFlushed
) -> list[effects.Effect]:
    """Remove counts that were written, or write them again later."""
    held_source = state.usage.held_by_source.get(
        (event.host, event.incarnation)
    )
    if held_source is None:
        return []
    held_source.writing = False
    held_source.next_write_s = event.now_s + WRITE_RETRY_INTERVAL_S
    if event.stored:
        _remove_stored(state, event.host, event.incarnation, event.sequence)
    return []


def _remove_stored(
    state: EntryState, host: str, incarnation: int, sequence: int
) -> None:
    held_source = state.usage.held_by_source.get((host, incarnation))
    if held_source is None:
        return
    stored_keys = [
        k for k, s in held_source.sequences_by_key.items() if s <= sequence
    ]
    for key in stored_keys:
        del held_source.sequences_by_key[key]
        del held_source.counts_by_key[key]
    if not held_source.counts_by_key:
        del state.usage.held_by_source[host, incarnation]
