"""Follow a caller's request from its arrival to its final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from shallotfold._entry import effects
from shallotfold._entry import keys
from shallotfold._entry import pools
from shallotfold._entry import usage
from shallotfold._model.configuration import Workspace
from shallotfold._model.requests import CallerRequest
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode
from shallotfold._wire import grant_messages

if TYPE_CHECKING:
    from shallotfold._entry import events
    from shallotfold._entry.state import EntryState

RETRY_AFTER_S = 1.0


@attrs.define(kw_only=True)
class OpenRequest:
    """A request without its final answer.

    Attributes:
        request: What the caller asked for.
        workspace: Name of the entitled workspace; empty if open to all.
        class_name: Request class in force.
        arrived_s: Monotonic time of arrival.
        arrived_wall_s: Time of arrival in seconds since the epoch.
        attempt: Number of the current attempt; 0 before the first.
        upstream: Upstream of the running attempt; empty while waiting.
        output_tokens: Tokens that the caller has.
    """

    request: CallerRequest
    workspace: str
    class_name: str
    arrived_s: float
    arrived_wall_s: float
    attempt: int = 0
    upstream: str = ""
    output_tokens: int = 0


@attrs.define(kw_only=True)
class RequestsState:
    """Requests of the callers connected to this entry.

    Attributes:
        open_by_id: Requests without a final answer.
    """

    open_by_id: dict[str, OpenRequest] = attrs.field(factory=dict)


def on_arrival(
    state: EntryState, event: events.RequestArrived
) -> list[effects.Effect]:
    """Admit a request and ask for a grant, or refuse it at once."""
    request = event.request
    admitted = _admit(state, request, event.now_s)
    if isinstance(admitted, Refusal):
        return [
            effects.RefuseRequest(
                request_id=request.request_id, refusal=admitted
            )
        ]
    workspace, class_name = admitted
    opened = OpenRequest(
        request=request,
        workspace=workspace,
        class_name=class_name,
        arrived_s=event.now_s,
        arrived_wall_s=event.wall_s,
    )
    state.requests.open_by_id[request.request_id] = opened
    return _ask_for_grant(state, opened, event.now_s)


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Act on the answer of a pool's owner."""
    message = event.message
    if isinstance(message, grant_messages.Grant):
        return _start_attempt(state, message)
    return []


def on_tokens(
    state: EntryState, event: events.TokensForwarded
) -> list[effects.Effect]:
    """Count tokens that reached the caller."""
    opened = state.requests.open_by_id.get(event.request_id)
    if opened is not None and opened.attempt == event.attempt:
        opened.output_tokens += event.count
    return []


def on_attempt_ended(
    state: EntryState, event: events.AttemptEnded
) -> list[effects.Effect]:
    """Finish the answer, try again, or give up."""
    opened = state.requests.open_by_id.get(event.request_id)
    if opened is None or opened.attempt != event.attempt:
        return []
    released = _release(state, opened, event.outcome)
    del state.requests.open_by_id[event.request_id]
    if event.outcome is Outcome.RAN:
        return released + usage.count_answer(
            state,
            event.request_id,
            opened.workspace,
            event.prompt_tokens,
            event.output_tokens,
            now_s=event.now_s,
            wall_s=opened.arrived_wall_s,
        )
    refusal = Refusal(
        code=RefusalCode.UPSTREAM_FAILED,
        message="The upstream failed; repeat the request later.",
        outcome=event.outcome,
        retry_after_s=RETRY_AFTER_S,
    )
    return [
        *released,
        effects.RefuseRequest(request_id=event.request_id, refusal=refusal),
    ]


def on_caller_left(
    state: EntryState, event: events.CallerLeft
) -> list[effects.Effect]:
    """Cancel the work of a caller who left."""
    opened = state.requests.open_by_id.pop(event.request_id, None)
    if opened is None:
        return []
    cancel = effects.CancelAttempt(
        request_id=event.request_id, attempt=opened.attempt
    )
    return [cancel, *_release(state, opened, Outcome.UNKNOWN)]


