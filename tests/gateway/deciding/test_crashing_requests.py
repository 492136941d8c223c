"""Check which equal requests are held back after upstreams ended under them."""

import itertools

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from shallotfold._gateway.deciding.crash_knowledge import CrashKnowledge
from shallotfold._gateway.deciding.crash_knowledge import CrashReport
from shallotfold._gateway.deciding.crash_knowledge import HoldReport
from shallotfold._gateway.deciding.crashing_requests import (
    CRASHES_TO_HOLD_ANSWERED_REQUEST,
)
from shallotfold._gateway.deciding.crashing_requests import MAX_HOLDS
from shallotfold._gateway.deciding.crashing_requests import MAX_REPORTS
from shallotfold._gateway.deciding.crashing_requests import (
    REQUEST_EVIDENCE_LIFETIME_S,
)
from shallotfold._gateway.deciding.crashing_requests import SETTLING_S
from shallotfold._gateway.deciding.crashing_requests import TIE_S
from shallotfold._gateway.deciding.crashing_requests import CrashingRequests
from shallotfold._gateway.deciding.request_holds import REQUEST_HOLD_S
from shallotfold._gateway.deciding.request_holds import REQUEST_TRIALS_AFTER_S
from shallotfold._gateway.deciding.request_holds import RequestHold
from shallotfold._gateway.deciding.request_traits import fingerprint_trait
from shallotfold._gateway.deciding.request_traits import watched_traits
from shallotfold._gateway.peers.change_messages import MAX_MESSAGE_BYTES
from shallotfold._gateway.peers.crash_messages import encode_knowledge
from tests.gateway.deciding.test_crashing_prompts import make_prompt_of
from tests.gateway.factories import DispatcherHarness
from tests.gateway.factories import make_route
from tests.gateway.factories import make_upstream

BAD = "bad"
BAD_HOLD = frozenset({fingerprint_trait(BAD)})
SERVICE = "desk"
LOOK = make_route(RouteKind.REPEATABLE, max_attempts=2)
BOOK = make_route(RouteKind.ONCE, max_attempts=1)


class Host:
    """What one host knows, with a clock."""

    def __init__(self) -> None:
        self.now_s = 50.0
        self.requests = CrashingRequests()
        self._numbers = itertools.count()

    def crash(
        self,
        *fingerprints: str,
        upstream: str = "",
        pause_s: float = 0.2,
        follows_crash: bool = False,
    ) -> None:
        """Let an upstream end under requests that are open there."""
        self.now_s += pause_s
        name = upstream or f"u{next(self._numbers)}/1"
        for fingerprint in fingerprints:
            self.requests.record_crash(
                name,
                SERVICE,
                Prompt(),
                self.now_s,
                fingerprint=fingerprint,
                sent_s=self.now_s - 0.04,
                follows_crash=follows_crash,
            )

    def answer(self, fingerprint: str) -> None:
        self.requests.record_answer(SERVICE, Prompt(), self.now_s, fingerprint)

    def settle(self, seconds: float = SETTLING_S) -> None:
        self.now_s += seconds + 0.01
        self.requests.drop_expired(self.now_s)
        self.requests.decide_settled(self.now_s)

    @property
    def holds(self) -> set[frozenset[str]]:
        return set(self.requests.holds)


def held_host() -> Host:
    host = Host()
    for _ in range(3):
        host.crash(BAD)
    host.settle()
    assert host.holds == {BAD_HOLD}
    return host


def test_request_under_which_three_upstreams_ended_is_held() -> None:
    # Each repeat of the request ended a server, and its retry a second one.
    host = Host()
    for number in range(2):
        host.crash(BAD, f"sound{number}")
    host.settle()
    assert not host.holds
    host.crash(BAD, "sound2")
    host.settle()
    assert host.holds == {BAD_HOLD}
    assert host.requests.hold_on(Prompt(), host.now_s, BAD)
    assert not host.requests.hold_on(Prompt(), host.now_s, "sound2")


