"""Order upstreams: record the intent, send, settle, plan again.

For each data centre one call is under way at a time. Nothing is sent before
its intent is known to be in the journal under this holder's fencing number.
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
from shallotfold._fleet.order_journal import order_of

if TYPE_CHECKING:
    from shallotfold._controller import events
    from shallotfold._controller.state import ControllerState

RETRY_S = 1.0
PLAN_PERIOD_S = 5.0
REFUSED_OFFER_PAUSE_S = 30.0
STALE_FENCING = "stale_fencing"


def on_tick(state: ControllerState, event: events.Tick) -> list[effects.Effect]:
    """Go on where nothing is under way."""
    held = _held_fencing(state)
    known = state.orders.by_data_centre
    for name in [n for n, o in known.items() if held.get(n) != o.fencing]:
        del known[name]
    going_on: list[effects.Effect] = []
    for name, fencing in sorted(held.items()):
        known.setdefault(name, DataCentreOrders(fencing=fencing))
        going_on += _go_on(state, name, event.now_s)
    return going_on


def on_journal_read(
    state: ControllerState, event: events.JournalRead
) -> list[effects.Effect]:
    """Take the journal over; what it intends may have been sent."""
    orders = _current(state, event)
    if orders is None:
        return []
    orders.busy = False
    orders.journal = event.journal
    orders.revision = event.revision
    orders.to_look_up = {i.order_id for i in event.journal.intents}
    return _go_on(state, event.data_centre, event.now_s)


def on_journal_written(
    state: ControllerState, event: events.JournalWritten
) -> list[effects.Effect]:
    """Act on the journal, now that it is in the store."""
    orders = _current(state, event)
    if orders is None:
        return []
    orders.busy = False
    orders.journal = event.journal
    orders.revision = event.revision
    return _go_on(state, event.data_centre, event.now_s)


def on_journal_unknown(
    state: ControllerState, event: events.JournalUnknown
) -> list[effects.Effect]:
    """Read the journal again before anything else."""
    orders = _current(state, event)
    if orders is None:
        return []
    orders.busy = False
    orders.journal = None
    orders.retry_s = event.now_s + RETRY_S
    return []


def on_taken(
    state: ControllerState, event: events.OrderTaken
) -> list[effects.Effect]:
    """Settle an order that was carried out."""
    return _settle(state, event, event.order_id, done=True, why="carried out")


def on_refused(
    state: ControllerState, event: events.OrderRefused
) -> list[effects.Effect]:
    """Settle a refused order, or yield to a newer holder."""
    if event.code == STALE_FENCING:
        return _yield_duty(state, event, "the platform knows a newer holder")
    orders = _current(state, event)
    intent = _intent(orders, event.order_id)
    if intent is not None and intent.action is OrderAction.START:
        until_s = event.now_s + REFUSED_OFFER_PAUSE_S
        state.orders.refused_until_by_offer[intent.offer] = until_s
    return _settle(
        state, event, event.order_id, done=False, why=f"refused: {event.code}"
    )


def on_unanswered(
    state: ControllerState, event: events.OrderUnanswered
) -> list[effects.Effect]:
    """Look the order up once it can't be in flight any more."""
    orders = _current(state, event)
    if orders is None:
        return []
    orders.busy = False
    orders.to_look_up.add(event.order_id)
    orders.retry_s = event.now_s + state.takeover_wait_s
    return [effects.CountMetric(name="orders.unanswered")]


def on_looked_up(
    state: ControllerState, event: events.OrderLookedUp
) -> list[effects.Effect]:
    """Settle an order that was taken; send one that never arrived."""
    if event.found:
        return _settle(
            state, event, event.order_id, done=True, why="found by its id"
        )
    orders = _current(state, event)
    if orders is None:
        return []
    orders.busy = False
    orders.to_look_up.discard(event.order_id)
    return _go_on(state, event.data_centre, event.now_s)


def on_look_up_failed(
    state: ControllerState, event: events.OrderLookUpFailed
) -> list[effects.Effect]:
    """Ask again later."""
    orders = _current(state, event)
    if orders is not None:
        orders.busy = False
        orders.retry_s = event.now_s + RETRY_S
    return []


