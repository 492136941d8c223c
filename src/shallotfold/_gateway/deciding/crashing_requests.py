"""Hold back prompts under which upstreams end.

A prompt can make every upstream end that begins to answer it. One upstream that
ended says little: all its open requests broke off, most of them sound. What
tells is a part that several upstreams ended under, one after the other, and
that none has answered, while other prompts are answered. Hosts exchange what
they saw, since requests with such a part come to any of them.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.deciding.crash_evidence import MAX_EVIDENCE_TRAITS
from shallotfold._gateway.deciding.crash_evidence import CrashEvidence
from shallotfold._gateway.deciding.crash_evidence import TraitEvidence
from shallotfold._gateway.deciding.crash_knowledge import CrashKnowledge
from shallotfold._gateway.deciding.crash_knowledge import CrashReport
from shallotfold._gateway.deciding.crash_knowledge import HoldReport

# Fewer would hold back sound parts that were open twice by chance.
CRASHES_TO_HOLD = 3
# A part that was held before is held again after the first crash.
CRASHES_TO_HOLD_AGAIN = 1
REMEMBERED_HOLD_S = 3_600.0
EVIDENCE_LIFETIME_S = 120.0
# An answer shows that its parts end no upstream. Engines may get other software
# or weights later, so that this doesn't hold for ever.
SOUND_AFTER_ANSWER_S = 60.0
# While a service answers nothing, each of its parts looks like the cause: then
# it takes more crashes, and more than under any other part.
MIN_RECENT_ANSWERS = 2
RECENT_ANSWER_S = 3.0
CRASHES_TO_HOLD_WITHOUT_ANSWERS = 6
HOLD_S = 600.0
# One request is let through this long after a hold began, in case the part is
# sound. Hosts do so at different times, and the first one tells the others.
TRIAL_AFTER_S = 5.0
TRIAL_SPREAD_S_PER_HOST = 0.2
# Peers are told for this long of crashes, and of answers on parts that one of
# them suspects: several heartbeats may be lost.
ANNOUNCED_S = 10.0
# Callers choose ids and number of parts; further ones aren't watched.
MAX_WATCHED_PARTS = 16
MAX_PART_ID_CHARACTERS = 32
MAX_SOUND_PARTS = 4_096
MAX_REPORTS = 16
MAX_HOLDS = 32
MAX_ANNOUNCED_ANSWERS = 64


@attrs.define
class RequestHold:
    """Prompts that are held back.

    Attributes:
        traits: Prompts with all of these parts. There are several as long as
            it isn't known which of them ends upstreams.
        held_s: Since when, on the boot clock.
        stored: Whether the platform's store has it.
        tried: Whether a request was let through as a trial.
        decided_here: Whether this host decided it.
    """

    traits: frozenset[str]
    held_s: float
    stored: bool = False
    tried: bool = False
    decided_here: bool = False

    @property
    def ends_s(self) -> float:
        """When prompts are let through again, on the boot clock."""
        return self.held_s + HOLD_S


@attrs.frozen(kw_only=True)
class HoldChange:
    """A hold that began, changed or ended, for the log.

    Attributes:
        decision: `prompt_held`, `hold_narrowed` or `prompt_released`.
        traits: Its parts, before the change if it ended.
        reason: What led to it.
        upstreams: Upstreams that ended under its parts, if this host decided.
    """

    decision: str
    traits: tuple[str, ...]
    reason: str
    upstreams: tuple[str, ...] = ()


@attrs.define
class _OwnReport:
    upstream: str
    crashed_s: float
    traits: tuple[str, ...]
    answer_begun: bool


@attrs.define
class CrashingRequests:
    """What this host knows of prompts under which upstreams end.

    Attributes:
        holds: Prompts that are held back, by their parts.
        has_news: Whether peers should be told at once.
        host_count: Number of hosts that are alive, this one included.
        trial_draw: Random number of this host, 0 to 1, that spreads trials.
    """

    holds: dict[frozenset[str], RequestHold] = attrs.field(factory=dict)
    has_news: bool = False
    host_count: int = 1
    trial_draw: float = 0.0
    _answered_s_by_trait: dict[str, float] = attrs.field(factory=dict)
    _recent_answers_s_by_service: dict[str, list[float]] = attrs.field(
        factory=dict
    )
    _evidence: CrashEvidence = attrs.field(factory=CrashEvidence)
    _own_reports: list[_OwnReport] = attrs.field(factory=list)
    _suspected_s_by_trait: dict[str, float] = attrs.field(factory=dict)
    _held_before_s_by_trait: dict[str, float] = attrs.field(factory=dict)

    def hold_on(self, prompt: Prompt, now_s: float) -> RequestHold | None:
        """Return the hold that a prompt falls under, if any."""
        if not self.holds:
            return None
        traits = set(prompt.shared_part_ids)
        for hold in self.holds.values():
            if hold.traits <= traits and now_s < hold.ends_s:
                return hold
        return None

    def try_trial(self, hold: RequestHold, now_s: float) -> bool:
        """Return whether a request may be let through; only one is."""
        spread_s = TRIAL_SPREAD_S_PER_HOST * self.host_count
        if (
            hold.tried
            or now_s < hold.held_s + TRIAL_AFTER_S + self.trial_draw * spread_s
        ):
            return False
        hold.tried = True
        self.has_news = True
        return True

    # What this host sees.

    def record_answer(
        self, service: str, prompt: Prompt, now_s: float
    ) -> list[HoldChange]:
        """Record that a prompt was answered, or for long enough."""
        traits = _watched_traits(prompt)
        if not traits:
            return []
        recent_s = self._recent_answers_s_by_service.setdefault(service, [])
        recent_s.append(now_s)
        del recent_s[:-MIN_RECENT_ANSWERS]
        return self._record_sound(dict.fromkeys(traits, now_s), "answered")

    def record_crash(
        self,
        upstream: str,
        service: str,
        prompt: Prompt,
        now_s: float,
        *,
        sent_s: float = -math.inf,
        answer_begun: bool = False,
    ) -> list[HoldChange]:
        """Record that an upstream ended while a request was open there.

        Args:
            upstream: Id and start of the upstream.
            service: Its service.
            prompt: Prompt of the request.
            now_s: Time on the boot clock.
            sent_s: When the request was sent there.
            answer_begun: Whether part of the answer had come.
        """
        if self._evidence.has_ended_before(
            upstream, sent_s
        ) or not self._evidence.was_running(upstream, now_s):
            return []
        report = _OwnReport(
            upstream,
            now_s,
            self._unsound(_watched_traits(prompt), now_s),
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
        )
        self._own_reports.append(report)
        del self._own_reports[:-MAX_REPORTS]
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
            f"answered at {peer}",
        )
        for hold in knowledge.holds:
            changes += self._adopt(hold, now_s, f"held at {peer}")
        new_traits: set[str] = set()
        for report in knowledge.reports:
            self._note_suspected(report.traits, now_s)
            unsound = self._unsound(report.traits, now_s)
            crashed_s = now_s - report.age_s
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
            # The time of day when it was stored may come from a wrong clock.
            hold = HoldReport(tuple(traits), 0.0, stored=True, tried=True)
            changes += self._adopt(hold, now_s, "held in the store")
        return changes

    def knowledge(self, now_s: float) -> CrashKnowledge:
        """Return what peers should know."""
        suspected = [
            trait
            for trait, at_s in self._suspected_s_by_trait.items()
            if now_s - at_s < ANNOUNCED_S and self._is_sound(trait, now_s)
        ]
        return CrashKnowledge(
            reports=[
                CrashReport(
                    report.upstream,
                    now_s - report.crashed_s,
                    unsound,
                    report.answer_begun,
                )
                for report in self._own_reports
                if now_s - report.crashed_s < ANNOUNCED_S
                and (unsound := self._unsound(report.traits, now_s))
            ],
            holds=[
                HoldReport(
                    tuple(sorted(hold.traits)),
                    now_s - hold.held_s,
                    hold.stored,
                    hold.tried,
                )
                for hold in self.holds.values()
            ],
            answer_ages_s_by_trait={
                trait: now_s - self._answered_s_by_trait[trait]
                for trait in suspected[-MAX_ANNOUNCED_ANSWERS:]
            },
        )

    def drop_expired(self, now_s: float) -> list[HoldChange]:
        """Drop what is too old; return the holds that ended."""
        oldest_s = now_s - EVIDENCE_LIFETIME_S
        self._evidence.drop_before(oldest_s)
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

    def _is_sound(self, trait: str, now_s: float) -> bool:
        answered_s = self._answered_s_by_trait.get(trait)
        return (
            answered_s is not None and now_s - answered_s < SOUND_AFTER_ANSWER_S
        )

    def _unsound(self, traits: Iterable[str], now_s: float) -> tuple[str, ...]:
        return tuple(p for p in traits if not self._is_sound(p, now_s))

    def _record_sound(
        self, answered_s_by_trait: Mapping[str, float], reason: str
    ) -> list[HoldChange]:
        changes: list[HoldChange] = []
        for trait, answered_s in answered_s_by_trait.items():
            known_s = self._answered_s_by_trait.pop(trait, answered_s)
            self._answered_s_by_trait[trait] = max(known_s, answered_s)
            self._evidence.by_trait.pop(trait, None)
            self._held_before_s_by_trait.pop(trait, None)
            for hold in list(self.holds.values()):
                if (
                    trait in hold.traits
                    and answered_s > hold.held_s - SOUND_AFTER_ANSWER_S
                ):
                    changes.append(self._narrow(hold, trait, reason))
        while len(self._answered_s_by_trait) > MAX_SOUND_PARTS:
            del self._answered_s_by_trait[next(iter(self._answered_s_by_trait))]
        return changes

    def _narrow(self, hold: RequestHold, trait: str, reason: str) -> HoldChange:
        """Leave a part that is sound out of a hold."""
        # Peers must know that it is sound.
        self._note_suspected((trait,), self._answered_s_by_trait[trait])
        self.has_news = True
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
        return HoldChange(
            decision="prompt_released",
            traits=tuple(sorted(hold.traits)),
            reason=reason,
        )

    def _put(self, hold: RequestHold) -> None:
        """Add a hold, and drop those of prompts that it covers."""
        for other in list(self.holds.values()):
            if hold.traits < other.traits:
                del self.holds[other.traits]
        self.holds[hold.traits] = hold
        while len(self.holds) > MAX_HOLDS:
            del self.holds[next(iter(self.holds))]

    def _adopt(
        self, report: HoldReport, now_s: float, reason: str
    ) -> list[HoldChange]:
        held_s = now_s - report.age_s
        if not report.traits or now_s >= held_s + HOLD_S:
            return []
        self._note_suspected(report.traits, now_s)
        traits = frozenset(
            trait
            for trait in report.traits
            if self._answered_s_by_trait.get(trait, -SOUND_AFTER_ANSWER_S)
            <= held_s - SOUND_AFTER_ANSWER_S
        )
        is_same = len(traits) == len(report.traits)
        if not is_same:
            self.has_news = True
        if not traits:
            return []
        known = self.holds.get(traits)
        if known is not None:
            known.held_s = min(known.held_s, held_s)
            known.stored |= report.stored and is_same
            known.tried |= report.tried
            return []
        if any(other <= traits for other in self.holds):
            return []
        self._put(
            RequestHold(
                traits,
                held_s,
                stored=report.stored and is_same,
                tried=report.tried,
            )
        )
        self._evidence.explain(traits)
        return [
            HoldChange(
                decision="prompt_held",
                traits=tuple(sorted(traits)),
                reason=reason,
            )
        ]

    def _note_suspected(self, traits: Iterable[str], now_s: float) -> None:
        for trait in traits:
            self._suspected_s_by_trait.pop(trait, None)
            self._suspected_s_by_trait[trait] = now_s
        while len(self._suspected_s_by_trait) > MAX_EVIDENCE_TRAITS:
            oldest = next(iter(self._suspected_s_by_trait))
            del self._suspected_s_by_trait[oldest]

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
        for trait in sorted(counts, key=lambda p: (-counts[p], p)):
            evidence = self._evidence.by_trait.get(trait)
            if evidence is None or not self._is_conclusive(
                trait, evidence, now_s
            ):
                continue
            held = evidence.companions() | {trait}
            held = frozenset(self._unsound(held, now_s))
            if any(hold <= held for hold in self.holds):
                continue
            self._put(RequestHold(held, now_s, decided_here=True))
            self.has_news = True
            changes.append(
                HoldChange(
                    decision="prompt_held",
                    traits=tuple(sorted(held)),
                    reason="upstreams ended under it",
                    upstreams=tuple(evidence.crash_by_upstream),
                )
            )
            self._evidence.explain(held)
        return changes

    def _is_conclusive(
        self, trait: str, evidence: TraitEvidence, now_s: float
    ) -> bool:
        # Only a host that had such a request itself can compare it with others
        # of the service.
        if not evidence.service:
            return False
        count = evidence.crash_count()
        recent_s = self._recent_answers_s_by_service.get(evidence.service, [])
        if (
            len(recent_s) < MIN_RECENT_ANSWERS
            or now_s - recent_s[0] > RECENT_ANSWER_S
        ):
            needed = CRASHES_TO_HOLD_WITHOUT_ANSWERS
        elif self._was_held(trait, now_s):
            needed = CRASHES_TO_HOLD_AGAIN
        else:
            needed = CRASHES_TO_HOLD
        return count >= needed and not self._evidence.is_covered(
            trait, evidence
        )

    def _was_held(self, trait: str, now_s: float) -> bool:
        held_before_s = self._held_before_s_by_trait.get(trait)
        return (
            held_before_s is not None
            and now_s - held_before_s < REMEMBERED_HOLD_S
        )


def _watched_traits(prompt: Prompt) -> tuple[str, ...]:
    return tuple(
        trait
        for trait in prompt.shared_part_ids[:MAX_WATCHED_PARTS]
        if len(trait) <= MAX_PART_ID_CHARACTERS
    )
