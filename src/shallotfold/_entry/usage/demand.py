"""Count the output tokens that callers request, by model and class."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._fleet.usage_flush import ModelDemand


def on_arrival(
    state: EntryState, event: events.RequestArrived
) -> list[effects.Effect]:
    """Count a model request that was not refused on arrival."""
    open_request = state.requests.open_by_id.get(event.request.request_id)
    if open_request is None or not event.request.model:
        return []
    classes = state.configuration.current.classes_by_name
    request_class = classes.get(open_request.class_name)
    if request_class is None:
        return []
    tokens = request_class.expected_output_tokens
    if event.request.max_output_tokens:
        tokens = min(tokens, event.request.max_output_tokens)
    key = (event.request.model, open_request.class_name)
    previous_tokens = state.demand.asked_tokens_by_key.get(key, 0)
    state.demand.asked_tokens_by_key[key] = previous_tokens + tokens
    state.demand.unflushed = True
    return []


def has_unflushed(state: EntryState) -> bool:
    """Return whether the demand changed since the last flush."""
    return state.demand.unflushed


def snapshot_for_flush(state: EntryState) -> tuple[ModelDemand, ...]:
    """Return the demand for a flush and mark it as flushed."""
    state.demand.unflushed = False
    return tuple(
        ModelDemand(model=model, class_name=class_name, asked_tokens=tokens)
        for (model, class_name), tokens in sorted(
            state.demand.asked_tokens_by_key.items()
        )
    )
