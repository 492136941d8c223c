"""Know which peers are alive and which upstream hosts exist."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from shallotfold._entry import effects
from shallotfold._model.upstreams import HostRecord

if TYPE_CHECKING:
    from shallotfold._entry import events
    from shallotfold._entry.state import EntryState


@attrs.define(kw_only=True)
class MembershipState:
    """Hosts as this entry sees them.

    Attributes:
        hosts_by_name: The platform's list, as last read.
        connected: Names of the peers with an open stream.
    """

    hosts_by_name: dict[str, HostRecord] = attrs.field(factory=dict)
    connected: set[str] = attrs.field(factory=set)


def live_entries(state: EntryState) -> tuple[str, ...]:
    """Return the sorted names of the live entries, this one included."""
    return tuple(sorted({state.host, *state.membership.connected}))


def on_hosts(
    state: EntryState, event: events.HostsListed
) -> list[effects.Effect]:
    """Take over the platform's list."""
    state.membership.hosts_by_name = {host.name: host for host in event.hosts}
    return []


def on_connected(
    state: EntryState, event: events.PeerConnected
) -> list[effects.Effect]:
    """Count a peer as alive."""
    state.membership.connected.add(event.host)
    return []


def on_disconnected(
    state: EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Stop counting a peer as alive."""
    state.membership.connected.discard(event.host)
    return []


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Learn from a heartbeat."""
    del state, event
    return []


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Send heartbeats and suspect silent peers."""
    del state, event
    return []
