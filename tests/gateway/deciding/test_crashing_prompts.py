"""Check which requests are held back after upstreams ended under them."""

import itertools
import math

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import PromptPart
from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from shallotfold._gateway.deciding.crash_evidence import MAX_EVIDENCE_TRAITS
from shallotfold._gateway.deciding.crashing_requests import MAX_REPORTS
from shallotfold._gateway.deciding.crashing_requests import CrashingRequests
from shallotfold._gateway.deciding.dispatcher import WRITTEN_WITHOUT_CRASH_S
from shallotfold._gateway.deciding.request_holds import HOLD_S
from shallotfold._gateway.deciding.request_holds import TRIAL_AFTER_S
from shallotfold._gateway.peers.change_messages import MAX_MESSAGE_BYTES
from shallotfold._gateway.peers.crash_messages import decode_knowledge
from shallotfold._gateway.peers.crash_messages import encode_knowledge
from tests.gateway.factories import DispatcherHarness
from tests.gateway.factories import make_route
from tests.gateway.factories import make_upstream

STREAM = make_route(
    RouteKind.STREAM, max_attempts=2, reads_prompt=True, resumable=True
)
ONCE = make_route(
    RouteKind.STREAM, name="once", path_prefix="/once/", max_attempts=1
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


def held_harness() -> EnginesHarness:
    """Return a host that holds part "bad" back and knows "system" as sound."""
    harness = EnginesHarness("bad")
    harness.send("system", "good")
    harness.send("system", "good")
    harness.send("system", "bad")
    harness.send("system", "bad")
    assert set(harness.dispatcher.crashing_requests.holds) == {
        frozenset({"bad"})
    }
    return harness


def test_part_under_which_upstreams_ended_is_sent_to_no_further_ones() -> None:
    # Each request with the part had a fresh upstream, and its retry another.
    harness = EnginesHarness("bad")
    for number in range(20):
        harness.send("system", "bad")
        assert harness.send("system", f"subject{number % 3}") == 1
    assert len(harness.crashed) <= 5


def test_prompts_with_the_other_parts_are_sent_while_a_part_is_held() -> None:
    """Without any earlier answer, the first part is as suspect as the other."""
    harness = EnginesHarness("bad")
    for number in range(6):
        harness.send("system", "bad", f"subject{number}")
    for number in range(6):
        assert harness.send("system", f"subject{number}") == 1
        assert harness.send("system", f"subject{number}", "bad") == 0
    assert set(harness.dispatcher.crashing_requests.holds) == {
        frozenset({"bad"})
    }


def test_held_request_is_told_that_it_has_not_run_and_how_long() -> None:
    harness = held_harness()
    (refusal,) = harness.arrive(900, STREAM, prompt=make_prompt_of("bad"))
    assert isinstance(refusal, effects.Refuse)
    assert refusal.reason == "upstreams end under prompts with part bad"
    assert HOLD_S - 10.0 <= refusal.retry_after_s <= 1.1 * HOLD_S


def test_request_is_not_retried_once_its_part_is_held() -> None:
    harness = EnginesHarness("bad")
    harness.send("system", "good")
    harness.send("system", "good")
    harness.send("system", "bad")
    # The third upstream ends under the first attempt of this one.
    assert harness.send("system", "bad") == 1


def test_part_that_is_answered_now_and_then_is_not_held() -> None:
    """Sound requests break off too when an upstream ends."""
    harness = EnginesHarness("bad")
    for _ in range(10):
        harness.crashing_parts = {"shared"}
        harness.send("system", "shared")
        harness.crashing_parts = set()
        harness.send("system", "shared")
    assert not harness.dispatcher.crashing_requests.holds


def test_upstream_that_was_leaving_does_not_count_as_crashed() -> None:
    harness = EnginesHarness()
    harness.send("system", "other")
    harness.send("system", "other")
    for request in (501, 502, 503, 504):
        harness.arrive(request, ONCE, prompt=make_prompt_of("system", "rare"))
        upstream_id = harness.dispatcher._open_requests[request].upstream
        harness.change_upstreams(make_upstream(upstream_id, draining=True))
        harness.now_s += 1.0
        harness.crash(upstream_id, request)
    assert not harness.dispatcher.crashing_requests.holds


def test_one_request_is_let_through_as_a_trial_and_releases_a_sound_part() -> (
    None
):
    harness = held_harness()
    harness.advance(TRIAL_AFTER_S + 1.0)
    assert harness.send("system", "bad") == 1
    assert harness.send("system", "bad") == 0
    harness = held_harness()
    harness.crashing_parts = set()
    harness.advance(TRIAL_AFTER_S + 1.0)
    assert harness.send("system", "bad") == 1
    assert harness.send("system", "bad") == 1
    assert not harness.dispatcher.crashing_requests.holds


def test_part_that_was_held_before_is_held_again_after_one_crash() -> None:
    harness = held_harness()
    harness.advance(HOLD_S + 1.0)
    assert not harness.dispatcher.crashing_requests.holds
    harness.send("system", "good")
    harness.send("system", "good")
    assert harness.send("system", "bad") == 1
    assert harness.send("system", "bad") == 0


def test_answer_without_a_marked_end_does_not_show_that_a_part_is_sound() -> (
    None
):
    """The connection also ends when the upstream does."""
    harness = held_harness()
    harness.advance(TRIAL_AFTER_S + 1.0)
    harness.arrive(900, STREAM, prompt=make_prompt_of("bad"))
    harness.sent_upstream_id()
    harness.feed(
        events.AttemptSucceeded(
            now_s=harness.now_s, request=900, end_marked=False
        )
    )
    assert harness.dispatcher.crashing_requests.holds


def test_answer_that_is_written_for_long_releases_its_parts() -> None:
    harness = held_harness()
    harness.advance(TRIAL_AFTER_S + 1.0)
    harness.arrive(900, STREAM, prompt=make_prompt_of("bad"))
    for _ in range(2):
        harness.feed(events.AttemptProgressed(now_s=harness.now_s, request=900))
        harness.now_s += WRITTEN_WITHOUT_CRASH_S + 0.1
    assert not harness.dispatcher.crashing_requests.holds


def test_crash_counts_under_the_start_that_got_the_request() -> None:
    """Requests sent to an ended upstream looked like crashes of its successor.

    They broke off after it had started again, so that sound parts had as many
    crashes as the one that ended it.
    """
    first, second = (
        attrs.evolve(make_upstream("u0"), started_ms=start) for start in (1, 2)
    )
    harness = DispatcherHarness(first)
    harness.arrive(1, ONCE, prompt=make_prompt_of("s1"))
    harness.change_upstreams(second)
    harness.feed(
        events.AttemptBroken(
            now_s=harness.now_s, request=1, response_started=False
        )
    )
    knowledge = harness.dispatcher.crashing_requests.knowledge(harness.now_s)
    assert [report.upstream for report in knowledge.reports] == ["u0/1"]


class TwoHosts:
    """What two hosts know, with a clock that both follow."""

    def __init__(self) -> None:
        self.now_s = 50.0
        self.a = CrashingRequests()
        self.b = CrashingRequests()
        self.answer_others()

    def answer_others(self) -> None:
        """Let both hosts see that the service answers."""
        for host in (self.a, self.b):
            for _ in range(2):
                host.record_answer(
                    "writers", make_prompt_of("good"), self.now_s
                )

    def crash(self, host: CrashingRequests, *part_ids: str) -> None:
        """Let a new upstream end under a request of a host."""
        self.now_s += 0.2
        host.record_crash(
            f"u{self.now_s:.1f}/1",
            "writers",
            make_prompt_of(*part_ids),
            self.now_s,
        )

    def exchange(self) -> None:
        self.now_s += 0.01
        for sender, receiver in ((self.a, self.b), (self.b, self.a)):
            sent = encode_knowledge("peer", sender.knowledge(self.now_s))
            message = decode_knowledge(sent)
            assert message is not None
            receiver.merge(*message, self.now_s)


def test_crashes_at_several_hosts_count_together() -> None:
    hosts = TwoHosts()
    for host in (hosts.a, hosts.b, hosts.a):
        hosts.crash(host, "bad")
        hosts.exchange()
    for host in (hosts.a, hosts.b):
        assert host.hold_on(make_prompt_of("bad"), hosts.now_s)


def test_upstreams_that_end_at_the_same_moment_hold_no_part_back() -> None:
    """They ended for one common reason, such as a lost rack."""
    hosts = TwoHosts()
    for number in range(8):
        hosts.a.record_crash(
            f"u{number}/1", "writers", make_prompt_of("rare"), hosts.now_s
        )
    assert not hosts.a.holds


def test_crash_that_several_hosts_saw_counts_once() -> None:
    hosts = TwoHosts()
    for _ in range(2):
        hosts.now_s += 0.2
        for host in (hosts.a, hosts.b):
            host.record_crash(
                f"u{hosts.now_s:.1f}/1",
                "writers",
                make_prompt_of("bad"),
                hosts.now_s,
            )
        hosts.exchange()
    assert not hosts.a.holds


def test_requests_to_an_upstream_that_has_ended_do_not_count() -> None:
    """Something in front of it may still accept connections, and reset them."""
    hosts = TwoHosts()
    for number in range(4):
        hosts.now_s += 3.0
        hosts.answer_others()
        for host, age_s in ((hosts.a, 0.0), (hosts.b, 0.1)):
            host.record_crash(
                f"u{number}/1",
                "writers",
                make_prompt_of(f"first{number}"),
                hosts.now_s + age_s,
            )
            for _ in range(5):
                hosts.now_s += 0.4 / 5
                host.record_crash(
                    f"u{number}/1",
                    "writers",
                    make_prompt_of("late"),
                    hosts.now_s + 0.4,
                )
        hosts.exchange()
    assert not hosts.a.hold_on(make_prompt_of("late"), hosts.now_s)


def test_requests_sent_after_an_upstream_has_ended_do_not_count() -> None:
    hosts = TwoHosts()
    for number in range(4):
        hosts.now_s += 3.0
        hosts.answer_others()
        for part_id, sent_s in (("first", -1.0), ("late", 0.01)):
            hosts.a.record_crash(
                f"u{number}/1",
                "writers",
                make_prompt_of(f"{part_id}{number if sent_s < 0 else ''}"),
                hosts.now_s + 0.02 * (sent_s > 0),
                sent_s=hosts.now_s + sent_s,
            )
    assert not hosts.a.holds


def test_request_whose_answer_had_begun_counts_less() -> None:
    """Upstreams end when they begin to answer."""
    hosts = TwoHosts()
    for number in range(5):
        hosts.now_s += 0.2
        assert not hosts.a.holds
        hosts.a.record_crash(
            f"u{number}/1",
            "writers",
            make_prompt_of("begun"),
            hosts.now_s,
            answer_begun=True,
        )
    hosts.crash(hosts.a, "begun")
    assert hosts.a.holds


def test_peer_s_earlier_crash_drops_what_came_after_it() -> None:
    hosts = TwoHosts()
    for number in range(3):
        hosts.now_s += 3.0
        hosts.answer_others()
        for host, delay_s in ((hosts.b, 0.0), (hosts.a, 0.6)):
            host.record_crash(
                f"u{number}/1",
                "writers",
                make_prompt_of("late" if delay_s else f"first{number}"),
                hosts.now_s + delay_s,
            )
        hosts.now_s += 0.7
        hosts.exchange()
    assert not hosts.a.holds


def test_answer_at_one_host_releases_a_part_on_the_others() -> None:
    hosts = TwoHosts()
    for _ in range(3):
        hosts.crash(hosts.a, "rare")
    hosts.exchange()
    assert hosts.b.holds
    hosts.now_s += 1.0
    hosts.b.record_answer("writers", make_prompt_of("rare"), hosts.now_s)
    hosts.exchange()
    hosts.exchange()
    assert not hosts.a.holds
    assert not hosts.b.holds


def test_host_that_knows_a_part_as_sound_tells_one_that_holds_it() -> None:
    hosts = TwoHosts()
    hosts.b.record_answer("writers", make_prompt_of("rare"), hosts.now_s)
    for _ in range(3):
        hosts.crash(hosts.a, "rare")
    assert hosts.a.holds
    hosts.exchange()
    assert not hosts.b.holds
    hosts.exchange()
    assert not hosts.a.holds


def test_hold_of_two_parts_is_narrowed_by_an_answer_on_one() -> None:
    hosts = TwoHosts()
    for _ in range(3):
        hosts.crash(hosts.a, "first", "bad")
    both = frozenset({"first", "bad"})
    assert set(hosts.a.holds) == {both}
    hosts.a.record_answer("writers", make_prompt_of("first"), hosts.now_s)
    assert set(hosts.a.holds) == {frozenset({"bad"})}
    hosts.exchange()
    assert set(hosts.b.holds) == {frozenset({"bad"})}


def test_hold_lasts_equally_long_on_all_hosts() -> None:
    """Each exchange delayed its end by the time that the message took."""
    hosts = TwoHosts()
    for _ in range(3):
        hosts.crash(hosts.a, "bad")
    held_s = hosts.now_s
    for _ in range(100):
        hosts.exchange()
    (hold,) = hosts.a.holds.values()
    assert hold.held_s == pytest.approx(held_s)
    hosts.now_s = held_s + HOLD_S + 0.1
    hosts.a.drop_expired(hosts.now_s)
    hosts.exchange()
    assert not hosts.a.holds


def test_part_with_a_late_crash_outlasts_many_others() -> None:
    """The evidence on the part that was suspected first was dropped."""
    hosts = TwoHosts()
    for _ in range(2):
        hosts.crash(hosts.a, "bad")
        for _ in range(MAX_EVIDENCE_TRAITS // 2 + 10):
            part_id = f"p{len(hosts.a._evidence.by_trait)}-{hosts.now_s}"
            hosts.now_s += 0.001
            hosts.a.record_crash(
                "another/1", "writers", make_prompt_of(part_id), hosts.now_s
            )
    hosts.crash(hosts.a, "bad")
    assert hosts.a.hold_on(make_prompt_of("bad"), hosts.now_s)


def test_prompt_with_many_long_parts_fits_into_a_datagram() -> None:
    """Callers choose the ids of parts and how many there are."""
    hosts = TwoHosts()
    for number in range(MAX_REPORTS):
        hosts.crash(
            hosts.a,
            *(f"{number}x{part}".ljust(32, "y") for part in range(500)),
            "z" * 1000,
        )
    data = encode_knowledge("h1", hosts.a.knowledge(hosts.now_s))
    assert len(data) <= MAX_MESSAGE_BYTES / 2


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["crash", "answer", "exchange", "wait"]),
            strategies.booleans(),
            strategies.lists(
                strategies.sampled_from(["p", "q", "r", "s"]),
                min_size=1,
                max_size=3,
                unique=True,
            ),
        ),
        max_size=60,
    )
)
def test_no_part_is_held_that_was_answered_since(
    steps: list[tuple[str, bool, list[str]]],
) -> None:
    hosts = TwoHosts()
    answered_s: dict[str, float] = {}
    for kind, is_first, part_ids in steps:
        host = hosts.a if is_first else hosts.b
        if kind == "crash":
            hosts.crash(host, *part_ids)
        elif kind == "answer":
            hosts.now_s += 0.1
            host.record_answer(
                "writers", make_prompt_of(*part_ids), hosts.now_s
            )
            answered_s |= dict.fromkeys(part_ids, hosts.now_s)
        elif kind == "exchange":
            hosts.exchange()
        else:
            hosts.now_s += 3.0
            for each in (hosts.a, hosts.b):
                each.drop_expired(hosts.now_s)
    hosts.exchange()
    hosts.exchange()
    for host in (hosts.a, hosts.b):
        for hold in host.holds.values():
            assert all(
                answered_s.get(part_id, -math.inf) <= hold.held_s
                for part_id in hold.traits
            )
    assert set(hosts.a.holds) == set(hosts.b.holds)
