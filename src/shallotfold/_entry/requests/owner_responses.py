"""Handle the responses and preemptions that pool owners send."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.pools import pools
from shallotfold._entry.requests import attempts
from shallotfold._entry.requests import grant_requests
from shallotfold._entry.requests import termination
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._entry.state.open_requests import Phase
from shallotfold._model.requests import Refusal
from shallotfold._wire import grant_messages


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Handle a message from the owner of a pool."""
    message = event.message
    if isinstance(message, grant_messages.Grant):
        return _on_grant(state, event.host, message, event.now_s)
    if isinstance(message, grant_messages.GrantQueued):
        open_request = _find_waiting(
            state, event.host, message.request_id, message.attempt
        )
        if open_request is not None:
            open_request.owner_responded = True
        return []
    if isinstance(message, grant_messages.GrantRefused):
        return _on_refused(state, event.host, message, event.now_s)
    if isinstance(message, grant_messages.GrantRedirected):
        return _on_redirected(state, event.host, message, event.now_s)
    if isinstance(message, grant_messages.GrantPreempted):
        return _on_preempted(state, message, event.now_s)
    return []


def _on_grant(
    state: EntryState, host: str, grant: grant_messages.Grant, now_s: float
) -> list[effects.Effect]:
    open_request = state.requests.open_by_id.get(grant.request_id)
    if open_request is not None and open_request.is_running(grant.attempt):
        return []
    catalog = pools.catalog_of(state)
    upstream = catalog.upstreams_by_name.get(grant.upstream)
    if (
        open_request is None
        or open_request.phase is not Phase.WAITING
        or open_request.attempt != grant.attempt
        or open_request.owner != host
        or upstream is None
    ):
        return grant_requests.return_unused_grant(host, grant)
    return attempts.start(open_request, upstream, grant.priority, now_s)


def _on_refused(
    state: EntryState,
    host: str,
    message: grant_messages.GrantRefused,
    now_s: float,
) -> list[effects.Effect]:
    open_request = _find_waiting(
        state, host, message.request_id, message.attempt
    )
    if open_request is None:
        return []
    refusal = Refusal(
        code=message.code,
        message="There is no capacity to meet the target; repeat later.",
        retry_after_s=message.retry_after_s,
    )
    return termination.refuse(
        state, open_request, refusal, now_s, cancel_grant_request=False
    )


def _on_redirected(
    state: EntryState,
    host: str,
    message: grant_messages.GrantRedirected,
    now_s: float,
) -> list[effects.Effect]:
    open_request = _find_waiting(
        state, host, message.request_id, message.attempt
    )
    if open_request is None:
        return []
    open_request.redirects += 1
    return grant_requests.request_grant(
        state, open_request, now_s, owner=message.owner
    )


def _find_waiting(
    state: EntryState, host: str, request_id: str, attempt: int
) -> OpenRequest | None:
    open_request = state.requests.open_by_id.get(request_id)
    if (
        open_request is None
        or open_request.phase is not Phase.WAITING
        or open_request.attempt != attempt
        or open_request.owner != host
    ):
        return None
    return open_request


def _on_preempted(
    state: EntryState, message: grant_messages.GrantPreempted, now_s: float
) -> list[effects.Effect]:
    open_request = state.requests.open_by_id.get(message.request_id)
    if open_request is None or not open_request.is_running(message.attempt):
        return []
    if not open_request.resumable:
        return []
    preempted_metric = effects.CountMetric(name="requests.preempted")
    stop_effects = attempts.stop(open_request, now_s, healthy=True)
    return [
        preempted_metric,
        *stop_effects,
        *grant_requests.request_grant(state, open_request, now_s),
    ]
