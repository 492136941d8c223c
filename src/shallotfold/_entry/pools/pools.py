"""Manage owned pools: queue grant requests and grant them in order."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.pools import granting
from shallotfold._entry.pools import ownership
from shallotfold._entry.pools import preemption
from shallotfold._entry.pools import reconciling
from shallotfold._entry.pools import routing
from shallotfold._entry.pools import speed_evaluation
from shallotfold._entry.state import estimates
from shallotfold._entry.state.catalog import Catalog
from shallotfold._entry.state.catalog import build_catalog
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.pool_queue import QueuedRequest
from shallotfold._entry.state.pool_state import LOWEST_TIER
from shallotfold._entry.state.pool_state import Pool
from shallotfold._entry.state.pool_state import RunningGrant
from shallotfold._model.configuration import Upstream
from shallotfold._model.requests import Outcome
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState
from shallotfold._wire import grant_messages

EVALUATION_INTERVAL_S = 1.0
REQUEST_IDLE_S = 5.0


def catalog_of(state: EntryState) -> Catalog:
    """Return the catalog, rebuilt first if the configuration has changed."""
    configuration = state.configuration.current
    if state.pools.catalog.configuration is not configuration:
        state.pools.catalog = build_catalog(configuration, state.pools.hosts)
    return state.pools.catalog


def watched_upstreams(state: EntryState) -> list[Upstream]:
    """Return the upstreams whose load reports this entry should read."""
    catalog = catalog_of(state)
    return [
        upstream
        for pool, upstreams in catalog.upstreams_by_pool.items()
        if ownership.owner_of(state, pool) == state.host
        for upstream in upstreams
    ]


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Handle a message about grants, running attempts or progress."""
    message = event.message
    catalog_of(state)
    if isinstance(message, grant_messages.GrantRequest):
        return _on_request(state, event.host, message, event.now_s)
    if isinstance(message, grant_messages.GrantCancelled):
        return _on_cancelled(state, message, event.now_s)
    if isinstance(message, grant_messages.GrantReleased):
        return _on_released(state, message, event.now_s)
    if isinstance(message, grant_messages.RunningAnnounced):
        return reconciling.reconcile(state, event.host, message, event.now_s)
    if isinstance(message, grant_messages.ProgressReported):
        for sample in message.samples:
            health = routing.health_of(state, sample.upstream)
            health.add_sample(sample.tokens, sample.busy_s, event.now_s)
    return []


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Grant, preempt and refuse what has become due."""
    now_s = event.now_s
    catalog_of(state)
    evaluation_due = (
        now_s - state.pools.last_evaluation_s >= EVALUATION_INTERVAL_S
    )
    if evaluation_due:
        state.pools.last_evaluation_s = now_s
    new_effects: list[effects.Effect] = []
    for pool in state.pools.pools_by_name.values():
        if ownership.owner_of(state, pool.name) != state.host:
            pool.owned = False
            new_effects.extend(_hand_over(state, pool))
        if evaluation_due:
            reconciling.drop_stale(state, pool, now_s)
            speed_evaluation.evaluate_speed(state, pool, now_s)
        new_effects.extend(
            preemption.move_from_unhealthy_upstreams(state, pool, now_s)
        )
        new_effects.extend(granting.grant_waiting(state, pool, now_s))
        waiting = pool.queue.waiting_by_attempt.values()
        new_effects.extend(preemption.preempt_for(state, pool, waiting, now_s))
        new_effects.extend(granting.refuse_expired(state, pool, now_s))
    return new_effects


def on_load(
    state: EntryState, event: events.LoadReported
) -> list[effects.Effect]:
    """Record the load report of an upstream."""
    routing.health_of(state, event.upstream).on_load(event.load, event.now_s)
    return []


def on_load_failed(
    state: EntryState, event: events.LoadFetchFailed
) -> list[effects.Effect]:
    """Record that an upstream gave no load report."""
    routing.health_of(state, event.upstream).on_load_failure(event.now_s)
    return []


def on_prefixes(
    state: EntryState, event: events.PrefixCacheUpdated
) -> list[effects.Effect]:
    """Record which prompt prefixes an upstream caches."""
    prefixes = state.pools.prefixes
    if event.is_snapshot:
        prefixes.replace(event.upstream, event.cached)
    else:
        prefixes.add(event.upstream, event.cached)
    prefixes.remove(event.upstream, event.evicted)
    return []


def on_hosts(
    state: EntryState, event: events.HostsListed
) -> list[effects.Effect]:
    """Update upstreams and the number of entries from the host list."""
    state.pools.hosts = tuple(event.hosts)
    state.pools.listed_live_count = sum(
        host.role is HostRole.ENTRY and host.state is HostState.LIVE
        for host in event.hosts
    )
    state.pools.catalog = build_catalog(
        state.configuration.current, state.pools.hosts
    )
    return []


def on_peer_change(
    state: EntryState, event: events.PeerConnected | events.PeerDisconnected
) -> list[effects.Effect]:
    """Hand over pools when the set of live entries changes."""
    new_effects: list[effects.Effect] = []
    for pool in state.pools.pools_by_name.values():
        reconciling.drop_stale(state, pool, event.now_s)
        if ownership.owner_of(state, pool.name) != state.host:
            new_effects.extend(_hand_over(state, pool))
        new_effects.extend(granting.grant_waiting(state, pool, event.now_s))
    return new_effects


def on_shutdown(
    state: EntryState, event: events.ShutdownRequested
) -> list[effects.Effect]:
    """Hand over all pools."""
    del event
    new_effects: list[effects.Effect] = []
    for pool in state.pools.pools_by_name.values():
        if ownership.owner_of(state, pool.name) != state.host:
            new_effects.extend(_hand_over(state, pool))
    return new_effects


def _on_request(
    state: EntryState,
    host: str,
    request: grant_messages.GrantRequest,
    now_s: float,
) -> list[effects.Effect]:
    owner = ownership.owner_of(state, request.pool)
    if owner != state.host and not request.redirects:
        return [_redirect_request(host, request, owner)]
    pool = state.pools.pool(request.pool)
    _record_takeover(pool, now_s, owned=owner == state.host)
    key = (request.request_id, request.attempt)
    running = pool.running_by_attempt.get(key)
    if running is not None:
        return [granting.grant_effect(key, running)]
    if key in pool.ended_s_by_attempt:
        return []
    queued = effects.SendToPeer(
        host=host,
        message=grant_messages.GrantQueued(
            request_id=request.request_id, attempt=request.attempt
        ),
    )
    if key in pool.queue.waiting_by_attempt:
        return [queued]
    waiting = _make_queued_request(state, pool, host, request, now_s)
    pool.queue.add(waiting)
    granted = granting.grant_waiting(state, pool, now_s)
    if key not in pool.queue.waiting_by_attempt:
        return granted
    preempted = preemption.preempt_for(state, pool, [waiting], now_s)
    return [queued, *granted, *preempted]


def _record_takeover(pool: Pool, now_s: float, *, owned: bool) -> None:
    idle = now_s - pool.last_request_s > REQUEST_IDLE_S
    if pool.last_request_s < 0.0 or owned > pool.owned or (idle and not owned):
        pool.granting_since_s = now_s
    pool.owned = owned
    pool.last_request_s = now_s


def _make_queued_request(
    state: EntryState,
    pool: Pool,
    host: str,
    request: grant_messages.GrantRequest,
    now_s: float,
) -> QueuedRequest:
    configuration = state.configuration.current
    request_class = configuration.classes_by_name.get(request.class_name)
    workspace = configuration.workspaces_by_name.get(request.workspace)
    output = 1.0
    if request_class is not None and pool.name.startswith("model/"):
        output = pool.estimates.output_tokens(
            request_class, request.workspace, request.output_tokens
        )
    return QueuedRequest(
        host=host,
        request=request,
        tier=request_class.tier if request_class else LOWEST_TIER,
        cost=estimates.cost_of(request.prompt_tokens, output),
        weight=workspace.weight if workspace else 1.0,
        expires_s=now_s + request.slack_s,
    )


def _on_cancelled(
    state: EntryState, message: grant_messages.GrantCancelled, now_s: float
) -> list[effects.Effect]:
    key = (message.request_id, message.attempt)
    for pool in state.pools.pools_by_name.values():
        pool.ended_s_by_attempt[key] = now_s
        pool.queue.remove(key)
    return []


def _on_released(
    state: EntryState, message: grant_messages.GrantReleased, now_s: float
) -> list[effects.Effect]:
    key = (message.request_id, message.attempt)
    new_effects: list[effects.Effect] = []
    for pool in state.pools.pools_by_name.values():
        pool.queue.remove(key)
        running = pool.end_running(key, now_s)
        if running is not None:
            _apply_release(state, pool, running, message, now_s)
            new_effects.extend(granting.grant_waiting(state, pool, now_s))
    return new_effects


def _apply_release(
    state: EntryState,
    pool: Pool,
    running: RunningGrant,
    message: grant_messages.GrantReleased,
    now_s: float,
) -> None:
    cost = 0.0
    if message.outcome is not Outcome.NOT_RUN:
        cost = estimates.cost_of(running.prompt_tokens, message.output_tokens)
    pool.queue.correct_charge(
        running.class_name,
        running.workspace,
        cost - running.cost,
        running.weight,
    )
    health = routing.health_of(state, running.upstream)
    if not message.healthy:
        ran = message.outcome is not Outcome.NOT_RUN
        health.on_failure(now_s, ran=ran, retry_after_s=message.retry_after_s)
    if message.outcome is not Outcome.RAN:
        return
    health.on_success(now_s)
    if message.output_tokens:
        pool.estimates.learn_output(
            running.class_name, running.workspace, message.output_tokens
        )
    if message.first_token_s >= 0.0:
        pool.estimates.learn_first_token(
            running.prompt_tokens, message.first_token_s
        )


def _redirect_request(
    host: str, request: grant_messages.GrantRequest, owner: str
) -> effects.SendToPeer:
    message = grant_messages.GrantRedirected(
        request_id=request.request_id, attempt=request.attempt, owner=owner
    )
    return effects.SendToPeer(host=host, message=message)


def _hand_over(state: EntryState, pool: Pool) -> list[effects.Effect]:
    """Redirect waiting requests to the new owner.

    Entries announce their running attempts to it on their own.
    """
    owner = ownership.owner_of(state, pool.name)
    new_effects: list[effects.Effect] = []
    for key, waiting in list(pool.queue.waiting_by_attempt.items()):
        if not waiting.request.redirects:
            pool.queue.remove(key)
            new_effects.append(
                _redirect_request(waiting.host, waiting.request, owner)
            )
    return new_effects
