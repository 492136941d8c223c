"""Start, monitor and end attempts of a request on upstreams."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.requests import grant_requests
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._entry.state.open_requests import Phase
from shallotfold._model.configuration import Upstream
from shallotfold._model.requests import Outcome

MAX_FAILURES = 4
MIN_STALL_TIMEOUT_S = 2.0
STALL_FACTOR = 5.0
RECENT_TOKEN_MAX_AGE_S = 1.0
SLOW_CALLER_TIMEOUT_S = 30.0
MIN_WHOLE_ANSWER_TIMEOUT_S = 30.0


def start(
    open_request: OpenRequest, upstream: Upstream, priority: int, now_s: float
) -> list[effects.Effect]:
    """Send the request to the granted upstream."""
    open_request.phase = Phase.RUNNING
    open_request.upstream = upstream.name
    open_request.started_s = now_s
    open_request.tokens_before_attempt = open_request.output_tokens
    open_request.redirects = 0
    request_id = open_request.request.request_id
    return [
        effects.RecordExplanation(
            request_id=request_id,
            step="started",
            detail=f"attempt {open_request.attempt} on {upstream.name}",
        ),
        effects.StartAttempt(
            request_id=request_id,
            attempt=open_request.attempt,
            upstream=upstream.name,
            url=upstream.url,
            credential=upstream.credential,
            priority=priority,
            resume=open_request.output_tokens > 0,
        ),
    ]


def stop(
    open_request: OpenRequest, now_s: float, *, healthy: bool
) -> list[effects.Effect]:
    """Cancel the running attempt and release its grant."""
    cancel_effect = effects.CancelAttempt(
        request_id=open_request.request.request_id, attempt=open_request.attempt
    )
    open_request.may_have_run = True
    release_effects = grant_requests.release_grant(
        open_request, now_s, Outcome.UNKNOWN, healthy=healthy
    )
    open_request.phase = Phase.WAITING
    return [cancel_effect, *release_effects]


def record_tokens(
    state: EntryState, open_request: OpenRequest, count: int, now_s: float
) -> list[effects.Effect]:
    """Record that the caller received `count` more tokens."""
    if open_request.last_token_s < open_request.started_s:
        state.requests.estimates.learn_first_token(
            open_request.request.prompt_tokens
            + open_request.tokens_before_attempt,
            now_s - open_request.started_s,
        )
    grant_requests.record_progress_sample(state, open_request, count, now_s)
    open_request.output_tokens += count
    open_request.last_token_s = now_s
    if open_request.first_token_s >= 0.0:
        return []
    open_request.first_token_s = now_s
    return [
        effects.TimeMetric(
            name=f"class.{open_request.class_name}.first_token_s",
            value_s=now_s - open_request.arrived_s,
        )
    ]


def record_failure(open_request: OpenRequest, outcome: Outcome) -> None:
    """Record which upstream failed and whether the request may have run."""
    open_request.failures += 1
    open_request.phase = Phase.WAITING
    if open_request.upstream not in open_request.avoid:
        open_request.avoid = (*open_request.avoid, open_request.upstream)
    if outcome is not Outcome.NOT_RUN:
        open_request.may_have_run = True


def allow_retry_after_end(
    state: EntryState, open_request: OpenRequest, event: events.AttemptEnded
) -> bool:
    """Whether another attempt may follow one that ended."""
    request = open_request.request
    open_request.text_resumable = (
        open_request.text_resumable and event.resumable
    )
    if event.answer_started and not (
        event.resumable and open_request.resumable and request.streaming
    ):
        return False
    return allow_retry(state, open_request)


def allow_retry(state: EntryState, open_request: OpenRequest) -> bool:
    """Whether another attempt is safe and the retry budget covers it.

    Spends one retry of the budget if so.
    """
    if open_request.may_have_run and not open_request.request.idempotent:
        return False
    if open_request.output_tokens and not open_request.resumable:
        return False
    if open_request.failures >= MAX_FAILURES:
        return False
    return state.requests.retry_budget.try_spend()


def has_stalled(
    state: EntryState, open_request: OpenRequest, now_s: float
) -> bool:
    """Whether the running attempt has stopped making progress."""
    request = open_request.request
    if not request.model or not request.streaming:
        return now_s - open_request.started_s > _whole_answer_timeout_s(
            state, open_request
        )
    estimates = state.requests.estimates
    if open_request.last_token_s < open_request.started_s:
        prompt_tokens = (
            request.prompt_tokens + open_request.tokens_before_attempt
        )
        expected_s = estimates.first_token_s(prompt_tokens)
        silent_s = now_s - open_request.started_s
    else:
        expected_s = estimates.gap_s
        silent_s = now_s - open_request.last_token_s
        if silent_s < SLOW_CALLER_TIMEOUT_S and _serves_other_streams(
            state, open_request, now_s
        ):
            return False
    return silent_s > max(MIN_STALL_TIMEOUT_S, STALL_FACTOR * expected_s)


def _serves_other_streams(
    state: EntryState, open_request: OpenRequest, now_s: float
) -> bool:
    """Whether the upstream serves other streams; if so, the caller is slow."""
    return any(
        other is not open_request
        and other.phase is Phase.RUNNING
        and other.upstream == open_request.upstream
        and now_s - other.last_token_s < RECENT_TOKEN_MAX_AGE_S
        for other in state.requests.open_by_id.values()
    )


def _whole_answer_timeout_s(
    state: EntryState, open_request: OpenRequest
) -> float:
    classes = state.configuration.current.classes_by_name
    request_class = classes.get(open_request.class_name)
    target_s = request_class.targets.whole_answer_s if request_class else None
    return max(MIN_WHOLE_ANSWER_TIMEOUT_S, 2.0 * (target_s or 0.0))


def update_estimates(
    state: EntryState, open_request: OpenRequest, event: events.AttemptEnded
) -> None:
    """Update the estimates from a complete answer."""
    if not open_request.request.model:
        return
    estimates = state.requests.estimates
    output_tokens = open_request.tokens_before_attempt + event.output_tokens
    estimates.learn_output(
        open_request.class_name, open_request.workspace, output_tokens
    )
    if open_request.last_token_s > open_request.started_s:
        first_token_s = max(open_request.first_token_s, open_request.started_s)
        tokens = event.output_tokens - 1
        estimates.learn_gap(tokens, open_request.last_token_s - first_token_s)
    elif not open_request.request.streaming and event.output_tokens:
        busy_s = event.now_s - open_request.started_s
        estimates.learn_gap(event.output_tokens, busy_s)
