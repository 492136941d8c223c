"""Hold what a controller knows about its usage shards."""

import attrs

from shallotfold._fleet.usage_ledger import FrozenWindow
from shallotfold._fleet.usage_ledger import UsageHead


@attrs.define(kw_only=True)
class SourceSeen:
    """When a source last changed, as this holder saw it.

    Attributes:
        revision: Store revision of its flush.
        changed_s: When this revision was first seen.
    """

    revision: int
    changed_s: float


@attrs.define(kw_only=True)
class ShardUsage:
    """One held shard.

    Attributes:
        fencing: Fencing number of the duty.
        head: The head as it is in the store; `None` while unknown.
        revision: Store revision of the head.
        busy: Whether a call is under way; there is one at a time.
        retry_s: When to go on at the earliest.
        due_since_s: Since when the next window is seen to be due.
        seen_by_source: Changes of the sources.
        sending: The window being reported.
        sent: Workspaces of it that the platform has.
        deleted: Windows whose frozen figures are gone from the store.
        next_retire_s: When to look for sources to retire.
    """

    fencing: int
    head: UsageHead | None = None
    revision: int = 0
    busy: bool = False
    retry_s: float = 0.0
    due_since_s: float | None = None
    seen_by_source: dict[str, SourceSeen] = attrs.field(factory=dict)
    sending: FrozenWindow | None = None
    sent: set[str] = attrs.field(factory=set)
    deleted: set[int] = attrs.field(factory=set)
    next_retire_s: float = 0.0


@attrs.define(kw_only=True)
class UsageState:
    """Held usage shards.

    Attributes:
        by_shard: State of each.
        write_count: Number of writes, for unique tokens.
        wall_s: Seconds since the epoch at the last tick.
    """

    by_shard: dict[int, ShardUsage] = attrs.field(factory=dict)
    write_count: int = 0
    wall_s: float = 0.0
