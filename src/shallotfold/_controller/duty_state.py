"""Hold the lease and the duties of a controller process."""

import attrs


@attrs.define(kw_only=True)
class HeldLease:
    """The one lease of this process.

    Attributes:
        lease_id: Its id.
        ttl_s: Time to live.
        deadline_s: When it may lapse, counted from before the last renewal
            was sent.
        next_renewal_s: When to renew it.
        used_s: When a duty was last held or asked for under it.
    """

    lease_id: str
    ttl_s: float
    deadline_s: float
    next_renewal_s: float
    used_s: float


@attrs.define(kw_only=True)
class HeldDuty:
    """A duty that this process holds.

    Attributes:
        name: Its name.
        fencing: Fencing number.
        acquired_s: When it was acquired.
        active_from_s: When the first send is allowed.
    """

    name: str
    fencing: int
    acquired_s: float
    active_from_s: float


@attrs.define(kw_only=True)
class DutiesState:
    """Lease and duties of this process.

    Attributes:
        lease: The lease; `None` without one.
        lease_call_open: Whether a grant or renewal is under way.
        held_by_name: Duties held.
        acquiring: Duties being acquired.
        aborting: Duties given up whose sends are not yet aborted.
        free_since_by_name: Since when a duty is seen without a holder.
        paused_until_by_name: Until when not to acquire a duty.
        rank_by_name: This host's rank for each duty; empty while leaving or
            without a host list.
        started_s: Time of the first tick.
        releasing: Fencing numbers of duties to free once sends are aborted.
        revoking: Lease to end once sends are aborted; empty if none.
        listing: Whether a read of the duties is under way.
        next_list_s: When to read the duties again.
        next_rebalance_s: When to hand a surplus duty over at the earliest.
    """

    lease: HeldLease | None = None
    lease_call_open: bool = False
    held_by_name: dict[str, HeldDuty] = attrs.field(factory=dict)
    acquiring: set[str] = attrs.field(factory=set)
    aborting: set[str] = attrs.field(factory=set)
    free_since_by_name: dict[str, float] = attrs.field(factory=dict)
    paused_until_by_name: dict[str, float] = attrs.field(factory=dict)
    rank_by_name: dict[str, int] = attrs.field(factory=dict)
    started_s: float | None = None
    releasing: dict[str, int] = attrs.field(factory=dict)
    revoking: str = ""
    listing: bool = False
    next_list_s: float = 0.0
    next_rebalance_s: float = 0.0
