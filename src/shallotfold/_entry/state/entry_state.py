"""State of an entry's reducer, one attribute for each concern."""

import attrs

from shallotfold._entry.state.configuration_state import ConfigurationState
from shallotfold._entry.state.demand_state import DemandState
from shallotfold._entry.state.limits_state import LimitsState
from shallotfold._entry.state.membership_state import MembershipState
from shallotfold._entry.state.open_requests import RequestsState
from shallotfold._entry.state.pool_state import PoolsState
from shallotfold._entry.state.usage_state import UsageState


@attrs.define(kw_only=True)
class EntryState:
    """State of one entry process.

    Attributes:
        host: Name of this host.
        data_centre: Data centre of this host.
        incarnation: Start time of the process in nanoseconds.
        configuration: Configuration in force, and how fresh it is.
        membership: Peers and upstream hosts.
        requests: Requests of callers connected here.
        pools: Pools of upstreams that this entry owns.
        limits: Use of the workspaces that have limits.
        demand: Demand by callers.
        usage: Usage counts of answered requests.
        draining: Whether a shutdown was requested.
    """

    host: str
    data_centre: str
    incarnation: int
    configuration: ConfigurationState = attrs.field(factory=ConfigurationState)
    membership: MembershipState = attrs.field(factory=MembershipState)
    requests: RequestsState = attrs.field(factory=RequestsState)
    pools: PoolsState = attrs.field(factory=PoolsState)
    limits: LimitsState = attrs.field(factory=LimitsState)
    demand: DemandState = attrs.field(factory=DemandState)
    usage: UsageState = attrs.field(factory=UsageState)
    draining: bool = False
