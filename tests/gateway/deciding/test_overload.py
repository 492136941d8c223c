"""Check who waits and who is refused while long prompts overload the engines.

In a burst of long prompts over a loss of engines, all of them were admitted and
all were late; attempts that waited behind other prompts were restarted
elsewhere, which read the same prompts again; and long prompts overflowed to the
engines of short ones, whose streams then stalled.
"""

import heapq

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import PromptPart
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from shallotfold._gateway.deciding.engine_set import EngineSet
from tests.gateway.factories import SERVICE
from tests.gateway.factories import DispatcherHarness
from tests.gateway.factories import make_route
from tests.gateway.factories import make_upstream

TOKENS_PER_S = 40_000.0
LONG_TARGET_S = 0.6
LONG_ROUTE = make_route(
    RouteKind.STREAM,
    name="drafts",
    target_s=LONG_TARGET_S,
    timeout_s=5.0,
    resumable=True,
)
SHORT_ROUTE = make_route(
    RouteKind.STREAM, name="chats", target_s=0.3, timeout_s=15.0
)
ENGINES = [make_upstream(f"e{number}", slots=32) for number in range(6)]
STEP_S = 0.01


def make_long_prompt(number: int) -> Prompt:
    """Return a prompt whose shared part is one of few."""
    return Prompt(
        model="m",
        parts=(PromptPart(f"site-{number % 5}", 6300), PromptPart("own", 2900)),
        prompt_tokens=9200,
        max_output_tokens=50,
    )


SHORT_PROMPT = Prompt(
    model="m",
    parts=(PromptPart("chat", 200), PromptPart("own", 600)),
    prompt_tokens=800,
    max_output_tokens=300,
)
LONG_ENGINE_IDS = EngineSet.of(ENGINES).preferred_ids(make_long_prompt(0))


def teach_rate(harness: DispatcherHarness) -> None:
    """Let the dispatcher see how fast engines prefill."""
    harness.dispatcher.placement.rates.record(
        SERVICE, int(TOKENS_PER_S), delay_s=1.0
    )


def occupy(harness: DispatcherHarness, tokens: int, *upstream_ids: str) -> None:
    """Let prompts of so many tokens wait at engines."""
    for upstream_id in upstream_ids:
        harness.dispatcher.placement.loads.start_request(
            upstream_id, -1, tokens
        )


def test_attempt_that_waits_behind_other_prompts_is_not_restarted() -> None:
    """It took 1.5 s behind others; its prompt was then read twice."""
    harness = DispatcherHarness(*ENGINES)
    teach_rate(harness)
    occupy(harness, 40_000, *(e.upstream_id for e in ENGINES))
    harness.arrive(route=LONG_ROUTE, prompt=make_long_prompt(0))
    assert harness.sent_upstream_id()
    assert not harness.advance(1.5)


def test_attempt_at_an_idle_engine_that_stalls_is_restarted() -> None:
    harness = DispatcherHarness(*ENGINES)
    teach_rate(harness)
    harness.arrive(route=LONG_ROUTE, prompt=make_long_prompt(0))
    cancel, send = harness.advance(1.5)
    assert isinstance(cancel, effects.CancelAttempt)
    assert isinstance(send, effects.SendAttempt)


def test_long_prompts_are_refused_while_all_engines_are_far_behind() -> None:
    """They are told to return later; short ones are still served."""
    harness = DispatcherHarness(*ENGINES)
    teach_rate(harness)
    occupy(harness, 100_000, *(e.upstream_id for e in ENGINES))
    (refusal,) = harness.arrive(1, LONG_ROUTE, prompt=make_long_prompt(0))
    assert isinstance(refusal, effects.Refuse)
    assert refusal.reason == "engines can't begin in time"
    (send,) = harness.arrive(2, SHORT_ROUTE, prompt=SHORT_PROMPT)
    assert isinstance(send, effects.SendAttempt)


def test_nothing_is_refused_while_the_speed_of_engines_is_unknown() -> None:
    harness = DispatcherHarness(*ENGINES)
    occupy(harness, 100_000, *(e.upstream_id for e in ENGINES))
    (send,) = harness.arrive(1, LONG_ROUTE, prompt=make_long_prompt(0))
    assert isinstance(send, effects.SendAttempt)


def test_engine_that_begins_in_time_goes_before_one_with_the_prefix() -> None:
    """Prompts waited 2 s at the holder of their prefix beside idle engines."""
    harness = DispatcherHarness(*ENGINES)
    teach_rate(harness)
    harness.arrive(1, LONG_ROUTE, prompt=make_long_prompt(0))
    holder = harness.sent_upstream_id()
    harness.feed(events.AttemptSucceeded(now_s=harness.now_s, request=1))
    harness.arrive(2, LONG_ROUTE, prompt=make_long_prompt(0))
    assert harness.sent_upstream_id() == holder
    occupy(harness, 60_000, holder)
    harness.arrive(3, LONG_ROUTE, prompt=make_long_prompt(0))
    assert harness.sent_upstream_id() != holder


