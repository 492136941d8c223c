"""Track which entries are alive, by the platform's list and by heartbeats.

A heartbeat echoes the newest time stamp that its sender received from this
entry. Its content was true after that stamp, however long it was buffered. So
clocks of different hosts are never compared, and neither a paused process nor a
one-way link appears to be alive.
"""

import math

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.membership import freshness
from shallotfold._entry.membership.liveness import RECENT_DISCONNECT_S
from shallotfold._entry.membership.liveness import heartbeat_interval_s
from shallotfold._entry.membership.liveness import live_entries
from shallotfold._entry.membership.liveness import refresh_live
from shallotfold._entry.membership.liveness import refresh_live_if_due
from shallotfold._entry.state import liveness_ages
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.membership_state import Peer
from shallotfold._entry.state.neighbours import choose_neighbours
from shallotfold._model.upstreams import HostRole
from shallotfold._wire.control_messages import Heartbeat

__all__ = ["live_entries"]

REJOIN_DELAY_S = 1.0
HEARTBEAT_JITTER = 0.25
# A longer gap between ticks means that this process was paused.
PAUSE_THRESHOLD_S = 1.0


def on_hosts(
    state: EntryState, event: events.HostsListed
) -> list[effects.Effect]:
    """Apply the platform's host list."""
    membership = state.membership
    membership.hosts_by_name = {host.name: host for host in event.hosts}
    membership.entry_names = tuple(
        sorted(h.name for h in event.hosts if h.role is HostRole.ENTRY)
    )
    membership.names_digest = liveness_ages.digest_names(membership.entry_names)
    membership.neighbours = choose_neighbours(
        state.host, membership.entry_names
    )
    kept_names = {*membership.entry_names, *membership.connected}
    membership.last_alive_s_by_name = {
        name: alive_s
        for name, alive_s in membership.last_alive_s_by_name.items()
        if name in kept_names
    }
    freshness.start_tracking(state)
    refresh_live(state, event.now_s)
    return []


def on_connected(
    state: EntryState, event: events.PeerConnected
) -> list[effects.Effect]:
    """Treat a peer as alive until heartbeats are missed."""
    membership = state.membership
    now_s = event.now_s
    previous = membership.peers_by_name.get(event.host)
    peer = Peer(
        connected=True, last_heartbeat_s=now_s, two_way_confirmed_s=now_s
    )
    if (
        previous is not None
        and 0 < now_s - previous.disconnected_s < RECENT_DISCONNECT_S
    ):
        # A flapping peer must not move ownership back and forth.
        peer.live_from_s = now_s + REJOIN_DELAY_S
    membership.peers_by_name[event.host] = peer
    membership.connected.add(event.host)
    freshness.start_tracking(state)
    refresh_live(state, now_s)
    return [_make_heartbeat(state, event.host, now_s)]


def on_disconnected(
    state: EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Stop treating a peer as alive."""
    membership = state.membership
    peer = membership.peers_by_name.setdefault(event.host, Peer())
    peer.connected = False
    peer.disconnected_s = event.now_s
    membership.connected.discard(event.host)
    refresh_live(state, event.now_s)
    return []


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Process a heartbeat."""
    heartbeat = event.message
    peer = state.membership.peers_by_name.get(event.host)
    if not isinstance(heartbeat, Heartbeat):
        return []
    if peer is None or not peer.connected:
        return []
    if heartbeat.incarnation < peer.incarnation:
        return []
    peer.incarnation = heartbeat.incarnation
    peer.last_heartbeat_s = event.now_s
    peer.stamp_to_echo_s = heartbeat.sent_s
    peer.config_version = heartbeat.config_version
    peer.known_entries = heartbeat.known_entries
    leaving_changed = heartbeat.leaving != peer.leaving
    peer.leaving = heartbeat.leaving
    if 0 <= heartbeat.echo_s <= event.now_s:
        _apply_echoed_heartbeat(state, event.host, peer, heartbeat)
    if leaving_changed:
        refresh_live(state, event.now_s)
    return []


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Send heartbeats and drop silent peers from the live entries."""
    membership = state.membership
    now_s = event.now_s
    if now_s - membership.last_tick_s > PAUSE_THRESHOLD_S:
        _reset_peer_timeouts(state, now_s)
    membership.last_tick_s = now_s
    refresh_live_if_due(state, now_s)
    if now_s < membership.next_heartbeat_s:
        return []
    # Jitter keeps the entries of a fleet from sending in step.
    jitter = HEARTBEAT_JITTER * (2 * event.random - 1)
    membership.next_heartbeat_s = now_s + heartbeat_interval_s(state) * (
        1 + jitter
    )
    return [
        _make_heartbeat(state, host, now_s)
        for host in sorted(membership.connected)
    ]


def _apply_echoed_heartbeat(
    state: EntryState, host: str, peer: Peer, heartbeat: Heartbeat
) -> None:
    """Apply a heartbeat's content as of the echoed time stamp."""
    confirmed_s = heartbeat.echo_s
    membership = state.membership
    peer.two_way_confirmed_s = max(peer.two_way_confirmed_s, confirmed_s)
    _record_alive(state, host, confirmed_s)
    if heartbeat.store_confirmed_age_s >= 0:
        freshness.confirm(
            state,
            heartbeat.config_version,
            confirmed_s - heartbeat.store_confirmed_age_s,
        )
    if heartbeat.names_digest != membership.names_digest:
        return
    ages_s = liveness_ages.decode_ages(heartbeat.reach_ages)
    for name, age_s in zip(membership.entry_names, ages_s, strict=False):
        if age_s < math.inf:
            _record_alive(state, name, confirmed_s - age_s)


def _record_alive(state: EntryState, name: str, alive_s: float) -> None:
    last_alive_s_by_name = state.membership.last_alive_s_by_name
    if name != state.host and alive_s > last_alive_s_by_name.get(
        name, -math.inf
    ):
        last_alive_s_by_name[name] = alive_s


def _make_heartbeat(
    state: EntryState, host: str, now_s: float
) -> effects.SendToPeer:
    membership = state.membership
    peer = membership.peers_by_name[host]
    confirmed_age_s = now_s - state.configuration.confirmed_s
    heartbeat = Heartbeat(
        incarnation=state.incarnation,
        config_version=state.configuration.version,
        store_confirmed_age_s=(
            confirmed_age_s if confirmed_age_s < math.inf else -1.0
        ),
        leaving=state.draining,
        sent_s=now_s,
        echo_s=peer.stamp_to_echo_s,
        known_entries=len(membership.entry_names),
        names_digest=membership.names_digest,
        reach_ages=_encode_liveness_ages(state, host, now_s),
    )
    return effects.SendToPeer(host=host, message=heartbeat)


def _encode_liveness_ages(state: EntryState, host: str, now_s: float) -> bytes:
    membership = state.membership
    if host not in membership.neighbours:
        return b""
    last_alive_s_by_name = {
        **membership.last_alive_s_by_name,
        state.host: now_s,
    }
    return liveness_ages.encode_ages(
        [
            now_s - last_alive_s_by_name.get(name, -math.inf)
            for name in membership.entry_names
        ]
    )


def _reset_peer_timeouts(state: EntryState, now_s: float) -> None:
    """Let buffered heartbeats arrive after a pause before ownership moves.

    This does not affect whether keys are accepted: `last_alive_s_by_name` and
    the confirmation times of the configuration are not changed.
    """
    for peer in state.membership.peers_by_name.values():
        if peer.connected:
            peer.last_heartbeat_s = now_s
            peer.two_way_confirmed_s = now_s
