"""Start, watch and end single attempts of a request on upstreams."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.requests import asking
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._entry.state.open_requests import Phase
from shallotfold._model.configuration import Upstream
from shallotfold._model.requests import Outcome

MAX_FAILURES = 4
MIN_STALL_S = 2.0
STALL_FACTOR = 5.0
ALIVE_S = 1.0
SLOW_CALLER_S = 30.0
WHOLE_ANSWER_STALL_S = 30.0


def start(
    opened: OpenRequest, upstream: Upstream, priority: int, now_s: float
) -> list[effects.Effect]:
    """Send the request to the granted upstream."""
    opened.phase = Phase.RUNNING
    opened.upstream = upstream.name
    opened.started_s = now_s
    opened.tokens_before_attempt = opened.output_tokens
    opened.redirects = 0
    request_id = opened.request.request_id
    return [
        effects.RecordExplanation(
            request_id=request_id,
            step="started",
            detail=f"attempt {opened.attempt} on {upstream.name}",
        ),
        effects.StartAttempt(
            request_id=request_id,
            attempt=opened.attempt,
            upstream=upstream.name,
            url=upstream.url,
            credential=upstream.credential,
            priority=priority,
            resume=opened.output_tokens > 0,
        ),
    ]


def stop(
    opened: OpenRequest, now_s: float, *, healthy: bool
) -> list[effects.Effect]:
    """Cancel the running attempt and release its grant."""
    cancelled = effects.CancelAttempt(
        request_id=opened.request.request_id, attempt=opened.attempt
    )
    opened.may_have_run = True
    released = asking.release(opened, now_s, Outcome.UNKNOWN, healthy=healthy)
    opened.phase = Phase.WAITING
    return [cancelled, *released]


def note_tokens(
    state: EntryState, opened: OpenRequest, count: int, now_s: float
) -> list[effects.Effect]:
    """Take over that the caller got `count` more tokens."""
    if opened.last_token_s < opened.started_s:
        state.requests.estimates.learn_first_token(
            opened.request.prompt_tokens + opened.tokens_before_attempt,
            now_s - opened.started_s,
        )
    asking.sample_progress(state, opened, count, now_s)
    opened.output_tokens += count
    opened.last_token_s = now_s
    if opened.first_token_s >= 0.0:
        return []
    opened.first_token_s = now_s
    return [
        effects.TimeMetric(
            name=f"class.{opened.class_name}.first_token_s",
            value_s=now_s - opened.arrived_s,
        )
    ]


def note_failure(opened: OpenRequest, outcome: Outcome) -> None:
    """Remember which upstream failed, and whether it may have run."""
    opened.failures += 1
    opened.phase = Phase.WAITING
    if opened.upstream not in opened.avoid:
        opened.avoid = (*opened.avoid, opened.upstream)
    if outcome is not Outcome.NOT_RUN:
        opened.may_have_run = True


def may_retry(
    state: EntryState, opened: OpenRequest, event: events.AttemptEnded
) -> bool:
    """Whether an ended attempt may be followed by another one."""
    request = opened.request
    opened.text_resumable = opened.text_resumable and event.resumable
    if event.answer_started and not (
        event.resumable and opened.resumable and request.streaming
    ):
        return False
    return may_try_again(state, opened)


def may_try_again(state: EntryState, opened: OpenRequest) -> bool:
    """Whether a further attempt is safe and within the budget."""
    if opened.may_have_run and not opened.request.idempotent:
        return False
    if opened.output_tokens and not opened.resumable:
        return False
    if opened.failures >= MAX_FAILURES:
        return False
    return state.requests.retry_budget.try_spend()


def has_stalled(state: EntryState, opened: OpenRequest, now_s: float) -> bool:
    """Whether the running attempt shows no sign of life any more."""
    request = opened.request
    if not request.model or not request.streaming:
        return now_s - opened.started_s > _whole_limit_s(state, opened)
    estimates = state.requests.estimates
    if opened.last_token_s < opened.started_s:
        prompt = request.prompt_tokens + opened.tokens_before_attempt
        expected_s = estimates.first_token_s(prompt)
        silent_s = now_s - opened.started_s
    else:
        expected_s = estimates.gap_s
        silent_s = now_s - opened.last_token_s
        if silent_s < SLOW_CALLER_S and _answers_others(state, opened, now_s):
            return False
    return silent_s > max(MIN_STALL_S, STALL_FACTOR * expected_s)


def _answers_others(
    state: EntryState, opened: OpenRequest, now_s: float
) -> bool:
    """Whether the upstream serves other streams, so that a caller is slow."""
    return any(
        other is not opened
        and other.phase is Phase.RUNNING
        and other.upstream == opened.upstream
        and now_s - other.last_token_s < ALIVE_S
        for other in state.requests.open_by_id.values()
    )


def _whole_limit_s(state: EntryState, opened: OpenRequest) -> float:
    classes = state.configuration.current.classes_by_name
    request_class = classes.get(opened.class_name)
    whole_s = request_class.targets.whole_answer_s if request_class else None
    return max(WHOLE_ANSWER_STALL_S, 2.0 * (whole_s or 0.0))


def learn(
    state: EntryState, opened: OpenRequest, event: events.AttemptEnded
) -> None:
    """Learn from a whole answer."""
    if not opened.request.model:
        return
    estimates = state.requests.estimates
    output = opened.tokens_before_attempt + event.output_tokens
    estimates.learn_output(opened.class_name, opened.workspace, output)
    if opened.last_token_s > opened.started_s:
        first_s = max(opened.first_token_s, opened.started_s)
        tokens = event.output_tokens - 1
        estimates.learn_gap(tokens, opened.last_token_s - first_s)
    elif not opened.request.streaming and event.output_tokens:
        busy_s = event.now_s - opened.started_s
        estimates.learn_gap(event.output_tokens, busy_s)