def test_attempts_of_one_request_count_though_close_together() -> None:
    """The second was sent after the first upstream had ended."""
    host = Host()
    host.crash(BAD)
    host.crash(BAD, pause_s=0.03, follows_crash=True)
    host.crash(BAD)
    host.settle()
    assert host.holds == {BAD_HOLD}


def test_upstreams_that_end_at_one_moment_count_once() -> None:
    host = Host()
    for _ in range(5):
        host.crash("popular", pause_s=0.0)
    host.crash("popular")
    host.settle(TIE_S)
    assert not host.holds


def test_answer_between_crashes_clears_the_request() -> None:
    host = Host()
    for _ in range(CRASHES_TO_HOLD_ANSWERED_REQUEST):
        host.crash("popular")
        host.answer("popular")
    host.settle(TIE_S)
    assert not host.holds


def test_request_that_was_answered_lately_takes_more_crashes() -> None:
    """It may begin to end upstreams that answered it before."""
    host = Host()
    host.answer(BAD)
    for _ in range(CRASHES_TO_HOLD_ANSWERED_REQUEST - 1):
        host.crash(BAD)
    host.settle()
    assert not host.holds
    host.crash(BAD)
    host.settle()
    assert host.holds == {BAD_HOLD}


def test_request_that_explains_more_crashes_is_held_alone() -> None:
    host = Host()
    for _ in range(3):
        host.crash(BAD, "popular")
    host.crash(BAD)
    host.settle()
    assert host.holds == {BAD_HOLD}


def test_requests_that_cannot_be_told_apart_wait_for_an_answer() -> None:
    host = Host()
    for _ in range(3):
        host.crash(BAD, "popular")
    host.settle()
    assert not host.holds
    host.answer("popular")
    host.settle()
    assert host.holds == {BAD_HOLD}


def test_requests_that_cannot_be_told_apart_are_held_after_a_while() -> None:
    """All upstreams may be down, so that nothing is answered."""
    host = Host()
    for _ in range(3):
        host.crash(BAD, "popular")
    host.settle(TIE_S)
    assert len(host.holds) == 2
    host.answer("popular")
    assert host.holds == {BAD_HOLD}


def test_crashes_a_long_time_apart_count_together() -> None:
    host = Host()
    for _ in range(3):
        host.crash(BAD, pause_s=REQUEST_EVIDENCE_LIFETIME_S / 4)
    host.settle()
    assert host.holds == {BAD_HOLD}


def test_start_that_ends_again_counts_again() -> None:
    """What is in front of an upstream stays registered while it restarts."""
    host = Host()
    for _ in range(3):
        host.crash(BAD, upstream="front/1", pause_s=3.0)
    host.settle()
    assert host.holds == {BAD_HOLD}


def test_repeated_news_of_one_crash_count_once() -> None:
    host = Host()
    trait = fingerprint_trait(BAD)
    host.crash(BAD, upstream="front/1")
    first_s = host.now_s
    host.crash(BAD, upstream="front/1", pause_s=3.0)
    for _ in range(5):
        host.now_s += 0.4
        report = CrashReport(
            "front/1", host.now_s - first_s, (trait,), answer_begun=False
        )
        host.requests.merge("h2", CrashKnowledge(reports=[report]), host.now_s)
    host.settle()
    assert not host.holds


def test_host_without_such_a_request_decides_on_news_of_peers() -> None:
    host = Host()
    reports = [
        CrashReport(
            f"u{n}/1", n * 0.2, (fingerprint_trait(BAD),), answer_begun=False
        )
        for n in range(3)
    ]
    host.requests.merge("h2", CrashKnowledge(reports=reports), host.now_s)
    host.settle()
    assert host.holds == {BAD_HOLD}


def test_answer_at_a_peer_releases_the_request() -> None:
    host = held_host()
    answers = CrashKnowledge(
        answer_ages_s_by_trait={fingerprint_trait(BAD): 0.05}
    )
    host.now_s += 0.1
    host.requests.merge("h2", answers, host.now_s)
    assert not host.holds


