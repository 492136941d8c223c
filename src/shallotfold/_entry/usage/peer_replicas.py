"""Hold counts for peers, and write those of a lost peer to the store."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.membership import membership
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.usage_state import HeldSource
from shallotfold._fleet.usage_flush import larger_count
from shallotfold._wire import usage_messages

LOST_HOST_S = 3.0
MAX_AGE_S = 120.0
WRITE_RETRY_S = 3.0


def on_held(
    state: EntryState,
    event: events.PeerMessageReceived,
    message: usage_messages.UsageHeld,
) -> list[effects.Effect]:
    """Take counts over, then confirm."""
    source = (message.host, message.incarnation)
    held = state.usage.held_by_source.setdefault(
        source, HeldSource(host=source[0], incarnation=source[1])
    )
    held.received_s = event.now_s
    for count in message.counts:
        key = (count.workspace, count.window)
        known = held.counts_by_key.get(key)
        held.counts_by_key[key] = larger_count(known, count) if known else count
        held.sequences_by_key[key] = message.sequence
    confirmed = usage_messages.UsageHoldAcknowledged(sequence=message.sequence)
    return [effects.SendToPeer(host=event.host, message=confirmed)]


def on_stored(
    state: EntryState, message: usage_messages.UsageStored
) -> list[effects.Effect]:
    """Forget what the store has."""
    _forget(state, message.host, message.incarnation, message.sequence)
    return []


def on_tick(state: EntryState, now_s: float) -> list[effects.Effect]:
    """Write counts of peers that are gone or can't reach the store."""
    live = membership.live_entries(state)
    writes: list[effects.Effect] = []
    for held in state.usage.held_by_source.values():
        patience_s = MAX_AGE_S if held.host in live else LOST_HOST_S
        due = (
            now_s - held.received_s > patience_s and now_s >= held.next_write_s
        )
        if held.writing or not due:
            continue
        held.writing = True
        writes.append(
            effects.FlushHeldUsage(
                host=held.host,
                incarnation=held.incarnation,
                sequence=max(held.sequences_by_key.values(), default=0),
                counts=tuple(held.counts_by_key.values()),
            )
        )
    return writes


def on_held_flushed(
    state: EntryState, event: events.HeldUsageFlushed
) -> list[effects.Effect]:
    """Forget what was written, or write it again later."""
    held = state.usage.held_by_source.get((event.host, event.incarnation))
    if held is None:
        return []
    held.writing = False
    held.next_write_s = event.now_s + WRITE_RETRY_S
    if event.stored:
        _forget(state, event.host, event.incarnation, event.sequence)
    return []


def _forget(
    state: EntryState, host: str, incarnation: int, sequence: int
) -> None:
    held = state.usage.held_by_source.get((host, incarnation))
    if held is None:
        return
    done = [k for k, s in held.sequences_by_key.items() if s <= sequence]
    for key in done:
        del held.sequences_by_key[key]
        del held.counts_by_key[key]
    if not held.counts_by_key:
        del state.usage.held_by_source[host, incarnation]
