"""Preempt running attempts for higher tiers or for healthier upstreams."""

from collections.abc import Iterable

from shallotfold._entry import effects
from shallotfold._entry.pools import floors
from shallotfold._entry.pools import routing
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.pool_queue import AttemptKey
from shallotfold._entry.state.pool_queue import QueuedRequest
from shallotfold._entry.state.pool_state import Pool
from shallotfold._entry.state.pool_state import RunningGrant
from shallotfold._entry.state.upstream_health import SILENCE_TIMEOUT_S
from shallotfold._wire import grant_messages

PREEMPTION_LEAD_S = 0.2
PREEMPTION_RETRY_S = 1.0
PREEMPTION_GRACE_S = 0.25


def preempt_for(
    state: EntryState,
    pool: Pool,
    waiting: Iterable[QueuedRequest],
    now_s: float,
) -> list[effects.Effect]:
    """Preempt lower tiers for requests that must start soon."""
    urgent = sorted(
        (w for w in waiting if w.expires_s - now_s <= PREEMPTION_LEAD_S),
        key=lambda w: (w.tier, w.expires_s),
    )
    if not urgent:
        return []
    victims = _victims(state, pool, urgent[0].tier, now_s)
    needed = len(urgent) - pending_slots(state, pool, now_s)
    new_effects: list[effects.Effect] = []
    for request in urgent[: max(0, needed)]:
        if not victims or victims[-1][1].tier <= request.tier:
            break
        key, victim = victims.pop()
        new_effects.extend(preempt(key, victim, now_s))
        request_class = state.configuration.current.classes_by_name.get(
            victim.class_name
        )
        if request_class is not None:
            pool.floor_credit_by_class[victim.class_name] = victim.cost
    return new_effects


def preempt(
    key: AttemptKey, victim: RunningGrant, now_s: float
) -> list[effects.Effect]:
    """Ask an entry to cancel an attempt and request a new grant for it."""
    victim.preemption_requested_s = now_s
    message = grant_messages.GrantPreempted(request_id=key[0], attempt=key[1])
    return [
        effects.CountMetric(name="grants.preempted"),
        effects.RecordExplanation(
            request_id=key[0],
            step="preempted",
            detail=f"attempt {key[1]} on {victim.upstream}",
        ),
        effects.SendToPeer(host=victim.host, message=message),
    ]


def pending_slots(state: EntryState, pool: Pool, now_s: float) -> int:
    """Return how many usable slots are being freed by preemption."""
    usable = _usable_upstreams(state, pool, now_s)
    return sum(
        running.preemption_requested_s >= 0.0
        and now_s - running.preemption_requested_s < PREEMPTION_RETRY_S
        and running.upstream in usable
        for running in pool.running_by_attempt.values()
    )


def _usable_upstreams(state: EntryState, pool: Pool, now_s: float) -> set[str]:
    """Return the upstreams whose slots an urgent request could use."""
    accepting = {
        upstream.name
        for upstream in state.pools.catalog.upstreams_by_pool.get(pool.name, ())
        if routing.limit_of(state, upstream, now_s)
    }
    not_probing = {
        name for name in accepting if not routing.health_of(state, name).probing
    }
    return not_probing or accepting


def move_from_unhealthy_upstreams(
    state: EntryState, pool: Pool, now_s: float
) -> list[effects.Effect]:
    """Move attempts away from silent upstreams, and from slow ones if possible.

    Attempts on a silent upstream make no progress, so they are queued again at
    once; those on a slow one stay until slots are free elsewhere.
    """
    new_effects: list[effects.Effect] = []
    for upstream in state.pools.catalog.upstreams_by_pool.get(pool.name, ()):
        if routing.health_of(state, upstream.name).is_silent(now_s):
            new_effects.extend(
                _move_from_silent(state, pool, upstream.name, now_s)
            )
    return [*new_effects, *_move_from_stragglers(state, pool, now_s)]


def _move_from_silent(
    state: EntryState, pool: Pool, upstream: str, now_s: float
) -> list[effects.Effect]:
    """Move attempts off a silent upstream, if they had time to progress."""
    new_effects: list[effects.Effect] = []
    for key in sorted(pool.keys_by_upstream.get(upstream, ())):
        running = pool.running_by_attempt[key]
        had_time = now_s - running.granted_s > SILENCE_TIMEOUT_S
        if not had_time or not running.preemptible:
            continue
        if now_s - running.preemption_requested_s > PREEMPTION_RETRY_S:
            new_effects.extend(preempt(key, running, now_s))
    health = routing.health_of(state, upstream)
    if new_effects and now_s >= health.ejected_until_s:
        health.eject(now_s)
    return new_effects


def _move_from_stragglers(
    state: EntryState, pool: Pool, now_s: float
) -> list[effects.Effect]:
    catalog = state.pools.catalog
    slow = [
        upstream.name
        for upstream in catalog.upstreams_by_pool.get(pool.name, ())
        if routing.health_of(state, upstream.name).slow
    ]
    if not slow:
        return []
    spare_slots = sum(
        candidate.limit - candidate.used
        for candidate in routing.free_upstreams(state, pool, now_s)
        if not candidate.health.slow
    )
    spare_slots -= len(pool.queue.waiting_by_attempt) + pending_slots(
        state, pool, now_s
    )
    movable = sorted(
        (running.tier, key)
        for name in slow
        for key in pool.keys_by_upstream.get(name, ())
        for running in (pool.running_by_attempt[key],)
        if running.preemptible
        and running.preemption_requested_s < 0.0
        and not _is_probe(state, pool, running)
    )
    new_effects: list[effects.Effect] = []
    for _, key in movable[: max(0, spare_slots)]:
        new_effects.extend(preempt(key, pool.running_by_attempt[key], now_s))
    return new_effects


def _is_probe(state: EntryState, pool: Pool, running: RunningGrant) -> bool:
    health = routing.health_of(state, running.upstream)
    return running.granted_s >= health.ejected_until_s


def _victims(
    state: EntryState, pool: Pool, tier: int, now_s: float
) -> list[tuple[AttemptKey, RunningGrant]]:
    """Return attempts below `tier`, the first to preempt at the end."""
    usable = _usable_upstreams(state, pool, now_s)
    lower_tier = [
        (key, running)
        for key, running in pool.running_by_attempt.items()
        if running.tier > tier
        and running.preemptible
        and not running.uses_floor
        and running.upstream in usable
        and (
            running.preemption_requested_s < 0.0
            or now_s - running.preemption_requested_s > PREEMPTION_RETRY_S
        )
    ]
    lower_tier.sort(key=lambda item: (item[1].tier, item[1].granted_s, item[0]))
    _assign_floors(state, pool, lower_tier, now_s)
    return [item for item in lower_tier if not item[1].uses_floor]


def _assign_floors(
    state: EntryState,
    pool: Pool,
    lower_tier: list[tuple[AttemptKey, RunningGrant]],
    now_s: float,
) -> None:
    """Let the oldest attempts of a class use its free floor slots."""
    for _, running in lower_tier:
        if floors.free_floor_slots(state, pool, running.class_name, now_s) > 0:
            running.uses_floor = True
            floors.spend_credit(pool, running.class_name, running.cost)
