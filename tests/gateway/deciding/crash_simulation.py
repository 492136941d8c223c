"""Simulate hosts, engines and prompts in virtual time.

Each host has the reducer's part that holds prompts back; messages between hosts
take a while, and heartbeats come as seldom as in the real fleet.
"""

import heapq
import itertools
import random
from typing import Any

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import PromptPart
from shallotfold._gateway.deciding.crashing_requests import CrashingRequests
from shallotfold._gateway.deciding.dispatcher import WRITTEN_WITHOUT_CRASH_S
from shallotfold._gateway.peers.peers import heartbeat_interval_s

SERVICE = "writers"
CRASHING_PART = "bad"
MESSAGE_DELAY_S = 0.02
CRASH_AFTER_S = (0.09, 0.2)
# An answer begins this long after its request was sent.
FIRST_EVENT_S = 0.1
RESTART_S = 3.0
MAX_ATTEMPTS = 2


@attrs.frozen(kw_only=True)
class RouteLoad:
    """Traffic of one route.

    Attributes:
        name: Its name; all prompts begin with a part of the route.
        rate: Requests per second of the whole fleet.
        subjects: Number of parts that requests share below the route.
        answer_s: Shortest and longest time to the end of an answer.
        resumable: Whether a broken request is tried at another engine.
    """

    name: str
    rate: float
    subjects: int
    answer_s: tuple[float, float]
    resumable: bool = True


@attrs.define(eq=False)
class _Attempt:
    request: int
    host: int
    engine: int
    route: RouteLoad
    prompt: Prompt
    number: int
    began_s: float
    crashing: bool


