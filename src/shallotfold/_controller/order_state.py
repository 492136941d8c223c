"""Define the state of the orders of the held data centres."""

import attrs

from shallotfold._controller.demand import DemandTracker
from shallotfold._fleet.order_journal import OrderJournal


@attrs.define(kw_only=True)
class DataCentreOrders:
    """Orders of one held data centre.

    Attributes:
        fencing: Fencing token of the duty.
        journal: The journal as it is in the store; `None` while unknown.
        revision: Store revision of the journal.
        call_in_flight: Whether a call is in flight; at most one is.
        next_call_s: Earliest time of the next call.
        to_look_up: Ids of intents that may have been sent.
        next_plan_s: Earliest time of the next plan.
    """

    fencing: int
    journal: OrderJournal | None = None
    revision: int = 0
    call_in_flight: bool = False
    next_call_s: float = 0.0
    to_look_up: set[str] = attrs.field(factory=set)
    next_plan_s: float = 0.0


@attrs.define(kw_only=True)
class OrdersState:
    """Orders of all held data centres.

    Attributes:
        by_data_centre: State of each.
        refused_until_by_offer: Until when not to order a refused offer again.
        last_listed_by_upstream: When a started upstream was last on the
            host list; if it never was, when it was first looked for.
        surplus_since_by_model: Since when a model has surplus capacity.
        demand: Demand rates.
        write_count: Number of journal writes; makes their tokens unique.
    """

    by_data_centre: dict[str, DataCentreOrders] = attrs.field(factory=dict)
    refused_until_by_offer: dict[str, float] = attrs.field(factory=dict)
    last_listed_by_upstream: dict[str, float] = attrs.field(factory=dict)
    surplus_since_by_model: dict[str, float] = attrs.field(factory=dict)
    demand: DemandTracker = attrs.field(factory=DemandTracker)
    write_count: int = 0
