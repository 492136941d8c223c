"""Handle a caller's request from its arrival to its final answer."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.requests import admission
from shallotfold._entry.requests import attempts
from shallotfold._entry.requests import grant_requests
from shallotfold._entry.requests import idempotency_claims
from shallotfold._entry.requests import latest_start
from shallotfold._entry.requests import termination
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._entry.state.open_requests import Phase
from shallotfold._entry.usage import usage
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode

RETRY_AFTER_S = 1.0
CLAIM_PHASE_TIMEOUT_S = 5.0


def on_arrival(
    state: EntryState, event: events.RequestArrived
) -> list[effects.Effect]:
    """Admit a request and request a grant, or refuse it at once."""
    request = event.request
    if request.request_id in state.requests.open_by_id:
        return []
    admitted = admission.admit(state, request, event.now_s)
    if not isinstance(admitted, Refusal):
        admitted = (
            admission.refuse_held(state, request, event.now_s) or admitted
        )
    if isinstance(admitted, Refusal):
        return termination.refusal_effects(request.request_id, admitted)
    open_request = OpenRequest(
        request=request,
        workspace=admitted.workspace,
        class_name=admitted.class_name,
        pool=admitted.pool,
        charged_tokens=admitted.charged_tokens,
        arrived_s=event.now_s,
        arrived_wall_s=event.wall_s,
    )
    state.requests.open_by_id[request.request_id] = open_request
    state.requests.retry_budget.on_request()
    explanation = effects.RecordExplanation(
        request_id=request.request_id,
        step="admitted",
        detail=f"class {open_request.class_name}, pool {open_request.pool}",
    )
    return [
        explanation,
        *idempotency_claims.claim_or_request_grant(
            state, open_request, event.now_s
        ),
    ]


def on_tokens(
    state: EntryState, event: events.TokensForwarded
) -> list[effects.Effect]:
    """Count tokens that reached the caller."""
    open_request = state.requests.open_by_id.get(event.request_id)
    if open_request is None or not open_request.is_running(event.attempt):
        return []
    open_request.text_resumable = event.resumable
    return attempts.record_tokens(state, open_request, event.count, event.now_s)


def on_attempt_ended(
    state: EntryState, event: events.AttemptEnded
) -> list[effects.Effect]:
    """Finish the answer, retry, or refuse the request."""
    open_request = state.requests.open_by_id.get(event.request_id)
    if open_request is None or not open_request.is_running(event.attempt):
        return []
    evidence = state.requests.crash_evidence
    crash_key = admission.crash_key(open_request.request)
    if event.outcome is Outcome.RAN:
        evidence.record_answer(crash_key)
        return termination.finish(state, open_request, event)
    if event.outcome is Outcome.UNKNOWN:
        evidence.record_broken_off(
            crash_key, open_request.upstream, event.now_s
        )
    release_effects = grant_requests.release_grant(
        open_request,
        event.now_s,
        event.outcome,
        output_tokens=event.output_tokens,
        healthy=False,
        retry_after_s=event.retry_after_s,
    )
    attempts.record_failure(open_request, event.outcome)
    held_s = evidence.hold_s(crash_key, event.now_s)
    if held_s <= 0.0 and attempts.allow_retry_after_end(
        state, open_request, event
    ):
        return [*release_effects, *_retry(state, open_request, event.now_s)]
    retry_after_s = max(RETRY_AFTER_S, event.retry_after_s, held_s)
    return [
        *release_effects,
        *termination.refuse_after_failures(
            state, open_request, event.now_s, retry_after_s
        ),
    ]


def on_caller_disconnected(
    state: EntryState, event: events.CallerDisconnected
) -> list[effects.Effect]:
    """Cancel the work for a caller that disconnected."""
    open_request = state.requests.open_by_id.get(event.request_id)
    if open_request is None:
        return []
    explanation = effects.RecordExplanation(
        request_id=event.request_id, step="caller left", detail=""
    )
    return [explanation, *termination.close(state, open_request, event.now_s)]


def end_request(
    state: EntryState, request_id: str, refusal: Refusal
) -> list[effects.Effect]:
    """End an open request with a refusal and cancel its work.

    The actual outcome of the request replaces the outcome in the refusal.
    """
    open_request = state.requests.open_by_id.get(request_id)
    if open_request is None:
        return []
    now_s = max(
        open_request.arrived_s,
        open_request.grant_requested_s,
        open_request.last_token_s,
    )
    return termination.refuse(state, open_request, refusal, now_s)


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Keep owners up to date, and end or retry requests that timed out."""
    now_s = event.now_s
    _suspect_unresponsive_owners(state, now_s)
    new_effects = grant_requests.update_owners(state, now_s)
    new_effects.extend(grant_requests.announce_running(state, now_s))
    new_effects.extend(grant_requests.report_progress(state, now_s))
    for open_request in list(state.requests.open_by_id.values()):
        new_effects.extend(_check_open_request(state, open_request, now_s))
    if state.draining and _is_drained(state):
        new_effects.append(effects.ExitProcess())
    return new_effects