class CrashSimulation:
    """One run.

    Attributes:
        crashes_s: Times at which engines ended under the crashing part.
        crashing_sends_s: Times at which requests with it were sent to engines.
        sound_holds: Holds that don't name the crashing part, with the time.
        refused_sound: Sound requests that were held back.
        sent_sound: All sound requests.
    """

    def __init__(
        self,
        *,
        seed: int,
        host_count: int,
        engine_count: int,
        routes: tuple[RouteLoad, ...],
        crashing_rate: float,
    ) -> None:
        self.now_s = 0.0
        self.crashes_s: list[float] = []
        self.crashing_sends_s: list[float] = []
        self.sound_holds: list[tuple[float, frozenset[str]]] = []
        self.refused_sound = 0
        self.sent_sound = 0
        self._rng = random.Random(seed)
        self._routes = routes
        self._crashing_rate = crashing_rate
        self._hosts = [
            CrashingRequests(
                host_count=host_count, trial_draw=self._rng.random()
            )
            for _ in range(host_count)
        ]
        self._engine_ids = itertools.count(engine_count)
        self._engines = list(range(engine_count))
        self._open_by_engine: dict[int, set[_Attempt]] = {
            engine: set() for engine in self._engines
        }
        self._queue: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._requests = itertools.count()
        self._interval_s = heartbeat_interval_s(host_count)
        for host in range(host_count):
            self._at(
                self._rng.uniform(0.0, self._interval_s), self._heartbeat, host
            )
        for route in routes:
            self._at(0.0, self._arrive, route)

    def run(self, seconds: float) -> None:
        """Run until a time."""
        while self._queue and self._queue[0][0] <= seconds:
            self.now_s, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)
        self.now_s = seconds

    def start_crashing(self) -> None:
        """Let requests with the crashing part come from now on."""
        self._at(0.0, self._arrive_crashing)

    def crash_engines(self, share: float) -> None:
        """Let engines end for a reason of their own, at the same moment."""
        count = round(len(self._engines) * share)
        for engine in self._rng.sample(self._engines, count):
            self._crash(engine)

    def late_sends(self, allowed_s: float) -> int:
        """Return crashing requests sent later than allowed."""
        if len(self.crashes_s) < 5:
            return 0
        from_s = self.crashes_s[4] + allowed_s
        return sum(sent_s > from_s for sent_s in self.crashing_sends_s)

    def _at(self, delay_s: float, action: Any, *arguments: Any) -> None:
        heapq.heappush(
            self._queue,
            (self.now_s + delay_s, next(self._order), action, arguments),
        )

    def _arrive(self, route: RouteLoad) -> None:
        self._at(self._rng.expovariate(route.rate), self._arrive, route)
        subject = int(route.subjects * self._rng.random() ** 1.5)
        self.sent_sound += 1
        self._begin(route, f"{route.name}/s{subject}", crashing=False)

    def _arrive_crashing(self) -> None:
        self._at(
            self._rng.expovariate(self._crashing_rate), self._arrive_crashing
        )
        self._begin(self._routes[0], CRASHING_PART, crashing=True)

    def _begin(self, route: RouteLoad, part_id: str, *, crashing: bool) -> None:
        request = next(self._requests)
        parts = [route.name, part_id, f"own{request}"]
        prompt = Prompt(parts=tuple(PromptPart(p, 300) for p in parts))
        host = self._rng.randrange(len(self._hosts))
        self._send(request, host, route, prompt, 1, crashing)

    def _send(
        self,
        request: int,
        host: int,
        route: RouteLoad,
        prompt: Prompt,
        number: int,
        crashing: bool,
    ) -> None:
        prompts = self._hosts[host]
        hold = prompts.hold_on(prompt, self.now_s)
        if hold and (number > 1 or not prompts.try_trial(hold, self.now_s)):
            if not crashing:
                self.refused_sound += 1
            return
        self._after(host)
        if not self._engines:
            return
        engine = self._rng.choice(self._engines)
        attempt = _Attempt(
            request, host, engine, route, prompt, number, self.now_s, crashing
        )
        self._open_by_engine[engine].add(attempt)
        if crashing:
            self.crashing_sends_s.append(self.now_s)
            self._at(
                self._rng.uniform(*CRASH_AFTER_S), self._crash_under, attempt
            )
        else:
            answer_s = self._rng.uniform(*route.answer_s)
            self._at(answer_s, self._answer, attempt)
            written_s = FIRST_EVENT_S + WRITTEN_WITHOUT_CRASH_S
            if written_s < answer_s:
                self._at(written_s, self._record_sound, attempt)

    def _answer(self, attempt: _Attempt) -> None:
        self._record_sound(attempt)
        self._open_by_engine.get(attempt.engine, set()).discard(attempt)

    def _record_sound(self, attempt: _Attempt) -> None:
        if attempt in self._open_by_engine.get(attempt.engine, ()):
            prompts = self._hosts[attempt.host]
            prompts.record_answer(SERVICE, attempt.prompt, self.now_s)
            self._after(attempt.host)

    def _crash_under(self, attempt: _Attempt) -> None:
        if attempt in self._open_by_engine.get(attempt.engine, ()):
            self.crashes_s.append(self.now_s)
            self._crash(attempt.engine)

    def _crash(self, engine: int) -> None:
        self._engines.remove(engine)
        broken = self._open_by_engine.pop(engine)
        self._at(RESTART_S, self._restart)
        for attempt in sorted(broken, key=lambda a: a.request):
            prompts = self._hosts[attempt.host]
            written_s = self.now_s - attempt.began_s - FIRST_EVENT_S
            is_cause = written_s <= WRITTEN_WITHOUT_CRASH_S
            prompts.record_crash(
                f"{engine}/0",
                SERVICE,
                attempt.prompt if is_cause else Prompt(),
                self.now_s,
                sent_s=attempt.began_s,
                answer_begun=written_s > 0.0 and not attempt.crashing,
            )
            if attempt.route.resumable and attempt.number < MAX_ATTEMPTS:
                self._send(
                    attempt.request,
                    attempt.host,
                    attempt.route,
                    attempt.prompt,
                    attempt.number + 1,
                    attempt.crashing,
                )
        for host in {attempt.host for attempt in broken}:
            self._after(host)

    def _restart(self) -> None:
        engine = next(self._engine_ids)
        self._engines.append(engine)
        self._open_by_engine[engine] = set()

    def _after(self, host: int) -> None:
        """Do what the gateway does after an event."""
        prompts = self._hosts[host]
        for hold in prompts.holds.values():
            if hold.decided_here and CRASHING_PART not in hold.traits:
                self.sound_holds.append((self.now_s, hold.traits))
                hold.decided_here = False
        if prompts.has_news:
            prompts.has_news = False
            self._tell_peers(host)

    def _heartbeat(self, host: int) -> None:
        self._hosts[host].drop_expired(self.now_s)
        self._tell_peers(host)
        self._at(
            self._interval_s * self._rng.uniform(0.8, 1.2),
            self._heartbeat,
            host,
        )

    def _tell_peers(self, host: int) -> None:
        knowledge = self._hosts[host].knowledge(self.now_s)
        if knowledge:
            self._at(MESSAGE_DELAY_S, self._receive, host, knowledge)

    def _receive(self, sender: int, knowledge: Any) -> None:
        for host, prompts in enumerate(self._hosts):
            if host != sender:
                prompts.merge(f"h{sender}", knowledge, self.now_s)
                self._after(host)
