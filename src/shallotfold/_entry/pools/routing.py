"""Choose the upstream for a granted request."""

import attrs

from shallotfold._entry.pools import ownership
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.pool_queue import QueuedRequest
from shallotfold._entry.state.pool_state import Pool
from shallotfold._entry.state.upstream_health import UpstreamHealth
from shallotfold._model.configuration import Upstream

HARMLESS_LOAD = 0.7
PRICE_WEIGHT = 0.5
UNPROBED_PENALTY_S = 0.5


@attrs.frozen(kw_only=True)
class Candidate:
    """An upstream with a free slot.

    Attributes:
        upstream: The upstream.
        health: Its judgement.
        used: Requests that it runs.
        limit: Requests that it may run at once.
    """

    upstream: Upstream
    health: UpstreamHealth
    used: int
    limit: int


def health_of(state: EntryState, upstream: str) -> UpstreamHealth:
    """Return the judgement of an upstream."""
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
    share = ownership.share(state)
    return max(1, int(limit * share)) if limit else 0


def free_upstreams(
    state: EntryState, pool: Pool, now_s: float
) -> list[Candidate]:
    """Return the upstreams of a pool that have a free slot."""
    free = []
    for upstream in state.pools.catalog.upstreams_by_pool.get(pool.name, ()):
        limit = limit_of(state, upstream, now_s)
        health = health_of(state, upstream.name)
        queued = health.load.queued if health.load is not None else 0
        used = pool.running_on(upstream.name)
        if used + queued < limit or (queued and not used and limit):
            free.append(
                Candidate(
                    upstream=upstream, health=health, used=used, limit=limit
                )
            )
    return free


def choose(
    state: EntryState,
    pool: Pool,
    free: list[Candidate],
    waiting: QueuedRequest,
    now_s: float,
) -> Upstream | None:
    """Return the best free upstream for a request, if one is fit.

    Requests that must start soon don't test a doubtful upstream, unless the
    whole pool is doubtful.
    """
    request = waiting.request
    fit = [c for c in free if c.upstream.name not in request.avoid]
    if not _all_doubtful(state, pool, now_s):
        slack_s = waiting.expires_s - now_s
        fit = [
            c
            for c in fit
            if not c.health.probing or c.health.may_probe(slack_s, now_s)
        ]
    if not fit:
        return None
    if not request.repeatable:
        return min(fit, key=_risk).upstream
    if not fit[0].upstream.model:
        return min(fit, key=_fill).upstream
    harmless = _load(fit) < HARMLESS_LOAD
    highest = max(c.upstream.price_per_hour for c in fit) or 1.0

    def score(candidate: Candidate) -> tuple[float, str]:
        seconds = _answer_s(state, pool, candidate, waiting)
        if harmless:
            price = candidate.upstream.price_per_hour / highest
            seconds *= 1.0 + PRICE_WEIGHT * price
        return seconds, candidate.upstream.name

    return min(fit, key=score).upstream


def _all_doubtful(state: EntryState, pool: Pool, now_s: float) -> bool:
    upstreams = state.pools.catalog.upstreams_by_pool.get(pool.name, ())
    return all(
        health_of(state, upstream.name).probing
        or not limit_of(state, upstream, now_s)
        for upstream in upstreams
    )


def _answer_s(
    state: EntryState, pool: Pool, candidate: Candidate, waiting: QueuedRequest
) -> float:
    """Estimate the time until the whole answer, in seconds."""
    upstream = candidate.upstream
    request = waiting.request
    missing = 1.0 - state.pools.prefixes.hit_ratio(
        upstream.name, request.prefix_digests
    )
    prefill_s = pool.estimates.first_token_s(
        int(request.prompt_tokens * missing)
    )
    gap_s = candidate.health.gap_s
    if gap_s < 0.0:
        gap_s = upstream.slots / upstream.tokens_per_s
    crowding = 0.5 + 0.5 * (candidate.used + 1) / upstream.slots
    output = max(1.0, waiting.cost)
    penalty_s = UNPROBED_PENALTY_S if candidate.health.probing else 0.0
    return prefill_s + output * gap_s * crowding + penalty_s


def _risk(candidate: Candidate) -> tuple[bool, int, float, str]:
    return (
        candidate.upstream.reclaimable,
        candidate.health.failures + candidate.health.probing,
        candidate.used / candidate.limit,
        candidate.upstream.name,
    )


def _fill(candidate: Candidate) -> tuple[bool, float, str]:
    return (
        candidate.health.probing,
        candidate.used / candidate.limit,
        candidate.upstream.name,
    )


def _load(candidates: list[Candidate]) -> float:
    used = sum(candidate.used for candidate in candidates)
    return used / sum(candidate.limit for candidate in candidates)