def on_peer_disconnected(
    state: EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Request pending grants of a lost owner from the next owner."""
    return grant_requests.update_owners(state, event.now_s)


def on_shutdown(
    state: EntryState, event: events.ShutdownRequested
) -> list[effects.Effect]:
    """Refuse new requests and let the open ones finish."""
    state.draining = True
    owner_effects = grant_requests.update_owners(state, event.now_s)
    return [effects.SetReady(ready=False), *owner_effects]


def _suspect_unresponsive_owners(state: EntryState, now_s: float) -> None:
    grant_requests.expire_suspicions(state, now_s)
    for open_request in state.requests.open_by_id.values():
        if (
            open_request.phase is Phase.WAITING
            and not open_request.owner_responded
            and now_s - open_request.grant_requested_s
            > grant_requests.OWNER_RESPONSE_TIMEOUT_S
        ):
            grant_requests.suspect_owner(state, open_request.owner, now_s)


def _is_drained(state: EntryState) -> bool:
    usage_pending = usage.has_unflushed(state)
    return not (state.requests.open_by_id or usage_pending)


def _check_open_request(
    state: EntryState, open_request: OpenRequest, now_s: float
) -> list[effects.Effect]:
    if open_request.phase is Phase.CLAIMING:
        return _check_claiming(state, open_request, now_s)
    if open_request.phase is Phase.WAITING:
        return _check_waiting(state, open_request, now_s)
    if not attempts.has_stalled(state, open_request, now_s):
        return []
    return _on_stall(state, open_request, now_s)


def _check_claiming(
    state: EntryState, open_request: OpenRequest, now_s: float
) -> list[effects.Effect]:
    if now_s - open_request.arrived_s < CLAIM_PHASE_TIMEOUT_S:
        return []
    refusal = idempotency_claims.claim_refusal(
        RefusalCode.STORE_UNAVAILABLE.name
    )
    return termination.refuse(state, open_request, refusal, now_s)


def _check_waiting(
    state: EntryState, open_request: OpenRequest, now_s: float
) -> list[effects.Effect]:
    if now_s > latest_start.latest_start_s(state, open_request) + RETRY_AFTER_S:
        refusal = Refusal(
            code=RefusalCode.TARGET_MISSED,
            message="The target can no longer be met; repeat later.",
            retry_after_s=RETRY_AFTER_S,
        )
        return termination.refuse(state, open_request, refusal, now_s)
    if grant_requests.is_resend_due(open_request, now_s):
        return grant_requests.send_grant_request(state, open_request, now_s)
    return []


def _on_stall(
    state: EntryState, open_request: OpenRequest, now_s: float
) -> list[effects.Effect]:
    stop_effects = attempts.stop(open_request, now_s, healthy=False)
    attempts.record_failure(open_request, Outcome.UNKNOWN)
    if attempts.allow_retry(state, open_request):
        return [*stop_effects, *_retry(state, open_request, now_s)]
    return [
        *stop_effects,
        *termination.refuse_after_failures(
            state, open_request, now_s, RETRY_AFTER_S
        ),
    ]


def _retry(
    state: EntryState, open_request: OpenRequest, now_s: float
) -> list[effects.Effect]:
    return [
        effects.CountMetric(name="requests.retried"),
        effects.RecordExplanation(
            request_id=open_request.request.request_id,
            step="retried",
            detail=f"upstream {open_request.upstream} failed",
        ),
        *grant_requests.request_grant(state, open_request, now_s),
    ]
