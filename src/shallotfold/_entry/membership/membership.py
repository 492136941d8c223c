"""Know which entries are alive, by the platform's list and by heartbeats.

A heartbeat echoes the newest time stamp that its sender got from us. What it
says was true after that stamp, however long it lay in a buffer, so that no
clock is compared with another, and neither a paused process nor a one-way
link passes for a live one.
"""

import math

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.membership import freshness
from shallotfold._entry.membership.liveness import RECENT_LOSS_S
from shallotfold._entry.membership.liveness import beat_interval_s
from shallotfold._entry.membership.liveness import live_entries
from shallotfold._entry.membership.liveness import refresh_live
from shallotfold._entry.membership.liveness import refresh_live_at_times
from shallotfold._entry.state import liveness_ages
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.membership_state import Peer
from shallotfold._entry.state.neighbours import choose_neighbours
from shallotfold._model.upstreams import HostRole
from shallotfold._wire.control_messages import Heartbeat

__all__ = ["live_entries"]

REJOIN_DELAY_S = 1.0
BEAT_JITTER = 0.25
# A longer gap between ticks means that this process was paused.
PAUSE_S = 1.0


def on_hosts(
    state: EntryState, event: events.HostsListed
) -> list[effects.Effect]:
    """Take over the platform's list."""
    members = state.membership
    members.hosts_by_name = {host.name: host for host in event.hosts}
    members.entry_names = tuple(
        sorted(h.name for h in event.hosts if h.role is HostRole.ENTRY)
    )
    members.names_digest = liveness_ages.digest_names(members.entry_names)
    members.neighbours = choose_neighbours(state.host, members.entry_names)
    kept = {*members.entry_names, *members.connected}
    members.last_alive_s_by_name = {
        name: alive_s
        for name, alive_s in members.last_alive_s_by_name.items()
        if name in kept
    }
    freshness.start_tracking(state)
    refresh_live(state, event.now_s)
    return []


def on_connected(
    state: EntryState, event: events.PeerConnected
) -> list[effects.Effect]:
    """Count a peer as alive until its heartbeats are missed."""
    members = state.membership
    now_s = event.now_s
    old = members.peers_by_name.get(event.host)
    peer = Peer(
        connected=True, last_heartbeat_s=now_s, two_way_confirmed_s=now_s
    )
    if old is not None and 0 < now_s - old.disconnected_s < RECENT_LOSS_S:
        # A flapping peer must not move ownership back and forth.
        peer.live_from_s = now_s + REJOIN_DELAY_S
    members.peers_by_name[event.host] = peer
    members.connected.add(event.host)
    freshness.start_tracking(state)
    refresh_live(state, now_s)
    return [_beat(state, event.host, now_s)]


def on_disconnected(
    state: EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Stop counting a peer as alive."""
    members = state.membership
    peer = members.peers_by_name.setdefault(event.host, Peer())
    peer.connected = False
    peer.disconnected_s = event.now_s
    members.connected.discard(event.host)
    refresh_live(state, event.now_s)
    return []


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Learn from a heartbeat."""
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
    left = heartbeat.leaving != peer.leaving
    peer.leaving = heartbeat.leaving
    if 0 <= heartbeat.echo_s <= event.now_s:
        _believe(state, event.host, peer, heartbeat)
    if left:
        refresh_live(state, event.now_s)
    return []


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Send heartbeats and suspect silent peers."""
    members = state.membership
    now_s = event.now_s
    if now_s - members.last_tick_s > PAUSE_S:
        _forgive_silence(state, now_s)
    members.last_tick_s = now_s
    refresh_live_at_times(state, now_s)
    if now_s < members.next_heartbeat_s:
        return []
    # Without jitter the beats of a whole fleet could fall together.
    jitter = BEAT_JITTER * (2 * event.random - 1)
    members.next_heartbeat_s = now_s + beat_interval_s(state) * (1 + jitter)
    return [_beat(state, host, now_s) for host in sorted(members.connected)]


def _believe(
    state: EntryState, host: str, peer: Peer, heartbeat: Heartbeat
) -> None:
    """Use what was true after the echoed time stamp."""
    since_s = heartbeat.echo_s
    members = state.membership
    peer.two_way_confirmed_s = max(peer.two_way_confirmed_s, since_s)
    _note_alive(state, host, since_s)
    if heartbeat.store_confirmed_age_s >= 0:
        freshness.confirm(
            state,
            heartbeat.config_version,
            since_s - heartbeat.store_confirmed_age_s,
        )
    if heartbeat.names_digest != members.names_digest:
        return
    ages_s = liveness_ages.decode_ages(heartbeat.reach_ages)
    for name, age_s in zip(members.entry_names, ages_s, strict=False):
        if age_s < math.inf:
            _note_alive(state, name, since_s - age_s)


def _note_alive(state: EntryState, name: str, alive_s: float) -> None:
    last_alive_s_by_name = state.membership.last_alive_s_by_name
    if name != state.host and alive_s > last_alive_s_by_name.get(
        name, -math.inf
    ):
        last_alive_s_by_name[name] = alive_s


def _beat(state: EntryState, host: str, now_s: float) -> effects.SendToPeer:
    members = state.membership
    peer = members.peers_by_name[host]
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
        known_entries=len(members.entry_names),
        names_digest=members.names_digest,
        reach_ages=_pack_reach(state, host, now_s),
    )
    return effects.SendToPeer(host=host, message=heartbeat)


def _pack_reach(state: EntryState, host: str, now_s: float) -> bytes:
    members = state.membership
    if host not in members.neighbours:
        return b""
    last_alive_s_by_name = {**members.last_alive_s_by_name, state.host: now_s}
    return liveness_ages.encode_ages(
        [
            now_s - last_alive_s_by_name.get(name, -math.inf)
            for name in members.entry_names
        ]
    )


def _forgive_silence(state: EntryState, now_s: float) -> None:
    """Wait for buffered heartbeats after a pause before moving ownership.

    Whether keys are accepted does not depend on this: `last_alive_s_by_name`
    and the confirmations of the configuration stay as old as they are.
    """
    for peer in state.membership.peers_by_name.values():
        if peer.connected:
            peer.last_heartbeat_s = now_s
            peer.two_way_confirmed_s = now_s
