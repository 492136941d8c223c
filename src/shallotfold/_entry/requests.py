"""Follow a caller's request from its arrival to its final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from shallotfold._entry import admission
from shallotfold._entry import asking
from shallotfold._entry import attempts
from shallotfold._entry import effects
from shallotfold._entry import limits
from shallotfold._entry import open_requests
from shallotfold._entry import pools
from shallotfold._entry import usage
from shallotfold._entry.open_requests import OpenRequest
from shallotfold._entry.open_requests import Phase
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode
from shallotfold._wire import grant_messages

if TYPE_CHECKING:
    from shallotfold._entry import events
    from shallotfold._entry.state import EntryState

RETRY_AFTER_S = 1.0
CLAIM_TIMEOUT_S = 5.0


def on_arrival(
    state: EntryState, event: events.RequestArrived
) -> list[effects.Effect]:
    """Admit a request and ask for a grant, or refuse it at once."""
    request = event.request
    if request.request_id in state.requests.open_by_id:
        return []
    admitted = admission.admit(state, request, event.now_s)
    if isinstance(admitted, Refusal):
        return _refused(request.request_id, admitted)
    opened = OpenRequest(
        request=request,
        workspace=admitted.workspace,
        class_name=admitted.class_name,
        pool=admitted.pool,
        charged_tokens=admitted.charged_tokens,
        arrived_s=event.now_s,
        arrived_wall_s=event.wall_s,
    )
    state.requests.open_by_id[request.request_id] = opened
    state.requests.retry_budget.on_request()
    explained = effects.RecordExplanation(
        request_id=request.request_id,
        step="admitted",
        detail=f"class {opened.class_name}, pool {opened.pool}",
    )
    return [explained, *_claim_or_ask(state, opened, event.now_s)]


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Act on the answer of a pool's owner."""
    message = event.message
    if isinstance(message, grant_messages.Grant):
        return _on_grant(state, event.host, message, event.now_s)
    if isinstance(message, grant_messages.GrantQueued):
        opened = _waiting(
            state, event.host, message.request_id, message.attempt
        )
        if opened is not None:
            opened.answered = True
        return []
    if isinstance(message, grant_messages.GrantRefused):
        return _on_refused(state, event.host, message, event.now_s)
    if isinstance(message, grant_messages.GrantRedirected):
        return _on_redirected(state, event.host, message, event.now_s)
    if isinstance(message, grant_messages.GrantPreempted):
        return _on_preempted(state, message, event.now_s)
    return []


def on_tokens(
    state: EntryState, event: events.TokensForwarded
) -> list[effects.Effect]:
    """Count tokens that reached the caller."""
    opened = state.requests.open_by_id.get(event.request_id)
    if opened is None or not _runs(opened, event.attempt):
        return []
    opened.text_resumable = event.resumable
    return attempts.note_tokens(state, opened, event.count, event.now_s)


def on_attempt_ended(
    state: EntryState, event: events.AttemptEnded
) -> list[effects.Effect]:
    """Finish the answer, try again, or give up."""
    opened = state.requests.open_by_id.get(event.request_id)
    if opened is None or not _runs(opened, event.attempt):
        return []
    if event.outcome is Outcome.RAN:
        return _finish(state, opened, event)
    released = asking.release(
        opened,
        event.now_s,
        event.outcome,
        output_tokens=event.output_tokens,
        healthy=False,
        retry_after_s=event.retry_after_s,
    )
    attempts.note_failure(opened, event.outcome)
    if attempts.may_retry(state, opened, event):
        return [*released, *_retry(state, opened, event.now_s)]
    retry_after_s = max(RETRY_AFTER_S, event.retry_after_s)
    return [*released, *_give_up(state, opened, event.now_s, retry_after_s)]


def on_caller_left(
    state: EntryState, event: events.CallerLeft
) -> list[effects.Effect]:
    """Cancel the work of a caller who left."""
    opened = state.requests.open_by_id.get(event.request_id)
    if opened is None:
        return []
    left = effects.RecordExplanation(
        request_id=event.request_id, step="caller left", detail=""
    )
    return [left, *_close(state, opened, event.now_s)]


def end_request(
    state: EntryState, request_id: str, refusal: Refusal
) -> list[effects.Effect]:
    """End an open request with a refusal and cancel its work.

    The refusal's outcome is replaced by what is known about the request.
    """
    opened = state.requests.open_by_id.get(request_id)
    if opened is None:
        return []
    now_s = max(opened.arrived_s, opened.asked_s, opened.last_token_s)
    return _refuse(state, opened, refusal, now_s)


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Give up on doomed requests and keep the owners informed."""
    now_s = event.now_s
    _suspect_silent_owners(state, now_s)
    done = asking.follow_owners(state, now_s)
    done.extend(asking.announce(state, now_s))
    done.extend(asking.report_progress(state, now_s))
    for opened in list(state.requests.open_by_id.values()):
        done.extend(_check(state, opened, now_s))
    if state.draining and _drained(state):
        done.append(effects.ExitProcess())
    return done


def on_peer_change(
    state: EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Ask the next owner for the grants that a lost owner did not give."""
    return asking.follow_owners(state, event.now_s)


