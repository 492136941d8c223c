"""Dispatch every event of an entry to its handlers."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from shallotfold._entry import events
from shallotfold._entry.effects import Effect
from shallotfold._entry.membership import membership
from shallotfold._entry.pools import pools
from shallotfold._entry.reducing import configuration
from shallotfold._entry.requests import idempotency_claims
from shallotfold._entry.requests import limits
from shallotfold._entry.requests import owner_responses
from shallotfold._entry.requests import requests
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.usage import demand
from shallotfold._entry.usage import peer_replicas
from shallotfold._entry.usage import usage
from shallotfold._wire import control_messages
from shallotfold._wire import grant_messages
from shallotfold._wire import usage_messages

# Each handler accepts only the event type that it is registered for.
Handler = Callable[[EntryState, Any], list[Effect]]


def reduce(state: EntryState, event: events.Event) -> list[Effect]:
    """Apply an event to `state` in place and return the effects to run."""
    effects: list[Effect] = []
    for handler in _HANDLERS_BY_EVENT[type(event)]:
        effects.extend(handler(state, event))
    return effects


def _dispatch_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[Effect]:
    handler = _HANDLERS_BY_MESSAGE[type(event.message)]
    return handler(state, event)


_HANDLERS_BY_MESSAGE: dict[type, Handler] = {
    **dict.fromkeys(control_messages.MESSAGES, membership.on_message),
    control_messages.ConfigurationRequest: configuration.on_message,
    control_messages.ConfigurationPart: configuration.on_message,
    grant_messages.GrantRequest: pools.on_message,
    grant_messages.GrantCancelled: pools.on_message,
    grant_messages.GrantReleased: pools.on_message,
    grant_messages.RunningAnnounced: pools.on_message,
    grant_messages.ProgressReported: pools.on_message,
    grant_messages.LimitUsed: limits.on_message,
    grant_messages.LimitTotal: limits.on_message,
    grant_messages.Grant: owner_responses.on_message,
    grant_messages.GrantQueued: owner_responses.on_message,
    grant_messages.GrantRefused: owner_responses.on_message,
    grant_messages.GrantRedirected: owner_responses.on_message,
    grant_messages.GrantPreempted: owner_responses.on_message,
    **dict.fromkeys(usage_messages.MESSAGES, usage.on_message),
}

_HANDLERS_BY_EVENT: dict[type[events.Event], Sequence[Handler]] = {
    events.Tick: (
        membership.on_tick,
        configuration.on_tick,
        pools.on_tick,
        limits.on_tick,
        requests.on_tick,
        usage.on_tick,
    ),
    events.RequestArrived: (requests.on_arrival, demand.on_arrival),
    events.CallerDisconnected: (requests.on_caller_disconnected,),
    events.TokensForwarded: (requests.on_tokens,),
    events.AttemptEnded: (requests.on_attempt_ended,),
    events.LoadReported: (pools.on_load,),
    events.LoadFetchFailed: (pools.on_load_failed,),
    events.PrefixCacheUpdated: (pools.on_prefixes,),
    events.HostsListed: (membership.on_hosts, pools.on_hosts),
    events.ConfigurationRead: (configuration.on_read,),
    events.VersionConfirmed: (configuration.on_confirmed,),
    events.PeerConnected: (membership.on_connected, pools.on_peer_change),
    events.PeerDisconnected: (
        membership.on_disconnected,
        pools.on_peer_change,
        requests.on_peer_disconnected,
    ),
    events.PeerMessageReceived: (_dispatch_message,),
    events.ClaimSucceeded: (idempotency_claims.on_claimed,),
    events.ClaimFailed: (idempotency_claims.on_claim_failed,),
    events.UsageFlushed: (usage.on_flushed,),
    events.UsageFlushFailed: (usage.on_flush_failed,),
    events.HeldUsageFlushed: (peer_replicas.on_held_flushed,),
    events.UsageSettled: (usage.on_settled,),
    events.ShutdownRequested: (requests.on_shutdown, pools.on_shutdown),
}
