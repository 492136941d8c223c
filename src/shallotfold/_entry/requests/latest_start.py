"""Tell until when a request can still meet its targets."""

from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._model.configuration import RequestClass

RESUME_PATIENCE_S = 10.0
DEFAULT_PATIENCE_S = 60.0
FIRST_TOKEN_MARGIN = 2.0
MIN_WAIT_SHARE = 0.3


def _remaining_output(
    state: EntryState, opened: OpenRequest, request_class: RequestClass
) -> float:
    """Return the output tokens still to come that few answers exceed."""
    total = state.requests.estimates.long_output_tokens(
        request_class, opened.workspace, opened.request.max_output_tokens
    )
    return max(1.0, total - opened.output_tokens)


def latest_start_s(state: EntryState, opened: OpenRequest) -> float:
    """Return until when a grant can still meet the targets of the class."""
    request_class = state.configuration.current.classes_by_name.get(
        opened.class_name
    )
    if request_class is None:
        return opened.arrived_s + DEFAULT_PATIENCE_S
    if opened.output_tokens:
        return opened.last_token_s + RESUME_PATIENCE_S
    targets = request_class.targets
    estimates = state.requests.estimates
    first_s = estimates.first_token_s(opened.request.prompt_tokens)
    latest = opened.arrived_s + DEFAULT_PATIENCE_S
    if opened.request.model and targets.first_token_s is not None:
        wait_s = targets.first_token_s - first_s * FIRST_TOKEN_MARGIN
        wait_s = max(wait_s, MIN_WAIT_SHARE * targets.first_token_s)
        latest = min(latest, opened.arrived_s + wait_s)
    if targets.whole_answer_s is not None:
        run_s = 0.0
        if opened.request.model:
            output = _remaining_output(state, opened, request_class)
            run_s = first_s + output * estimates.gap_s
        wait_s = targets.whole_answer_s - run_s
        wait_s = max(wait_s, MIN_WAIT_SHARE * targets.whole_answer_s)
        latest = min(latest, opened.arrived_s + wait_s)
    return latest