def test_earlier_answer_does_not_release_the_request() -> None:
    host = held_host()
    host.now_s += 2.0
    answers = CrashKnowledge(
        answer_ages_s_by_trait={fingerprint_trait(BAD): 5.0}
    )
    host.requests.merge("h2", answers, host.now_s)
    assert host.holds == {BAD_HOLD}


def test_peers_that_suspect_a_request_learn_at_once_of_an_answer() -> None:
    host = Host()
    host.crash("popular")
    host.requests.has_news = False
    host.now_s += 0.1
    host.answer("popular")
    assert host.requests.has_news
    ages_s = host.requests.knowledge(host.now_s).answer_ages_s_by_trait
    assert ages_s == {fingerprint_trait("popular"): 0.0}


def test_request_with_a_prompt_is_held_without_its_sound_parts() -> None:
    host = Host()
    host.requests.record_answer(
        SERVICE, make_prompt_of("system"), host.now_s, "sound"
    )
    for number in range(3):
        host.now_s += 0.2
        host.requests.record_crash(
            f"u{number}/1",
            SERVICE,
            make_prompt_of("system", "rare"),
            host.now_s,
            fingerprint=BAD,
        )
    host.settle()
    assert host.holds == {BAD_HOLD | {"rare"}}
    rare = make_prompt_of("system", "rare")
    assert not host.requests.hold_on(rare, host.now_s, "sound")
    host.requests.record_answer(SERVICE, rare, host.now_s, "sound")
    assert host.holds == {BAD_HOLD}


def test_answers_without_a_prompt_say_nothing_of_prompts() -> None:
    """Streams that nobody answers yet would be held after fewer crashes."""
    host = Host()
    for _ in range(3):
        host.answer("plain")
    for number in range(3):
        host.now_s += 0.2
        host.requests.record_crash(
            f"u{number}/1",
            SERVICE,
            make_prompt_of("system"),
            host.now_s,
            fingerprint=f"{number}",
        )
    assert not host.holds


def test_trial_is_made_by_the_host_that_claimed_it_only() -> None:
    host = held_host()
    (hold,) = host.requests.holds.values()
    host.now_s += 100.0
    assert not host.requests.may_try(hold, host.now_s)
    host.requests.record_claim(hold, 1, is_own=False)
    assert not host.requests.may_try(hold, host.now_s)
    host.requests.record_claim(hold, 2, is_own=True)
    assert host.requests.may_try(hold, host.now_s)
    host.requests.begin_trial(hold)
    assert not host.requests.may_try(hold, host.now_s)
    assert hold.trials == len(REQUEST_TRIALS_AFTER_S)
    assert host.requests.trial_due_s(hold) == float("inf")


def test_hold_whose_requests_still_come_outlasts_many_others() -> None:
    host = held_host()
    for number in range(2 * MAX_HOLDS):
        for _ in range(3):
            host.crash(f"{number}")
        host.settle()
        hold = host.requests.hold_on(Prompt(), host.now_s, BAD)
        assert hold is not None
        host.requests.may_try(hold, host.now_s)
    assert len(host.holds) == MAX_HOLDS


def test_part_id_cannot_pass_for_a_fingerprint() -> None:
    prompt = make_prompt_of(fingerprint_trait("0" * 32), "request:1", "part")
    assert watched_traits(prompt, "") == ("part",)


def test_news_of_many_requests_fit_into_a_datagram() -> None:
    host = Host()
    host.crash(*(f"{n:032x}" for n in range(10 * MAX_REPORTS)))
    knowledge = host.requests.knowledge(host.now_s)
    assert len(knowledge.reports) == MAX_REPORTS
    assert len(encode_knowledge("h1", knowledge)) < MAX_MESSAGE_BYTES


class ServersHarness(DispatcherHarness):
    """A dispatcher that knows a hold on the crashing request."""

    def __init__(self) -> None:
        super().__init__(*(make_upstream(f"u{n}") for n in range(4)))
        hold = HoldReport(tuple(BAD_HOLD), 0.0, stored=True, trials=0)
        self.feed(
            events.PeerCrashesReceived(
                now_s=self.now_s,
                peer="h2",
                knowledge=CrashKnowledge(holds=[hold]),
            )
        )

    @property
    def hold(self) -> RequestHold:
        return self.dispatcher.crashing_requests.holds[BAD_HOLD]


