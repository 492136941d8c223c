"""Own pools of upstreams: queue grant requests and choose upstreams."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from shallotfold._entry import effects
from shallotfold._model.configuration import Upstream
from shallotfold._model.upstreams import UpstreamLoad
from shallotfold._wire import grant_messages

if TYPE_CHECKING:
    from shallotfold._entry import events
    from shallotfold._entry.state import EntryState


@attrs.frozen(kw_only=True)
class QueuedGrant:
    """A grant request waiting at its pool's owner."""

    host: str
    request: grant_messages.GrantRequest


@attrs.define(kw_only=True)
class PoolsState:
    """Pools owned by this entry.

    Attributes:
        queues_by_pool: Waiting grant requests.
        running_by_upstream: Granted attempts that have not ended.
        load_by_upstream: Last load reports.
    """

    queues_by_pool: dict[str, collections.deque[QueuedGrant]] = attrs.field(
        factory=dict
    )
    running_by_upstream: dict[str, set[tuple[str, int]]] = attrs.field(
        factory=dict
    )
    load_by_upstream: dict[str, UpstreamLoad] = attrs.field(factory=dict)


def pool_of(model: str, route_prefix: str) -> str:
    """Return the name of the pool that serves a model or a plain route."""
    return model or route_prefix


def owner_of(state: EntryState, pool: str) -> str:
    """Return the entry that owns a pool."""
    del pool
    return state.host


def upstreams_of(state: EntryState, pool: str) -> list[Upstream]:
    """Return the upstreams of a pool, in the order of their names."""
    configuration = state.configuration.current
    route = configuration.routes_by_prefix.get(pool)
    return [
        upstream
        for _, upstream in sorted(configuration.upstreams_by_name.items())
        if (
            upstream.service == route.service
            if route
            else upstream.model == pool
        )
    ]


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Queue, cancel or release a grant."""
    message = event.message
    if isinstance(message, grant_messages.GrantRequest):
        queue = state.pools.queues_by_pool.setdefault(
            message.pool, collections.deque()
        )
        queue.append(QueuedGrant(host=event.host, request=message))
    if isinstance(message, grant_messages.GrantReleased):
        attempt = (message.request_id, message.attempt)
        for running in state.pools.running_by_upstream.values():
            running.discard(attempt)
    return _grant_waiting(state)


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Grant what has become possible."""
    del event
    return _grant_waiting(state)


def on_load(
    state: EntryState, event: events.LoadReported
) -> list[effects.Effect]:
    """Take over a load report."""
    state.pools.load_by_upstream[event.upstream] = event.load
    return []


def on_load_failed(
    state: EntryState, event: events.LoadFetchFailed
) -> list[effects.Effect]:
    """Note that an upstream gave no load report."""
    state.pools.load_by_upstream.pop(event.upstream, None)
    return []


def on_prefixes(
    state: EntryState, event: events.PrefixesCached
) -> list[effects.Effect]:
    """Learn which prompt prefixes an upstream holds."""
    del state, event
    return []


def on_hosts(
    state: EntryState, event: events.HostsListed
) -> list[effects.Effect]:
    """Learn which upstreams exist and which are leaving."""
    del state, event
    return []


def on_peer_change(
    state: EntryState, event: events.PeerConnected | events.PeerDisconnected
) -> list[effects.Effect]:
    """Hand pools over when the set of live entries changes."""
    del state, event
    return []


def _grant_waiting(state: EntryState) -> list[effects.Effect]:
    granted: list[effects.Effect] = []
    for pool, queue in state.pools.queues_by_pool.items():
        while queue:
            upstream = _least_loaded(state, pool, queue[0].request.avoid)
            if upstream is None:
                break
            waiting = queue.popleft()
            attempt = (waiting.request.request_id, waiting.request.attempt)
            running = state.pools.running_by_upstream
            running.setdefault(upstream.name, set()).add(attempt)
            grant = grant_messages.Grant(
                request_id=waiting.request.request_id,
                attempt=waiting.request.attempt,
                upstream=upstream.name,
                priority=1,
            )
            granted.append(effects.SendToPeer(host=waiting.host, message=grant))
    return granted


def _least_loaded(
    state: EntryState, pool: str, avoid: tuple[str, ...]
) -> Upstream | None:
    running = state.pools.running_by_upstream
    free = [
        upstream
        for upstream in upstreams_of(state, pool)
        if upstream.name not in avoid
        and len(running.get(upstream.name, ())) < upstream.slots
    ]
    return min(free, key=lambda u: len(running.get(u.name, ())), default=None)
