"""Tell which entries are alive."""

import math

from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.membership_state import Peer
from shallotfold._entry.state.neighbours import is_full_mesh
from shallotfold._model.upstreams import HostState

HEARTBEAT_INTERVAL_S = 0.5
LARGE_FLEET_HEARTBEAT_INTERVAL_S = 1.0
SILENCE_LIMIT_S = 1.5
LARGE_FLEET_SILENCE_LIMIT_S = 3.0
REACH_LIMIT_S = 2.5
LARGE_FLEET_REACH_LIMIT_S = 8.0
# An entry whose neighbours are all silent for longer is in no majority.
NEIGHBOUR_REACH_LIMIT_S = 3.0
REFRESH_INTERVAL_S = 0.1
LARGE_FLEET_REFRESH_INTERVAL_S = 1.0
RECENT_LOSS_S = 10.0


def live_entries(state: EntryState) -> tuple[str, ...]:
    """Return the sorted names of the live entries, this one included."""
    return state.membership.live or (state.host,)


def has_majority(state: EntryState, now_s: float) -> bool:
    """Tell whether most of the known entries are in reach for certain.

    Without a host list, here or at a peer, the size of the fleet is unknown
    and nothing is a majority.
    """
    members = state.membership
    limit_s = _reach_limit_s(state)
    reached = {state.host}
    reached.update(
        name
        for name, alive_s in members.last_alive_s_by_name.items()
        if now_s - alive_s <= limit_s
    )
    listed = max(
        (
            peer.known_entries
            for peer in members.peers_by_name.values()
            if peer.connected
        ),
        default=0,
    )
    listed = max(listed, len(members.entry_names))
    known = max(listed, len({*members.entry_names, *reached}))
    if listed == 0 or 2 * len(reached) <= known:
        return False
    return known == 1 or _hears_a_neighbour(state, now_s)


def _hears_a_neighbour(state: EntryState, now_s: float) -> bool:
    members = state.membership
    return any(
        now_s - members.last_alive_s_by_name.get(name, -math.inf)
        <= NEIGHBOUR_REACH_LIMIT_S
        for name in members.connected
    )


def refresh_live_at_times(state: EntryState, now_s: float) -> None:
    """Compute the live entries anew if that was long ago."""
    interval_s = (
        LARGE_FLEET_REFRESH_INTERVAL_S
        if _is_large(state)
        else REFRESH_INTERVAL_S
    )
    if now_s - state.membership.live_refreshed_s >= interval_s:
        refresh_live(state, now_s)


def refresh_live(state: EntryState, now_s: float) -> None:
    """Compute the live entries anew."""
    members = state.membership
    members.live_refreshed_s = now_s
    live = {
        name
        for name, peer in members.peers_by_name.items()
        if _is_live_peer(state, name, peer, now_s)
    }
    if not is_full_mesh(len(members.entry_names)):
        live.update(_reached_strangers(state, now_s))
    live.add(state.host)
    # An equal tuple is kept, so that owners are computed from one object.
    found = tuple(sorted(live))
    if found != members.live:
        members.live = found


def _is_live_peer(
    state: EntryState, name: str, peer: Peer, now_s: float
) -> bool:
    if not peer.connected or peer.leaving or now_s < peer.live_from_s:
        return False
    record = state.membership.hosts_by_name.get(name)
    if record is not None and record.state is HostState.LEAVING:
        return False
    heard = now_s - peer.last_heartbeat_s <= _silence_limit_s(state)
    return heard and now_s - peer.two_way_confirmed_s <= _reach_limit_s(state)


def _reached_strangers(state: EntryState, now_s: float) -> set[str]:
    """Return listed entries that only others have streams to."""
    members = state.membership
    return {
        name
        for name in members.entry_names
        if members.hosts_by_name[name].state is HostState.LIVE
        and now_s - members.last_alive_s_by_name.get(name, -math.inf)
        <= LARGE_FLEET_REACH_LIMIT_S
        and not _was_lost(members.peers_by_name.get(name), now_s)
    }


def _was_lost(peer: Peer | None, now_s: float) -> bool:
    if peer is None:
        return False
    return peer.connected or now_s - peer.disconnected_s < RECENT_LOSS_S


def _is_large(state: EntryState) -> bool:
    return not is_full_mesh(len(state.membership.entry_names))


def beat_interval_s(state: EntryState) -> float:
    """Return the time between heartbeats."""
    if _is_large(state):
        return LARGE_FLEET_HEARTBEAT_INTERVAL_S
    return HEARTBEAT_INTERVAL_S


def _silence_limit_s(state: EntryState) -> float:
    if _is_large(state):
        return LARGE_FLEET_SILENCE_LIMIT_S
    return SILENCE_LIMIT_S


def _reach_limit_s(state: EntryState) -> float:
    if _is_large(state):
        return LARGE_FLEET_REACH_LIMIT_S
    return REACH_LIMIT_S
