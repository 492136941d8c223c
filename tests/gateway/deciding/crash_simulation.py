"""Simulate hosts, upstreams and requests in virtual time.

Each host has the reducer's part that holds requests back; messages between
hosts take a while, and heartbeats come as seldom as in the real fleet.
"""

import collections
import heapq
import itertools
import random
from typing import Any

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import PromptPart
from shallotfold._gateway.deciding.crash_knowledge import CrashKnowledge
from shallotfold._gateway.deciding.crashing_requests import CrashingRequests
from shallotfold._gateway.deciding.dispatcher import WRITTEN_WITHOUT_CRASH_S
from shallotfold._gateway.deciding.request_holds import RequestHold
from shallotfold._gateway.deciding.request_traits import fingerprint_trait
from shallotfold._gateway.peers.crash_messages import encode_knowledge
from shallotfold._gateway.peers.crash_news import CrashNews
from shallotfold._gateway.peers.peers import CRASH_BATCH_DELAY_S
from shallotfold._gateway.peers.peers import heartbeat_interval_s

SERVICE = "writers"
CRASHING_PART = "bad"
CRASHING_REQUEST = "worst"
MESSAGE_DELAY_S = 0.02
CRASH_AFTER_S = (0.09, 0.2)
# An answer begins this long after its request was sent.
FIRST_EVENT_S = 0.1
RESTART_S = 3.0
MAX_ATTEMPTS = 2
TICK_S = 0.05


@attrs.frozen(kw_only=True)
class RouteLoad:
    """Traffic of one route.

    Attributes:
        name: Its name; all prompts begin with a part of the route.
        rate: Requests per second of the whole fleet.
        subjects: Number of parts that requests share below the route.
        answer_s: Shortest and longest time to the end of an answer.
        resumable: Whether a broken request is tried at another engine.
        has_prompts: Whether requests have prompts, no two alike; else there are
            as many different requests as subjects.
    """

    name: str
    rate: float
    subjects: int
    answer_s: tuple[float, float]
    resumable: bool = True
    has_prompts: bool = True


@attrs.define(eq=False)
class _Attempt:
    request: int
    host: int
    engine: int
    route: RouteLoad
    prompt: Prompt
    fingerprint: str
    number: int
    began_s: float
    crashing: bool


