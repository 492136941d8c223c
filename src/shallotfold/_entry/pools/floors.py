"""Reserve a small share of each pool per class, so that none starves."""

from shallotfold._entry.pools import routing
from shallotfold._entry.state import estimates
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.pool_queue import QueuedRequest
from shallotfold._entry.state.pool_state import Pool
from shallotfold._model.configuration import RequestClass

MIN_TYPICAL_COST = 1.0


def earn_credit(state: EntryState, pool: Pool, cost: float) -> None:
    """Credit every class with its floor share of a granted cost."""
    credit_by_class = pool.floor_credit_by_class
    for name, request_class in _known_classes(state, pool):
        earned = (
            credit_by_class.get(name, 0.0) + request_class.floor_share * cost
        )
        credit_by_class[name] = min(_typical_cost(state, pool, name), earned)


def is_due(
    state: EntryState, pool: Pool, waiting: QueuedRequest, now_s: float
) -> bool:
    """Whether a waiting request may go ahead of higher tiers now."""
    name = waiting.request.class_name
    if free_floor_slots(state, pool, name, now_s) <= 0:
        return False
    typical = _typical_cost(state, pool, name)
    return pool.floor_credit_by_class.get(name, typical) >= min(
        typical, waiting.cost
    )


def spend_credit(pool: Pool, class_name: str, cost: float) -> None:
    """Deduct the cost of a grant from the credit of its class."""
    credit = pool.floor_credit_by_class.get(class_name, 0.0)
    pool.floor_credit_by_class[class_name] = max(0.0, credit - cost)


def free_floor_slots(
    state: EntryState, pool: Pool, class_name: str, now_s: float
) -> int:
    """Return how many more concurrent floor grants a class may have."""
    classes = state.configuration.current.classes_by_name
    request_class = classes.get(class_name)
    if request_class is None or request_class.floor_share <= 0.0:
        return 0
    upstreams = state.pools.catalog.upstreams_by_pool.get(pool.name, ())
    slots = sum(upstream.slots for upstream in upstreams)
    silent = {
        upstream.name
        for upstream in upstreams
        if routing.health_of(state, upstream.name).is_silent(now_s)
    }
    used = sum(
        running.uses_floor
        and running.class_name == class_name
        and running.upstream not in silent
        for running in pool.running_by_attempt.values()
    )
    return max(1, int(request_class.floor_share * slots)) - used


def _known_classes(
    state: EntryState, pool: Pool
) -> list[tuple[str, RequestClass]]:
    classes = state.configuration.current.classes_by_name
    return [
        (name, classes[name])
        for name in pool.queue.queues_by_class
        if name in classes
    ]


def _typical_cost(state: EntryState, pool: Pool, class_name: str) -> float:
    request_class = state.configuration.current.classes_by_name[class_name]
    output = pool.estimates.output_tokens(request_class, "", 0)
    return max(MIN_TYPICAL_COST, estimates.cost_of(0, output))
