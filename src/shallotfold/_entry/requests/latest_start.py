"""Compute the latest start at which a request can meet its targets."""

from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._model.configuration import RequestClass

RESUME_WAIT_LIMIT_S = 10.0
DEFAULT_WAIT_LIMIT_S = 60.0
FIRST_TOKEN_SAFETY_FACTOR = 2.0
MIN_WAIT_SHARE = 0.3


def _remaining_output_tokens(
    state: EntryState, open_request: OpenRequest, request_class: RequestClass
) -> float:
    """Return a number of remaining output tokens that few answers exceed."""
    total_tokens = state.requests.estimates.long_output_tokens(
        request_class,
        open_request.workspace,
        open_request.request.max_output_tokens,
    )
    return max(1.0, total_tokens - open_request.output_tokens)


def latest_start_s(state: EntryState, open_request: OpenRequest) -> float:
    """Return the latest time of a grant that can meet the class's targets."""
    request_class = state.configuration.current.classes_by_name.get(
        open_request.class_name
    )
    if request_class is None:
        return open_request.arrived_s + DEFAULT_WAIT_LIMIT_S
    if open_request.output_tokens:
        return open_request.last_token_s + RESUME_WAIT_LIMIT_S
    targets = request_class.targets
    estimates = state.requests.estimates
    expected_first_token_s = estimates.first_token_s(
        open_request.request.prompt_tokens
    )
    latest_s = open_request.arrived_s + DEFAULT_WAIT_LIMIT_S
    if open_request.request.model and targets.first_token_s is not None:
        wait_s = (
            targets.first_token_s
            - expected_first_token_s * FIRST_TOKEN_SAFETY_FACTOR
        )
        wait_s = max(wait_s, MIN_WAIT_SHARE * targets.first_token_s)
        latest_s = min(latest_s, open_request.arrived_s + wait_s)
    if targets.whole_answer_s is not None:
        expected_run_s = 0.0
        if open_request.request.model:
            output_tokens = _remaining_output_tokens(
                state, open_request, request_class
            )
            expected_run_s = (
                expected_first_token_s + output_tokens * estimates.gap_s
            )
        wait_s = targets.whole_answer_s - expected_run_s
        wait_s = max(wait_s, MIN_WAIT_SHARE * targets.whole_answer_s)
        latest_s = min(latest_s, open_request.arrived_s + wait_s)
    return latest_s
