"""Keep every class alive by a small share of its pool."""

from shallotfold._entry.pools import routing
from shallotfold._entry.state import estimates
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.pool_queue import QueuedRequest
from shallotfold._entry.state.pool_state import Pool
from shallotfold._model.configuration import RequestClass

DEFAULT_CREDIT = 1.0


def earn(state: EntryState, pool: Pool, cost: float) -> None:
    """Let every class earn its floor share of a served cost."""
    credit_by_class = pool.floor_credit_by_class
    for name, request_class in _classes(state, pool):
        earned = (
            credit_by_class.get(name, 0.0) + request_class.floor_share * cost
        )
        credit_by_class[name] = min(_typical_cost(state, pool, name), earned)


def due(
    state: EntryState, pool: Pool, waiting: QueuedRequest, now_s: float
) -> bool:
    """Whether a waiting request may go ahead of higher tiers now."""
    name = waiting.request.class_name
    if free_slots(state, pool, name, now_s) <= 0:
        return False
    typical = _typical_cost(state, pool, name)
    return pool.floor_credit_by_class.get(name, typical) >= min(
        typical, waiting.cost
    )


def spend(pool: Pool, class_name: str, cost: float) -> None:
    """Take the cost of a grant from the credit of its class."""
    credit = pool.floor_credit_by_class.get(class_name, 0.0)
    pool.floor_credit_by_class[class_name] = max(0.0, credit - cost)


def free_slots(
    state: EntryState, pool: Pool, class_name: str, now_s: float
) -> int:
    """Return how many more floor grants a class may hold at once."""
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
    held = sum(
        running.uses_floor
        and running.class_name == class_name
        and running.upstream not in silent
        for running in pool.running_by_attempt.values()
    )
    return max(1, int(request_class.floor_share * slots)) - held


def _classes(state: EntryState, pool: Pool) -> list[tuple[str, RequestClass]]:
    classes = state.configuration.current.classes_by_name
    return [
        (name, classes[name])
        for name in pool.queue.queues_by_class
        if name in classes
    ]


def _typical_cost(state: EntryState, pool: Pool, class_name: str) -> float:
    request_class = state.configuration.current.classes_by_name[class_name]
    output = pool.estimates.output_tokens(request_class, "", 0)
    return max(DEFAULT_CREDIT, estimates.cost_of(0, output))