def on_claimed(
    state: EntryState, event: events.ClaimSucceeded
) -> list[effects.Effect]:
    """Dispatch a request whose idempotency key is now ours."""
    if event.request_id in state.requests.abandoned_claims:
        state.requests.abandoned_claims.discard(event.request_id)
        return [
            effects.SettleClaim(
                request_id=event.request_id, outcome=Outcome.NOT_RUN
            )
        ]
    opened = state.requests.open_by_id.get(event.request_id)
    if opened is None or opened.phase is not Phase.CLAIMING:
        return []
    return asking.ask(state, opened, event.now_s)


def on_claim_failed(
    state: EntryState, event: events.ClaimFailed
) -> list[effects.Effect]:
    """Answer a request whose idempotency key could not be claimed."""
    state.requests.abandoned_claims.discard(event.request_id)
    opened = state.requests.open_by_id.get(event.request_id)
    if opened is None or opened.phase is not Phase.CLAIMING:
        return []
    del state.requests.open_by_id[event.request_id]
    limits.settle(state, opened.workspace, 0.0, event.now_s)
    if event.answer is not None:
        return [
            effects.ReplayAnswer(
                request_id=event.request_id, answer=event.answer
            )
        ]
    return _refused(event.request_id, _claim_refusal(event.reason))


def on_shutdown(
    state: EntryState, event: events.ShutdownRequested
) -> list[effects.Effect]:
    """Refuse new requests and let the open ones finish."""
    state.draining = True
    handed_over = asking.follow_owners(state, event.now_s)
    return [effects.SetReady(ready=False), *handed_over]


def _suspect_silent_owners(state: EntryState, now_s: float) -> None:
    asking.trust_again(state, now_s)
    for opened in state.requests.open_by_id.values():
        if (
            opened.phase is Phase.WAITING
            and not opened.answered
            and now_s - opened.asked_s > asking.OWNER_SILENCE_S
        ):
            asking.suspect(state, opened.owner, now_s)


def _runs(opened: OpenRequest, attempt: int) -> bool:
    return opened.phase is Phase.RUNNING and opened.attempt == attempt


def _drained(state: EntryState) -> bool:
    pending = usage.has_unflushed(state)
    return not (state.requests.open_by_id or pending)


def _claim_or_ask(
    state: EntryState, opened: OpenRequest, now_s: float
) -> list[effects.Effect]:
    if not opened.claims_key:
        return asking.ask(state, opened, now_s)
    opened.phase = Phase.CLAIMING
    request = opened.request
    return [
        effects.ClaimIdempotencyKey(
            request_id=request.request_id,
            workspace=opened.workspace,
            idempotency_key=request.idempotency_key,
            body_sha256=request.body_sha256,
        )
    ]


def _claim_refusal(reason: str) -> Refusal:
    code = RefusalCode[reason]
    if code is RefusalCode.UPSTREAM_FAILED:
        return Refusal(
            code=code,
            message="The first run has an unknown outcome; check it there.",
            outcome=Outcome.UNKNOWN,
        )
    if code is RefusalCode.KEY_REUSED:
        return Refusal(
            code=code,
            message="The idempotency key was used with another body.",
        )
    return Refusal(
        code=code,
        message="The idempotency key can't be claimed now; repeat later.",
        retry_after_s=RETRY_AFTER_S,
    )


def _on_grant(
    state: EntryState, host: str, grant: grant_messages.Grant, now_s: float
) -> list[effects.Effect]:
    opened = state.requests.open_by_id.get(grant.request_id)
    if opened is not None and _runs(opened, grant.attempt):
        return []
    catalog = pools.catalog_of(state)
    upstream = catalog.upstreams_by_name.get(grant.upstream)
    if (
        opened is None
        or opened.phase is not Phase.WAITING
        or opened.attempt != grant.attempt
        or opened.owner != host
        or upstream is None
    ):
        return asking.return_grant(host, grant)
    return attempts.start(opened, upstream, grant.priority, now_s)


def _on_refused(
    state: EntryState,
    host: str,
    message: grant_messages.GrantRefused,
    now_s: float,
) -> list[effects.Effect]:
    opened = _waiting(state, host, message.request_id, message.attempt)
    if opened is None:
        return []
    refusal = Refusal(
        code=message.code,
        message="There is no capacity to meet the target; repeat later.",
        retry_after_s=message.retry_after_s,
    )
    return _refuse(state, opened, refusal, now_s, withdraw=False)


