"""Hold what is known about other entries, and tell which are alive."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from shallotfold._entry.neighbours import is_full_mesh
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostState

if TYPE_CHECKING:
    from shallotfold._entry.state import EntryState

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


@attrs.define(kw_only=True)
class Peer:
    """A peer with an open stream, or one that was lost lately.

    Attributes:
        connected: Whether a stream is open.
        counts_from_s: When a peer that came back counts as live again.
        lost_s: When its last stream closed.
        incarnation: Incarnation by its heartbeats; 0 before the first.
        heard_s: When its last heartbeat arrived.
        proven_s: Latest time at which both directions worked for certain.
        stamp_s: Its newest time stamp, to be echoed; -1 before the first.
        config_version: Version in force there.
        known_entries: Length of its host list.
        leaving: Whether it drains.
    """

    connected: bool = False
    counts_from_s: float = -math.inf
    lost_s: float = -math.inf
    incarnation: int = 0
    heard_s: float = -math.inf
    proven_s: float = -math.inf
    stamp_s: float = -1.0
    config_version: int = 0
    known_entries: int = 0
    leaving: bool = False


@attrs.define(kw_only=True)
class MembershipState:
    """Hosts as this entry sees them.

    Attributes:
        hosts_by_name: The platform's list, as last read.
        entry_names: Sorted names of the entries in that list.
        names_digest: Digest of these names.
        neighbours: Entries that streams are kept to.
        connected: Names of the peers with an open stream.
        peers_by_name: Peers with an open stream, or lost lately.
        alive_s_by_name: Latest time at which another entry was alive and in
            reach for certain, directly or by what peers pass on.
        live: Sorted names of the live entries; empty before any event.
        next_beat_s: When heartbeats are sent next.
        refreshed_s: When `live` was computed last.
        ticked_s: When the last tick came.
    """

    hosts_by_name: dict[str, HostRecord] = attrs.field(factory=dict)
    entry_names: tuple[str, ...] = ()
    names_digest: int = 0
    neighbours: frozenset[str] = frozenset()
    connected: set[str] = attrs.field(factory=set)
    peers_by_name: dict[str, Peer] = attrs.field(factory=dict)
    alive_s_by_name: dict[str, float] = attrs.field(factory=dict)
    live: tuple[str, ...] = ()
    next_beat_s: float = -math.inf
    refreshed_s: float = -math.inf
    ticked_s: float = -math.inf


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
        for name, alive_s in members.alive_s_by_name.items()
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
        now_s - members.alive_s_by_name.get(name, -math.inf)
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
    if now_s - state.membership.refreshed_s >= interval_s:
        refresh_live(state, now_s)


def refresh_live(state: EntryState, now_s: float) -> None:
    """Compute the live entries anew."""
    members = state.membership
    members.refreshed_s = now_s
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
    if not peer.connected or peer.leaving or now_s < peer.counts_from_s:
        return False
    record = state.membership.hosts_by_name.get(name)
    if record is not None and record.state is HostState.LEAVING:
        return False
    heard = now_s - peer.heard_s <= _silence_limit_s(state)
    return heard and now_s - peer.proven_s <= _reach_limit_s(state)


def _reached_strangers(state: EntryState, now_s: float) -> set[str]:
    """Return listed entries that only others have streams to."""
    members = state.membership
    return {
        name
        for name in members.entry_names
        if members.hosts_by_name[name].state is HostState.LIVE
        and now_s - members.alive_s_by_name.get(name, -math.inf)
        <= LARGE_FLEET_REACH_LIMIT_S
        and not _was_lost(members.peers_by_name.get(name), now_s)
    }


def _was_lost(peer: Peer | None, now_s: float) -> bool:
    if peer is None:
        return False
    return peer.connected or now_s - peer.lost_s < RECENT_LOSS_S


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
