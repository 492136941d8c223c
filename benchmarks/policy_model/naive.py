"""Naive routing, the baseline of the policy benchmark.

Entries don't coordinate. Requests are served in arrival order by the upstream
with the lowest reported load, without load shedding and with plain retries.
"""

import attrs

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Upstream
from shallotfold._model.requests import CallerRequest
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode
from shallotfold._model.upstreams import UpstreamLoad

MAX_ATTEMPTS = 3


@attrs.define(kw_only=True)
class NaiveState:
    """State of one naive entry.

    Attributes:
        configuration: Configuration of the deployment.
        load_by_upstream: Last load report of each upstream.
        open_by_id: Open requests and the number of their current attempt.
    """

    configuration: Configuration = attrs.field(factory=Configuration)
    load_by_upstream: dict[str, UpstreamLoad] = attrs.field(factory=dict)
    open_by_id: dict[str, tuple[CallerRequest, int]] = attrs.field(factory=dict)


def reduce(state: NaiveState, event: events.Event) -> list[effects.Effect]:
    """Apply an event and return the resulting effects."""
    if isinstance(event, events.RequestArrived):
        return _dispatch(state, event.request, 1)
    if isinstance(event, events.AttemptEnded):
        return _end_attempt(state, event)
    if isinstance(event, events.CallerDisconnected):
        _, attempt = state.open_by_id.pop(event.request_id, (None, 0))
        return [
            effects.CancelAttempt(request_id=event.request_id, attempt=attempt)
        ]
    if isinstance(event, events.LoadReported):
        state.load_by_upstream[event.upstream] = event.load
    if isinstance(event, events.LoadFetchFailed):
        state.load_by_upstream.pop(event.upstream, None)
    if isinstance(event, events.ConfigurationRead):
        state.configuration = event.configuration
    return []


def _dispatch(
    state: NaiveState, request: CallerRequest, attempt: int
) -> list[effects.Effect]:
    state.open_by_id[request.request_id] = (request, attempt)
    upstream = min(
        _eligible_upstreams(state, request),
        key=lambda u: (_reported_load(state, u), u.name),
    )
    return [
        effects.StartAttempt(
            request_id=request.request_id,
            attempt=attempt,
            upstream=upstream.name,
            url=upstream.url,
            credential=upstream.credential,
            priority=1,
            resume=False,
        )
    ]


def _end_attempt(
    state: NaiveState, event: events.AttemptEnded
) -> list[effects.Effect]:
    request, attempt = state.open_by_id.get(event.request_id, (None, 0))
    if request is None or attempt != event.attempt:
        return []
    if event.outcome is Outcome.RAN:
        del state.open_by_id[event.request_id]
        return [effects.FinishAnswer(request_id=event.request_id)]
    if not event.answer_started and attempt < MAX_ATTEMPTS:
        return _dispatch(state, request, attempt + 1)
    del state.open_by_id[event.request_id]
    refusal = Refusal(
        code=RefusalCode.UPSTREAM_FAILED,
        message="The upstream failed.",
        outcome=Outcome.UNKNOWN,
    )
    return [effects.RefuseRequest(request_id=event.request_id, refusal=refusal)]


def _eligible_upstreams(
    state: NaiveState, request: CallerRequest
) -> list[Upstream]:
    route = state.configuration.routes_by_prefix.get(request.route_prefix)
    return [
        upstream
        for upstream in state.configuration.upstreams_by_name.values()
        if (
            upstream.service == route.service
            if route
            else upstream.model == request.model
        )
    ]


def _reported_load(state: NaiveState, upstream: Upstream) -> float:
    load = state.load_by_upstream.get(upstream.name)
    if load is None:
        return 0.0
    return (load.running + load.queued) / upstream.slots
