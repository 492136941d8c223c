"""Alternative ways to share upstreams, for comparison with pool owners."""

from unittest import mock
import zlib

from shallotfold._entry.pools import ownership
from shallotfold._entry.pools import routing
from shallotfold._entry.requests import grant_requests
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.pool_queue import QueuedRequest
from shallotfold._entry.state.pool_state import Pool
from shallotfold._model.configuration import Upstream

VARIANTS = ("owner", "two_choices", "slot_shares")
ENTRY_COUNT = 8


def apply(variant: str) -> None:
    """Patch this process to use a variant; `owner` patches nothing."""
    if variant == "owner":
        return
    for module, name in (
        (grant_requests, "owner_for"),
        (ownership, "owner_of"),
    ):
        mock.patch.object(module, name, _local_owner).start()
    if variant == "slot_shares":
        mock.patch.object(ownership, "slot_share", _equal_share).start()
    if variant == "two_choices":
        mock.patch.object(
            routing, "free_upstreams", _free_by_reported_load
        ).start()
        mock.patch.object(routing, "choose", _choose_less_loaded_of_two).start()


def _local_owner(state: EntryState, name: str) -> str:
    del name
    return state.host


def _equal_share(state: EntryState) -> float:
    del state
    return 1.0 / ENTRY_COUNT


def _free_by_reported_load(
    state: EntryState, pool: Pool, now_s: float
) -> list[routing.Candidate]:
    free = []
    for upstream in state.pools.catalog.upstreams_by_pool.get(pool.name, ()):
        limit = routing.limit_of(state, upstream, now_s)
        health = routing.health_of(state, upstream.name)
        used = pool.running_on(upstream.name)
        if health.load is not None:
            used = max(used, health.load.running + health.load.queued)
        if used < limit:
            free.append(
                routing.Candidate(
                    upstream=upstream, health=health, used=used, limit=limit
                )
            )
    return free


def _choose_less_loaded_of_two(
    state: EntryState,
    pool: Pool,
    free: list[routing.Candidate],
    queued: QueuedRequest,
    now_s: float,
) -> Upstream | None:
    del state, pool, now_s
    eligible = [c for c in free if c.upstream.name not in queued.request.avoid]
    if not eligible:
        return None
    sample_hash = zlib.crc32(repr(queued.key).encode())
    first = eligible[sample_hash % len(eligible)]
    second = eligible[sample_hash // 7919 % len(eligible)]
    return min(first, second, key=lambda c: c.used / c.limit).upstream