def _on_redirected(
    state: EntryState,
    host: str,
    message: grant_messages.GrantRedirected,
    now_s: float,
) -> list[effects.Effect]:
    opened = _waiting(state, host, message.request_id, message.attempt)
    if opened is None:
        return []
    opened.redirects += 1
    return asking.ask(state, opened, now_s, owner=message.owner)


def _waiting(
    state: EntryState, host: str, request_id: str, attempt: int
) -> OpenRequest | None:
    opened = state.requests.open_by_id.get(request_id)
    if (
        opened is None
        or opened.phase is not Phase.WAITING
        or opened.attempt != attempt
        or opened.owner != host
    ):
        return None
    return opened


def _on_preempted(
    state: EntryState, message: grant_messages.GrantPreempted, now_s: float
) -> list[effects.Effect]:
    opened = state.requests.open_by_id.get(message.request_id)
    if opened is None or not _runs(opened, message.attempt):
        return []
    if not opened.resumable:
        return []
    counted = effects.CountMetric(name="requests.preempted")
    stopped = attempts.stop(opened, now_s, healthy=True)
    return [counted, *stopped, *asking.ask(state, opened, now_s)]


def _check(
    state: EntryState, opened: OpenRequest, now_s: float
) -> list[effects.Effect]:
    if opened.phase is Phase.CLAIMING:
        return _check_claiming(state, opened, now_s)
    if opened.phase is Phase.WAITING:
        return _check_waiting(state, opened, now_s)
    if not attempts.has_stalled(state, opened, now_s):
        return []
    return _on_stall(state, opened, now_s)


def _check_claiming(
    state: EntryState, opened: OpenRequest, now_s: float
) -> list[effects.Effect]:
    if now_s - opened.arrived_s < CLAIM_TIMEOUT_S:
        return []
    refusal = _claim_refusal(RefusalCode.STORE_UNAVAILABLE.name)
    return _refuse(state, opened, refusal, now_s)


def _check_waiting(
    state: EntryState, opened: OpenRequest, now_s: float
) -> list[effects.Effect]:
    if now_s > open_requests.latest_start_s(state, opened) + RETRY_AFTER_S:
        refusal = Refusal(
            code=RefusalCode.TARGET_MISSED,
            message="The target can no longer be met; repeat later.",
            retry_after_s=RETRY_AFTER_S,
        )
        return _refuse(state, opened, refusal, now_s)
    if asking.repeat_due(opened, now_s):
        return asking.repeat(state, opened, now_s)
    return []


def _on_stall(
    state: EntryState, opened: OpenRequest, now_s: float
) -> list[effects.Effect]:
    stopped = attempts.stop(opened, now_s, healthy=False)
    attempts.note_failure(opened, Outcome.UNKNOWN)
    if attempts.may_try_again(state, opened):
        return [*stopped, *_retry(state, opened, now_s)]
    return [*stopped, *_give_up(state, opened, now_s, RETRY_AFTER_S)]


def _retry(
    state: EntryState, opened: OpenRequest, now_s: float
) -> list[effects.Effect]:
    return [
        effects.CountMetric(name="requests.retried"),
        effects.RecordExplanation(
            request_id=opened.request.request_id,
            step="retried",
            detail=f"upstream {opened.upstream} failed",
        ),
        *asking.ask(state, opened, now_s),
    ]


def _give_up(
    state: EntryState, opened: OpenRequest, now_s: float, retry_after_s: float
) -> list[effects.Effect]:
    refusal = Refusal(
        code=RefusalCode.UPSTREAM_FAILED,
        message="The upstream failed; repeat the request later.",
        retry_after_s=retry_after_s,
    )
    opened.phase = Phase.WAITING
    return _refuse(state, opened, refusal, now_s, withdraw=False)


def _refuse(
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
    closed = _close(state, opened, now_s, withdraw=withdraw)
    return [*_refused(request_id, truthful), *closed]


def _refused(request_id: str, refusal: Refusal) -> list[effects.Effect]:
    code = refusal.code.value
    return [
        effects.RecordExplanation(
            request_id=request_id, step="refused", detail=code
        ),
        effects.CountMetric(name=f"requests.refused.{code}"),
        effects.RefuseRequest(request_id=request_id, refusal=refusal),
    ]


def _close(
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
    if opened.claims_key:
        done.append(effects.SettleClaim(request_id=request_id, outcome=outcome))
    return done


def _finish(
    state: EntryState, opened: OpenRequest, event: events.AttemptEnded
) -> list[effects.Effect]:
    request = opened.request
    del state.requests.open_by_id[event.request_id]
    output = opened.kept_tokens + event.output_tokens
    prompt = event.prompt_tokens or request.prompt_tokens
    surplus = prompt + output - opened.charged_tokens
    limits.settle(state, opened.workspace, surplus, event.now_s)
    attempts.learn(state, opened, event)
    done = asking.release(
        opened, event.now_s, Outcome.RAN, output_tokens=event.output_tokens
    )
    if opened.claims_key:
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
