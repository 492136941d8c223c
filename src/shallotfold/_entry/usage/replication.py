"""Replicate usage counts to a peer before answers end."""

import hashlib

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.membership import membership
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.usage_state import PendingAnswer
from shallotfold._entry.state.usage_state import PendingHold
from shallotfold._wire import usage_messages

MAX_ANSWER_DELAY_S = 0.05
ACKNOWLEDGEMENT_TIMEOUT_S = 0.5
AVOID_HOLDER_S = 10.0


def source_incarnation(state: EntryState) -> int:
    """Return the incarnation of the current source of counts."""
    return state.incarnation + state.usage.source_rotations


def finish_once_held(
    state: EntryState, request_id: str, now_s: float
) -> list[effects.Effect]:
    """Send the newest counts to the holder; the answer ends once held."""
    usage = state.usage
    usage.pending_answers_by_id[request_id] = PendingAnswer(
        sequence=usage.sequence, deadline_s=now_s + MAX_ANSWER_DELAY_S
    )
    return send_unsent_counts(state, now_s)


def send_unsent_counts(state: EntryState, now_s: float) -> list[effects.Effect]:
    """Send all unsent counts, with one message in flight at a time."""
    usage = state.usage
    _update_holder(state, now_s)
    if usage.pending_hold is not None or not usage.unsent_keys:
        return []
    if not usage.holder:
        usage.unsent_keys.clear()
        return _finish_unreplicated_up_to(state, usage.sequence)
    usage.sequence += 1
    counts = {
        key: usage.counts_by_key[key]
        for key in usage.unsent_keys
        if key in usage.counts_by_key
    }
    usage.unsent_keys.clear()
    usage.pending_hold = PendingHold(
        sequence=usage.sequence, sent_s=now_s, counts_by_key=counts
    )
    message = usage_messages.UsageHeld(
        host=state.host,
        incarnation=source_incarnation(state),
        sequence=usage.sequence,
        counts=tuple(counts.values()),
    )
    return [effects.SendToPeer(host=usage.holder, message=message)]


def on_acknowledged(
    state: EntryState,
    event: events.PeerMessageReceived,
    message: usage_messages.UsageHoldAcknowledged,
) -> list[effects.Effect]:
    """Finish the answers whose counts are held now."""
    usage = state.usage
    hold = usage.pending_hold
    if hold is None or event.host != usage.holder:
        return []
    if message.sequence < hold.sequence:
        return []
    usage.mark_replicated(hold.counts_by_key)
    usage.pending_hold = None
    replicated_ids = _pop_pending_up_to(state, hold.sequence)
    return [
        *(
            effects.FinishAnswer(request_id=request_id)
            for request_id in replicated_ids
        ),
        *send_unsent_counts(state, event.now_s),
    ]


def on_tick(state: EntryState, now_s: float) -> list[effects.Effect]:
    """Finish overdue answers; avoid a holder that does not acknowledge."""
    usage = state.usage
    hold = usage.pending_hold
    if hold is not None and now_s - hold.sent_s > ACKNOWLEDGEMENT_TIMEOUT_S:
        usage.avoided_until_by_host[usage.holder] = now_s + AVOID_HOLDER_S
    overdue_ids = [
        request_id
        for request_id, answer in usage.pending_answers_by_id.items()
        if answer.deadline_s <= now_s
    ]
    return [
        *_finish_unreplicated(state, overdue_ids),
        *send_unsent_counts(state, now_s),
    ]


def notify_holders_of_storage(
    state: EntryState, sequence: int
) -> list[effects.Effect]:
    """Notify the holders of the counts that the store has."""
    usage = state.usage
    message = usage_messages.UsageStored(
        host=state.host,
        incarnation=source_incarnation(state),
        sequence=sequence,
    )
    holders = {*usage.former_holders, usage.holder} - {""}
    usage.former_holders.clear()
    return [
        effects.SendToPeer(host=host, message=message)
        for host in sorted(holders)
    ]


def _update_holder(state: EntryState, now_s: float) -> None:
    """Choose the holder again; a new one gets all unstored counts."""
    usage = state.usage
    chosen = _choose_holder(state, now_s)
    if chosen == usage.holder:
        return
    if usage.holder:
        usage.former_holders.add(usage.holder)
    usage.holder = chosen
    usage.pending_hold = None
    usage.unsent_keys |= usage.unstored_keys()


def _choose_holder(state: EntryState, now_s: float) -> str:
    usage = state.usage
    candidates = [
        host
        for host in membership.live_entries(state)
        if host != state.host
        and usage.avoided_until_by_host.get(host, 0.0) <= now_s
    ]
    return min(
        candidates, key=lambda host: _holder_preference(state, host), default=""
    )


def _holder_preference(state: EntryState, host: str) -> tuple[bool, bytes]:
    """Return a sort key: other data centres first, then by rendezvous hash."""
    record = state.membership.hosts_by_name.get(host)
    same_data_centre = record is None or record.data_centre == state.data_centre
    return same_data_centre, hashlib.sha256(
        f"{state.host}\0{host}".encode()
    ).digest()


def _pop_pending_up_to(state: EntryState, sequence: int) -> list[str]:
    pending_answers = state.usage.pending_answers_by_id
    request_ids = [
        request_id
        for request_id, answer in pending_answers.items()
        if answer.sequence <= sequence
    ]
    for request_id in request_ids:
        del pending_answers[request_id]
    return request_ids


def _finish_unreplicated_up_to(
    state: EntryState, sequence: int
) -> list[effects.Effect]:
    pending_answers = state.usage.pending_answers_by_id
    request_ids = [
        r
        for r, answer in pending_answers.items()
        if answer.sequence <= sequence
    ]
    return _finish_unreplicated(state, request_ids)


def _finish_unreplicated(
    state: EntryState, request_ids: list[str]
) -> list[effects.Effect]:
    """Finish answers whose counts a crash of this entry alone could lose."""
    for request_id in request_ids:
        del state.usage.pending_answers_by_id[request_id]
    new_effects: list[effects.Effect] = [
        effects.FinishAnswer(request_id=request_id)
        for request_id in request_ids
    ]
    if new_effects:
        new_effects.append(
            effects.CountMetric(name="usage.exposed", value=len(new_effects))
        )
    return new_effects
