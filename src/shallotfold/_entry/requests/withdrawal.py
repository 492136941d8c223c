"""End open requests that are no longer authorized or can't be verified."""

from shallotfold._entry import effects
from shallotfold._entry.requests import keys
from shallotfold._entry.requests import requests
from shallotfold._entry.state.entry_state import EntryState


def end_unauthorized(state: EntryState) -> list[effects.Effect]:
    """End requests that the configuration in force no longer permits."""
    new_effects: list[effects.Effect] = []
    for request_id, open_request in list(state.requests.open_by_id.items()):
        if not keys.is_still_authorized(state, open_request):
            new_effects.extend(
                requests.end_request(
                    state, request_id, keys.withdrawn_refusal()
                )
            )
    return new_effects


def end_authenticated(state: EntryState) -> list[effects.Effect]:
    """End all requests that were authenticated by a key."""
    new_effects: list[effects.Effect] = []
    for request_id, open_request in list(state.requests.open_by_id.items()):
        if open_request.workspace:
            new_effects.extend(
                requests.end_request(state, request_id, keys.stale_refusal())
            )
    return new_effects
