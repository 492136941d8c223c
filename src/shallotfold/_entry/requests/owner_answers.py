"""Act on what the owners of pools answer."""

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.pools import pools
from shallotfold._entry.requests import asking
from shallotfold._entry.requests import attempts
from shallotfold._entry.requests import endings
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.open_requests import OpenRequest
from shallotfold._entry.state.open_requests import Phase
from shallotfold._model.requests import Refusal
from shallotfold._wire import grant_messages


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
            opened.owner_responded = True
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
    opened = state.requests.open_by_id.get(grant.request_id)
    if opened is not None and opened.is_running(grant.attempt):
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
    return endings.refuse(state, opened, refusal, now_s, withdraw=False)


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
    if opened is None or not opened.is_running(message.attempt):
        return []
    if not opened.resumable:
        return []
    counted = effects.CountMetric(name="requests.preempted")
    stopped = attempts.stop(opened, now_s, healthy=True)
    return [counted, *stopped, *asking.ask(state, opened, now_s)]
