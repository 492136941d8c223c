"""Check which requests are held back after upstreams ended under them."""

import itertools

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import PromptPart
from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from tests.gateway.factories import DispatcherHarness
from tests.gateway.factories import make_route
from tests.gateway.factories import make_upstream

STREAM = make_route(
    RouteKind.STREAM, max_attempts=2, reads_prompt=True, resumable=True
)
UPSTREAM_COUNT = 8
# An answer is ready, or its upstream ends, this long after the send.
RUN_S = 0.1


def make_prompt_of(*part_ids: str) -> Prompt:
    parts = [PromptPart(part_id, 300) for part_id in (*part_ids, "own")]
    return Prompt(
        model="m",
        parts=tuple(parts),
        prompt_tokens=300 * len(parts),
        max_output_tokens=50,
    )


class EnginesHarness(DispatcherHarness):
    """A dispatcher whose upstreams end under requests with some parts."""

    def __init__(self, *crashing_parts: str) -> None:
        self.crashing_parts = set(crashing_parts)
        self.crashed: list[str] = []
        self._request_numbers = itertools.count(1)
        self._upstream_numbers = itertools.count()
        self._ids = [self._new_id() for _ in range(UPSTREAM_COUNT)]
        super().__init__(*(make_upstream(name) for name in self._ids))

    def _new_id(self) -> str:
        return f"u{next(self._upstream_numbers)}"

    def send(self, *part_ids: str, route: Route = STREAM) -> int:
        """Send a request and run it to its end; return its attempts."""
        request = next(self._request_numbers)
        self.arrive(request, route, prompt=make_prompt_of(*part_ids))
        attempts = 0
        while True:
            sends = [
                e for e in self.effects if isinstance(e, effects.SendAttempt)
            ]
            if not sends:
                return attempts
            attempts += 1
            self.advance(RUN_S)
            if self.crashing_parts & set(part_ids):
                self.crash(sends[0].upstream.upstream_id, request)
            else:
                self.answer(request)

    def answer(self, request: int) -> None:
        """Let a request be answered completely."""
        for event in (events.AttemptProgressed, events.AttemptSucceeded):
            self.feed(event(now_s=self.now_s, request=request))

    def crash(self, upstream_id: str, *requests: int) -> None:
        """Let an upstream end under requests; another one takes its place."""
        self.crashed.append(upstream_id)
        effects_of_last: list[effects.Effect] = []
        for request in requests:
            effects_of_last = self.feed(
                events.AttemptBroken(
                    now_s=self.now_s, request=request, response_started=False
                )
            )
        self._ids.remove(upstream_id)
        self._ids.append(self._new_id())
        self.change_upstreams(*(make_upstream(name) for name in self._ids))
        self.effects = effects_of_last


def test_part_under_which_upstreams_ended_is_sent_to_no_further_ones() -> None:
    # Each request with the part had a fresh upstream, and its retry another.
    harness = EnginesHarness("bad")
    for number in range(20):
        harness.send("system", "bad")
        assert harness.send("system", f"subject{number % 3}") == 1
    assert len(harness.crashed) <= 5
