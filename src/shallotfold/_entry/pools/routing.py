"""Choose the upstream for a granted request."""

import attrs

from shallotfold._entry.pools import ownership
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.pool_queue import QueuedRequest
from shallotfold._entry.state.pool_state import Pool
from shallotfold._entry.state.upstream_health import UpstreamHealth
from shallotfold._model.configuration import Upstream

LOW_LOAD_RATIO = 0.7
PRICE_WEIGHT = 0.5
PROBE_PENALTY_S = 0.5


@attrs.frozen(kw_only=True)
class Candidate:
    """An upstream with a free slot.

    Attributes:
        upstream: The upstream.
        health: Its health.
        used: Requests that it runs.
        limit: Concurrent requests that it may run.
    """

    upstream: Upstream
    health: UpstreamHealth
    used: int
    limit: int


def health_of(state: EntryState, upstream: str) -> UpstreamHealth:
    """Return the health of an upstream, creating it if missing."""
    healths = state.pools.health_by_upstream
    health = healths.get(upstream)
    if health is None:
        health = healths[upstream] = UpstreamHealth()
    return health


def limit_of(state: EntryState, upstream: Upstream, now_s: float) -> int:
    """Return how many requests an upstream may run for this owner."""
    if upstream.name in state.pools.catalog.leaving:
        return 0
    limit = health_of(state, upstream.name).limit(upstream.slots, now_s)
    share = ownership.slot_share(state)
    return max(1, int(limit * share)) if limit else 0


def free_upstreams(
    state: EntryState, pool: Pool, now_s: float
) -> list[Candidate]:
    """Return the upstreams of a pool that have a free slot."""
    candidates = []
    for upstream in state.pools.catalog.upstreams_by_pool.get(pool.name, ()):
        limit = limit_of(state, upstream, now_s)
        health = health_of(state, upstream.name)
        queued = health.load.queued if health.load is not None else 0
        used = pool.running_on(upstream.name)
        if used + queued < limit or (queued and not used and limit):
            candidates.append(
                Candidate(
                    upstream=upstream, health=health, used=used, limit=limit
                )
            )
    return candidates


def choose(
    state: EntryState,
    pool: Pool,
    candidates: list[Candidate],
    waiting: QueuedRequest,
    now_s: float,
) -> Upstream | None:
    """Return the best free upstream for a request, if one is eligible.

    Requests that must start soon don't probe an upstream, unless every usable
    upstream of the pool is being probed.
    """
    request = waiting.request
    eligible = [c for c in candidates if c.upstream.name not in request.avoid]
    if not _all_probing(state, pool, now_s):
        slack_s = waiting.expires_s - now_s
        eligible = [
            c
            for c in eligible
            if not c.health.probing or c.health.may_probe(slack_s, now_s)
        ]
    if not eligible:
        return None
    if not request.repeatable:
        return min(eligible, key=_risk_key).upstream
    if not eligible[0].upstream.model:
        return min(eligible, key=_occupancy_key).upstream
    low_load = _utilization(eligible) < LOW_LOAD_RATIO
    highest_price = max(c.upstream.price_per_hour for c in eligible) or 1.0

    def score(candidate: Candidate) -> tuple[float, str]:
        seconds = _estimate_answer_s(state, pool, candidate, waiting)
        if low_load:
            price = candidate.upstream.price_per_hour / highest_price
            seconds *= 1.0 + PRICE_WEIGHT * price
        return seconds, candidate.upstream.name

    return min(eligible, key=score).upstream


def _all_probing(state: EntryState, pool: Pool, now_s: float) -> bool:
    upstreams = state.pools.catalog.upstreams_by_pool.get(pool.name, ())
    return all(
        health_of(state, upstream.name).probing
        or not limit_of(state, upstream, now_s)
        for upstream in upstreams
    )


def _estimate_answer_s(
    state: EntryState, pool: Pool, candidate: Candidate, waiting: QueuedRequest
) -> float:
    """Estimate the time until the complete answer, in seconds."""
    upstream = candidate.upstream
    request = waiting.request
    uncached_share = 1.0 - state.pools.prefixes.hit_ratio(
        upstream.name, request.prefix_digests
    )
    prefill_s = pool.estimates.first_token_s(
        int(request.prompt_tokens * uncached_share)
    )
    gap_s = candidate.health.gap_s
    if gap_s < 0.0:
        gap_s = upstream.slots / upstream.tokens_per_s
    concurrency_factor = 0.5 + 0.5 * (candidate.used + 1) / upstream.slots
    output = max(1.0, waiting.cost)
    penalty_s = PROBE_PENALTY_S if candidate.health.probing else 0.0
    return prefill_s + output * gap_s * concurrency_factor + penalty_s


def _risk_key(candidate: Candidate) -> tuple[bool, int, float, str]:
    return (
        candidate.upstream.reclaimable,
        candidate.health.failures + candidate.health.probing,
        candidate.used / candidate.limit,
        candidate.upstream.name,
    )


def _occupancy_key(candidate: Candidate) -> tuple[bool, float, str]:
    return (
        candidate.health.probing,
        candidate.used / candidate.limit,
        candidate.upstream.name,
    )


def _utilization(candidates: list[Candidate]) -> float:
    used = sum(candidate.used for candidate in candidates)
    return used / sum(candidate.limit for candidate in candidates)
