"""Define the state of the held usage shards."""

import attrs

from shallotfold._fleet.usage_ledger import FrozenWindow
from shallotfold._fleet.usage_ledger import UsageHead


@attrs.define(kw_only=True)
class SourceChange:
    """The last change of a source that this process observed.

    Attributes:
        revision: Store revision of its flush.
        changed_s: When this revision was first read.
    """

    revision: int
    changed_s: float


@attrs.define(kw_only=True)
class ShardUsage:
    """One held shard.

    Attributes:
        fencing: Fencing token of the duty.
        head: The head as it is in the store; `None` while unknown.
        revision: Store revision of the head.
        call_in_flight: Whether a call is in flight; at most one is.
        next_call_s: Earliest time of the next call.
        due_since_s: When the next window was first found to be due.
        changes_by_source: Last observed change of each source.
        reporting: The window being reported.
        reported_workspaces: Workspaces of it that need no further report.
        deleted_windows: Windows whose frozen figures were deleted.
        next_retire_s: Earliest time to look for sources to retire.
    """

    fencing: int
    head: UsageHead | None = None
    revision: int = 0
    call_in_flight: bool = False
    next_call_s: float = 0.0
    due_since_s: float | None = None
    changes_by_source: dict[str, SourceChange] = attrs.field(factory=dict)
    reporting: FrozenWindow | None = None
    reported_workspaces: set[str] = attrs.field(factory=set)
    deleted_windows: set[int] = attrs.field(factory=set)
    next_retire_s: float = 0.0


@attrs.define(kw_only=True)
class UsageState:
    """Held usage shards.

    Attributes:
        by_shard: State of each.
        write_count: Number of writes; makes their tokens unique.
        wall_s: Seconds since the epoch at the last tick.
    """

    by_shard: dict[int, ShardUsage] = attrs.field(factory=dict)
    write_count: int = 0
    wall_s: float = 0.0
