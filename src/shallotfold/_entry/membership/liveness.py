"""Determine which entries are alive."""

import math

from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.membership_state import Peer
from shallotfold._entry.state.neighbours import is_full_mesh
from shallotfold._model.upstreams import HostState

HEARTBEAT_INTERVAL_S = 0.5
LARGE_FLEET_HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 1.5
LARGE_FLEET_HEARTBEAT_TIMEOUT_S = 3.0
REACHABILITY_TIMEOUT_S = 2.5
LARGE_FLEET_REACHABILITY_TIMEOUT_S = 8.0
# An entry that has seen no neighbour alive for longer is in no majority.
NEIGHBOUR_TIMEOUT_S = 3.0
REFRESH_INTERVAL_S = 0.1
LARGE_FLEET_REFRESH_INTERVAL_S = 1.0
RECENT_DISCONNECT_S = 10.0


def live_entries(state: EntryState) -> tuple[str, ...]:
    """Return the sorted names of the live entries, this one included."""
    return state.membership.live or (state.host,)


def has_majority(state: EntryState, now_s: float) -> bool:
    """Return whether a majority of the known entries is provably reachable.

    Without a host list, here or at a peer, the size of the fleet is unknown
    and nothing is a majority.
    """
    membership = state.membership
    timeout_s = _reachability_timeout_s(state)
    reachable = {state.host}
    reachable.update(
        name
        for name, alive_s in membership.last_alive_s_by_name.items()
        if now_s - alive_s <= timeout_s
    )
    listed_count = max(
        (
            peer.known_entries
            for peer in membership.peers_by_name.values()
            if peer.connected
        ),
        default=0,
    )
    listed_count = max(listed_count, len(membership.entry_names))
    known_count = max(listed_count, len({*membership.entry_names, *reachable}))
    if listed_count == 0 or 2 * len(reachable) <= known_count:
        return False
    return known_count == 1 or _has_reachable_neighbour(state, now_s)


def _has_reachable_neighbour(state: EntryState, now_s: float) -> bool:
    membership = state.membership
    return any(
        now_s - membership.last_alive_s_by_name.get(name, -math.inf)
        <= NEIGHBOUR_TIMEOUT_S
        for name in membership.connected
    )


def refresh_live_if_due(state: EntryState, now_s: float) -> None:
    """Recompute the live entries if the refresh interval has passed."""
    interval_s = (
        LARGE_FLEET_REFRESH_INTERVAL_S
        if _is_large(state)
        else REFRESH_INTERVAL_S
    )
    if now_s - state.membership.live_refreshed_s >= interval_s:
        refresh_live(state, now_s)


def refresh_live(state: EntryState, now_s: float) -> None:
    """Recompute the live entries."""
    membership = state.membership
    membership.live_refreshed_s = now_s
    live = {
        name
        for name, peer in membership.peers_by_name.items()
        if _is_live_peer(state, name, peer, now_s)
    }
    if not is_full_mesh(len(membership.entry_names)):
        live.update(_reachable_without_stream(state, now_s))
    live.add(state.host)
    # Keep an equal tuple, so that owners are computed from one object.
    live_names = tuple(sorted(live))
    if live_names != membership.live:
        membership.live = live_names


def _is_live_peer(
    state: EntryState, name: str, peer: Peer, now_s: float
) -> bool:
    if not peer.connected or peer.leaving or now_s < peer.live_from_s:
        return False
    record = state.membership.hosts_by_name.get(name)
    if record is not None and record.state is HostState.LEAVING:
        return False
    has_recent_heartbeat = (
        now_s - peer.last_heartbeat_s <= _heartbeat_timeout_s(state)
    )
    return (
        has_recent_heartbeat
        and now_s - peer.two_way_confirmed_s <= _reachability_timeout_s(state)
    )


def _reachable_without_stream(state: EntryState, now_s: float) -> set[str]:
    """Return live listed entries to which only other entries have streams."""
    membership = state.membership
    return {
        name
        for name in membership.entry_names
        if membership.hosts_by_name[name].state is HostState.LIVE
        and now_s - membership.last_alive_s_by_name.get(name, -math.inf)
        <= LARGE_FLEET_REACHABILITY_TIMEOUT_S
        and not _had_recent_stream(membership.peers_by_name.get(name), now_s)
    }


def _had_recent_stream(peer: Peer | None, now_s: float) -> bool:
    if peer is None:
        return False
    return peer.connected or now_s - peer.disconnected_s < RECENT_DISCONNECT_S


def _is_large(state: EntryState) -> bool:
    return not is_full_mesh(len(state.membership.entry_names))


def heartbeat_interval_s(state: EntryState) -> float:
    """Return the time between heartbeats."""
    if _is_large(state):
        return LARGE_FLEET_HEARTBEAT_INTERVAL_S
    return HEARTBEAT_INTERVAL_S


def _heartbeat_timeout_s(state: EntryState) -> float:
    if _is_large(state):
        return LARGE_FLEET_HEARTBEAT_TIMEOUT_S
    return HEARTBEAT_TIMEOUT_S


def _reachability_timeout_s(state: EntryState) -> float:
    if _is_large(state):
        return LARGE_FLEET_REACHABILITY_TIMEOUT_S
    return REACHABILITY_TIMEOUT_S
