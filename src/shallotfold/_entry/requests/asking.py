"""Ask the owners of pools for grants and keep them informed."""

from shallotfold._entry import effects
from shallotfold._entry.pools import ownership
from shallotfold._entry.requests import latest_start
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._entry.state.open_requests import Phase
from shallotfold._model.requests import Outcome
from shallotfold._wire import grant_messages

REPEAT_INTERVAL_S = 2.0
QUEUED_REPEAT_INTERVAL_S = 10.0
OWNER_SILENCE_S = 0.1
SUSPICION_S = 3.0
PROGRESS_INTERVAL_S = 0.5
ANNOUNCE_INTERVAL_S = 5.0
MAX_SAMPLE_GAP_S = 5.0


def owner_for(state: EntryState, pool: str) -> str:
    """Return the owner to ask, which is none that lately gave no answer."""
    suspected = state.requests.suspected_until_by_host
    hosts = ownership.candidates(state)
    trusted = tuple(host for host in hosts if host not in suspected)
    return ownership.rendezvous(pool, trusted or hosts)


def suspect(state: EntryState, host: str, now_s: float) -> None:
    """Pass over an owner that gave no answer for a while."""
    if host != state.host:
        state.requests.suspected_until_by_host[host] = now_s + SUSPICION_S


def trust_again(state: EntryState, now_s: float) -> None:
    """End suspicions that are old enough."""
    suspected = state.requests.suspected_until_by_host
    for host, until_s in list(suspected.items()):
        if now_s >= until_s:
            del suspected[host]


def ask(
    state: EntryState, opened: OpenRequest, now_s: float, owner: str = ""
) -> list[effects.Effect]:
    """Ask for a grant of a new attempt; `owner` overrides the choice."""
    opened.attempt += 1
    opened.phase = Phase.WAITING
    opened.owner = owner or owner_for(state, opened.pool)
    opened.owner_responded = False
    return repeat(state, opened, now_s)


def repeat(
    state: EntryState, opened: OpenRequest, now_s: float
) -> list[effects.Effect]:
    """Ask the same owner for the same attempt, also once more."""
    request = opened.request
    opened.grant_requested_s = now_s
    redirects = opened.redirects
    if opened.owner != ownership.owner_of(state, opened.pool):
        redirects = max(1, redirects)
    message = grant_messages.GrantRequest(
        pool=opened.pool,
        request_id=request.request_id,
        attempt=opened.attempt,
        class_name=opened.class_name,
        workspace=opened.workspace,
        prompt_tokens=request.prompt_tokens + opened.output_tokens,
        output_tokens=max(0, request.max_output_tokens - opened.output_tokens),
        waited_s=now_s - opened.arrived_s,
        prefix_digests=request.prefix_digests,
        repeatable=request.idempotent,
        avoid=opened.avoid,
        slack_s=latest_start.latest_start_s(state, opened) - now_s,
        preemptible=opened.resumable,
        redirects=redirects,
    )
    return [effects.SendToPeer(host=opened.owner, message=message)]


def repeat_due(opened: OpenRequest, now_s: float) -> bool:
    """Whether a grant may have been lost on its way."""
    interval_s = REPEAT_INTERVAL_S
    if opened.owner_responded:
        interval_s = QUEUED_REPEAT_INTERVAL_S
    return now_s - opened.grant_requested_s > interval_s


def withdraw(opened: OpenRequest) -> list[effects.Effect]:
    """Withdraw a grant request that waits at its owner."""
    message = grant_messages.GrantCancelled(
        request_id=opened.request.request_id, attempt=opened.attempt
    )
    return [effects.SendToPeer(host=opened.owner, message=message)]


def release(
    opened: OpenRequest,
    now_s: float,
    outcome: Outcome,
    *,
    output_tokens: int = 0,
    healthy: bool = True,
    retry_after_s: float = -1.0,
) -> list[effects.Effect]:
    """Tell the owner that the running attempt has ended."""
    first_s = -1.0
    if opened.first_token_s >= opened.started_s:
        first_s = opened.first_token_s - opened.started_s
    message = grant_messages.GrantReleased(
        request_id=opened.request.request_id,
        attempt=opened.attempt,
        outcome=outcome,
        output_tokens=max(
            output_tokens, opened.output_tokens - opened.tokens_before_attempt
        ),
        first_token_s=first_s,
        duration_s=now_s - opened.started_s,
        healthy=healthy,
        retry_after_s=retry_after_s,
    )
    return [effects.SendToPeer(host=opened.owner, message=message)]


