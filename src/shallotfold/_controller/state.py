"""Define the whole state of a controller's reducer."""

import attrs

from shallotfold._controller.duty_state import DutiesState
from shallotfold._controller.order_state import OrdersState
from shallotfold._controller.usage_state import UsageState
from shallotfold._fleet.duties import all_duties
from shallotfold._model.configuration import Configuration
from shallotfold._model.upstreams import HostRecord


@attrs.define(kw_only=True)
class ControllerState:
    """State of one controller process.

    Attributes:
        host: Name of this host.
        data_centre: Where it runs.
        process_token: Unique token of this process.
        lease_ttl_s: Time to live of the lease.
        takeover_wait_s: Wait between acquiring a duty and its first send.
        order_timeout_s: Longest wait for the answer to an order.
        configuration_version: Version of the newest configuration; 0 before
            one was read.
        configuration: Newest configuration.
        hosts_by_name: The platform's lagging host list.
        delisted_upstreams: Upstreams that are no longer on the list.
        duties: Lease and duties.
        orders: Orders of the held data centres.
        usage: Usage shards that are held.
        next_hosts_s: When to read the host list again.
        next_configuration_s: When to read the configuration again.
        draining: Whether a shutdown was requested.
    """

    host: str
    data_centre: str
    process_token: str
    lease_ttl_s: float = 6.0
    takeover_wait_s: float = 3.0
    order_timeout_s: float = 2.0
    configuration_version: int = 0
    configuration: Configuration = attrs.field(factory=Configuration)
    hosts_by_name: dict[str, HostRecord] = attrs.field(factory=dict)
    delisted_upstreams: set[str] = attrs.field(factory=set)
    duties: DutiesState = attrs.field(factory=DutiesState)
    orders: OrdersState = attrs.field(factory=OrdersState)
    usage: UsageState = attrs.field(factory=UsageState)
    next_hosts_s: float = 0.0
    next_configuration_s: float = 0.0
    draining: bool = False

    def duty_names(self) -> tuple[str, ...]:
        """Return the names of all duties of the fleet, sorted."""
        if not self.configuration_version:
            return ()
        return all_duties(self.configuration.data_centres)
