"""Define the state of the lease and the duties of a controller process."""

import attrs


@attrs.define(kw_only=True)
class HeldLease:
    """The one lease of this process.

    Attributes:
        lease_id: Its id.
        ttl_s: Time to live.
        deadline_s: Earliest time at which it can expire, counted from before
            the last renewal was sent.
        next_renewal_s: When to renew it.
        last_used_s: When a duty was last held or being acquired under it.
    """

    lease_id: str
    ttl_s: float
    deadline_s: float
    next_renewal_s: float
    last_used_s: float


@attrs.define(kw_only=True)
class HeldDuty:
    """A duty that this process holds.

    Attributes:
        name: Its name.
        fencing: Fencing token.
        acquired_s: When it was acquired.
        active_from_s: Earliest time of the first send.
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
        lease_call_in_flight: Whether a grant or renewal is in flight.
        held_by_name: Duties held.
        acquiring: Duties being acquired.
        aborting: Relinquished duties whose sends are not yet aborted.
        free_since_by_name: Since when a duty is known to have no holder.
        paused_until_by_name: Until when not to acquire a duty.
        rank_by_name: This host's rank for each duty; empty while leaving or
            without a host list.
        first_tick_s: Time of the first tick.
        pending_releases: Fencing tokens, by duty, of the records to delete
            once sends are aborted.
        pending_revocation: Id of the lease to revoke once sends are aborted;
            empty if none.
        list_in_flight: Whether a read of the duties is in flight.
        next_list_s: When to read the duties again.
        next_rebalance_s: Earliest time to hand over a surplus duty.
    """

    lease: HeldLease | None = None
    lease_call_in_flight: bool = False
    held_by_name: dict[str, HeldDuty] = attrs.field(factory=dict)
    acquiring: set[str] = attrs.field(factory=set)
    aborting: set[str] = attrs.field(factory=set)
    free_since_by_name: dict[str, float] = attrs.field(factory=dict)
    paused_until_by_name: dict[str, float] = attrs.field(factory=dict)
    rank_by_name: dict[str, int] = attrs.field(factory=dict)
    first_tick_s: float | None = None
    pending_releases: dict[str, int] = attrs.field(factory=dict)
    pending_revocation: str = ""
    list_in_flight: bool = False
    next_list_s: float = 0.0
    next_rebalance_s: float = 0.0
