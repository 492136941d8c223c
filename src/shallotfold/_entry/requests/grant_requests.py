"""Request grants from pool owners and report running attempts to them."""

from shallotfold._entry import effects
from shallotfold._entry.pools import ownership
from shallotfold._entry.requests import latest_start
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._entry.state.open_requests import Phase
from shallotfold._model.requests import Outcome
from shallotfold._wire import grant_messages

RESEND_INTERVAL_S = 2.0
QUEUED_RESEND_INTERVAL_S = 10.0
OWNER_RESPONSE_TIMEOUT_S = 0.1
SUSPICION_DURATION_S = 3.0
PROGRESS_INTERVAL_S = 0.5
ANNOUNCE_INTERVAL_S = 5.0
MAX_SAMPLE_GAP_S = 5.0


def owner_for(state: EntryState, pool: str) -> str:
    """Return the owner of a pool, leaving out suspected hosts if possible."""
    suspected = state.requests.suspected_until_by_host
    hosts = ownership.owner_candidates(state)
    responsive = tuple(host for host in hosts if host not in suspected)
    return ownership.rendezvous(pool, responsive or hosts)


def suspect_owner(state: EntryState, host: str, now_s: float) -> None:
    """Avoid an unresponsive owner for `SUSPICION_DURATION_S`."""
    if host != state.host:
        state.requests.suspected_until_by_host[host] = (
            now_s + SUSPICION_DURATION_S
        )


def expire_suspicions(state: EntryState, now_s: float) -> None:
    """Remove suspicions that have expired."""
    suspected = state.requests.suspected_until_by_host
    for host, until_s in list(suspected.items()):
        if now_s >= until_s:
            del suspected[host]


def request_grant(
    state: EntryState, open_request: OpenRequest, now_s: float, owner: str = ""
) -> list[effects.Effect]:
    """Request a grant for a new attempt; `owner` overrides the choice."""
    open_request.attempt += 1
    open_request.phase = Phase.WAITING
    open_request.owner = owner or owner_for(state, open_request.pool)
    open_request.owner_responded = False
    return send_grant_request(state, open_request, now_s)


def send_grant_request(
    state: EntryState, open_request: OpenRequest, now_s: float
) -> list[effects.Effect]:
    """Send or resend the grant request of the current attempt."""
    request = open_request.request
    open_request.grant_requested_s = now_s
    redirects = open_request.redirects
    if open_request.owner != ownership.owner_of(state, open_request.pool):
        redirects = max(1, redirects)
    message = grant_messages.GrantRequest(
        pool=open_request.pool,
        request_id=request.request_id,
        attempt=open_request.attempt,
        class_name=open_request.class_name,
        workspace=open_request.workspace,
        prompt_tokens=request.prompt_tokens + open_request.output_tokens,
        output_tokens=max(
            0, request.max_output_tokens - open_request.output_tokens
        ),
        waited_s=now_s - open_request.arrived_s,
        prefix_digests=request.prefix_digests,
        repeatable=request.idempotent,
        avoid=open_request.avoid,
        slack_s=latest_start.latest_start_s(state, open_request) - now_s,
        preemptible=open_request.resumable,
        redirects=redirects,
    )
    return [effects.SendToPeer(host=open_request.owner, message=message)]


def is_resend_due(open_request: OpenRequest, now_s: float) -> bool:
    """Whether to resend, as the request or the grant may have been lost."""
    interval_s = RESEND_INTERVAL_S
    if open_request.owner_responded:
        interval_s = QUEUED_RESEND_INTERVAL_S
    return now_s - open_request.grant_requested_s > interval_s


def cancel_grant_request(open_request: OpenRequest) -> list[effects.Effect]:
    """Cancel a grant request that is queued at its owner."""
    message = grant_messages.GrantCancelled(
        request_id=open_request.request.request_id, attempt=open_request.attempt
    )
    return [effects.SendToPeer(host=open_request.owner, message=message)]


