"""End requests: with a whole answer, a refusal, or nothing."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.requests import asking
from shallotfold._entry.requests import attempts
from shallotfold._entry.requests import limits
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._entry.state.open_requests import Phase
from shallotfold._entry.usage import usage
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode


def give_up(
    state: EntryState, opened: OpenRequest, now_s: float, retry_after_s: float
) -> list[effects.Effect]:
    """Refuse a request whose attempts have failed."""
    refusal = Refusal(
        code=RefusalCode.UPSTREAM_FAILED,
        message="The upstream failed; repeat the request later.",
        retry_after_s=retry_after_s,
    )
    opened.phase = Phase.WAITING
    return refuse(state, opened, refusal, now_s, withdraw=False)


def refuse(
    state: EntryState,
    opened: OpenRequest,
    refusal: Refusal,
    now_s: float,
    *,
    withdraw: bool = True,
) -> list[effects.Effect]:
    """End a request with a refusal that tells its true outcome."""
    request_id = opened.request.request_id
    truthful = Refusal(
        code=refusal.code,
        message=refusal.message,
        outcome=opened.outcome,
        retry_after_s=refusal.retry_after_s,
    )
    closed = close(state, opened, now_s, withdraw=withdraw)
    return [*refused(request_id, truthful), *closed]


def refused(request_id: str, refusal: Refusal) -> list[effects.Effect]:
    """Give a refusal to the caller and record it."""
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
    opened: OpenRequest,
    now_s: float,
    *,
    withdraw: bool = True,
) -> list[effects.Effect]:
    """Forget a request, stop its work and settle its claim."""
    request_id = opened.request.request_id
    outcome = opened.outcome
    del state.requests.open_by_id[request_id]
    surplus = opened.output_tokens - opened.charged_tokens
    limits.settle(state, opened.workspace, surplus, now_s)
    if opened.phase is Phase.CLAIMING:
        state.requests.abandoned_claims.add(request_id)
        return []
    done: list[effects.Effect] = []
    if opened.phase is Phase.RUNNING:
        done.extend(attempts.stop(opened, now_s, healthy=True))
    elif withdraw:
        done.extend(asking.withdraw(opened))
    if opened.needs_claim:
        done.append(effects.SettleClaim(request_id=request_id, outcome=outcome))
    return done


def finish(
    state: EntryState, opened: OpenRequest, event: events.AttemptEnded
) -> list[effects.Effect]:
    """Count a whole answer; `FinishAnswer` follows once it is safe."""
    request = opened.request
    del state.requests.open_by_id[event.request_id]
    output = opened.tokens_before_attempt + event.output_tokens
    prompt = event.prompt_tokens or request.prompt_tokens
    surplus = prompt + output - opened.charged_tokens
    limits.settle(state, opened.workspace, surplus, event.now_s)
    attempts.learn(state, opened, event)
    done = asking.release(
        opened, event.now_s, Outcome.RAN, output_tokens=event.output_tokens
    )
    if opened.needs_claim:
        done.append(
            effects.SettleClaim(
                request_id=event.request_id, outcome=Outcome.RAN
            )
        )
    duration_s = event.now_s - opened.arrived_s
    done.append(
        effects.TimeMetric(
            name=f"class.{opened.class_name}.whole_answer_s",
            value_s=duration_s,
        )
    )
    done.append(
        effects.RecordExplanation(
            request_id=event.request_id,
            step="answered",
            detail=f"by {opened.upstream}, {output} output tokens",
        )
    )
    counted = usage.count_answer(
        state,
        event.request_id,
        opened.workspace,
        prompt,
        output,
        now_s=event.now_s,
        wall_s=opened.arrived_wall_s,
    )
    return [*done, *counted]