def end_request(
    state: EntryState, request_id: str, refusal: Refusal
) -> list[effects.Effect]:
    """End an open request with a refusal and cancel its work."""
    opened = state.requests.open_by_id.pop(request_id, None)
    if opened is None:
        return []
    return [
        effects.CancelAttempt(request_id=request_id, attempt=opened.attempt),
        effects.RefuseRequest(request_id=request_id, refusal=refusal),
        *_release(state, opened, Outcome.UNKNOWN),
    ]


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Give up on requests whose deadline has passed."""
    del state, event
    return []


def on_peer_change(
    state: EntryState, event: events.PeerDisconnected
) -> list[effects.Effect]:
    """Ask the next owner for the grants that a lost owner did not give."""
    del state, event
    return []


def on_claimed(
    state: EntryState, event: events.ClaimSucceeded
) -> list[effects.Effect]:
    """Dispatch a request whose idempotency key is now ours."""
    del state, event
    return []


def on_claim_failed(
    state: EntryState, event: events.ClaimFailed
) -> list[effects.Effect]:
    """Answer a request whose idempotency key could not be claimed."""
    del state, event
    return []


def on_shutdown(
    state: EntryState, event: events.ShutdownRequested
) -> list[effects.Effect]:
    """Refuse new requests and let the open ones finish."""
    del event
    state.draining = True
    return [effects.SetReady(ready=False)]


def _admit(
    state: EntryState, request: CallerRequest, now_s: float
) -> tuple[str, str] | Refusal:
    configuration = state.configuration.current
    route = configuration.routes_by_prefix.get(request.route_prefix)
    if route is not None and route.open_to_all:
        return "", route.request_class
    workspace = keys.authenticate(state, request.key_sha256, now_s)
    if isinstance(workspace, Refusal):
        return workspace
    if route is not None:
        return workspace.name, route.request_class
    return _admit_model(state, workspace, request)


def _admit_model(
    state: EntryState, workspace: Workspace, request: CallerRequest
) -> tuple[str, str] | Refusal:
    class_name = request.class_name or workspace.default_class
    if class_name not in workspace.classes:
        return Refusal(
            code=RefusalCode.FORBIDDEN,
            message=(
                f"The workspace may not use class {class_name!r}; "
                f"use one of {', '.join(workspace.classes)}."
            ),
        )
    if not pools.upstreams_of(state, request.model):
        return Refusal(
            code=RefusalCode.UNKNOWN_MODEL,
            message=f"No model {request.model!r}; see /v1/models.",
        )
    return workspace.name, class_name


def _ask_for_grant(
    state: EntryState, opened: OpenRequest, now_s: float
) -> list[effects.Effect]:
    opened.attempt += 1
    request = opened.request
    pool = pools.pool_of(request.model, request.route_prefix)
    message = grant_messages.GrantRequest(
        pool=pool,
        request_id=request.request_id,
        attempt=opened.attempt,
        class_name=opened.class_name,
        workspace=opened.workspace,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.max_output_tokens,
        waited_s=now_s - opened.arrived_s,
        prefix_digests=request.prefix_digests,
        repeatable=request.idempotent,
    )
    return [
        effects.SendToPeer(host=pools.owner_of(state, pool), message=message)
    ]


def _start_attempt(
    state: EntryState, grant: grant_messages.Grant
) -> list[effects.Effect]:
    opened = state.requests.open_by_id.get(grant.request_id)
    if opened is None or opened.attempt != grant.attempt:
        return []
    upstream = state.configuration.current.upstreams_by_name[grant.upstream]
    opened.upstream = upstream.name
    return [
        effects.StartAttempt(
            request_id=grant.request_id,
            attempt=grant.attempt,
            upstream=upstream.name,
            url=upstream.url,
            credential=upstream.credential,
            priority=grant.priority,
            resume=opened.output_tokens > 0,
        )
    ]


def _release(
    state: EntryState, opened: OpenRequest, outcome: Outcome
) -> list[effects.Effect]:
    request = opened.request
    pool = pools.pool_of(request.model, request.route_prefix)
    message = grant_messages.GrantReleased(
        request_id=request.request_id,
        attempt=opened.attempt,
        outcome=outcome,
        output_tokens=opened.output_tokens,
        first_token_s=-1.0,
        duration_s=0.0,
    )
    return [
        effects.SendToPeer(host=pools.owner_of(state, pool), message=message)
    ]
