"""Choose running attempts to cancel for higher tiers or faster upstreams."""

from collections.abc import Iterable

from shallotfold._entry import effects
from shallotfold._entry.pools import floors
from shallotfold._entry.pools import routing
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.pool_queue import AttemptKey
from shallotfold._entry.state.pool_queue import QueuedGrant
from shallotfold._entry.state.pool_state import Pool
from shallotfold._entry.state.pool_state import RunningGrant
from shallotfold._entry.state.upstream_health import SILENCE_TIMEOUT_S
from shallotfold._wire import grant_messages

LEAD_S = 0.2
REPEAT_S = 1.0
GRACE_S = 0.25


def preempt_for(
    state: EntryState,
    pool: Pool,
    waiting: Iterable[QueuedGrant],
    now_s: float,
) -> list[effects.Effect]:
    """Ask entries to cancel lower tiers for requests that must start soon."""
    urgent = sorted(
        (w for w in waiting if w.expires_s - now_s <= LEAD_S),
        key=lambda w: (w.tier, w.expires_s),
    )
    if not urgent:
        return []
    victims = _victims(state, pool, urgent[0].tier, now_s)
    needed = len(urgent) - pending(state, pool, now_s)
    sent: list[effects.Effect] = []
    for request in urgent[: max(0, needed)]:
        if not victims or victims[-1][1].tier <= request.tier:
            break
        key, victim = victims.pop()
        sent.extend(preempt(key, victim, now_s))
        typical = state.configuration.current.classes_by_name.get(
            victim.class_name
        )
        if typical is not None:
            pool.floor_credit_by_class[victim.class_name] = victim.cost
    return sent


def preempt(
    key: AttemptKey, victim: RunningGrant, now_s: float
) -> list[effects.Effect]:
    """Ask an entry to cancel one attempt and to ask again."""
    victim.preempted_s = now_s
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


def pending(state: EntryState, pool: Pool, now_s: float) -> int:
    """Return how many usable slots are about to become free by preemption."""
    usable = _usable(state, pool, now_s)
    return sum(
        running.preempted_s >= 0.0
        and now_s - running.preempted_s < REPEAT_S
        and running.upstream in usable
        for running in pool.running_by_attempt.values()
    )


def _usable(state: EntryState, pool: Pool, now_s: float) -> set[str]:
    """Return the upstreams whose slots an urgent request could use."""
    taking = {
        upstream.name
        for upstream in state.pools.catalog.upstreams_by_pool.get(pool.name, ())
        if routing.limit_of(state, upstream, now_s)
    }
    trusted = {
        name for name in taking if not routing.health_of(state, name).probing
    }
    return trusted or taking


def move_from_bad_upstreams(
    state: EntryState, pool: Pool, now_s: float
) -> list[effects.Effect]:
    """Move attempts away from silent upstreams, and from slow ones if possible.

    A silent upstream does nothing for its attempts, so they wait again; those
    of a slow one stay until slots are free elsewhere.
    """
    done: list[effects.Effect] = []
    for upstream in state.pools.catalog.upstreams_by_pool.get(pool.name, ()):
        if routing.health_of(state, upstream.name).is_silent(now_s):
            done.extend(_leave(state, pool, upstream.name, now_s))
    return [*done, *_move_from_stragglers(state, pool, now_s)]


def _leave(
    state: EntryState, pool: Pool, upstream: str, now_s: float
) -> list[effects.Effect]:
    """Move what had time to show progress on a silent upstream."""
    sent: list[effects.Effect] = []
    for key in sorted(pool.keys_by_upstream.get(upstream, ())):
        running = pool.running_by_attempt[key]
        tried = now_s - running.granted_s > SILENCE_TIMEOUT_S
        if not tried or not running.preemptible:
            continue
        if now_s - running.preempted_s > REPEAT_S:
            sent.extend(preempt(key, running, now_s))
    health = routing.health_of(state, upstream)
    if sent and now_s >= health.ejected_until_s:
        health.eject(now_s)
    return sent


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
    room = sum(
        candidate.limit - candidate.used
        for candidate in routing.free_upstreams(state, pool, now_s)
        if not candidate.health.slow
    )
    room -= len(pool.queue.waiting_by_attempt) + pending(state, pool, now_s)
    movable = sorted(
        (running.tier, key)
        for name in slow
        for key in pool.keys_by_upstream.get(name, ())
        for running in (pool.running_by_attempt[key],)
        if running.preemptible
        and running.preempted_s < 0.0
        and not _probes(state, pool, running)
    )
    sent: list[effects.Effect] = []
    for _, key in movable[: max(0, room)]:
        sent.extend(preempt(key, pool.running_by_attempt[key], now_s))
    return sent


def _probes(state: EntryState, pool: Pool, running: RunningGrant) -> bool:
    health = routing.health_of(state, running.upstream)
    return running.granted_s >= health.ejected_until_s


def _victims(
    state: EntryState, pool: Pool, tier: int, now_s: float
) -> list[tuple[AttemptKey, RunningGrant]]:
    """Return attempts below `tier`, the one to cancel first at the end."""
    usable = _usable(state, pool, now_s)
    lower = [
        (key, running)
        for key, running in pool.running_by_attempt.items()
        if running.tier > tier
        and running.preemptible
        and not running.floor
        and running.upstream in usable
        and (
            running.preempted_s < 0.0 or now_s - running.preempted_s > REPEAT_S
        )
    ]
    lower.sort(key=lambda item: (item[1].tier, item[1].granted_s, item[0]))
    _keep_floors(state, pool, lower, now_s)
    return [item for item in lower if not item[1].floor]


def _keep_floors(
    state: EntryState,
    pool: Pool,
    lower: list[tuple[AttemptKey, RunningGrant]],
    now_s: float,
) -> None:
    """Count the oldest attempt of a class as its floor where one is free."""
    for _, running in lower:
        if floors.free_slots(state, pool, running.class_name, now_s) > 0:
            running.floor = True
            floors.spend(pool, running.class_name, running.cost)
