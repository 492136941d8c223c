"""Grant waiting requests in order and refuse expired ones."""

from shallotfold._entry import effects
from shallotfold._entry.pools import floors
from shallotfold._entry.pools import ownership
from shallotfold._entry.pools import preemption
from shallotfold._entry.pools import routing
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.pool_queue import AttemptKey
from shallotfold._entry.state.pool_queue import QueuedRequest
from shallotfold._entry.state.pool_state import Pool
from shallotfold._entry.state.pool_state import RunningGrant
from shallotfold._model.configuration import Upstream
from shallotfold._model.requests import RefusalCode
from shallotfold._wire import grant_messages

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
HIGHEST_PRIORITY = 1
TAKEOVER_SETTLE_S = 0.3
URGENT_SLACK_S = 1.0


def grant_waiting(
    state: EntryState, pool: Pool, now_s: float
) -> list[effects.Effect]:
    """Grant as many waiting requests as there are free slots."""
    new_effects: list[effects.Effect] = []
    while pool.queue.waiting_by_attempt:
        candidates = routing.free_upstreams(state, pool, now_s)
        if not candidates:
            break
        chosen = _choose_next(state, pool, candidates, now_s)
        if chosen is None:
            break
        new_effects.extend(_grant(state, pool, *chosen, now_s))
    return new_effects


def refuse_expired(
    state: EntryState, pool: Pool, now_s: float
) -> list[effects.Effect]:
    """Refuse requests that can no longer meet their target."""
    if not pool.queue.waiting_by_attempt:
        return []
    grace_s = 0.0
    if preemption.pending_slots(state, pool, now_s):
        grace_s = preemption.PREEMPTION_GRACE_S
    expired = [
        waiting
        for waiting in pool.queue.waiting_by_attempt.values()
        if waiting.expires_s + grace_s <= now_s
    ]
    if not expired:
        return []
    retry_after_s = _retry_after_s(state, pool)
    code = RefusalCode.TARGET_MISSED
    if not _has_upstream(state, pool, now_s):
        code = RefusalCode.NO_UPSTREAM
    new_effects: list[effects.Effect] = []
    for waiting in expired:
        pool.queue.remove(waiting.key)
        pool.ended_s_by_attempt[waiting.key] = now_s
        message = grant_messages.GrantRefused(
            request_id=waiting.request.request_id,
            attempt=waiting.request.attempt,
            code=code,
            retry_after_s=retry_after_s,
        )
        new_effects.append(
            effects.SendToPeer(host=waiting.host, message=message)
        )
    return new_effects


def grant_effect(key: AttemptKey, running: RunningGrant) -> effects.SendToPeer:
    """Return the effect that sends a grant to the entry that requested it."""
    message = grant_messages.Grant(
        request_id=key[0],
        attempt=key[1],
        upstream=running.upstream,
        priority=max(HIGHEST_PRIORITY, running.tier),
    )
    return effects.SendToPeer(host=running.host, message=message)


def _choose_next(
    state: EntryState,
    pool: Pool,
    candidates: list[routing.Candidate],
    now_s: float,
) -> tuple[QueuedRequest, Upstream, bool] | None:
    """Return the next request, its upstream, and whether it uses the floor."""
    if _announcements_pending(state, pool, now_s):
        return _choose_urgent(state, pool, candidates, now_s)
    classes = pool.queue.waiting_classes()
    highest_tier = pool.queue.queues_by_class[classes[0]].tier
    for class_name in classes:
        if pool.queue.queues_by_class[class_name].tier == highest_tier:
            continue
        head = next(pool.queue.heads(class_name))
        if floors.is_due(state, pool, head, now_s):
            upstream = routing.choose(state, pool, candidates, head, now_s)
            if upstream is not None:
                return head, upstream, True
    for class_name in classes:
        for head in pool.queue.heads(class_name):
            upstream = routing.choose(state, pool, candidates, head, now_s)
            if upstream is not None:
                return head, upstream, False
    return None


def _announcements_pending(state: EntryState, pool: Pool, now_s: float) -> bool:
    """Whether announcements of running attempts may still be in transit."""
    is_only_candidate = len(ownership.owner_candidates(state)) == 1
    return (
        not is_only_candidate
        and now_s - pool.granting_since_s < TAKEOVER_SETTLE_S
    )


def _choose_urgent(
    state: EntryState,
    pool: Pool,
    candidates: list[routing.Candidate],
    now_s: float,
) -> tuple[QueuedRequest, Upstream, bool] | None:
    """Return the next request that can't wait for the announcements."""
    for class_name in pool.queue.waiting_classes():
        for head in pool.queue.heads(class_name):
            if head.expires_s - now_s < URGENT_SLACK_S:
                upstream = routing.choose(state, pool, candidates, head, now_s)
                if upstream is not None:
                    return head, upstream, False
    return None


def _grant(
    state: EntryState,
    pool: Pool,
    waiting: QueuedRequest,
    upstream: Upstream,
    uses_floor: bool,  # noqa: FBT001
    now_s: float,
) -> list[effects.Effect]:
    request = waiting.request
    pool.queue.dequeue(waiting)
    floors.earn_credit(state, pool, waiting.cost)
    floors.spend_credit(pool, request.class_name, waiting.cost)
    state.pools.prefixes.add(upstream.name, request.prefix_digests)
    running = RunningGrant(
        host=waiting.host,
        class_name=request.class_name,
        tier=waiting.tier,
        workspace=request.workspace,
        weight=waiting.weight,
        upstream=upstream.name,
        prompt_tokens=request.prompt_tokens,
        cost=waiting.cost,
        granted_s=now_s,
        last_confirmed_s=now_s,
        preemptible=request.preemptible,
        uses_floor=uses_floor,
    )
    pool.add_running(waiting.key, running)
    explanation = effects.RecordExplanation(
        request_id=request.request_id,
        step="granted",
        detail=f"{upstream.name} for attempt {request.attempt}",
    )
    return [explanation, grant_effect(waiting.key, running)]


def _retry_after_s(state: EntryState, pool: Pool) -> float:
    """Estimate how long the current queue takes to drain."""
    upstreams = state.pools.catalog.upstreams_by_pool.get(pool.name, ())
    tokens_per_s = sum(upstream.tokens_per_s for upstream in upstreams) or 1.0
    waiting = pool.queue.waiting_by_attempt.values()
    wait_s = sum(request.cost for request in waiting) / tokens_per_s
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def _has_upstream(state: EntryState, pool: Pool, now_s: float) -> bool:
    upstreams = state.pools.catalog.upstreams_by_pool.get(pool.name, ())
    return any(routing.limit_of(state, u, now_s) for u in upstreams)
