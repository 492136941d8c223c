"""Follow a caller's request from its arrival to its final answer."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.requests import admission
from shallotfold._entry.requests import asking
from shallotfold._entry.requests import attempts
from shallotfold._entry.requests import claiming
from shallotfold._entry.requests import endings
from shallotfold._entry.requests import latest_start
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._entry.state.open_requests import Phase
from shallotfold._entry.usage import usage
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode

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
        return endings.refused(request.request_id, admitted)
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
    return [explained, *claiming.claim_or_ask(state, opened, event.now_s)]


def on_tokens(
    state: EntryState, event: events.TokensForwarded
) -> list[effects.Effect]:
    """Count tokens that reached the caller."""
    opened = state.requests.open_by_id.get(event.request_id)
    if opened is None or not opened.is_running(event.attempt):
        return []
    opened.text_resumable = event.resumable
    return attempts.note_tokens(state, opened, event.count, event.now_s)


def on_attempt_ended(
    state: EntryState, event: events.AttemptEnded
) -> list[effects.Effect]:
    """Finish the answer, try again, or give up."""
    opened = state.requests.open_by_id.get(event.request_id)
    if opened is None or not opened.is_running(event.attempt):
        return []
    if event.outcome is Outcome.RAN:
        return endings.finish(state, opened, event)
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
    return [
        *released,
        *endings.give_up(state, opened, event.now_s, retry_after_s),
    ]


def on_caller_left(
    state: EntryState, event: events.CallerDisconnected
) -> list[effects.Effect]:
    """Cancel the work of a caller who left."""
    opened = state.requests.open_by_id.get(event.request_id)
    if opened is None:
        return []
    left = effects.RecordExplanation(
        request_id=event.request_id, step="caller left", detail=""
    )
    return [left, *endings.close(state, opened, event.now_s)]


def end_request(
    state: EntryState, request_id: str, refusal: Refusal
) -> list[effects.Effect]:
    """End an open request with a refusal and cancel its work.

    The refusal's outcome is replaced by what is known about the request.
    """
    opened = state.requests.open_by_id.get(request_id)
    if opened is None:
        return []
    now_s = max(opened.arrived_s, opened.grant_requested_s, opened.last_token_s)
    return endings.refuse(state, opened, refusal, now_s)


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
            and not opened.owner_responded
            and now_s - opened.grant_requested_s > asking.OWNER_SILENCE_S
        ):
            asking.suspect(state, opened.owner, now_s)


def _drained(state: EntryState) -> bool:
    pending = usage.has_unflushed(state)
    return not (state.requests.open_by_id or pending)


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
    refusal = claiming.claim_refusal(RefusalCode.STORE_UNAVAILABLE.name)
    return endings.refuse(state, opened, refusal, now_s)


def _check_waiting(
    state: EntryState, opened: OpenRequest, now_s: float
) -> list[effects.Effect]:
    if now_s > latest_start.latest_start_s(state, opened) + RETRY_AFTER_S:
        refusal = Refusal(
            code=RefusalCode.TARGET_MISSED,
            message="The target can no longer be met; repeat later.",
            retry_after_s=RETRY_AFTER_S,
        )
        return endings.refuse(state, opened, refusal, now_s)
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
    return [*stopped, *endings.give_up(state, opened, now_s, RETRY_AFTER_S)]


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
