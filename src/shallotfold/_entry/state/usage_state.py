"""State of the usage counts: those of this entry, and replicas for peers."""

import attrs

from shallotfold._wire.usage_messages import UsageCount

CountKey = tuple[str, int]
"""Workspace and start of the window."""


@attrs.define(kw_only=True)
class PendingAnswer:
    """A complete answer whose end is delayed until its count is replicated.

    Attributes:
        sequence: Sequence number of its count.
        deadline_s: When it ends even without a replica.
    """

    sequence: int
    deadline_s: float


@attrs.define(kw_only=True)
class PendingHold:
    """A message that asks a peer to hold counts, not yet acknowledged.

    Attributes:
        sequence: Its sequence number.
        sent_s: When it was sent.
        counts_by_key: Its counts.
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
        received_s: When the last message about the source came.
        next_write_s: Earliest time of the next write to the store.
        writing: Whether a write to the store is in progress.
    """

    host: str
    incarnation: int
    counts_by_key: dict[CountKey, UsageCount] = attrs.field(factory=dict)
    sequences_by_key: dict[CountKey, int] = attrs.field(factory=dict)
    received_s: float = 0.0
    next_write_s: float = 0.0
    writing: bool = False


@attrs.define(kw_only=True)
class UsageState:
    """Usage counts of this entry.

    Attributes:
        counts_by_key: Cumulative counts of the current source.
        sequences_by_key: Sequence number of the last change of each count.
        replicated_by_key: Counts that the store or a peer is known to have.
        sequence: Number of the last change, message or flush.
        stored_sequence: The store has all changes up to this sequence number.
        source_rotations: How often this process switched to a new source.
        unsent_keys: Counts that are still to be sent to the holder.
        pending_hold: Message to the holder that is not acknowledged yet.
        holder: Peer that holds the counts of this entry; empty without one.
        former_holders: Peers that hold older counts of this entry.
        avoided_until_by_host: Until when not to choose a peer as holder.
        pending_answers_by_id: Answers that wait for their count to be held.
        held_by_source: Counts held for peers, by host and incarnation.
        flushing: Whether a flush is in progress.
        last_flush: Counts in the last flush, whether or not it arrived.
        next_flush_s: Earliest time of the next flush.
        closed_before: Windows that start before it are final.
        stored_closed_before: The `closed_before` that the store has.
        wall_s: Seconds since the epoch at the last tick.
        last_activity_s: Monotonic time of the last tick or count; `None` before
            the first.
        draining_since_s: When draining was first noticed; `None` before.
    """

    counts_by_key: dict[CountKey, UsageCount] = attrs.field(factory=dict)
    sequences_by_key: dict[CountKey, int] = attrs.field(factory=dict)
    replicated_by_key: dict[CountKey, UsageCount] = attrs.field(factory=dict)
    sequence: int = 0
    stored_sequence: int = 0
    source_rotations: int = 0
    unsent_keys: set[CountKey] = attrs.field(factory=set)
    pending_hold: PendingHold | None = None
    holder: str = ""
    former_holders: set[str] = attrs.field(factory=set)
    avoided_until_by_host: dict[str, float] = attrs.field(factory=dict)
    pending_answers_by_id: dict[str, PendingAnswer] = attrs.field(factory=dict)
    held_by_source: dict[tuple[str, int], HeldSource] = attrs.field(
        factory=dict
    )
    flushing: bool = False
    last_flush: dict[CountKey, UsageCount] = attrs.field(factory=dict)
    next_flush_s: float = 0.0
    closed_before: int = 0
    stored_closed_before: int = 0
    wall_s: float = 0.0
    last_activity_s: float | None = None
    draining_since_s: float | None = None

    def unstored_keys(self) -> set[CountKey]:
        """Return the counts whose last change the store does not have."""
        return {
            key
            for key, sequence in self.sequences_by_key.items()
            if sequence > self.stored_sequence
        }

    def mark_replicated(self, counts: dict[CountKey, UsageCount]) -> None:
        """Record counts that outlive this process in the store or at a peer."""
        for key, count in counts.items():
            known = self.replicated_by_key.get(key)
            if known is None or known.requests <= count.requests:
                self.replicated_by_key[key] = count
