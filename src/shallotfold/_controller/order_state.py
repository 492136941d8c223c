"""Hold what a controller knows about the orders of its data centres."""

import attrs

from shallotfold._controller.demand import DemandTracker
from shallotfold._fleet.order_journal import OrderJournal


@attrs.define(kw_only=True)
class DataCentreOrders:
    """Orders of one held data centre.

    Attributes:
        fencing: Fencing number of the duty.
        journal: The journal as it is in the store; `None` while unknown.
        revision: Store revision of the journal.
        busy: Whether a call is under way; there is one at a time.
        retry_s: When to go on at the earliest.
        to_look_up: Ids of intents that may have been sent.
        next_plan_s: When to plan again.
    """

    fencing: int
    journal: OrderJournal | None = None
    revision: int = 0
    busy: bool = False
    retry_s: float = 0.0
    to_look_up: set[str] = attrs.field(factory=set)
    next_plan_s: float = 0.0


@attrs.define(kw_only=True)
class OrdersState:
    """Orders of all held data centres.

    Attributes:
        by_data_centre: State of each.
        refused_until_by_offer: Until when not to ask for an offer again.
        last_listed_by_upstream: When a started upstream was last on the
            host list; if it never was, when it was first looked for.
        surplus_since_by_model: Since when a model has spare capacity.
        demand: Demand over time.
        write_count: Number of journal writes, for unique tokens.
    """

    by_data_centre: dict[str, DataCentreOrders] = attrs.field(factory=dict)
    refused_until_by_offer: dict[str, float] = attrs.field(factory=dict)
    last_listed_by_upstream: dict[str, float] = attrs.field(factory=dict)
    surplus_since_by_model: dict[str, float] = attrs.field(factory=dict)
    demand: DemandTracker = attrs.field(factory=DemandTracker)
    write_count: int = 0
