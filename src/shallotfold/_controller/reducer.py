"""Dispatch every event of a controller to its handlers."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from shallotfold._controller import duties
from shallotfold._controller import events
from shallotfold._controller import fleet_view
from shallotfold._controller import handover
from shallotfold._controller import lease
from shallotfold._controller import orders
from shallotfold._controller import placement
from shallotfold._controller import usage
from shallotfold._controller.effects import Effect
from shallotfold._controller.state import ControllerState

# Handlers accept the event type that they are registered for.
Handler = Callable[[ControllerState, Any], list[Effect]]


def reduce(state: ControllerState, event: events.Event) -> list[Effect]:
    """Apply an event to `state` in place and return the effects to run."""
    effects: list[Effect] = []
    for handler in _HANDLERS_BY_EVENT[type(event)]:
        effects.extend(handler(state, event))
    return effects


_HANDLERS_BY_EVENT: dict[type[events.Event], Sequence[Handler]] = {
    events.Tick: (
        duties.on_tick,
        fleet_view.on_tick,
        orders.on_tick,
        usage.on_tick,
    ),
    events.ConfigurationRead: (fleet_view.on_configuration,),
    events.HostsListed: (fleet_view.on_hosts, placement.on_hosts),
    events.DutiesListed: (duties.on_listed,),
    events.DutiesListFailed: (duties.on_list_failed,),
    events.LeaseGranted: (lease.on_lease_granted,),
    events.LeaseRenewed: (lease.on_lease_renewed,),
    events.LeaseCallFailed: (lease.on_lease_call_failed,),
    events.LeaseLost: (lease.on_lease_lost,),
    events.DutyAcquired: (duties.on_acquired,),
    events.DutyNotAcquired: (duties.on_not_acquired,),
    events.SendsAborted: (handover.on_sends_aborted,),
    events.JournalRead: (orders.on_journal_read,),
    events.JournalWritten: (orders.on_journal_written,),
    events.JournalCallFailed: (orders.on_journal_call_failed,),
    events.OrderExecuted: (orders.on_executed,),
    events.OrderRefused: (orders.on_refused,),
    events.OrderUnanswered: (orders.on_unanswered,),
    events.OrderLookedUp: (orders.on_looked_up,),
    events.OrderLookUpFailed: (orders.on_look_up_failed,),
    events.PlanInputRead: (orders.on_plan_input_read,),
    events.PlanInputReadFailed: (orders.on_plan_input_read_failed,),
    events.UsageHeadRead: (usage.on_head_read,),
    events.UsageHeadWritten: (usage.on_head_written,),
    events.UsageCallFailed: (usage.on_call_failed,),
    events.FlushesRead: (usage.on_flushes_read,),
    events.WindowFrozen: (usage.on_window_frozen,),
    events.ReportsSent: (usage.on_reports_sent,),
    events.FrozenWindowDeleted: (usage.on_frozen_window_deleted,),
    events.ShutdownRequested: (handover.on_shutdown,),
}