def test_busy_holder_of_the_prefix_refuses_no_prompt_beside_idle_ones() -> None:
    """The cheapest engine was too busy, and no other one was looked at."""
    harness = DispatcherHarness(*ENGINES)
    harness.dispatcher.placement.controls_load = True
    teach_rate(harness)
    harness.arrive(1, LONG_ROUTE, prompt=make_long_prompt(0))
    holder = harness.sent_upstream_id()
    harness.feed(events.AttemptSucceeded(now_s=harness.now_s, request=1))
    # It would begin after 0.45 s, within the target but not within 0.7 of it.
    occupy(harness, 18_000, holder)
    harness.arrive(2, LONG_ROUTE, prompt=make_long_prompt(0))
    assert harness.sent_upstream_id()


def test_long_prompts_stay_among_their_engines_while_slots_are_free() -> None:
    harness = DispatcherHarness(*ENGINES)
    teach_rate(harness)
    occupy(harness, 15_000, *LONG_ENGINE_IDS)
    harness.arrive(1, LONG_ROUTE, prompt=make_long_prompt(0))
    assert harness.sent_upstream_id() in LONG_ENGINE_IDS


@attrs.define
class Burst:
    """A burst on engines that prefill one prompt after the other.

    Attributes:
        started_in_time: Responses that began within their target.
        started_late: Responses that began later.
        refused: Requests that weren't sent.
        restarted: Attempts after the first one of a request.
    """

    started_in_time: int = 0
    started_late: int = 0
    refused: int = 0
    restarted: int = 0
    _harness: DispatcherHarness = attrs.field(
        factory=lambda: DispatcherHarness(*ENGINES)
    )
    _free_s_by_engine: dict[str, float] = attrs.field(factory=dict)
    _cached: set[tuple[str, str]] = attrs.field(factory=set)
    _starts: list[tuple[float, int, int]] = attrs.field(factory=list)
    _attempt_by_request: dict[int, int] = attrs.field(factory=dict)
    _arrived_s_by_request: dict[int, float] = attrs.field(factory=dict)

    def play(self, long_per_s: float, seconds: float) -> None:
        """Let prompts arrive at a rate for a while, then let engines finish."""
        harness = self._harness
        end_s = harness.now_s + seconds
        next_arrival_s = harness.now_s
        while harness.now_s < end_s + 3.0:
            if end_s > harness.now_s >= next_arrival_s:
                next_arrival_s += 1.0 / long_per_s
                self._arrive()
            self._start_responses()
            self._carry_out(harness.advance(STEP_S))

    def _arrive(self) -> None:
        request = len(self._arrived_s_by_request)
        self._arrived_s_by_request[request] = self._harness.now_s
        prompt = make_long_prompt(request)
        self._carry_out(
            self._harness.arrive(request, LONG_ROUTE, prompt=prompt)
        )

    def _carry_out(self, returned: list[effects.Effect]) -> None:
        for effect in returned:
            if isinstance(effect, effects.Refuse):
                self.refused += 1
            elif isinstance(effect, effects.SendAttempt):
                self._send(effect)

    def _send(self, send: effects.SendAttempt) -> None:
        self.restarted += send.number > 1
        prompt = make_long_prompt(send.request)
        engine = send.upstream.upstream_id
        tokens = prompt.prompt_tokens
        if (prompt.shared_prefix_id, engine) in self._cached:
            tokens -= prompt.shared_prefix_tokens
        self._cached.add((prompt.shared_prefix_id, engine))
        free_s = max(
            self._free_s_by_engine.get(engine, 0.0), self._harness.now_s
        )
        free_s += tokens / TOKENS_PER_S
        self._free_s_by_engine[engine] = free_s
        self._attempt_by_request[send.request] = send.number
        heapq.heappush(self._starts, (free_s, send.request, send.number))

    def _start_responses(self) -> None:
        now_s = self._harness.now_s
        while self._starts and self._starts[0][0] <= now_s:
            _, request, attempt = heapq.heappop(self._starts)
            if self._attempt_by_request[request] != attempt:
                continue
            if now_s - self._arrived_s_by_request[request] <= LONG_TARGET_S:
                self.started_in_time += 1
            else:
                self.started_late += 1
            for event_class in (
                events.AttemptProgressed,
                events.AttemptSucceeded,
            ):
                self._harness.feed(event_class(now_s=now_s, request=request))


def test_burst_within_capacity_is_served_in_time() -> None:
    burst = Burst()
    burst.play(long_per_s=25.0, seconds=6.0)
    assert burst.refused == 0
    assert burst.started_in_time >= 0.9 * 150


def test_burst_beyond_capacity_is_neither_late_as_a_whole_nor_read_twice() -> (
    None
):
    burst = Burst()
    burst.play(long_per_s=75.0, seconds=6.0)
    assert burst.restarted == 0
    assert burst.refused > 0
    # What isn't refused begins before its caller gives up.
    assert burst.started_in_time + burst.started_late == 75 * 6 - burst.refused