def release_grant(
    open_request: OpenRequest,
    now_s: float,
    outcome: Outcome,
    *,
    output_tokens: int = 0,
    healthy: bool = True,
    retry_after_s: float = -1.0,
) -> list[effects.Effect]:
    """Report the end of the running attempt to the owner."""
    first_s = -1.0
    if open_request.first_token_s >= open_request.started_s:
        first_s = open_request.first_token_s - open_request.started_s
    message = grant_messages.GrantReleased(
        request_id=open_request.request.request_id,
        attempt=open_request.attempt,
        outcome=outcome,
        output_tokens=max(
            output_tokens,
            open_request.output_tokens - open_request.tokens_before_attempt,
        ),
        first_token_s=first_s,
        duration_s=now_s - open_request.started_s,
        healthy=healthy,
        retry_after_s=retry_after_s,
    )
    return [effects.SendToPeer(host=open_request.owner, message=message)]


def return_unused_grant(
    host: str, grant: grant_messages.Grant
) -> list[effects.Effect]:
    """Return a grant that arrived too late to be used."""
    message = grant_messages.GrantReleased(
        request_id=grant.request_id,
        attempt=grant.attempt,
        outcome=Outcome.NOT_RUN,
        output_tokens=0,
        first_token_s=-1.0,
        duration_s=0.0,
    )
    return [effects.SendToPeer(host=host, message=message)]


def update_owners(state: EntryState, now_s: float) -> list[effects.Effect]:
    """Switch to the new owner of each pool whose owner has changed."""
    requests = state.requests
    new_effects: list[effects.Effect] = []
    owners = {
        pool: owner_for(state, pool)
        for pool in {
            open_request.pool for open_request in requests.open_by_id.values()
        }
    }
    for pool, owner in owners.items():
        if requests.owners_by_pool.get(pool) != owner:
            new_effects.extend(_switch_owner(state, pool, owner, now_s))
    requests.owners_by_pool = owners
    return new_effects


def _switch_owner(
    state: EntryState, pool: str, owner: str, now_s: float
) -> list[effects.Effect]:
    new_effects: list[effects.Effect] = []
    for open_request in state.requests.open_by_id.values():
        if open_request.pool != pool or open_request.owner in ("", owner):
            continue
        if open_request.phase is Phase.RUNNING:
            open_request.owner = owner
        elif open_request.phase is Phase.WAITING and not open_request.redirects:
            new_effects.extend(cancel_grant_request(open_request))
            new_effects.extend(request_grant(state, open_request, now_s))
    return [_running_announcement(state, pool, owner), *new_effects]


def announce_running(state: EntryState, now_s: float) -> list[effects.Effect]:
    """Announce running attempts again, in case a message was lost."""
    if now_s - state.requests.announced_s < ANNOUNCE_INTERVAL_S:
        return []
    requests = state.requests
    requests.announced_s = now_s
    in_use = {
        (open_request.pool, open_request.owner)
        for open_request in requests.open_by_id.values()
        if open_request.phase is Phase.RUNNING
    }
    targets = in_use | requests.announced_pool_owners
    requests.announced_pool_owners = in_use
    return [
        _running_announcement(state, pool, owner)
        for pool, owner in sorted(targets)
    ]


def _running_announcement(
    state: EntryState, pool: str, owner: str
) -> effects.SendToPeer:
    attempts = tuple(
        grant_messages.RunningAttempt(
            request_id=open_request.request.request_id,
            attempt=open_request.attempt,
            class_name=open_request.class_name,
            workspace=open_request.workspace,
            upstream=open_request.upstream,
            output_tokens=open_request.output_tokens,
            preemptible=open_request.resumable,
        )
        for open_request in state.requests.open_by_id.values()
        if open_request.phase is Phase.RUNNING
        and open_request.pool == pool
        and open_request.owner == owner
    )
    message = grant_messages.RunningAnnounced(pool=pool, attempts=attempts)
    return effects.SendToPeer(host=owner, message=message)


def record_progress_sample(
    state: EntryState, open_request: OpenRequest, tokens: int, now_s: float
) -> None:
    """Record how long the newest tokens of a running attempt took."""
    if open_request.last_token_s < open_request.started_s:
        return
    key = (open_request.pool, open_request.upstream)
    previous = state.requests.samples_by_upstream.get(key, (0, 0.0))
    busy_s = min(MAX_SAMPLE_GAP_S, now_s - open_request.last_token_s)
    state.requests.samples_by_upstream[key] = (
        previous[0] + tokens,
        previous[1] + busy_s,
    )


def report_progress(state: EntryState, now_s: float) -> list[effects.Effect]:
    """Send the progress samples to the owners."""
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
