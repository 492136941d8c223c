"""Grant waiting requests in order, and refuse those that came too late."""

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
TAKE_OVER_S = 0.3
URGENT_S = 1.0


def grant_waiting(
    state: EntryState, pool: Pool, now_s: float
) -> list[effects.Effect]:
    """Grant as many waiting requests as there are free slots."""
    done: list[effects.Effect] = []
    while pool.queue.waiting_by_attempt:
        free = routing.free_upstreams(state, pool, now_s)
        if not free:
            break
        chosen = _next(state, pool, free, now_s)
        if chosen is None:
            break
        done.extend(_grant(state, pool, *chosen, now_s))
    return done


def refuse_expired(
    state: EntryState, pool: Pool, now_s: float
) -> list[effects.Effect]:
    """Refuse requests that can no longer meet their target."""
    if not pool.queue.waiting_by_attempt:
        return []
    grace_s = 0.0
    if preemption.pending(state, pool, now_s):
        grace_s = preemption.GRACE_S
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
    done: list[effects.Effect] = []
    for waiting in expired:
        pool.queue.remove(waiting.key)
        pool.ended_s_by_attempt[waiting.key] = now_s
        message = grant_messages.GrantRefused(
            request_id=waiting.request.request_id,
            attempt=waiting.request.attempt,
            code=code,
            retry_after_s=retry_after_s,
        )
        done.append(effects.SendToPeer(host=waiting.host, message=message))
    return done


def grant_message(key: AttemptKey, running: RunningGrant) -> effects.SendToPeer:
    """Return the message that grants a running attempt."""
    message = grant_messages.Grant(
        request_id=key[0],
        attempt=key[1],
        upstream=running.upstream,
        priority=max(HIGHEST_PRIORITY, running.tier),
    )
    return effects.SendToPeer(host=running.host, message=message)


def _next(
    state: EntryState,
    pool: Pool,
    free: list[routing.Candidate],
    now_s: float,
) -> tuple[QueuedRequest, Upstream, bool] | None:
    """Return the next request with its upstream, and whether it is a floor."""
    if _settles(state, pool, now_s):
        return _next_urgent(state, pool, free, now_s)
    classes = pool.queue.waiting_classes()
    top = pool.queue.queues_by_class[classes[0]].tier
    for class_name in classes:
        if pool.queue.queues_by_class[class_name].tier == top:
            continue
        head = next(pool.queue.heads(class_name))
        if floors.due(state, pool, head, now_s):
            upstream = routing.choose(state, pool, free, head, now_s)
            if upstream is not None:
                return head, upstream, True
    for class_name in classes:
        for head in pool.queue.heads(class_name):
            upstream = routing.choose(state, pool, free, head, now_s)
            if upstream is not None:
                return head, upstream, False
    return None


def _settles(state: EntryState, pool: Pool, now_s: float) -> bool:
    """Whether announcements of what runs may still be on their way."""
    alone = len(ownership.candidates(state)) == 1
    return not alone and now_s - pool.granting_since_s < TAKE_OVER_S


def _next_urgent(
    state: EntryState,
    pool: Pool,
    free: list[routing.Candidate],
    now_s: float,
) -> tuple[QueuedRequest, Upstream, bool] | None:
    """Return the next request that can't wait until a new owner knows all."""
    for class_name in pool.queue.waiting_classes():
        for head in pool.queue.heads(class_name):
            if head.expires_s - now_s < URGENT_S:
                upstream = routing.choose(state, pool, free, head, now_s)
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
    floors.earn(state, pool, waiting.cost)
    floors.spend(pool, request.class_name, waiting.cost)
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
    explained = effects.RecordExplanation(
        request_id=request.request_id,
        step="granted",
        detail=f"{upstream.name} for attempt {request.attempt}",
    )
    return [explained, grant_message(waiting.key, running)]


def _retry_after_s(state: EntryState, pool: Pool) -> float:
    """Estimate when the queue in front of a repeat will be gone."""
    upstreams = state.pools.catalog.upstreams_by_pool.get(pool.name, ())
    rate = sum(upstream.tokens_per_s for upstream in upstreams) or 1.0
    waiting = pool.queue.waiting_by_attempt.values()
    seconds = sum(request.cost for request in waiting) / rate
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))


def _has_upstream(state: EntryState, pool: Pool, now_s: float) -> bool:
    upstreams = state.pools.catalog.upstreams_by_pool.get(pool.name, ())
    return any(routing.limit_of(state, u, now_s) for u in upstreams)
