"""Hold the usage counts of an entry, and those it holds for peers."""

import attrs

from shallotfold._wire.usage_messages import UsageCount

CountKey = tuple[str, int]
"""Workspace and start of the window."""


@attrs.define(kw_only=True)
class WaitingAnswer:
    """A whole answer whose end waits until its count is held elsewhere.

    Attributes:
        sequence: Sequence number of its count.
        deadline_s: When it ends in any case.
    """

    sequence: int
    deadline_s: float


@attrs.define(kw_only=True)
class OpenHold:
    """A message that asks a peer to hold counts, not yet acknowledged.

    Attributes:
        sequence: Its sequence number.
        sent_s: When it was sent.
        counts_by_key: Counts in it.
    """

    sequence: int
    sent_s: float
    counts_by_key: dict[CountKey, UsageCount]


@attrs.define(kw_only=True)
class HeldSource:
    """Counts held for a peer until the store has them.

    Attributes:
        host: The entry that counted.
        incarnation: Its incarnation.
        counts_by_key: Cumulative counts.
        sequences_by_key: Sequence number of each count.
        received_s: When a message about the source came last.
        retry_s: When to write it to the store at the earliest.
        writing: Whether a write to the store is under way.
    """

    host: str
    incarnation: int
    counts_by_key: dict[CountKey, UsageCount] = attrs.field(factory=dict)
    sequences_by_key: dict[CountKey, int] = attrs.field(factory=dict)
    received_s: float = 0.0
    retry_s: float = 0.0
    writing: bool = False


@attrs.define(kw_only=True)
class UsageState:
    """Counts of this entry.

    Attributes:
        counts_by_key: Cumulative counts of this source.
        sequences_by_key: Sequence number of the last change of each count.
        safe_by_key: Counts that the store or a peer is known to have.
        sequence: Number of the last change, message or flush.
        stored_sequence: Changes up to it are in the store.
        rotation: How often this process began a new source.
        unheld: Counts to be sent to the holder.
        open_hold: Message to the holder without an answer.
        holder: Peer that holds our counts; empty without one.
        former_holders: Peers that hold older counts of ours.
        avoided_until_by_host: Until when not to choose a peer as holder.
        waiting_by_id: Answers that wait for their count to be held.
        held_by_source: Counts held for peers, by host and incarnation.
        flushing: Whether a flush is under way.
        last_flush: Counts of the last flush, whether it arrived or not.
        next_flush_s: When to flush at the earliest.
        closed_before: Windows before it are final.
        flushed_closed_before: The same as the store has it.
        wall_s: Seconds since the epoch at the last tick.
        ticked_s: Monotonic time of the last tick or count; `None` before.
        draining_since_s: When draining was first seen; `None` before.
    """

    counts_by_key: dict[CountKey, UsageCount] = attrs.field(factory=dict)
    sequences_by_key: dict[CountKey, int] = attrs.field(factory=dict)
    safe_by_key: dict[CountKey, UsageCount] = attrs.field(factory=dict)
    sequence: int = 0
    stored_sequence: int = 0
    rotation: int = 0
    unheld: set[CountKey] = attrs.field(factory=set)
    open_hold: OpenHold | None = None
    holder: str = ""
    former_holders: set[str] = attrs.field(factory=set)
    avoided_until_by_host: dict[str, float] = attrs.field(factory=dict)
    waiting_by_id: dict[str, WaitingAnswer] = attrs.field(factory=dict)
    held_by_source: dict[tuple[str, int], HeldSource] = attrs.field(
        factory=dict
    )
    flushing: bool = False
    last_flush: dict[CountKey, UsageCount] = attrs.field(factory=dict)
    next_flush_s: float = 0.0
    closed_before: int = 0
    flushed_closed_before: int = 0
    wall_s: float = 0.0
    ticked_s: float | None = None
    draining_since_s: float | None = None

    def unstored_keys(self) -> set[CountKey]:
        """Return the counts that changed since the last flush."""
        return {
            key
            for key, sequence in self.sequences_by_key.items()
            if sequence > self.stored_sequence
        }

    def note_safe(self, counts: dict[CountKey, UsageCount]) -> None:
        """Remember counts that will survive this process."""
        for key, count in counts.items():
            known = self.safe_by_key.get(key)
            if known is None or known.requests <= count.requests:
                self.safe_by_key[key] = count
