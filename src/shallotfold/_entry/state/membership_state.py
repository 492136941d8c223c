"""State of the fleet membership: peers and live entries."""

import math

import attrs

from shallotfold._model.upstreams import HostRecord


@attrs.define(kw_only=True)
class Peer:
    """A peer with an open stream, or one that disconnected recently.

    Attributes:
        connected: Whether a stream is open.
        live_from_s: When a peer that reconnected counts as live again.
        disconnected_s: When its last stream closed.
        incarnation: Incarnation in its heartbeats; 0 before the first.
        last_heartbeat_s: When its last heartbeat arrived.
        two_way_confirmed_s: Latest time at which both directions are known to
            have worked.
        stamp_to_echo_s: Time stamp of its newest heartbeat, echoed in the
            heartbeats to it; -1 before the first.
        config_version: Configuration version in force there.
        known_entries: Number of entries in its host list.
        leaving: Whether it drains.
    """

    connected: bool = False
    live_from_s: float = -math.inf
    disconnected_s: float = -math.inf
    incarnation: int = 0
    last_heartbeat_s: float = -math.inf
    two_way_confirmed_s: float = -math.inf
    stamp_to_echo_s: float = -1.0
    config_version: int = 0
    known_entries: int = 0
    leaving: bool = False


@attrs.define(kw_only=True)
class MembershipState:
    """The fleet as this entry sees it.

    Attributes:
        hosts_by_name: The platform's host list, as last read.
        entry_names: Sorted names of the entries in that list.
        names_digest: Digest of these names.
        neighbours: Entries to which this entry keeps streams.
        connected: Names of the peers with an open stream.
        peers_by_name: Peers with an open stream, or disconnected recently.
        last_alive_s_by_name: Latest time at which each other entry is known to
            have been alive and reachable, directly or through peers.
        live: Sorted names of the live entries; empty before any event.
        next_heartbeat_s: When to send the next heartbeats.
        live_refreshed_s: When `live` was last computed.
        last_tick_s: When the last tick came.
    """

    hosts_by_name: dict[str, HostRecord] = attrs.field(factory=dict)
    entry_names: tuple[str, ...] = ()
    names_digest: int = 0
    neighbours: frozenset[str] = frozenset()
    connected: set[str] = attrs.field(factory=set)
    peers_by_name: dict[str, Peer] = attrs.field(factory=dict)
    last_alive_s_by_name: dict[str, float] = attrs.field(factory=dict)
    live: tuple[str, ...] = ()
    next_heartbeat_s: float = -math.inf
    live_refreshed_s: float = -math.inf
    last_tick_s: float = -math.inf
