"""Decide where requests go, when to retry them and when to give up.

The dispatcher is a reducer: `reduce(event)` changes its state and returns
effects. It reads no clock, draws no random number and does no I/O.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from shallotfold._gateway.deciding.cold_upstreams import ColdChange
from shallotfold._gateway.deciding.crashing_requests import CrashingRequests
from shallotfold._gateway.deciding.engine_set import EngineSet
from shallotfold._gateway.deciding.engine_set import is_long
from shallotfold._gateway.deciding.named_limits import LimitStatement
from shallotfold._gateway.deciding.partition_shares import PartitionShares
from shallotfold._gateway.deciding.partition_shares import PromptLoad
from shallotfold._gateway.deciding.placement import Placement
from shallotfold._gateway.deciding.prefill_rates import MIN_SAMPLE_TOKENS
from shallotfold._gateway.deciding.request_holds import HoldChange
from shallotfold._gateway.deciding.request_holds import RequestHold
from shallotfold._gateway.deciding.retry_budget import FleetRetryBudget
from shallotfold._model.events import Event

# Refused callers should retry while more than half of their waiting time is
# left, and not all at once: the minimum delay gets a uniform jitter on top.
MIN_RETRY_AFTER_S = 0.25
RETRY_AFTER_JITTER_S = 0.75
# When all upstreams asked for a pause, callers return after the shortest one,
# spread over this share of it.
PAUSE_JITTER_SHARE = 0.5
# The same share of the time after which limited upstreams take a request.
RETURN_JITTER_SHARE = 0.2
# Upstreams get this much less than the remaining time, so that a response which
# they send at their deadline can still be forwarded.
RESPONSE_TRANSIT_S = 0.03
# An attempt with less time than this can't end in a useful response.
MIN_ATTEMPT_S = 0.05
# Derives a random number for each attempt from the one of the request; steps of
# the golden ratio spread evenly.
DRAW_STEP = 0.61803398875
# A repeatable attempt without a first byte after this multiple of the latency
# target is abandoned while another upstream may still respond in time.
FIRST_BYTE_TIMEOUT_PER_TARGET = 2.0
MIN_FIRST_BYTE_TIMEOUT_S = 0.25
# An engine that is busy with the prompts before it hasn't stalled, and another
# one would read the prompt again.
FIRST_BYTE_TIMEOUT_PER_EXPECTED = 2.0
# A long prompt is admitted while some engine can begin to read it within this
# multiple of its latency target. In an overload, further ones would delay each
# other and the streams of other requests.
ADMITTED_WAIT_PER_TARGET = 2.0
# The same with load control. Hosts learn of each other's requests with a delay,
# so that in a burst the wait is about twice as long as expected.
CONTROLLED_WAIT_PER_TARGET = 0.7
# A resumable stream that stalls for this multiple of the route's gap target,
# and at least for the minimum, is resumed at another upstream.
STALL_TIMEOUT_PER_GAP_TARGET = 3.0
MIN_STALL_TIMEOUT_S = 1.2
# Callers choose the number of parts; further ones aren't logged.
MAX_LOGGED_PARTS = 16
# A prompt whose answer has been written for this long doesn't end upstreams.
WRITTEN_WITHOUT_CRASH_S = 0.5
# A held prompt is told the whole time that the hold lasts, with this share on
# top at most, so that its callers don't return at the same moment.
HOLD_JITTER_SHARE = 0.1


# Sets of engines for requests that only some regions may serve.
MAX_CACHED_ENGINE_SETS = 64


@attrs.define(kw_only=True)
class _OpenRequest:
    """State of a request that has no final response yet."""

    request: int
    route: Route
    service: str
    rank: int
    prompt: Prompt
    fingerprint: str
    arrived_s: float
    deadline_s: float
    draw: float
    allowed_regions: frozenset[str] | None
    attempts: int = 0
    upstream: str = ""
    upstream_started_ms: int = 0
    sent_s: float = 0.0
    predicted_s: float = 0.0
    expected_s: float = 0.0
    running: int = 0
    sent_to_cold: bool = False
    pending_tokens: int = 0
    last_progress_s: float | None = None
    writing_since_s: float | None = None
    is_sound: bool = False
    is_trial: bool = False
    has_broken: bool = False
    tried_upstreams: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    response_started: bool = False
    failure_held: bool = False


Effects = list[effects.Effect]


class Dispatcher:
    """State machine of all open requests of one host.

    Attributes:
        placement: Chooses upstreams.
        budget: Bounds retries.
        crashing_requests: Requests that are held back.
        partition_shares: Shares of engines for long prompts; they follow the
            load where `placement.controls_load` is set.
        upstreams_by_id: Upstreams that may get requests.
        region_by_data_centre: Region of each data centre. Upstreams in other
            data centres are in no region.
    """

    def __init__(self, placement: Placement, budget: FleetRetryBudget) -> None:
        self.placement = placement
        self.budget = budget
        self.region_by_data_centre: Mapping[str, str] = {}
        self.crashing_requests = CrashingRequests()
        self.partition_shares = PartitionShares()
        self.upstreams_by_id: Mapping[str, Upstream] = {}
        self._engines_by_service: dict[str, EngineSet] = {}
        self._engines_by_regions: dict[
            tuple[str, frozenset[str]], EngineSet
        ] = {}
        self._open_requests: dict[int, _OpenRequest] = {}
        self._handlers: dict[type, Callable[[Any], Effects]] = {
            events.RequestArrived: self._on_arrived,
            events.AttemptUnsent: self._on_unsent,
            events.AttemptRejected: self._on_rejected,
            events.AttemptProgressed: self._on_progressed,
            events.AttemptBroken: self._on_broken,
            events.AttemptFailed: self._on_failed,
            events.AttemptSucceeded: self._on_succeeded,
            events.CallerDisconnected: self._on_caller_disconnected,
            events.LoadReported: self._on_load_reported,
            events.PauseRequested: self._on_pause_requested,
            events.LimitStated: self._on_limit_stated,
            events.UpstreamsChanged: self._on_upstreams_changed,
            events.ServicesChanged: self._on_services_changed,
            events.PeerLoadsReceived: self._on_peer_loads,
            events.PeerLimitsReceived: self._on_peer_limits,
            events.PeerCrashesReceived: self._on_peer_crashes,
            events.StoredHoldsRead: self._on_stored_holds,
            events.ServingEnded: self._on_serving_ended,
            events.TimePassed: self._on_time_passed,
        }

    def reduce(self, event: Event) -> Effects:
        """Handle an event and return its effects."""
        return self._handlers[type(event)](event)

    @property
    def open_requests(self) -> int:
        """Number of requests without a final response."""
        return len(self._open_requests)

    # Events of one request.

    def _on_arrived(self, event: events.RequestArrived) -> Effects:
        request = _OpenRequest(
            request=event.request,
            route=event.route,
            service=event.service,
            rank=event.rank,
            prompt=event.prompt,
            fingerprint=event.fingerprint,
            arrived_s=event.now_s,
            deadline_s=min(
                event.deadline_s, event.now_s + event.route.timeout_s
            ),
            draw=event.draw,
            allowed_regions=event.allowed_regions,
        )
        self._open_requests[event.request] = request
        self.budget.count_request(event.service, event.now_s)
        self.placement.limits.shares.count_request(event.service)
        arrival_effects = self._send(request, event.now_s) or self._refuse(
            request, "no upstream has room", event.now_s
        )
        return arrival_effects + self._hold_effects([])

    def _on_unsent(self, event: events.AttemptUnsent) -> Effects:
        request = self._open_requests.get(event.request)
        if request is None:
            return []
        if event.host_is_full:
            self._end_attempt(request)
            return self._give_up(
                request, "this host has too many connections", event.now_s
            )
        self.placement.health.record_unreachable(request.upstream, event.now_s)
        self._end_attempt(request)
        request.attempts -= 1
        return self._send(request, event.now_s) or self._give_up(
            request, "upstreams can't be reached", event.now_s
        )

    def _on_rejected(self, event: events.AttemptRejected) -> Effects:
        request = self._open_requests.get(event.request)
        if request is None:
            return []
        if event.wrong_upstream:
            self.placement.health.record_replaced(request.upstream)
        elif not self._is_limited(request.upstream):
            self._record_failure(request, event.now_s)
        self._end_attempt(request)
        return self._retry(request, event.now_s) or self._give_up(
            request, "upstream rejected the request unrun", event.now_s
        )

    def _on_progressed(self, event: events.AttemptProgressed) -> Effects:
        request = self._open_requests.get(event.request)
        if request is not None:
            if request.last_progress_s is None:
                self.placement.rates.record(
                    request.service,
                    request.pending_tokens,
                    event.now_s - request.sent_s,
                )
                request.writing_since_s = event.now_s
                if request.prompt.prompt_tokens:
                    self._record_speed(request, event.now_s)
            request.last_progress_s = event.now_s
            self.placement.loads.record_first_byte(
                request.upstream, request.request
            )
            if not request.is_sound and self._has_written_long(
                request, event.now_s
            ):
                return self._record_sound(request, event.now_s)
        return []

    def _on_broken(self, event: events.AttemptBroken) -> Effects:
        request = self._open_requests.get(event.request)
        if request is None:
            return []
        request.response_started = event.response_started
        request.may_have_run = True
        self.placement.health.record_failure(request.upstream, event.now_s)
        crash_effects = self._record_crash(request, event.now_s)
        request.has_broken = True
        self._end_attempt(request)
        if request.route.repeatable:
            retry_effects = self._retry(request, event.now_s)
            if retry_effects:
                return crash_effects + retry_effects
        return crash_effects + self._fail(
            request, "upstream broke off its answer"
        )

    def _on_failed(self, event: events.AttemptFailed) -> Effects:
        request = self._open_requests.get(event.request)
        if request is None:
            return []
        request.may_have_run = True
        request.failure_held = True
        self._record_failure(request, event.now_s)
        self._end_attempt(request)
        if request.route.repeatable:
            retry_effects = self._retry(request, event.now_s)
            if retry_effects:
                return retry_effects
        return self._deliver_failure(request)

    def _on_succeeded(self, event: events.AttemptSucceeded) -> Effects:
        request = self._open_requests.pop(event.request, None)
        if request is None:
            return []
        if not request.prompt.prompt_tokens:
            self._record_speed(request, event.now_s)
        self.placement.health.record_success(request.upstream, event.now_s)
        self._end_attempt(request)
        if not event.end_marked:
            return []
        return self._record_sound(request, event.now_s)

    def _on_caller_disconnected(
        self, event: events.CallerDisconnected
    ) -> Effects:
        request = self._open_requests.pop(event.request, None)
        if request is None or not request.upstream:
            return []
        self._end_attempt(request)
        return [effects.CancelAttempt(request=request.request)]

    # Events that aren't about one request.

    def _on_load_reported(self, event: events.LoadReported) -> Effects:
        if event.at_head and not self.placement.controls_load:
            return []
        self.placement.loads.record_reported_load(
            event.upstream, event.running + event.waiting, event.now_s
        )
        upstream = self.upstreams_by_id.get(event.upstream)
        if (
            self.placement.controls_load
            and event.percent is not None
            and upstream is not None
            and upstream.started_ms == event.started_ms
        ):
            self.placement.speeds.record_reported(
                upstream, event.percent, event.now_s
            )
        return []

    def _on_pause_requested(self, event: events.PauseRequested) -> Effects:
        self.placement.health.record_pause(
            event.upstream, event.now_s + event.pause_s, event.now_s
        )
        return []

    def _on_limit_stated(self, event: events.LimitStated) -> Effects:
        change = self.placement.limits.record(
            LimitStatement(
                upstream=event.upstream.upstream_id,
                started_ms=event.upstream.started_ms,
                rate=event.rate,
                sent_s=event.sent_s,
                received_s=event.now_s,
            ),
            event.now_s,
        )
        if change is None:
            return []
        return [effects.LogLimitChange(change=change), effects.AnnounceLimits()]

    def _on_upstreams_changed(self, event: events.UpstreamsChanged) -> Effects:
        self.upstreams_by_id = event.upstreams_by_id
        serving: dict[str, list[Upstream]] = {}
        for upstream in event.upstreams_by_id.values():
            if not upstream.draining:
                serving.setdefault(upstream.service, []).append(upstream)
        self._engines_by_service = {
            service: EngineSet.of(
                upstreams, self.partition_shares.share_of(service)
            )
            for service, upstreams in serving.items()
        }
        self._engines_by_regions.clear()
        self.placement.health.keep_only(set(event.upstreams_by_id))
        self.placement.speeds.keep_only(event.upstreams_by_id)
        return _log_cold_changes(
            self.placement.limits.record_registrations(
                event.upstreams_by_id, event.now_s, event.source
            )
        )

    def _on_services_changed(self, event: events.ServicesChanged) -> Effects:
        return _log_cold_changes(
            self.placement.limits.set_services(
                event.services_by_name, self.upstreams_by_id, event.now_s
            )
        )

    def _on_peer_loads(self, event: events.PeerLoadsReceived) -> Effects:
        self.placement.loads.record_peer_loads(
            event.peer, event.loads_by_upstream, event.now_s
        )
        for prefix_id, upstream in event.prefixes_sent:
            self.placement.prefixes.record(prefix_id, upstream, event.now_s)
        self.placement.limits.shares.record_peer_demand(
            event.peer, event.demand_by_service, event.now_s
        )
        self.placement.speeds.record_peer_samples(
            event.speed_samples, self.upstreams_by_id, event.now_s
        )
        self.partition_shares.record_peer(
            event.peer, event.prompts_by_service, event.now_s
        )
        return []

    def _on_peer_limits(self, event: events.PeerLimitsReceived) -> Effects:
        changes = [
            self.placement.limits.record(statement, event.now_s, event.peer)
            for statement in event.statements
        ]
        return [
            effects.LogLimitChange(change=change)
            for change in changes
            if change is not None
        ]

    def _on_peer_crashes(self, event: events.PeerCrashesReceived) -> Effects:
        return self._hold_effects(
            self.crashing_requests.merge(
                event.peer, event.knowledge, event.now_s
            )
        )

    def _on_stored_holds(self, event: events.StoredHoldsRead) -> Effects:
        return self._hold_effects(
            self.crashing_requests.load(event.holds, event.now_s)
        )

    def _on_time_passed(self, event: events.TimePassed) -> Effects:
        self.budget.host_count = event.host_count
        self.placement.host_count = event.host_count
        self.crashing_requests.host_count = event.host_count
        self.placement.loads.drop_expired(event.now_s)
        self.placement.limits.clock_offset_s = event.clock_offset_s
        due_effects = _log_cold_changes(
            self.placement.limits.update(self.upstreams_by_id, event.now_s)
        )
        due_effects += self._hold_effects(
            [
                *self.crashing_requests.drop_expired(event.now_s),
                *self.crashing_requests.decide_settled(event.now_s),
            ]
        )
        if self.placement.controls_load and self.partition_shares.is_due(
            event.now_s
        ):
            due_effects += self._divide_engines(event.now_s)
        due_effects += [
            effects.LogSpeedChange(change=change)
            for change in self.placement.speeds.review(
                self.upstreams_by_id, event.now_s
            )
        ]
        for request in list(self._open_requests.values()):
            if event.now_s >= request.deadline_s:
                due_effects += self._time_out(request, event.now_s)
            elif self._is_stalled(request, event.now_s):
                due_effects += self._switch_upstream(request, event.now_s)
        return due_effects

    def _on_serving_ended(self, event: events.ServingEnded) -> Effects:
        del event
        ending_effects: Effects = []
        for request in list(self._open_requests.values()):
            ending_effects += self._abandon(request, "this host has stopped")
        return ending_effects

    def _divide_engines(self, now_s: float) -> Effects:
        """Let the partitions of long and short prompts follow the load."""
        loads_by_service: dict[str, PromptLoad] = {}
        for request in self._open_requests.values():
            if not request.upstream or not request.prompt.prompt_tokens:
                continue
            load = loads_by_service.get(request.service, PromptLoad(0, 0))
            loads_by_service[request.service] = (
                attrs.evolve(load, long=load.long + 1)
                if is_long(request.prompt)
                else attrs.evolve(load, short=load.short + 1)
            )
        changed = self.partition_shares.update(
            loads_by_service,
            {
                service: sum(u.slots for u in engines.by_id.values())
                for service, engines in self._engines_by_service.items()
            },
            now_s,
        )
        for service, share in changed.items():
            engines = self._engines_by_service.get(service)
            if engines is not None:
                self._engines_by_service[service] = EngineSet(
                    engines.by_id, share
                )
        if changed:
            self._engines_by_regions.clear()
        return [
            effects.LogPartition(service=service, long_share=share)
            for service, share in changed.items()
        ]

    def _engines_of(self, request: _OpenRequest) -> EngineSet | None:
        """Return the engines that may get a request, if there are any."""
        engines = self._engines_by_service.get(request.service)
        regions = request.allowed_regions
        if regions is None or engines is None:
            return engines
        key = (request.service, regions)
        allowed = self._engines_by_regions.get(key)
        if allowed is None:
            allowed = EngineSet.of(
                (
                    upstream
                    for upstream in engines.by_id.values()
                    if self.region_by_data_centre.get(upstream.data_centre)
                    in regions
                ),
                engines.long_share,
            )
            if len(self._engines_by_regions) >= MAX_CACHED_ENGINE_SETS:
                self._engines_by_regions.clear()
            self._engines_by_regions[key] = allowed
        return allowed if allowed.by_id else None

    # Attempts, retries and final responses.

    def _send(self, request: _OpenRequest, now_s: float) -> Effects:
        """Send the request to the best upstream; no effects without one."""
        remaining_s = request.deadline_s - now_s
        if remaining_s < MIN_ATTEMPT_S:
            return []
        if request.attempts >= request.route.max_attempts:
            return []
        hold = self._hold_on(request, now_s)
        if hold is not None and not self._may_try(request, hold, now_s):
            return []
        engines = self._engines_of(request)
        if engines is None:
            return []
        placement = self.placement
        upstream = placement.choose_upstream(
            engines,
            request.prompt,
            now_s,
            request.route.target_s,
            request.tried_upstreams,
            (request.draw + request.attempts * DRAW_STEP) % 1.0,
        )
        if upstream is None:
            return []
        if self._is_too_busy(request, upstream, now_s):
            # The cheapest engine may be the busy holder of the prefix.
            upstream = placement.choose_upstream(
                engines,
                request.prompt,
                now_s,
                request.route.target_s,
                request.tried_upstreams | {upstream.upstream_id},
                (request.draw + DRAW_STEP) % 1.0,
            )
            if upstream is None or self._is_too_busy(request, upstream, now_s):
                return self._refuse(
                    request, "engines can't begin in time", now_s
                )
        if hold is not None and not request.is_trial:
            request.is_trial = True
            self.crashing_requests.begin_trial(hold)
        placement.limits.record_send(upstream)
        request.attempts += 1
        request.upstream = upstream.upstream_id
        request.upstream_started_ms = upstream.started_ms
        request.tried_upstreams.add(upstream.upstream_id)
        request.sent_s = now_s
        request.last_progress_s = None
        request.writing_since_s = None
        prompt = request.prompt
        cached_tokens = placement.expected_cached_tokens(engines, prompt, now_s)
        uncached_tokens = max(
            0, prompt.prompt_tokens - cached_tokens.get(upstream.upstream_id, 0)
        )
        placement.loads.start_request(
            upstream.upstream_id, request.request, uncached_tokens
        )
        placement.prefixes.record_send(prompt, upstream.upstream_id, now_s)
        load = placement.loads.total_load(upstream.upstream_id)
        request.pending_tokens = load.pending_tokens
        request.running = load.requests
        request.sent_to_cold = upstream.cold_remaining_s > 0.0
        request.predicted_s = placement.rates.prefill_s(
            request.service, load.pending_tokens
        )
        request.expected_s = request.predicted_s * placement.speeds.time_factor(
            upstream, now_s
        )
        return [
            effects.SendAttempt(
                request=request.request,
                upstream=upstream,
                number=request.attempts,
                allowed_s=max(MIN_ATTEMPT_S, remaining_s - RESPONSE_TRANSIT_S),
                reason=(
                    f"rank={request.rank} unread={uncached_tokens} "
                    f"pending={load.pending_tokens} "
                    f"requests={load.requests} candidates={len(engines.by_id)} "
                    f"expected_ms={request.expected_s * 1000:.0f}"
                ),
                shared_part_ids=prompt.shared_part_ids[:MAX_LOGGED_PARTS],
            )
        ]

    def _may_try(
        self, request: _OpenRequest, hold: RequestHold, now_s: float
    ) -> bool:
        """Whether a held request may be let through as a trial."""
        if request.attempts:
            return False
        # A trial that reached no upstream still has to be made.
        return request.is_trial or self.crashing_requests.may_try(hold, now_s)

    def _hold_on(
        self, request: _OpenRequest, now_s: float
    ) -> RequestHold | None:
        return self.crashing_requests.hold_on(
            request.prompt, now_s, request.fingerprint
        )

    def _is_too_busy(
        self, request: _OpenRequest, upstream: Upstream, now_s: float
    ) -> bool:
        """Whether even the best engine can't begin a new request in time."""
        if request.attempts or not is_long(request.prompt):
            return False
        load = self.placement.loads.total_load(upstream.upstream_id)
        wait_s = self.placement.rates.prefill_s(
            request.service, load.pending_tokens
        ) * self.placement.speeds.time_factor(upstream, now_s)
        wait_per_target = (
            CONTROLLED_WAIT_PER_TARGET
            if self.placement.controls_load
            else ADMITTED_WAIT_PER_TARGET
        )
        return wait_s > wait_per_target * request.route.target_s

    def _retry(self, request: _OpenRequest, now_s: float) -> Effects:
        if request.attempts >= request.route.max_attempts:
            return []
        if not self.budget.allows_retry(request.service, now_s):
            return []
        retry_effects = self._send(request, now_s)
        if retry_effects:
            self.budget.count_retry(request.service, now_s)
        return retry_effects

    def _is_stalled(self, request: _OpenRequest, now_s: float) -> bool:
        """Whether the attempt has stalled and may move to another upstream."""
        if not request.upstream or not request.route.repeatable:
            return False
        if request.attempts >= request.route.max_attempts:
            return False
        if request.last_progress_s is None:
            timeout_s = max(
                MIN_FIRST_BYTE_TIMEOUT_S,
                FIRST_BYTE_TIMEOUT_PER_TARGET * request.route.target_s,
                FIRST_BYTE_TIMEOUT_PER_EXPECTED * request.expected_s,
            )
            return now_s - request.sent_s > timeout_s
        timeout_s = max(
            MIN_STALL_TIMEOUT_S,
            STALL_TIMEOUT_PER_GAP_TARGET * request.route.gap_target_s,
        )
        return (
            request.route.kind is RouteKind.STREAM
            and now_s - request.last_progress_s > timeout_s
        )

    def _switch_upstream(self, request: _OpenRequest, now_s: float) -> Effects:
        stalled_upstream = request.upstream
        sent_s, last_progress_s = request.sent_s, request.last_progress_s
        retry_effects = self._retry(request, now_s)
        if not retry_effects:
            # The attempt continues; its timer is moved forward, so that it is
            # checked again later.
            request.sent_s = max(sent_s, now_s - MIN_FIRST_BYTE_TIMEOUT_S)
            if last_progress_s is not None:
                request.last_progress_s = now_s
            return []
        self.placement.health.record_failure(stalled_upstream, now_s)
        self.placement.loads.end_request(stalled_upstream, request.request)
        request.may_have_run = True
        return [effects.CancelAttempt(request=request.request), *retry_effects]

    def _time_out(self, request: _OpenRequest, now_s: float) -> Effects:
        if request.upstream and request.last_progress_s is None:
            self.placement.health.record_failure(request.upstream, now_s)
        return self._abandon(request, "time ran out", timed_out=True)

    def _abandon(
        self, request: _OpenRequest, reason: str, *, timed_out: bool = False
    ) -> Effects:
        """End a request although an upstream may still work on it."""
        cancel: Effects = []
        if request.upstream:
            self._end_attempt(request)
            request.may_have_run = True
            cancel = [effects.CancelAttempt(request=request.request)]
        if request.failure_held and not request.response_started:
            return cancel + self._deliver_failure(request)
        return cancel + self._fail(request, reason, timed_out=timed_out)

    def _give_up(
        self, request: _OpenRequest, reason: str, now_s: float
    ) -> Effects:
        """End a request whose last attempt is known not to have run."""
        if request.failure_held and not request.response_started:
            return self._deliver_failure(request)
        if request.may_have_run or request.response_started:
            return self._fail(request, reason)
        return self._refuse(request, reason, now_s)

    def _refuse(
        self, request: _OpenRequest, reason: str, now_s: float
    ) -> Effects:
        self._open_requests.pop(request.request, None)
        hold = self._hold_on(request, now_s)
        if hold is not None:
            hold_s = hold.ends_s - now_s
            return [
                effects.Refuse(
                    request=request.request,
                    retry_after_s=hold_s
                    * (1.0 + HOLD_JITTER_SHARE * request.draw),
                    reason=(
                        "upstreams end under this request"
                        if hold.is_of_equal_requests
                        else "upstreams end under prompts with part "
                        + " and ".join(sorted(hold.traits))
                    ),
                )
            ]
        engines = self._engines_of(request)
        limited = self.placement.upstreams_if_all_limited(engines, now_s)
        if limited:
            limits = self.placement.limits
            return_s = limits.book_return_s(request.service, limited, now_s)
            return [
                effects.Refuse(
                    request=request.request,
                    retry_after_s=MIN_RETRY_AFTER_S
                    + return_s * (1.0 + RETURN_JITTER_SHARE * request.draw),
                    reason=(
                        "all upstreams are cold or named limits, which are "
                        "reached"
                        if limits.cold
                        else "all upstreams named limits, which are reached"
                    ),
                )
            ]
        pause_s = (
            self.placement.pause_remaining_s(engines, now_s) if engines else 0.0
        )
        delay_s = max(MIN_RETRY_AFTER_S, pause_s)
        jitter_s = max(RETRY_AFTER_JITTER_S, PAUSE_JITTER_SHARE * pause_s)
        return [
            effects.Refuse(
                request=request.request,
                retry_after_s=delay_s + jitter_s * request.draw,
                reason="all upstreams asked for a pause" if pause_s else reason,
            )
        ]

    def _fail(
        self, request: _OpenRequest, reason: str, *, timed_out: bool = False
    ) -> Effects:
        self._open_requests.pop(request.request, None)
        return [
            effects.Fail(
                request=request.request, timed_out=timed_out, reason=reason
            )
        ]

    def _deliver_failure(self, request: _OpenRequest) -> Effects:
        self._open_requests.pop(request.request, None)
        return [effects.DeliverFailure(request=request.request)]

    def _record_failure(self, request: _OpenRequest, now_s: float) -> None:
        """Record a failed attempt; a request for a pause is no failure."""
        health = self.placement.health
        if not health.pause_remaining_s(request.upstream, now_s):
            health.record_failure(request.upstream, now_s)

    def _record_speed(self, request: _OpenRequest, now_s: float) -> None:
        """Record the time of a response that says how fast its upstream is."""
        placement = self.placement
        upstream = self.upstreams_by_id.get(request.upstream)
        if (
            not placement.controls_load
            or upstream is None
            or upstream.started_ms != request.upstream_started_ms
            or request.sent_to_cold
            or placement.health.was_unreachable(
                request.upstream, request.sent_s
            )
        ):
            return
        time_s = now_s - request.sent_s
        if request.prompt.prompt_tokens:
            # Shorter prefills say little; see `PrefillRates`.
            if request.pending_tokens < MIN_SAMPLE_TOKENS or not (
                request.predicted_s
            ):
                return
            time_s /= request.predicted_s
        # What peers sent at the same time is known only later.
        load = placement.loads.total_load(request.upstream)
        placement.speeds.record_time(
            upstream, time_s, max(request.running, load.requests), now_s
        )

    def _is_limited(self, upstream_id: str) -> bool:
        upstream = self.upstreams_by_id.get(upstream_id)
        return upstream is not None and self.placement.limits.is_limited(
            upstream
        )

    def _record_crash(self, request: _OpenRequest, now_s: float) -> Effects:
        """Record that the upstream of an open request may have ended."""
        upstream = self.upstreams_by_id.get(request.upstream)
        if upstream is None or upstream.draining:
            # It was expected to end.
            return []
        prompt, fingerprint = request.prompt, request.fingerprint
        if self._has_written_long(request, now_s):
            # It isn't the cause, but tells when the upstream ended.
            prompt, fingerprint = Prompt(), ""
        return self._hold_effects(
            self.crashing_requests.record_crash(
                # It may have started again since the request was sent.
                f"{request.upstream}/{request.upstream_started_ms}",
                request.service,
                prompt,
                now_s,
                fingerprint=fingerprint,
                sent_s=request.sent_s,
                answer_begun=request.writing_since_s is not None,
                follows_crash=request.has_broken,
            )
        )

    def _record_sound(self, request: _OpenRequest, now_s: float) -> Effects:
        request.is_sound = True
        return self._hold_effects(
            self.crashing_requests.record_answer(
                request.service, request.prompt, now_s, request.fingerprint
            )
        )

    def _has_written_long(self, request: _OpenRequest, now_s: float) -> bool:
        since_s = request.writing_since_s
        return since_s is not None and now_s - since_s > WRITTEN_WITHOUT_CRASH_S

    def _hold_effects(self, changes: Sequence[HoldChange]) -> Effects:
        hold_effects: Effects = [
            effects.LogHoldChange(change=change) for change in changes
        ]
        if self.crashing_requests.has_news:
            self.crashing_requests.has_news = False
            hold_effects.append(effects.AnnounceCrashes())
        return hold_effects

    def _end_attempt(self, request: _OpenRequest) -> None:
        if request.upstream:
            self.placement.loads.end_request(request.upstream, request.request)
            request.upstream = ""


def _log_cold_changes(changes: Sequence[ColdChange]) -> Effects:
    return [effects.LogColdChange(change=change) for change in changes]