def test_held_request_is_told_at_once_that_it_has_not_run() -> None:
    for route in (LOOK, BOOK):
        harness = ServersHarness()
        (refusal,) = harness.arrive(1, route, fingerprint=BAD)
        assert isinstance(refusal, effects.Refuse)
        assert refusal.reason == "upstreams end under this request"
        assert refusal.retry_after_s >= REQUEST_HOLD_S - 1.0
        assert harness.arrive(2, route, fingerprint="sound")
        assert harness.sent_upstream_id()


def test_trial_that_reaches_no_upstream_is_made_at_another() -> None:
    harness = ServersHarness()
    harness.dispatcher.crashing_requests.record_claim(
        harness.hold, 1, is_own=True
    )
    harness.arrive(1, LOOK, fingerprint=BAD)
    first = harness.sent_upstream_id()
    harness.feed(events.AttemptUnsent(now_s=harness.now_s, request=1))
    assert harness.sent_upstream_id() != first
    # The second repeat isn't a trial.
    (refusal,) = harness.arrive(2, LOOK, fingerprint=BAD)
    assert isinstance(refusal, effects.Refuse)


def test_trial_is_not_lost_while_no_upstream_is_there() -> None:
    harness = ServersHarness()
    harness.dispatcher.crashing_requests.record_claim(
        harness.hold, 1, is_own=True
    )
    harness.change_upstreams()
    refusal, *_ = harness.arrive(1, LOOK, fingerprint=BAD)
    assert isinstance(refusal, effects.Refuse)
    harness.change_upstreams(make_upstream("u9"))
    harness.arrive(2, LOOK, fingerprint=BAD)
    assert harness.sent_upstream_id() == "u9"


def test_trial_that_ends_an_upstream_is_not_sent_to_a_second_one() -> None:
    harness = ServersHarness()
    harness.dispatcher.crashing_requests.record_claim(
        harness.hold, 1, is_own=True
    )
    harness.arrive(1, LOOK, fingerprint=BAD)
    harness.advance(0.04)
    broken = harness.feed(
        events.AttemptBroken(
            now_s=harness.now_s, request=1, response_started=False
        )
    )
    assert not any(isinstance(e, effects.SendAttempt) for e in broken)
    assert any(isinstance(e, effects.Fail) for e in broken)


def test_trial_that_is_answered_releases_the_request() -> None:
    harness = ServersHarness()
    harness.dispatcher.crashing_requests.record_claim(
        harness.hold, 1, is_own=True
    )
    harness.arrive(1, LOOK, fingerprint=BAD)
    harness.advance(0.6)
    changes = harness.feed(
        events.AttemptSucceeded(now_s=harness.now_s, request=1)
    )
    (log,) = [e for e in changes if isinstance(e, effects.LogHoldChange)]
    assert log.change.decision == "request_released"
    assert not harness.dispatcher.crashing_requests.holds


def test_upstream_that_answers_again_under_its_start_counts_again() -> None:
    # A host that doesn't hear of new starts ignored crashes less than two
    # seconds after the last one, though the upstream had answered in between.
    harness = DispatcherHarness(make_upstream("u0"))
    for number in range(4):
        bad, sound = 2 * number, 2 * number + 1
        harness.arrive(bad, BOOK, fingerprint=BAD)
        harness.advance(0.04)
        harness.feed(
            events.AttemptBroken(
                now_s=harness.now_s, request=bad, response_started=False
            )
        )
        harness.advance(0.5)
        harness.arrive(sound, BOOK, fingerprint=f"sound{number}")
        harness.advance(0.04)
        harness.feed(
            events.AttemptSucceeded(now_s=harness.now_s, request=sound)
        )
    assert BAD_HOLD in harness.dispatcher.crashing_requests.holds
