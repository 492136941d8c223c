"""Adopt configurations, never an older one, and pass them between peers."""

import math

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.membership import freshness
from shallotfold._entry.requests import keys
from shallotfold._entry.requests import withdrawal
from shallotfold._entry.state.configuration_parts import Assembly
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._wire.control_messages import ConfigurationPart
from shallotfold._wire.control_messages import ConfigurationRequest

FETCH_INTERVAL_S = 1.0
ANSWER_INTERVAL_S = 1.0
# The store is given this long before a peer is asked.
BEHIND_BEFORE_ASKING_S = 0.5
PEER_ANSWER_TIMEOUT_S = 3.0
# Connected callers are cut off this long after trust was lost.
UNTRUSTED_GRACE_S = 1.0


def on_read(
    state: EntryState, event: events.ConfigurationRead
) -> list[effects.Effect]:
    """Adopt a configuration if its version is higher than ours."""
    held = state.configuration
    if event.version <= held.version:
        return []
    held.version = event.version
    held.current = event.configuration
    held.document = event.document
    held.sha256 = event.sha256
    held.workspaces_by_key = keys.index_workspaces(event.configuration)
    held.adopted_s = event.now_s
    freshness.adopted(state)
    return [
        effects.CountMetric(name="configuration.adopted"),
        *withdrawal.end_unentitled(state),
        *_follow_trust(state, event.now_s),
    ]


def on_confirmed(
    state: EntryState, event: events.VersionConfirmed
) -> list[effects.Effect]:
    """Fetch the configuration that the store has confirmed as the newest."""
    held = state.configuration
    freshness.start_tracking(state)
    if event.version < held.version and event.read_started_s > held.adopted_s:
        # A store that was wiped must not pass for a fresh one.
        return [effects.CountMetric(name="configuration.store_went_back")]
    freshness.confirm(state, event.version, event.read_started_s)
    if event.version <= held.version:
        return []
    repeated = event.version == held.fetched_version
    if repeated and event.now_s - held.fetched_s < FETCH_INTERVAL_S:
        return []
    held.fetched_version = event.version
    held.fetched_s = event.now_s
    return [effects.FetchConfiguration(version=event.version)]


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Exchange configuration documents with peers."""
    message = event.message
    if isinstance(message, ConfigurationRequest):
        return _answer(state, event.host, message, event.now_s)
    if isinstance(message, ConfigurationPart):
        return _collect(state, event.host, message)
    return []


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Ask peers for a newer version, and act when trust is lost."""
    return [
        *_ask_peer(state, event.now_s, event.random),
        *_follow_trust(state, event.now_s),
        *_cut_off(state, event.now_s),
    ]


def _answer(
    state: EntryState, host: str, message: ConfigurationRequest, now_s: float
) -> list[effects.Effect]:
    held = state.configuration
    if held.version <= message.newer_than:
        return []
    version, answered_s = held.answers_by_host.get(host, (0, 0.0))
    if version == held.version and now_s - answered_s < ANSWER_INTERVAL_S:
        return []
    held.answers_by_host[host] = held.version, now_s
    return [
        effects.SendConfiguration(
            host=host,
            version=held.version,
            document=held.document,
            sha256=held.sha256,
        )
    ]


def _collect(
    state: EntryState, host: str, part: ConfigurationPart
) -> list[effects.Effect]:
    held = state.configuration
    assembly = held.assembly
    if assembly is None or assembly.host != host:
        return []
    if part.version <= held.version or not assembly.add(part):
        return []
    held.assembly = None
    return [
        effects.LoadConfigurationDocument(
            version=assembly.version,
            document=assembly.join(),
            sha256=assembly.sha256,
        )
    ]


def _ask_peer(
    state: EntryState, now_s: float, random: float
) -> list[effects.Effect]:
    held = state.configuration
    newer = sorted(
        host
        for host, peer in state.membership.peers_by_name.items()
        if peer.connected and peer.config_version > held.version
    )
    if not newer:
        held.behind_since_s = math.inf
        held.assembly = None
        return []
    held.behind_since_s = min(held.behind_since_s, now_s)
    patience_s = BEHIND_BEFORE_ASKING_S if held.version else 0.0
    if now_s - held.behind_since_s < patience_s:
        return []
    assembly = held.assembly
    if assembly and now_s - assembly.requested_s < PEER_ANSWER_TIMEOUT_S:
        return []
    host = newer[int(random * len(newer))]
    held.assembly = Assembly(host=host, requested_s=now_s)
    request = ConfigurationRequest(newer_than=held.version)
    return [effects.SendToPeer(host=host, message=request)]


def _follow_trust(state: EntryState, now_s: float) -> list[effects.Effect]:
    """Report readiness when it changes."""
    held = state.configuration
    trusted = freshness.is_trusted(state, now_s)
    if trusted:
        held.untrusted_since_s = math.inf
    else:
        held.untrusted_since_s = min(held.untrusted_since_s, now_s)
    ready = trusted and not state.draining
    if ready == held.ready:
        return []
    held.ready = ready
    return [effects.SetReady(ready=ready)]


def _cut_off(state: EntryState, now_s: float) -> list[effects.Effect]:
    held = state.configuration
    if now_s - held.untrusted_since_s < UNTRUSTED_GRACE_S:
        return []
    return withdrawal.end_keyed(state)
