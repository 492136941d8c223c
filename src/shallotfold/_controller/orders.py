"""Order upstreams: record the intent, send, record the outcome, plan again.

Each data centre has at most one call in flight. Nothing is sent before its
intent is known to be in the journal under this holder's fencing token.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from shallotfold._controller import effects
from shallotfold._controller import handover
from shallotfold._controller import lease
from shallotfold._controller import order_planning
from shallotfold._controller.order_state import DataCentreOrders
from shallotfold._fleet.audit import AuditChange
from shallotfold._fleet.duties import ORDERS_PREFIX
from shallotfold._fleet.order_journal import OrderAction
from shallotfold._fleet.order_journal import OrderIntent
from shallotfold._fleet.order_journal import OrderJournal
from shallotfold._fleet.order_journal import make_order

if TYPE_CHECKING:
    from shallotfold._controller import events
    from shallotfold._controller.state import ControllerState

RETRY_DELAY_S = 1.0
PLAN_PERIOD_S = 5.0
REFUSED_OFFER_PAUSE_S = 30.0
STALE_FENCING = "stale_fencing"


def on_tick(state: ControllerState, event: events.Tick) -> list[effects.Effect]:
    """Start the next call of each held data centre that has none in flight."""
    fencing_by_data_centre = _fencing_by_data_centre(state)
    orders_by_data_centre = state.orders.by_data_centre
    for name in [
        n
        for n, o in orders_by_data_centre.items()
        if fencing_by_data_centre.get(n) != o.fencing
    ]:
        del orders_by_data_centre[name]
    calls: list[effects.Effect] = []
    for name, fencing in sorted(fencing_by_data_centre.items()):
        orders_by_data_centre.setdefault(
            name, DataCentreOrders(fencing=fencing)
        )
        calls += _start_next_call(state, name, event.now_s)
    return calls


def on_journal_read(
    state: ControllerState, event: events.JournalRead
) -> list[effects.Effect]:
    """Adopt the journal; the orders of its intents may have been sent."""
    orders = _current_orders(state, event)
    if orders is None:
        return []
    orders.call_in_flight = False
    orders.journal = event.journal
    orders.revision = event.revision
    orders.to_look_up = {i.order_id for i in event.journal.intents}
    return _start_next_call(state, event.data_centre, event.now_s)


def on_journal_written(
    state: ControllerState, event: events.JournalWritten
) -> list[effects.Effect]:
    """Continue with the journal, now that it is in the store."""
    orders = _current_orders(state, event)
    if orders is None:
        return []
    orders.call_in_flight = False
    orders.journal = event.journal
    orders.revision = event.revision
    return _start_next_call(state, event.data_centre, event.now_s)


def on_journal_call_failed(
    state: ControllerState, event: events.JournalCallFailed
) -> list[effects.Effect]:
    """Discard the journal, so that it is read again before any other call."""
    orders = _current_orders(state, event)
    if orders is None:
        return []
    orders.call_in_flight = False
    orders.journal = None
    orders.next_call_s = event.now_s + RETRY_DELAY_S
    return []


def on_executed(
    state: ControllerState, event: events.OrderExecuted
) -> list[effects.Effect]:
    """Record that an order was executed."""
    return _record_outcome(
        state, event, event.order_id, executed=True, why="carried out"
    )


def on_refused(
    state: ControllerState, event: events.OrderRefused
) -> list[effects.Effect]:
    """Record a refusal, or relinquish the duty to a newer holder."""
    if event.code == STALE_FENCING:
        return _relinquish_duty(
            state, event, "the platform knows a newer holder"
        )
    orders = _current_orders(state, event)
    intent = _intent(orders, event.order_id)
    if intent is not None and intent.action is OrderAction.START:
        until_s = event.now_s + REFUSED_OFFER_PAUSE_S
        state.orders.refused_until_by_offer[intent.offer] = until_s
    return _record_outcome(
        state,
        event,
        event.order_id,
        executed=False,
        why=f"refused: {event.code}",
    )


def on_unanswered(
    state: ControllerState, event: events.OrderUnanswered
) -> list[effects.Effect]:
    """Look the order up once it can no longer be in flight."""
    orders = _current_orders(state, event)
    if orders is None:
        return []
    orders.call_in_flight = False
    orders.to_look_up.add(event.order_id)
    orders.next_call_s = event.now_s + state.takeover_wait_s
    return [effects.CountMetric(name="orders.unanswered")]


def on_looked_up(
    state: ControllerState, event: events.OrderLookedUp
) -> list[effects.Effect]:
    """Record an order that the platform has; otherwise send it again."""
    if event.exists:
        return _record_outcome(
            state, event, event.order_id, executed=True, why="found by its id"
        )
    orders = _current_orders(state, event)
    if orders is None:
        return []
    orders.call_in_flight = False
    orders.to_look_up.discard(event.order_id)
    return _start_next_call(state, event.data_centre, event.now_s)


def on_look_up_failed(
    state: ControllerState, event: events.OrderLookUpFailed
) -> list[effects.Effect]:
    """Retry the look-up later."""
    orders = _current_orders(state, event)
    if orders is not None:
        orders.call_in_flight = False
        orders.next_call_s = event.now_s + RETRY_DELAY_S
    return []


def on_plan_input_read(
    state: ControllerState, event: events.PlanInputRead
) -> list[effects.Effect]:
    """Plan, and record the intents before any order is sent."""
    state.orders.demand.observe(event.flushes, event.now_s)
    orders = _current_orders(state, event)
    if orders is None:
        return []
    orders.call_in_flight = False
    if orders.journal is None or orders.journal.intents:
        return []
    planned = order_planning.plan_journal(
        state,
        event.data_centre,
        orders.journal,
        event.journals_by_data_centre,
        event.now_s,
    )
    if planned is orders.journal:
        return []
    return _write(state, event.data_centre, orders, planned)


def on_plan_input_read_failed(
    state: ControllerState, event: events.PlanInputReadFailed
) -> list[effects.Effect]:
    """Plan again later."""
    orders = _current_orders(state, event)
    if orders is not None:
        orders.call_in_flight = False
    return []


def _start_next_call(
    state: ControllerState, data_centre: str, now_s: float
) -> list[effects.Effect]:
    """Start the next call of a data centre if one is due and allowed."""
    orders = state.orders.by_data_centre[data_centre]
    allowed = lease.may_send(state, ORDERS_PREFIX + data_centre, now_s)
    if orders.call_in_flight or now_s < orders.next_call_s or not allowed:
        return []
    journal = orders.journal
    if journal is None:
        orders.call_in_flight = True
        return [
            effects.ReadJournal(data_centre=data_centre, fencing=orders.fencing)
        ]
    if journal.fencing > orders.fencing:
        return handover.relinquish(
            state,
            (ORDERS_PREFIX + data_centre,),
            "the journal names a newer holder",
        )
    if journal.fencing < orders.fencing:
        return _write(state, data_centre, orders, journal)
    if journal.intents:
        return _send_or_look_up(
            state, data_centre, orders, journal.intents[0], now_s
        )
    return _plan_when_due(data_centre, orders, now_s)


def _send_or_look_up(
    state: ControllerState,
    data_centre: str,
    orders: DataCentreOrders,
    intent: OrderIntent,
    now_s: float,
) -> list[effects.Effect]:
    orders.call_in_flight = True
    if intent.order_id in orders.to_look_up:
        return [
            effects.LookUpOrder(
                data_centre=data_centre,
                fencing=orders.fencing,
                order_id=intent.order_id,
            )
        ]
    remaining_s = lease.send_time_left_s(state, now_s)
    return [
        effects.PlaceOrder(
            order=make_order(intent, data_centre, orders.fencing),
            timeout_s=min(state.order_timeout_s, remaining_s),
        )
    ]


def _plan_when_due(
    data_centre: str, orders: DataCentreOrders, now_s: float
) -> list[effects.Effect]:
    if now_s < orders.next_plan_s:
        return []
    orders.next_plan_s = now_s + PLAN_PERIOD_S
    orders.call_in_flight = True
    return [
        effects.ReadPlanInput(data_centre=data_centre, fencing=orders.fencing)
    ]


def _record_outcome(
    state: ControllerState,
    event: events.OrderEvent,
    order_id: str,
    *,
    executed: bool,
    why: str,
) -> list[effects.Effect]:
    orders = _current_orders(state, event)
    intent = _intent(orders, order_id)
    if orders is None or orders.journal is None or intent is None:
        return []
    orders.call_in_flight = False
    orders.to_look_up.discard(order_id)
    updated_journal = orders.journal.with_outcome(order_id, executed=executed)
    change = AuditChange(
        kind="order",
        who=f"controller {state.host}",
        why=why,
        what=f"orders/{event.data_centre}/{order_id}",
        before=f"intended to {intent.action.value} {intent.upstream}",
        after=f"{intent.action.value} of {intent.upstream}: {why}",
    )
    return [
        *_write(state, event.data_centre, orders, updated_journal),
        effects.RecordAudit(change=change),
    ]


def _write(
    state: ControllerState,
    data_centre: str,
    orders: DataCentreOrders,
    journal: OrderJournal,
) -> list[effects.Effect]:
    orders.call_in_flight = True
    state.orders.write_count += 1
    return [
        effects.WriteJournal(
            data_centre=data_centre,
            fencing=orders.fencing,
            journal=attrs.evolve(
                journal,
                fencing=orders.fencing,
                token=f"{state.process_token}/{state.orders.write_count}",
            ),
            expected_revision=orders.revision,
        )
    ]


def _relinquish_duty(
    state: ControllerState, event: events.OrderEvent, why: str
) -> list[effects.Effect]:
    if _current_orders(state, event) is None:
        return []
    del state.orders.by_data_centre[event.data_centre]
    return handover.relinquish(state, (ORDERS_PREFIX + event.data_centre,), why)


def _current_orders(
    state: ControllerState, event: events.OrderEvent
) -> DataCentreOrders | None:
    """Return the state that an event is about; `None` if of an earlier term."""
    orders = state.orders.by_data_centre.get(event.data_centre)
    fencing = _fencing_by_data_centre(state).get(event.data_centre)
    if orders is None or fencing != event.fencing or orders.fencing != fencing:
        return None
    return orders


def _fencing_by_data_centre(state: ControllerState) -> dict[str, int]:
    return {
        name.removeprefix(ORDERS_PREFIX): held.fencing
        for name, held in state.duties.held_by_name.items()
        if name.startswith(ORDERS_PREFIX)
    }


def _intent(
    orders: DataCentreOrders | None, order_id: str
) -> OrderIntent | None:
    if orders is None or orders.journal is None:
        return None
    intents = orders.journal.intents
    return next((i for i in intents if i.order_id == order_id), None)