def return_grant(
    host: str, grant: grant_messages.Grant
) -> list[effects.Effect]:
    """Give back a grant that came too late to be used."""
    message = grant_messages.GrantReleased(
        request_id=grant.request_id,
        attempt=grant.attempt,
        outcome=Outcome.NOT_RUN,
        output_tokens=0,
        first_token_s=-1.0,
        duration_s=0.0,
    )
    return [effects.SendToPeer(host=host, message=message)]


def follow_owners(state: EntryState, now_s: float) -> list[effects.Effect]:
    """Turn to new owners when the set of live entries has changed."""
    requests = state.requests
    sent: list[effects.Effect] = []
    owners = {
        pool: owner_for(state, pool)
        for pool in {opened.pool for opened in requests.open_by_id.values()}
    }
    for pool, owner in owners.items():
        if requests.owners_by_pool.get(pool) != owner:
            sent.extend(_turn_to(state, pool, owner, now_s))
    requests.owners_by_pool = owners
    return sent


def _turn_to(
    state: EntryState, pool: str, owner: str, now_s: float
) -> list[effects.Effect]:
    sent: list[effects.Effect] = []
    for opened in state.requests.open_by_id.values():
        if opened.pool != pool or opened.owner in ("", owner):
            continue
        if opened.phase is Phase.RUNNING:
            opened.owner = owner
        elif opened.phase is Phase.WAITING and not opened.redirects:
            sent.extend(withdraw(opened))
            sent.extend(ask(state, opened, now_s))
    return [_announcement(state, pool, owner), *sent]


def announce(state: EntryState, now_s: float) -> list[effects.Effect]:
    """Repeat what runs to the owners, so that lost messages don't matter."""
    if now_s - state.requests.announced_s < ANNOUNCE_INTERVAL_S:
        return []
    requests = state.requests
    requests.announced_s = now_s
    in_use = {
        (opened.pool, opened.owner)
        for opened in requests.open_by_id.values()
        if opened.phase is Phase.RUNNING
    }
    targets = in_use | requests.announced_pool_owners
    requests.announced_pool_owners = in_use
    return [
        _announcement(state, pool, owner) for pool, owner in sorted(targets)
    ]


def _announcement(
    state: EntryState, pool: str, owner: str
) -> effects.SendToPeer:
    attempts = tuple(
        grant_messages.RunningAttempt(
            request_id=opened.request.request_id,
            attempt=opened.attempt,
            class_name=opened.class_name,
            workspace=opened.workspace,
            upstream=opened.upstream,
            output_tokens=opened.output_tokens,
            preemptible=opened.resumable,
        )
        for opened in state.requests.open_by_id.values()
        if opened.phase is Phase.RUNNING
        and opened.pool == pool
        and opened.owner == owner
    )
    message = grant_messages.RunningAnnounced(pool=pool, attempts=attempts)
    return effects.SendToPeer(host=owner, message=message)


def sample_progress(
    state: EntryState, opened: OpenRequest, tokens: int, now_s: float
) -> None:
    """Note how long the newest tokens of a running attempt took."""
    if opened.last_token_s < opened.started_s:
        return
    key = (opened.pool, opened.upstream)
    old = state.requests.samples_by_upstream.get(key, (0, 0.0))
    busy_s = min(MAX_SAMPLE_GAP_S, now_s - opened.last_token_s)
    state.requests.samples_by_upstream[key] = (old[0] + tokens, old[1] + busy_s)


def report_progress(state: EntryState, now_s: float) -> list[effects.Effect]:
    """Send the samples to the owners."""
    requests = state.requests
    if now_s - requests.progress_reported_s < PROGRESS_INTERVAL_S:
        return []
    requests.progress_reported_s = now_s
    samples_by_pool: dict[str, list[grant_messages.UpstreamSample]] = {}
    for (pool, upstream), (tokens, busy_s) in sorted(
        requests.samples_by_upstream.items()
    ):
        sample = grant_messages.UpstreamSample(
            upstream=upstream, tokens=tokens, busy_s=busy_s
        )
        samples_by_pool.setdefault(pool, []).append(sample)
    requests.samples_by_upstream.clear()
    return [
        effects.SendToPeer(
            host=owner_for(state, pool),
            message=grant_messages.ProgressReported(
                pool=pool, samples=tuple(samples)
            ),
        )
        for pool, samples in samples_by_pool.items()
    ]
