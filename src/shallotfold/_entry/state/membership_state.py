"""Hold what is known about other entries."""

import math

import attrs

from shallotfold._model.upstreams import HostRecord


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
