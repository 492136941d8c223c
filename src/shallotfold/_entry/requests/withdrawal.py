"""End open requests whose key no longer holds."""

from shallotfold._entry import effects
from shallotfold._entry.requests import keys
from shallotfold._entry.requests import requests
from shallotfold._entry.state.entry_state import EntryState


def end_unentitled(state: EntryState) -> list[effects.Effect]:
    """End the requests that the configuration in force would not admit."""
    done: list[effects.Effect] = []
    for request_id, opened in list(state.requests.open_by_id.items()):
        if not keys.is_entitled(state, opened):
            done.extend(
                requests.end_request(
                    state, request_id, keys.withdrawn_refusal()
                )
            )
    return done


def end_keyed(state: EntryState) -> list[effects.Effect]:
    """End all requests that came with a key."""
    done: list[effects.Effect] = []
    for request_id, opened in list(state.requests.open_by_id.items()):
        if opened.workspace:
            done.extend(
                requests.end_request(state, request_id, keys.stale_refusal())
            )
    return done
