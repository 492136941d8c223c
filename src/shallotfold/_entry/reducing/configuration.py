"""Adopt newer configurations, never older ones; exchange them with peers."""

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

MIN_REFETCH_INTERVAL_S = 1.0
MIN_RESEND_INTERVAL_S = 1.0
# How long to wait for the store before requesting a document from a peer.
PEER_REQUEST_DELAY_S = 0.5
PEER_RESPONSE_TIMEOUT_S = 3.0
# A peer that has lost power stays connected for a while. Another one is asked
# as well if the first part of the document takes this long.
NEXT_PEER_AFTER_S = 0.5
# Authenticated requests end this long after the configuration became untrusted.
UNTRUSTED_GRACE_S = 1.0


def on_read(
    state: EntryState, event: events.ConfigurationRead
) -> list[effects.Effect]:
    """Adopt a configuration if it is newer than the one in force."""
    config = state.configuration
    if event.version <= config.version:
        return []
    config.version = event.version
    config.current = event.configuration
    config.document = event.document
    config.sha256 = event.sha256
    config.workspaces_by_key = keys.index_workspaces(event.configuration)
    config.adopted_s = event.now_s
    freshness.on_adopted(state)
    return [
        effects.CountMetric(name="configuration.adopted"),
        *withdrawal.end_unauthorized(state),
        *_update_readiness(state, event.now_s),
    ]


def on_confirmed(
    state: EntryState, event: events.VersionConfirmed
) -> list[effects.Effect]:
    """Fetch the version that the store confirmed as the newest, if needed."""
    config = state.configuration
    freshness.start_tracking(state)
    if (
        event.version < config.version
        and event.read_started_s > config.adopted_s
    ):
        # The store was wiped; its answer must not count as a confirmation.
        return [effects.CountMetric(name="configuration.store_went_back")]
    freshness.confirm(state, event.version, event.read_started_s)
    if event.version <= config.version:
        return []
    is_refetch = event.version == config.fetched_version
    if is_refetch and event.now_s - config.fetched_s < MIN_REFETCH_INTERVAL_S:
        return []
    config.fetched_version = event.version
    config.fetched_s = event.now_s
    return [effects.FetchConfiguration(version=event.version)]


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Exchange configuration documents with peers."""
    message = event.message
    if isinstance(message, ConfigurationRequest):
        return _send_document(state, event.host, message, event.now_s)
    if isinstance(message, ConfigurationPart):
        return _add_part(state, event.host, message)
    return []


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Request newer versions from peers and react to lost trust."""
    return [
        *_request_from_peer(state, event.now_s, event.random),
        *_update_readiness(state, event.now_s),
        *_end_untrusted_requests(state, event.now_s),
    ]


def _send_document(
    state: EntryState, host: str, message: ConfigurationRequest, now_s: float
) -> list[effects.Effect]:
    config = state.configuration
    if config.version <= message.newer_than:
        return []
    version, sent_s = config.answers_by_host.get(host, (0, 0.0))
    if version == config.version and now_s - sent_s < MIN_RESEND_INTERVAL_S:
        return []
    config.answers_by_host[host] = config.version, now_s
    return [
        effects.SendConfiguration(
            host=host,
            version=config.version,
            document=config.document,
            sha256=config.sha256,
        )
    ]


def _add_part(
    state: EntryState, host: str, part: ConfigurationPart
) -> list[effects.Effect]:
    config = state.configuration
    assembly = config.assembly_by_host.get(host)
    if assembly is None:
        return []
    if part.version <= config.version or not assembly.add(part):
        return []
    config.assembly_by_host.clear()
    return [
        effects.LoadConfigurationDocument(
            version=assembly.version,
            document=assembly.join(),
            sha256=assembly.sha256,
        )
    ]


def _request_from_peer(
    state: EntryState, now_s: float, random: float
) -> list[effects.Effect]:
    config = state.configuration
    newer_hosts = sorted(
        host
        for host, peer in state.membership.peers_by_name.items()
        if peer.connected and peer.config_version > config.version
    )
    if not newer_hosts:
        config.behind_since_s = math.inf
        config.assembly_by_host.clear()
        return []
    config.behind_since_s = min(config.behind_since_s, now_s)
    delay_s = PEER_REQUEST_DELAY_S if config.version else 0.0
    if now_s - config.behind_since_s < delay_s:
        return []
    assemblies = config.assembly_by_host
    if any(_is_awaited(assembly, now_s) for assembly in assemblies.values()):
        return []
    unasked = [host for host in newer_hosts if host not in assemblies]
    if not unasked:
        oldest = min(assemblies.values(), key=lambda a: a.requested_s)
        if now_s - oldest.requested_s < PEER_RESPONSE_TIMEOUT_S:
            return []
        assemblies.clear()
        unasked = newer_hosts
    host = unasked[int(random * len(unasked))]
    assemblies[host] = Assembly(host=host, requested_s=now_s)
    request = ConfigurationRequest(newer_than=config.version)
    return [effects.SendToPeer(host=host, message=request)]


def _is_awaited(assembly: Assembly, now_s: float) -> bool:
    """Whether no other peer is asked while this one may still respond."""
    waited_s = now_s - assembly.requested_s
    if not assembly.data_by_index:
        return waited_s < NEXT_PEER_AFTER_S
    return waited_s < PEER_RESPONSE_TIMEOUT_S


def _update_readiness(state: EntryState, now_s: float) -> list[effects.Effect]:
    """Track since when trust is lost, and report readiness when it changes."""
    config = state.configuration
    trusted = freshness.is_trusted(state, now_s)
    if trusted:
        config.untrusted_since_s = math.inf
    else:
        config.untrusted_since_s = min(config.untrusted_since_s, now_s)
    ready = trusted and not state.draining
    if ready == config.ready:
        return []
    config.ready = ready
    return [effects.SetReady(ready=ready)]


def _end_untrusted_requests(
    state: EntryState, now_s: float
) -> list[effects.Effect]:
    config = state.configuration
    if now_s - config.untrusted_since_s < UNTRUSTED_GRACE_S:
        return []
    return withdrawal.end_authenticated(state)
