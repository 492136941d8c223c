"""Decide where requests go, when they are repeated and when to give up.

The dispatcher is a reducer: `reduce(event)` changes its state and returns
effects. It reads no clock, draws no random number and does no I/O.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from shallotfold._gateway.deciding.engine_set import EngineSet
from shallotfold._gateway.deciding.placement import Placement
from shallotfold._gateway.deciding.retry_budget import FleetRetryBudget
from shallotfold._model.events import Event

# Callers should be back before half of what they can still wait is over, and
# not all at once: between these, as uniform draws.
SHORTEST_RETRY_AFTER_S = 0.25
RETRY_AFTER_SPREAD_S = 0.75
# Upstreams get this much less time than is left, so that their own answer
# at the deadline is still passed on.
TRANSIT_S = 0.03
# An attempt with less time than this can't end in a useful answer.
SHORTEST_ATTEMPT_S = 0.05
# Turns the draw of a request into another one for each attempt; steps of the
# golden ratio spread evenly.
DRAW_STEP = 0.61803398875
# A repeatable attempt that is silent for this multiple of the target is
# given up while another upstream may still answer in time.
PATIENCE_PER_TARGET = 2.0
SHORTEST_PATIENCE_S = 0.25
# A resumable stream that pauses for this multiple of its longest pause on
# time, and at least this long, goes on elsewhere.
PATIENCE_PER_GAP = 3.0
SHORTEST_GAP_PATIENCE_S = 1.2


@attrs.define(kw_only=True)
class _OpenRequest:
    """What is known about a request that has no final answer yet."""

    request: int
    route: Route
    service: str
    rank: int
    prompt: Prompt
    arrived_s: float
    ends_s: float
    draw: float
    attempts: int = 0
    upstream: str = ""
    sent_s: float = 0.0
    progressed_s: float | None = None
    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    answer_started: bool = False
    failure_held: bool = False


Effects = list[effects.Effect]


class Dispatcher:
    """The state of all open requests of one host.

    Attributes:
        placement: Chooses upstreams.
        budget: Bounds second sends.
        upstreams_by_id: Upstreams that may get requests.
    """

    def __init__(self, placement: Placement, budget: FleetRetryBudget) -> None:
        self.placement = placement
        self.budget = budget
        self.upstreams_by_id: Mapping[str, Upstream] = {}
        self._engines_by_service: dict[str, EngineSet] = {}
        self._open: dict[int, _OpenRequest] = {}
        self._handlers: dict[type, Callable[[Any], Effects]] = {
            events.RequestArrived: self._on_arrived,
            events.AttemptUnsent: self._on_unsent,
            events.AttemptRejected: self._on_rejected,
            events.AttemptProgressed: self._on_progressed,
            events.AttemptBroken: self._on_broken,
            events.AttemptFailed: self._on_failed,
            events.AttemptSucceeded: self._on_succeeded,
            events.CallerLeft: self._on_caller_left,
            events.LoadReported: self._on_load_reported,
            events.UpstreamsChanged: self._on_upstreams_changed,
            events.PeerLoadsReceived: self._on_peer_loads,
            events.TimePassed: self._on_time_passed,
        }

    def reduce(self, event: Event) -> Effects:
        """Take an event and return what is to be done."""
        return self._handlers[type(event)](event)

    @property
    def open_requests(self) -> int:
        """Requests without a final answer."""
        return len(self._open)

    # Events of one request.

    def _on_arrived(self, event: events.RequestArrived) -> Effects:
        request = _OpenRequest(
            request=event.request,
            route=event.route,
            service=event.service,
            rank=event.rank,
            prompt=event.prompt,
            arrived_s=event.now_s,
            ends_s=min(event.deadline_s, event.now_s + event.route.timeout_s),
            draw=event.draw,
        )
        self._open[event.request] = request
        self.budget.count_request(event.service, event.now_s)
        return self._send(request, event.now_s) or self._refuse(
            request, "no upstream has room"
        )

    def _on_unsent(self, event: events.AttemptUnsent) -> Effects:
        request = self._open.get(event.request)
        if request is None:
            return []
        self.placement.health.record_unreachable(request.upstream, event.now_s)
        self._end_attempt(request)
        request.attempts -= 1
        return self._send(request, event.now_s) or self._give_up(
            request, "upstreams can't be reached"
        )

    def _on_rejected(self, event: events.AttemptRejected) -> Effects:
        request = self._open.get(event.request)
        if request is None:
            return []
        if event.wrong_upstream:
            self.placement.health.record_replaced(request.upstream)
        else:
            self.placement.health.record_failure(request.upstream, event.now_s)
        self._end_attempt(request)
        return self._repeat(request, event.now_s) or self._give_up(
            request, "upstream rejected the request unrun"
        )

    def _on_progressed(self, event: events.AttemptProgressed) -> Effects:
        request = self._open.get(event.request)
        if request is not None:
            request.progressed_s = event.now_s
            self.placement.loads.record_first_byte(
                request.upstream, request.request
            )
        return []

    def _on_broken(self, event: events.AttemptBroken) -> Effects:
        request = self._open.get(event.request)
        if request is None:
            return []
        request.answer_started = event.answer_started
        request.may_have_run = True
        self.placement.health.record_failure(request.upstream, event.now_s)
        self._end_attempt(request)
        if request.route.repeatable:
            repeated = self._repeat(request, event.now_s)
            if repeated:
                return repeated
        return self._fail(request, "upstream broke off its answer")

    def _on_failed(self, event: events.AttemptFailed) -> Effects:
        request = self._open.get(event.request)
        if request is None:
            return []
        request.may_have_run = True
        request.failure_held = True
        self.placement.health.record_failure(request.upstream, event.now_s)
        self._end_attempt(request)
        if request.route.repeatable:
            repeated = self._repeat(request, event.now_s)
            if repeated:
                return repeated
        return self._deliver_failure(request)

    def _on_succeeded(self, event: events.AttemptSucceeded) -> Effects:
        request = self._open.pop(event.request, None)
        if request is not None:
            self.placement.health.record_success(request.upstream, event.now_s)
            self._end_attempt(request)
        return []

    def _on_caller_left(self, event: events.CallerLeft) -> Effects:
        request = self._open.pop(event.request, None)
        if request is None or not request.upstream:
            return []
        self._end_attempt(request)
        return [effects.CancelAttempt(request=request.request)]

    # Events of the surroundings.

    def _on_load_reported(self, event: events.LoadReported) -> Effects:
        self.placement.loads.record_reported_load(
            event.upstream, event.running + event.waiting, event.now_s
        )
        return []

    def _on_upstreams_changed(self, event: events.UpstreamsChanged) -> Effects:
        self.upstreams_by_id = event.upstreams_by_id
        serving: dict[str, list[Upstream]] = {}
        for upstream in event.upstreams_by_id.values():
            if not upstream.draining:
                serving.setdefault(upstream.service, []).append(upstream)
        self._engines_by_service = {
            service: EngineSet.of(upstreams)
            for service, upstreams in serving.items()
        }
        self.placement.health.keep_only(set(event.upstreams_by_id))
        return []

    def _on_peer_loads(self, event: events.PeerLoadsReceived) -> Effects:
        self.placement.loads.record_peer_loads(
            event.peer, event.loads_by_upstream, event.now_s
        )
        for key, upstream in event.prefixes_sent:
            self.placement.prefixes.record(key, upstream, event.now_s)
        return []

    def _on_time_passed(self, event: events.TimePassed) -> Effects:
        self.budget.hosts = event.hosts
        self.placement.hosts = event.hosts
        self.placement.loads.drop_expired(event.now_s)
        wanted: Effects = []
        for request in list(self._open.values()):
            if event.now_s >= request.ends_s:
                wanted += self._time_out(request, event.now_s)
            elif self._is_stuck(request, event.now_s):
                wanted += self._move(request, event.now_s)
        return wanted

    # Steps.

    def _send(self, request: _OpenRequest, now_s: float) -> Effects:
        """Send the request to the best upstream; nothing if there is none."""
        left_s = request.ends_s - now_s
        if left_s < SHORTEST_ATTEMPT_S:
            return []
        if request.attempts >= request.route.max_attempts:
            return []
        engines = self._engines_by_service.get(request.service)
        if engines is None:
            return []
        place = self.placement
        upstream = place.choose(
            engines,
            request.prompt,
            now_s,
            request.route.target_s,
            request.tried,
            (request.draw + request.attempts * DRAW_STEP) % 1.0,
        )
        if upstream is None:
            return []
        request.attempts += 1
        request.upstream = upstream.upstream_id
        request.tried.add(upstream.upstream_id)
        request.sent_s = now_s
        request.progressed_s = None
        prompt = request.prompt
        kept = place.kept_tokens(engines, prompt, now_s)
        tokens = max(
            0, prompt.prompt_tokens - kept.get(upstream.upstream_id, 0)
        )
        place.loads.start_request(upstream.upstream_id, request.request, tokens)
        place.prefixes.record_send(prompt, upstream.upstream_id, now_s)
        total = place.loads.total_load(upstream.upstream_id)
        return [
            effects.SendAttempt(
                request=request.request,
                upstream=upstream,
                number=request.attempts,
                allowed_s=max(SHORTEST_ATTEMPT_S, left_s - TRANSIT_S),
                reason=(
                    f"rank={request.rank} unread={tokens} "
                    f"pending={total.pending_tokens} "
                    f"requests={total.requests} candidates={len(engines.by_id)}"
                ),
            )
        ]

    def _repeat(self, request: _OpenRequest, now_s: float) -> Effects:
        if request.attempts >= request.route.max_attempts:
            return []
        if not self.budget.take(request.service, now_s):
            return []
        return self._send(request, now_s)

    def _is_stuck(self, request: _OpenRequest, now_s: float) -> bool:
        """Whether another upstream should take a silent attempt over."""
        if not request.upstream or not request.route.repeatable:
            return False
        if request.attempts >= request.route.max_attempts:
            return False
        if request.progressed_s is None:
            patience_s = max(
                SHORTEST_PATIENCE_S,
                PATIENCE_PER_TARGET * request.route.target_s,
            )
            return now_s - request.sent_s > patience_s
        patience_s = max(
            SHORTEST_GAP_PATIENCE_S,
            PATIENCE_PER_GAP * request.route.gap_target_s,
        )
        return (
            request.route.kind is RouteKind.STREAM
            and now_s - request.progressed_s > patience_s
        )

    def _move(self, request: _OpenRequest, now_s: float) -> Effects:
        silent = request.upstream
        sent_s, progressed_s = request.sent_s, request.progressed_s
        repeated = self._repeat(request, now_s)
        if not repeated:
            # The attempt stays; it is looked at again one patience later.
            request.sent_s = max(sent_s, now_s - SHORTEST_PATIENCE_S)
            if progressed_s is not None:
                request.progressed_s = now_s
            return []
        self.placement.health.record_failure(silent, now_s)
        self.placement.loads.end_request(silent, request.request)
        request.may_have_run = True
        return [effects.CancelAttempt(request=request.request), *repeated]

    def _time_out(self, request: _OpenRequest, now_s: float) -> Effects:
        cancel: Effects = []
        if request.upstream:
            if request.progressed_s is None:
                self.placement.health.record_failure(request.upstream, now_s)
            self._end_attempt(request)
            request.may_have_run = True
            cancel = [effects.CancelAttempt(request=request.request)]
        if request.failure_held and not request.answer_started:
            return cancel + self._deliver_failure(request)
        return cancel + self._fail(request, "time ran out", timed_out=True)

    def _give_up(self, request: _OpenRequest, reason: str) -> Effects:
        """End a request after an attempt that is known not to have run."""
        if request.failure_held and not request.answer_started:
            return self._deliver_failure(request)
        if request.may_have_run or request.answer_started:
            return self._fail(request, reason)
        return self._refuse(request, reason)

    def _refuse(self, request: _OpenRequest, reason: str) -> Effects:
        self._open.pop(request.request, None)
        return [
            effects.Refuse(
                request=request.request,
                retry_after_s=SHORTEST_RETRY_AFTER_S
                + RETRY_AFTER_SPREAD_S * request.draw,
                reason=reason,
            )
        ]

    def _fail(
        self, request: _OpenRequest, reason: str, *, timed_out: bool = False
    ) -> Effects:
        self._open.pop(request.request, None)
        return [
            effects.Fail(
                request=request.request, timed_out=timed_out, reason=reason
            )
        ]

    def _deliver_failure(self, request: _OpenRequest) -> Effects:
        self._open.pop(request.request, None)
        return [effects.DeliverFailure(request=request.request)]

    def _end_attempt(self, request: _OpenRequest) -> None:
        if request.upstream:
            self.placement.loads.end_request(request.upstream, request.request)
            request.upstream = ""
