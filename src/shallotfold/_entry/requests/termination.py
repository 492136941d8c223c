"""End requests with a complete answer, a refusal, or neither."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.requests import attempts
from shallotfold._entry.requests import grant_requests
from shallotfold._entry.requests import limits
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._entry.state.open_requests import Phase
from shallotfold._entry.usage import usage
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode


def refuse_after_failures(
    state: EntryState,
    open_request: OpenRequest,
    now_s: float,
    retry_after_s: float,
) -> list[effects.Effect]:
    """Refuse a request whose attempts have failed."""
    refusal = Refusal(
        code=RefusalCode.UPSTREAM_FAILED,
        message="The upstream failed; repeat the request later.",
        retry_after_s=retry_after_s,
    )
    open_request.phase = Phase.WAITING
    return refuse(
        state, open_request, refusal, now_s, cancel_grant_request=False
    )


def refuse(
    state: EntryState,
    open_request: OpenRequest,
    refusal: Refusal,
    now_s: float,
    *,
    cancel_grant_request: bool = True,
) -> list[effects.Effect]:
    """End a request with a refusal that states its actual outcome."""
    request_id = open_request.request.request_id
    final_refusal = Refusal(
        code=refusal.code,
        message=refusal.message,
        outcome=open_request.outcome,
        retry_after_s=refusal.retry_after_s,
    )
    close_effects = close(
        state, open_request, now_s, cancel_grant_request=cancel_grant_request
    )
    return [*refusal_effects(request_id, final_refusal), *close_effects]


def refusal_effects(request_id: str, refusal: Refusal) -> list[effects.Effect]:
    """Return the effects that send and record a refusal."""
    code = refusal.code.value
    return [
        effects.RecordExplanation(
            request_id=request_id, step="refused", detail=code
        ),
        effects.CountMetric(name=f"requests.refused.{code}"),
        effects.RefuseRequest(request_id=request_id, refusal=refusal),
    ]


def close(
    state: EntryState,
    open_request: OpenRequest,
    now_s: float,
    *,
    cancel_grant_request: bool = True,
) -> list[effects.Effect]:
    """Remove a request, stop its work and settle its claim."""
    request_id = open_request.request.request_id
    outcome = open_request.outcome
    del state.requests.open_by_id[request_id]
    surplus_tokens = open_request.output_tokens - open_request.charged_tokens
    limits.settle_charge(state, open_request.workspace, surplus_tokens, now_s)
    if open_request.phase is Phase.CLAIMING:
        state.requests.abandoned_claims.add(request_id)
        return []
    new_effects: list[effects.Effect] = []
    if open_request.phase is Phase.RUNNING:
        new_effects.extend(attempts.stop(open_request, now_s, healthy=True))
    elif cancel_grant_request:
        new_effects.extend(grant_requests.cancel_grant_request(open_request))
    if open_request.needs_claim:
        new_effects.append(
            effects.SettleClaim(request_id=request_id, outcome=outcome)
        )
    return new_effects


def finish(
    state: EntryState, open_request: OpenRequest, event: events.AttemptEnded
) -> list[effects.Effect]:
    """Count a complete answer; `FinishAnswer` may follow later.

    It is delayed until the count is replicated or a timeout has passed.
    """
    request = open_request.request
    del state.requests.open_by_id[event.request_id]
    output_tokens = open_request.tokens_before_attempt + event.output_tokens
    prompt_tokens = event.prompt_tokens or request.prompt_tokens
    surplus_tokens = prompt_tokens + output_tokens - open_request.charged_tokens
    limits.settle_charge(
        state, open_request.workspace, surplus_tokens, event.now_s
    )
    attempts.update_estimates(state, open_request, event)
    new_effects = grant_requests.release_grant(
        open_request,
        event.now_s,
        Outcome.RAN,
        output_tokens=event.output_tokens,
    )
    if open_request.needs_claim:
        new_effects.append(
            effects.SettleClaim(
                request_id=event.request_id, outcome=Outcome.RAN
            )
        )
    duration_s = event.now_s - open_request.arrived_s
    new_effects.append(
        effects.TimeMetric(
            name=f"class.{open_request.class_name}.whole_answer_s",
            value_s=duration_s,
        )
    )
    new_effects.append(
        effects.RecordExplanation(
            request_id=event.request_id,
            step="answered",
            detail=f"by {open_request.upstream}, {output_tokens} output tokens",
        )
    )
    usage_effects = usage.count_answer(
        state,
        event.request_id,
        open_request.workspace,
        prompt_tokens,
        output_tokens,
        now_s=event.now_s,
        wall_s=open_request.arrived_wall_s,
    )
    return [*new_effects, *usage_effects]