class CrashSimulation:
    """One run.

    Attributes:
        crashes_s: Times at which engines ended under crashing requests.
        crashing_sends_s: Times at which such requests were sent to engines.
        sound_holds: Holds of other requests, with the time.
        datagram_loss: Share of the messages that is lost.
        refused_sound: Sound requests that were held back.
        sent_sound: All sound requests.
        sent_bytes: Bytes of messages between hosts, by host and second.
    """

    def __init__(
        self,
        *,
        seed: int,
        host_count: int,
        engine_count: int,
        routes: tuple[RouteLoad, ...],
        crashing_rate: float,
        are_equal: bool = False,
    ) -> None:
        """Set a fleet up.

        Args:
            seed: Of all that is random.
            host_count: Number of hosts.
            engine_count: Number of engines.
            routes: Traffic; crashing requests come on the first route.
            crashing_rate: Crashing requests per second of the whole fleet.
            are_equal: Whether they are equal; else they have one part of their
                prompts in common.
        """
        self.now_s = 0.0
        self.datagram_loss = 0.0
        self._are_equal = are_equal
        self._claimed_trials: set[tuple[frozenset[str], int]] = set()
        self.crashes_s: list[float] = []
        self.crashing_sends_s: list[float] = []
        self.sound_holds: list[tuple[float, frozenset[str]]] = []
        self.refused_sound = 0
        self.sent_sound = 0
        self.sent_bytes: collections.Counter[tuple[int, int]] = (
            collections.Counter()
        )
        self._news = [CrashNews() for _ in range(host_count)]
        self._announcing: set[int] = set()
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
            self._at(self._rng.uniform(0.0, TICK_S), self._tick, host)
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

    def late_sends(self, allowed_s: float, *, crash: int = 5) -> int:
        """Return crashing requests sent later than allowed.

        Args:
            allowed_s: Time after a crash.
            crash: Number of that crash.
        """
        if len(self.crashes_s) < crash:
            return 0
        from_s = self.crashes_s[crash - 1] + allowed_s
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
        fingerprint = f"{request}" if route.has_prompts else part_id
        if crashing and self._are_equal:
            parts = [route.name, f"{route.name}/s0", "own"]
            fingerprint = CRASHING_REQUEST
        prompt = Prompt()
        if route.has_prompts:
            prompt = Prompt(parts=tuple(PromptPart(p, 300) for p in parts))
        host = self._rng.randrange(len(self._hosts))
        self._send(request, host, route, prompt, fingerprint, 1, crashing)

    def _send(
        self,
        request: int,
        host: int,
        route: RouteLoad,
        prompt: Prompt,
        fingerprint: str,
        number: int,
        crashing: bool,
    ) -> None:
        requests = self._hosts[host]
        hold = requests.hold_on(prompt, self.now_s, fingerprint)
        if hold and (number > 1 or not requests.may_try(hold, self.now_s)):
            if not crashing:
                self.refused_sound += 1
            return
        if not self._engines:
            return
        if hold:
            requests.begin_trial(hold)
            self._after(host)
        engine = self._rng.choice(self._engines)
        attempt = _Attempt(
            request,
            host,
            engine,
            route,
            prompt,
            fingerprint,
            number,
            self.now_s,
            crashing,
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
            if route.has_prompts and written_s < answer_s:
                self._at(written_s, self._record_sound, attempt)

    def _answer(self, attempt: _Attempt) -> None:
        self._record_sound(attempt)
        self._open_by_engine.get(attempt.engine, set()).discard(attempt)

    def _record_sound(self, attempt: _Attempt) -> None:
        if attempt in self._open_by_engine.get(attempt.engine, ()):
            requests = self._hosts[attempt.host]
            requests.record_answer(
                SERVICE, attempt.prompt, self.now_s, attempt.fingerprint
            )
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
            requests = self._hosts[attempt.host]
            written_s = self.now_s - attempt.began_s - FIRST_EVENT_S
            is_cause = (
                not attempt.route.has_prompts
                or written_s <= WRITTEN_WITHOUT_CRASH_S
            )
            requests.record_crash(
                f"{engine}/0",
                SERVICE,
                attempt.prompt if is_cause else Prompt(),
                self.now_s,
                fingerprint=attempt.fingerprint if is_cause else "",
                sent_s=attempt.began_s,
                answer_begun=(
                    attempt.route.has_prompts
                    and written_s > 0.0
                    and not attempt.crashing
                ),
                follows_crash=attempt.number > 1,
            )
            if attempt.route.resumable and attempt.number < MAX_ATTEMPTS:
                self._send(
                    attempt.request,
                    attempt.host,
                    attempt.route,
                    attempt.prompt,
                    attempt.fingerprint,
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
        requests = self._hosts[host]
        cause = (
            fingerprint_trait(CRASHING_REQUEST)
            if self._are_equal
            else CRASHING_PART
        )
        for hold in requests.holds.values():
            if hold.decided_here and cause not in hold.traits:
                self.sound_holds.append((self.now_s, hold.traits))
                hold.decided_here = False
        if requests.has_news:
            requests.has_news = False
            if host not in self._announcing:
                self._announcing.add(host)
                self._at(CRASH_BATCH_DELAY_S, self._announce, host)

    def _announce(self, host: int) -> None:
        self._announcing.discard(host)
        knowledge = self._hosts[host].knowledge(self.now_s)
        news, recipients = self._news[host], len(self._hosts) - 1
        self._tell_peers(
            host, news.select_news(knowledge, self.now_s, recipients)
        )
        delay_s = news.news_delay_s(knowledge, self.now_s, recipients)
        if delay_s is not None:
            self._announcing.add(host)
            self._at(max(delay_s, CRASH_BATCH_DELAY_S), self._announce, host)

    def _tick(self, host: int) -> None:
        requests = self._hosts[host]
        requests.decide_settled(self.now_s)
        for hold in requests.holds.values():
            self._claim_trial(requests, hold)
        self._after(host)
        self._at(TICK_S, self._tick, host)

    def _claim_trial(
        self, requests: CrashingRequests, hold: RequestHold
    ) -> None:
        if (
            hold.is_of_equal_requests
            and hold.refused_s > self.now_s - 1.0
            and self.now_s >= requests.trial_due_s(hold)
        ):
            trial = (hold.traits, hold.trials + 1)
            is_own = trial not in self._claimed_trials
            self._claimed_trials.add(trial)
            requests.record_claim(hold, trial[1], is_own=is_own)

    def _heartbeat(self, host: int) -> None:
        self._hosts[host].drop_expired(self.now_s)
        self._tell_peers(
            host,
            self._news[host].select_for_heartbeat(
                self._hosts[host].knowledge(self.now_s),
                self.now_s,
                len(self._hosts) - 1,
            ),
        )
        self._at(
            self._interval_s * self._rng.uniform(0.8, 1.2),
            self._heartbeat,
            host,
        )

    def _tell_peers(self, host: int, knowledge: CrashKnowledge) -> None:
        if knowledge:
            size = len(encode_knowledge(f"host-{host}", knowledge))
            recipients = len(self._hosts) - 1
            self.sent_bytes[host, int(self.now_s)] += size * recipients
            self._at(MESSAGE_DELAY_S, self._receive, host, knowledge)

    def _receive(self, sender: int, knowledge: Any) -> None:
        for host, requests in enumerate(self._hosts):
            if host != sender and self._rng.random() >= self.datagram_loss:
                requests.merge(f"h{sender}", knowledge, self.now_s)
                self._after(host)