def on_fleet_read(
    state: ControllerState, event: events.FleetRead
) -> list[effects.Effect]:
    """Plan, and record what to order before anything is sent."""
    state.orders.demand.observe(event.flushes, event.now_s)
    orders = _current(state, event)
    if orders is None:
        return []
    orders.busy = False
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


def on_fleet_read_failed(
    state: ControllerState, event: events.FleetReadFailed
) -> list[effects.Effect]:
    """Plan again later."""
    orders = _current(state, event)
    if orders is not None:
        orders.busy = False
    return []


def _go_on(
    state: ControllerState, data_centre: str, now_s: float
) -> list[effects.Effect]:
    """Start the next call of a data centre, if one is due and allowed."""
    orders = state.orders.by_data_centre[data_centre]
    allowed = lease.may_send(state, ORDERS_PREFIX + data_centre, now_s)
    if orders.busy or now_s < orders.retry_s or not allowed:
        return []
    journal = orders.journal
    if journal is None:
        orders.busy = True
        return [
            effects.ReadJournal(data_centre=data_centre, fencing=orders.fencing)
        ]
    if journal.fencing > orders.fencing:
        return handover.give_up(
            state,
            (ORDERS_PREFIX + data_centre,),
            "the journal names a newer holder",
        )
    if journal.fencing < orders.fencing:
        return _write(state, data_centre, orders, journal)
    if journal.intents:
        return _pursue(state, data_centre, orders, journal.intents[0], now_s)
    return _plan_when_due(data_centre, orders, now_s)


def _pursue(
    state: ControllerState,
    data_centre: str,
    orders: DataCentreOrders,
    intent: OrderIntent,
    now_s: float,
) -> list[effects.Effect]:
    orders.busy = True
    if intent.order_id in orders.to_look_up:
        return [
            effects.LookUpOrder(
                data_centre=data_centre,
                fencing=orders.fencing,
                order_id=intent.order_id,
            )
        ]
    left_s = lease.send_time_left_s(state, now_s)
    return [
        effects.PlaceOrder(
            order=order_of(intent, data_centre, orders.fencing),
            timeout_s=min(state.order_timeout_s, left_s),
        )
    ]


def _plan_when_due(
    data_centre: str, orders: DataCentreOrders, now_s: float
) -> list[effects.Effect]:
    if now_s < orders.next_plan_s:
        return []
    orders.next_plan_s = now_s + PLAN_PERIOD_S
    orders.busy = True
    return [effects.ReadFleet(data_centre=data_centre, fencing=orders.fencing)]


def _settle(
    state: ControllerState,
    event: events.OrderEvent,
    order_id: str,
    *,
    done: bool,
    why: str,
) -> list[effects.Effect]:
    orders = _current(state, event)
    intent = _intent(orders, order_id)
    if orders is None or orders.journal is None or intent is None:
        return []
    orders.busy = False
    orders.to_look_up.discard(order_id)
    settled = orders.journal.settled(order_id, done=done)
    change = AuditChange(
        kind="order",
        who=f"controller {state.host}",
        why=why,
        what=f"orders/{event.data_centre}/{order_id}",
        before=f"intended to {intent.action.value} {intent.upstream}",
        after=f"{intent.action.value} of {intent.upstream}: {why}",
    )
    return [
        *_write(state, event.data_centre, orders, settled),
        effects.RecordAudit(change=change),
    ]


def _write(
    state: ControllerState,
    data_centre: str,
    orders: DataCentreOrders,
    journal: OrderJournal,
) -> list[effects.Effect]:
    orders.busy = True
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


def _yield_duty(
    state: ControllerState, event: events.OrderEvent, why: str
) -> list[effects.Effect]:
    if _current(state, event) is None:
        return []
    del state.orders.by_data_centre[event.data_centre]
    return handover.give_up(state, (ORDERS_PREFIX + event.data_centre,), why)


def _current(
    state: ControllerState, event: events.OrderEvent
) -> DataCentreOrders | None:
    """Return the state an event is about; `None` for an earlier tenure."""
    orders = state.orders.by_data_centre.get(event.data_centre)
    held = _held_fencing(state).get(event.data_centre)
    if orders is None or held != event.fencing or orders.fencing != held:
        return None
    return orders


def _held_fencing(state: ControllerState) -> dict[str, int]:
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
