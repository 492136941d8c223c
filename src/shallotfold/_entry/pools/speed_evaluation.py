"""Evaluate the speed of a pool's upstreams from their recent progress."""

from shallotfold._entry.pools import routing
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.pool_state import Pool
from shallotfold._entry.state.upstream_health import eject_stragglers


def evaluate_speed(state: EntryState, pool: Pool, now_s: float) -> None:
    """Eject slow upstreams of a pool and adapt concurrency limits."""
    upstreams = state.pools.catalog.upstreams_by_pool.get(pool.name, ())
    sampled = []
    for upstream in upstreams:
        health = routing.health_of(state, upstream.name)
        if health.update_gap():
            sampled.append(upstream)
    healths = [routing.health_of(state, u.name) for u in upstreams]
    eject_stragglers(healths, len(upstreams), now_s)
    for upstream in upstreams:
        if routing.health_of(state, upstream.name).slow:
            _release_floors(pool, upstream.name)
    for upstream in sampled:
        health = routing.health_of(state, upstream.name)
        target_s = _gap_target_s(state, pool, upstream.name)
        running = pool.running_on(upstream.name)
        health.adapt_concurrency_limit(target_s, running, upstream.slots)


def _release_floors(pool: Pool, upstream: str) -> None:
    """Let a class use its floor slots elsewhere while an upstream is slow."""
    for key in pool.keys_by_upstream.get(upstream, ()):
        pool.running_by_attempt[key].uses_floor = False


def _gap_target_s(state: EntryState, pool: Pool, upstream: str) -> float | None:
    classes = state.configuration.current.classes_by_name
    names = {
        pool.running_by_attempt[key].class_name
        for key in pool.keys_by_upstream.get(upstream, ())
    }
    targets = [
        classes[name].targets.between_tokens_s
        for name in names
        if name in classes
    ]
    return min((t for t in targets if t is not None), default=None)
