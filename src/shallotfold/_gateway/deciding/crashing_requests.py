"""Hold back requests under which upstreams end.

A prompt, or a request as a whole, can make every upstream end that begins to
work on it. One upstream that ended says little: all its open requests broke
off, most of them sound. What tells is a trait that several upstreams ended
under, one after the other, and that none has answered. Hosts exchange what they
saw, since requests with such a trait come to any of them.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.deciding.answered_traits import SOUND_AFTER_ANSWER_S
from shallotfold._gateway.deciding.answered_traits import AnsweredTraits
from shallotfold._gateway.deciding.crash_evidence import MAX_EVIDENCE_TRAITS
from shallotfold._gateway.deciding.crash_evidence import CrashEvidence
from shallotfold._gateway.deciding.crash_evidence import TraitEvidence
from shallotfold._gateway.deciding.crash_knowledge import CrashKnowledge
from shallotfold._gateway.deciding.crash_knowledge import CrashReport
from shallotfold._gateway.deciding.crash_knowledge import HoldReport
from shallotfold._gateway.deciding.request_holds import HoldChange
from shallotfold._gateway.deciding.request_holds import RequestHold
from shallotfold._gateway.deciding.request_holds import describe_begin
from shallotfold._gateway.deciding.request_holds import describe_end
from shallotfold._gateway.deciding.request_holds import have_fingerprint
from shallotfold._gateway.deciding.request_holds import hold_duration_s
from shallotfold._gateway.deciding.request_traits import all_traits
from shallotfold._gateway.deciding.request_traits import is_fingerprint
from shallotfold._gateway.deciding.request_traits import watched_traits

# Fewer would hold back sound requests that were open twice by chance.
CRASHES_TO_HOLD = 3
# A trait that was held before is held again after the first crash.
CRASHES_TO_HOLD_AGAIN = 1
REMEMBERED_HOLD_S = 3_600.0
EVIDENCE_LIFETIME_S = 120.0
EVIDENCE_CHECK_INTERVAL_S = 1.0
# While a service answers no prompts, each of their parts looks like the cause:
# then it takes more crashes, and more than under any other part.
MIN_RECENT_ANSWERS = 2
RECENT_ANSWER_S = 3.0
CRASHES_TO_HOLD_WITHOUT_ANSWERS = 6
# A request that is sent often is open at most upstreams that end of another
# cause, but equal ones are answered in between.
CRASHES_TO_HOLD_ANSWERED_REQUEST = 6
RECENT_EQUAL_ANSWER_S = 10.0
# Answers, and what peers saw of the same crashes, may still be on the way when
# the last upstream has ended.
SETTLING_S = 0.05
# Requests that are open at the same upstreams can't be told apart while none is
# answered. After this time without a crash or an answer all of them are held.
TIE_S = 1.0
# Equal requests may come seldom. They are alike in all, so that crashes a long
# time apart say as much.
REQUEST_EVIDENCE_LIFETIME_S = 900.0
# Peers are told for this long of crashes, and of answers on parts that one of
# them suspects: several heartbeats may be lost.
ANNOUNCED_S = 10.0
MAX_REPORTS = 32
# All reports together must fit into a datagram beside the holds.
MAX_REPORTED_TRAITS = 272
MAX_HOLDS = 32
MAX_ANNOUNCED_ANSWERS = 64


@attrs.define
class _OwnReport:
    upstream: str
    crashed_s: float
    traits: tuple[str, ...]
    answer_begun: bool


@attrs.define
class CrashingRequests:
    """What this host knows of requests under which upstreams end.

    Attributes:
        holds: Requests that are held back, by their traits.
        has_news: Whether peers should be told at once.
        host_count: Number of hosts that are alive, this one included.
        trial_draw: Random number of this host, 0 to 1, that spreads trials.
        crash_seen_s: When an upstream last ended under a request of this host,
            on the boot clock.
    """

    holds: dict[frozenset[str], RequestHold] = attrs.field(factory=dict)
    has_news: bool = False
    host_count: int = 1
    trial_draw: float = 0.0
    crash_seen_s: float = -math.inf
    _answered: AnsweredTraits = attrs.field(factory=AnsweredTraits)
    _answered_here: AnsweredTraits = attrs.field(factory=AnsweredTraits)
    _recent_answers_s_by_service: dict[str, list[float]] = attrs.field(
        factory=dict
    )
    _evidence: CrashEvidence = attrs.field(factory=CrashEvidence)
    _own_reports: list[_OwnReport] = attrs.field(factory=list)
    _suspected_s_by_trait: dict[str, float] = attrs.field(factory=dict)
    _contradicted_s_by_trait: dict[str, float] = attrs.field(factory=dict)
    _held_before_s_by_trait: dict[str, float] = attrs.field(factory=dict)
    _evidence_checked_s: float = -math.inf
    _unsettled: dict[str, None] = attrs.field(factory=dict)

    def hold_on(
        self, prompt: Prompt, now_s: float, fingerprint: str = ""
    ) -> RequestHold | None:
        """Return the hold that a request falls under, if any."""
        if not self.holds:
            return None
        traits = all_traits(prompt, fingerprint)
        for hold in self.holds.values():
            if hold.traits <= traits and now_s < hold.ends_s:
                return hold
        return None

    def may_try(self, hold: RequestHold, now_s: float) -> bool:
        """Return whether a request that came now may be let through."""
        hold.refused_s = now_s
        if hold.is_of_equal_requests:
            # Each trial may cost an upstream, so that one host claims it.
            return hold.trial_claimed
        return now_s >= self.trial_due_s(hold)

    def begin_trial(self, hold: RequestHold) -> None:
        """Record that a request is let through."""
        if hold.is_of_equal_requests:
            hold.trial_claimed = False
        else:
            hold.trials += 1
            self.has_news = True

    def trial_due_s(self, hold: RequestHold) -> float:
        """Return from when on this host may try a held request."""
        return hold.trial_due_s(self.host_count, self.trial_draw)

    def record_claim(
        self, hold: RequestHold, number: int, *, is_own: bool
    ) -> None:
        """Record that a trial of a hold is claimed.

        Args:
            hold: The hold, of equal requests.
            number: Number of the trial, 1 for the first.
            is_own: Whether this host claimed it.
        """
        hold.trials = max(hold.trials, number)
        hold.trial_claimed = is_own
        self.has_news = True

    # What this host sees.

    def record_answer(
        self, service: str, prompt: Prompt, now_s: float, fingerprint: str = ""
    ) -> list[HoldChange]:
        """Record that a request was answered, or for long enough."""
        traits = watched_traits(prompt, fingerprint)
        if not traits:
            return []
        if not all(map(is_fingerprint, traits)):
            recent_s = self._recent_answers_s_by_service.setdefault(service, [])
            recent_s.append(now_s)
            del recent_s[:-MIN_RECENT_ANSWERS]
        for trait in traits:
            self._answered_here.record(trait, now_s)
            if self._evidence.drop_crashes_of(trait, now_s):
                # Peers that suspect it should learn of the answer.
                _note(self._suspected_s_by_trait, (trait,), now_s)
                self.has_news = True
        return self._record_sound(
            dict.fromkeys(traits, now_s), now_s, "answered"
        )

    def record_crash(
        self,
        upstream: str,
        service: str,
        prompt: Prompt,
        now_s: float,
        *,
        fingerprint: str = "",
        sent_s: float = -math.inf,
        answer_begun: bool = False,
        follows_crash: bool = False,
    ) -> list[HoldChange]:
        """Record that an upstream ended while a request was open there.

        Args:
            upstream: Id and start of the upstream.
            service: Its service.
            prompt: Prompt of the request.
            now_s: Time on the boot clock.
            fingerprint: Digest that equal requests share; empty: not known.
            sent_s: When the request was sent there.
            answer_begun: Whether part of the answer had come.
            follows_crash: Whether the request had ended an upstream before.
        """
        if self._evidence.has_ended_before(
            upstream, sent_s
        ) or not self._evidence.was_running(upstream, now_s):
            return []
        report = _OwnReport(
            upstream,
            now_s,
            self._unsound(watched_traits(prompt, fingerprint), now_s, now_s),
            answer_begun,
        )
        if not report.traits:
            return []
        self._evidence.add(
            report.upstream,
            now_s,
            report.traits,
            service,
            answer_begun=answer_begun,
            follows_crash=follows_crash,
        )
        self._own_reports.append(report)
        self._drop_excess_reports()
        self.crash_seen_s = now_s
        # Peers should know whether equal requests were answered here.
        _note(
            self._suspected_s_by_trait,
            filter(is_fingerprint, report.traits),
            now_s,
        )
        self.has_news = True
        return self._decide(report.traits, now_s)

    # What others saw.

    def merge(
        self, peer: str, knowledge: CrashKnowledge, now_s: float
    ) -> list[HoldChange]:
        """Merge what a peer told, which may be old news."""
        changes = self._record_sound(
            {
                trait: now_s - age_s
                for trait, age_s in knowledge.answer_ages_s_by_trait.items()
            },
            now_s,
            f"answered at {peer}",
        )
        for hold in knowledge.holds:
            changes += self._adopt(hold, now_s, f"held at {peer}")
        new_traits: set[str] = set()
        for report in knowledge.reports:
            _note(self._suspected_s_by_trait, report.traits, now_s)
            crashed_s = now_s - report.age_s
            unsound = self._unsound(report.traits, crashed_s, now_s)
            if (
                report.age_s < EVIDENCE_LIFETIME_S
                and self._evidence.was_running(report.upstream, crashed_s)
            ):
                self._evidence.add(
                    report.upstream,
                    crashed_s,
                    unsound,
                    "",
                    answer_begun=report.answer_begun,
                )
                new_traits.update(unsound)
        return changes + self._decide(new_traits, now_s)

    def load(
        self, stored_holds: Iterable[Sequence[str]], now_s: float
    ) -> list[HoldChange]:
        """Adopt the holds that the platform's store has."""
        changes = []
        for traits in stored_holds:
            hold = HoldReport(
                tuple(traits),
                # The time of day of the write may come from a wrong clock.
                age_s=0.0,
                stored=True,
                # The store keeps the trials of equal requests by themselves.
                trials=0 if have_fingerprint(traits) else 1,
            )
            changes += self._adopt(hold, now_s, "held in the store")
        if changes and math.isfinite(self.crash_seen_s):
            # The peers that this host hears may have missed it too. A host that
            # starts says nothing: all others read the store themselves.
            self.has_news = True
        return changes

    def knowledge(self, now_s: float) -> CrashKnowledge:
        """Return what peers should know."""
        return CrashKnowledge(
            reports=self._crash_reports(now_s),
            holds=[
                HoldReport(
                    tuple(sorted(hold.traits)),
                    now_s - hold.held_s,
                    hold.stored,
                    hold.trials,
                )
                for hold in self.holds.values()
            ],
            answer_ages_s_by_trait=self._announced_answers(now_s),
        )

    def drop_expired(self, now_s: float) -> list[HoldChange]:
        """Drop what is too old; return the holds that ended."""
        oldest_s = now_s - EVIDENCE_LIFETIME_S
        if now_s >= self._evidence_checked_s + EVIDENCE_CHECK_INTERVAL_S:
            self._evidence_checked_s = now_s
            self._evidence.drop_before(
                oldest_s, now_s - REQUEST_EVIDENCE_LIFETIME_S
            )
        if self._own_reports and self._own_reports[0].crashed_s <= oldest_s:
            del self._own_reports[0]
        changes = []
        for hold in list(self.holds.values()):
            if now_s >= hold.ends_s:
                changes.append(self._release(hold, "time is over"))
                self._held_before_s_by_trait |= dict.fromkeys(
                    hold.traits, now_s
                )
        while len(self._held_before_s_by_trait) > MAX_EVIDENCE_TRAITS:
            oldest = next(iter(self._held_before_s_by_trait))
            del self._held_before_s_by_trait[oldest]
        return changes

    # Helpers.

    def _crash_reports(self, now_s: float) -> list[CrashReport]:
        """Return what peers should know of crashes, the most telling first."""
        reports = [
            CrashReport(
                report.upstream,
                now_s - report.crashed_s,
                unsound,
                report.answer_begun,
            )
            for report in self._own_reports
            if now_s - report.crashed_s < ANNOUNCED_S
            and (
                unsound := self._unsound(report.traits, report.crashed_s, now_s)
            )
        ]
        reports.sort(
            key=lambda report: max(map(self._crash_count, report.traits)),
            reverse=True,
        )
        return reports

    def _crash_count(self, trait: str) -> float:
        evidence = self._evidence.by_trait.get(trait)
        return 0.0 if evidence is None else evidence.crash_count()

    def _announced_answers(self, now_s: float) -> dict[str, float]:
        """Return how long ago traits were answered, as far as peers need it.

        An answer is announced by the host that got it. Others repeat it only
        to peers that still hold such requests back: if all did, each answer
        would cost the square of the number of hosts.
        """
        ages_s_by_trait: dict[str, float] = {}
        for noted_s_by_trait, answered in (
            (self._suspected_s_by_trait, self._answered_here),
            (self._contradicted_s_by_trait, self._answered),
        ):
            for trait, noted_s in noted_s_by_trait.items():
                age_s = now_s - answered.answered_s(trait)
                if (
                    now_s - noted_s < ANNOUNCED_S
                    and age_s < SOUND_AFTER_ANSWER_S
                ):
                    ages_s_by_trait[trait] = age_s
        latest = list(ages_s_by_trait)[-MAX_ANNOUNCED_ANSWERS:]
        return {trait: ages_s_by_trait[trait] for trait in latest}

    def _unsound(
        self, traits: Iterable[str], crashed_s: float, now_s: float
    ) -> tuple[str, ...]:
        return tuple(
            trait
            for trait in traits
            if not self._answered.is_sound(trait, crashed_s, now_s)
        )

    def _drop_excess_reports(self) -> None:
        reports = self._own_reports
        del reports[:-MAX_REPORTS]
        while sum(len(r.traits) for r in reports) > MAX_REPORTED_TRAITS:
            del reports[0]

    def _record_sound(
        self,
        answered_s_by_trait: Mapping[str, float],
        now_s: float,
        reason: str,
    ) -> list[HoldChange]:
        changes: list[HoldChange] = []
        for trait, answered_s in answered_s_by_trait.items():
            self._answered.record(trait, answered_s)
            if not is_fingerprint(trait):
                self._evidence.by_trait.pop(trait, None)
            else:
                self._evidence.drop_crashes_of(trait, answered_s)
            self._held_before_s_by_trait.pop(trait, None)
            ends_before_s = self._answered.ends_holds_before_s(trait)
            for hold in list(self.holds.values()):
                if trait in hold.traits and hold.held_s < ends_before_s:
                    # Peers that hold it back must know that it is sound.
                    _note(self._contradicted_s_by_trait, (trait,), now_s)
                    self.has_news = True
                    changes.append(self._narrow(hold, trait, reason))
        return changes

    def _narrow(self, hold: RequestHold, trait: str, reason: str) -> HoldChange:
        """Leave a trait that is sound out of a hold."""
        if len(hold.traits) == 1:
            return self._release(hold, reason)
        del self.holds[hold.traits]
        hold.traits -= {trait}
        hold.stored = False
        self._put(hold)
        return HoldChange(
            decision="hold_narrowed",
            traits=tuple(sorted(hold.traits)),
            reason=reason,
        )

    def _release(self, hold: RequestHold, reason: str) -> HoldChange:
        self.holds.pop(hold.traits, None)
        return describe_end(hold, reason)

    def _put(self, hold: RequestHold) -> None:
        """Add a hold, and drop those of requests that it covers."""
        for other in list(self.holds.values()):
            if hold.traits < other.traits:
                del self.holds[other.traits]
        self.holds[hold.traits] = hold
        if len(self.holds) > MAX_HOLDS:
            # One whose requests still come costs more upstreams than others.
            unused = min(
                self.holds.values(), key=lambda h: max(h.held_s, h.refused_s)
            )
            del self.holds[unused.traits]

    def _adopt(
        self, report: HoldReport, now_s: float, reason: str
    ) -> list[HoldChange]:
        held_s = now_s - report.age_s
        if not report.traits or report.age_s >= hold_duration_s(report.traits):
            return []
        _note(self._suspected_s_by_trait, report.traits, now_s)
        traits = frozenset(
            trait
            for trait in report.traits
            if held_s >= self._answered.ends_holds_before_s(trait)
        )
        is_same = len(traits) == len(report.traits)
        if not is_same:
            _note(
                self._contradicted_s_by_trait,
                [trait for trait in report.traits if trait not in traits],
                now_s,
            )
            self.has_news = True
        if not traits:
            return []
        known = self.holds.get(traits)
        if known is not None:
            known.held_s = min(known.held_s, held_s)
            known.stored |= report.stored and is_same
            known.trials = max(known.trials, report.trials)
            return []
        if any(other <= traits for other in self.holds):
            return []
        hold = RequestHold(
            traits,
            held_s,
            stored=report.stored and is_same,
            trials=report.trials,
        )
        self._put(hold)
        self._evidence.explain(traits)
        return [describe_begin(hold, reason)]

    def decide_settled(self, now_s: float) -> list[HoldChange]:
        """Hold equal requests back whose evidence no longer changes."""
        changes: list[HoldChange] = []
        for trait in list(self._unsettled):
            evidence = self._evidence.by_trait.get(trait)
            if evidence is None or any(
                trait in held_traits for held_traits in self.holds
            ):
                del self._unsettled[trait]
            elif now_s - evidence.latest_s() >= SETTLING_S:
                changes += self._hold_if_conclusive(trait, now_s)
        return changes

    def _decide(self, traits: Iterable[str], now_s: float) -> list[HoldChange]:
        """Hold parts back under which enough upstreams ended.

        The part with the most crashes comes first: it explains those of other
        parts.
        """
        changes: list[HoldChange] = []
        for held_traits in self.holds:
            self._evidence.explain(held_traits)
        counts = {
            trait: evidence.crash_count()
            for trait in traits
            if (evidence := self._evidence.by_trait.get(trait)) is not None
        }
        for trait in sorted(counts, key=lambda t: (-counts[t], t)):
            if not is_fingerprint(trait):
                changes += self._hold_if_conclusive(trait, now_s)
            elif counts[trait] >= self._needed_crashes(trait, now_s):
                self._unsettled[trait] = None
        return changes

    def _hold_if_conclusive(self, trait: str, now_s: float) -> list[HoldChange]:
        evidence = self._evidence.by_trait.get(trait)
        if evidence is None or not self._is_conclusive(trait, evidence, now_s):
            return []
        # After a tie, any of them may be the cause.
        suspects = [trait, *self._evidence.tied_requests(trait, evidence)]
        changes = []
        for suspect in suspects:
            changes += self._hold(suspect, now_s)
        if changes:
            self._evidence.explain(
                frozenset().union(*(change.traits for change in changes))
            )
        return changes

    def _hold(self, trait: str, now_s: float) -> list[HoldChange]:
        evidence = self._evidence.by_trait[trait]
        held = frozenset(
            companion
            for companion in evidence.companions() | {trait}
            if not self._answered.is_sound(
                companion, evidence.latest_s(), now_s
            )
        )
        if any(other <= held for other in self.holds):
            return []
        hold = RequestHold(held, now_s, decided_here=True)
        self._put(hold)
        self.has_news = True
        return [
            describe_begin(
                hold, "upstreams ended under it", evidence.crash_by_upstream
            )
        ]

    def _is_conclusive(
        self, trait: str, evidence: TraitEvidence, now_s: float
    ) -> bool:
        if is_fingerprint(trait):
            needed = self._needed_crashes(trait, now_s)
        elif not evidence.service:
            # Only a host that had such a request itself can compare it with
            # others of the service.
            return False
        else:
            needed = self._needed_crashes(trait, now_s, evidence.service)
        if evidence.crash_count() < needed:
            return False
        is_tie_over = (
            is_fingerprint(trait) and now_s - evidence.latest_s() > TIE_S
        )
        return not self._evidence.is_covered(
            trait, evidence, by_more_only=is_tie_over
        )

    def _needed_crashes(
        self, trait: str, now_s: float, service: str = ""
    ) -> int:
        """Return how many crashes under a trait hold it back."""
        if is_fingerprint(trait):
            if now_s - self._answered.answered_s(trait) < RECENT_EQUAL_ANSWER_S:
                return CRASHES_TO_HOLD_ANSWERED_REQUEST
        elif not self._answers_others(service, now_s):
            return CRASHES_TO_HOLD_WITHOUT_ANSWERS
        if self._was_held(trait, now_s):
            return CRASHES_TO_HOLD_AGAIN
        return CRASHES_TO_HOLD

    def _answers_others(self, service: str, now_s: float) -> bool:
        recent_s = self._recent_answers_s_by_service.get(service, [])
        return (
            len(recent_s) >= MIN_RECENT_ANSWERS
            and now_s - recent_s[0] <= RECENT_ANSWER_S
        )

    def _was_held(self, trait: str, now_s: float) -> bool:
        held_before_s = self._held_before_s_by_trait.get(trait)
        return (
            held_before_s is not None
            and now_s - held_before_s < REMEMBERED_HOLD_S
        )


def _note(
    noted_s_by_trait: dict[str, float], traits: Iterable[str], now_s: float
) -> None:
    """Set the time of traits; the oldest of too many are dropped."""
    for trait in traits:
        noted_s_by_trait.pop(trait, None)
        noted_s_by_trait[trait] = now_s
    while len(noted_s_by_trait) > MAX_EVIDENCE_TRAITS:
        del noted_s_by_trait[next(iter(noted_s_by_trait))]
