"""Collect, for each part of prompts, the upstreams that ended under it."""

from collections.abc import Set
import math

import attrs

# Upstreams that end closer together may have ended for one common reason.
MIN_CRASH_SPACING_S = 0.05
# When an upstream ends, all its open requests break off within this time. What
# breaks off there later was sent after the end, until the upstream may be back.
SAME_CRASH_S = 0.3
MIN_RESTART_S = 2.0
# A prompt ends an upstream that begins to answer it, so that one whose answer
# has already come in part is less likely the cause.
BEGUN_ANSWER_WEIGHT = 0.5
MAX_EVIDENCE_TRAITS = 512


@attrs.define
class _Crash:
    """An upstream that ended under a part.

    Attributes:
        crashed_s: When, on the boot clock.
        companions: Other parts of all requests with the part that were open
            there.
        weight: How much it counts, 0 to 1.
    """

    crashed_s: float
    companions: frozenset[str]
    weight: float


@attrs.define
class TraitEvidence:
    """Upstreams that ended under a part since it was last answered."""

    crash_by_upstream: dict[str, _Crash] = attrs.field(factory=dict)
    service: str = ""
    """Service of a request of this host; empty: only peers had one."""

    def crash_count(self) -> float:
        """Return the weight of the crashes that came at different times."""
        count, last_s = 0.0, -MIN_CRASH_SPACING_S
        for crash in sorted(
            self.crash_by_upstream.values(), key=lambda c: c.crashed_s
        ):
            if crash.crashed_s - last_s >= MIN_CRASH_SPACING_S:
                count, last_s = count + crash.weight, crash.crashed_s
        return count

    def companions(self) -> frozenset[str]:
        """Return the parts that were open together with it in each crash."""
        crashes = self.crash_by_upstream.values()
        return frozenset.intersection(*(crash.companions for crash in crashes))


@attrs.define
class CrashEvidence:
    """Upstreams that ended, and under which parts of prompts.

    Attributes:
        by_trait: Evidence on each part; parts without crashes for the longest
            time are first.
    """

    by_trait: dict[str, TraitEvidence] = attrs.field(factory=dict)
    _crashed_s_by_upstream: dict[str, float] = attrs.field(factory=dict)

    def has_ended_before(self, upstream: str, sent_s: float) -> bool:
        """Whether a request was sent to an upstream that had ended."""
        crashed_s = self._crashed_s_by_upstream.get(upstream, -math.inf)
        return crashed_s < sent_s < crashed_s + MIN_RESTART_S

    def was_running(self, upstream: str, crashed_s: float) -> bool:
        """Whether an upstream was running until this crash.

        News of an earlier crash also drop the evidence of what came after it.
        """
        first_s = self._crashed_s_by_upstream.get(upstream, -math.inf)
        if first_s + SAME_CRASH_S < crashed_s <= first_s + MIN_RESTART_S:
            return False
        if crashed_s < first_s - MIN_RESTART_S:
            # It is older than a restart.
            return True
        if crashed_s < first_s - SAME_CRASH_S:
            self._drop({upstream}, kept=frozenset())
        if crashed_s < first_s or crashed_s > first_s + SAME_CRASH_S:
            self._crashed_s_by_upstream[upstream] = crashed_s
        return True

    def add(
        self,
        upstream: str,
        crashed_s: float,
        traits: tuple[str, ...],
        service: str,
        *,
        answer_begun: bool,
    ) -> None:
        """Add a crash under the parts of one request.

        Args:
            upstream: Id and start of the upstream.
            crashed_s: When it ended, on the boot clock.
            traits: Parts of the request that may be the cause.
            service: Its service; empty: the request was a peer's.
            answer_begun: Whether part of the answer had come.
        """
        weight = BEGUN_ANSWER_WEIGHT if answer_begun else 1.0
        for trait in traits:
            companions = frozenset(traits) - {trait}
            evidence = self.by_trait.pop(trait, None) or TraitEvidence()
            self.by_trait[trait] = evidence
            evidence.service = evidence.service or service
            crash = evidence.crash_by_upstream.get(upstream)
            if crash is None:
                evidence.crash_by_upstream[upstream] = _Crash(
                    crashed_s, companions, weight
                )
            else:
                crash.companions &= companions
                crash.weight = max(crash.weight, weight)
        while len(self.by_trait) > MAX_EVIDENCE_TRAITS:
            del self.by_trait[next(iter(self.by_trait))]

    def drop_before(self, oldest_s: float) -> None:
        """Drop the crashes up to a time."""
        old = {
            upstream
            for upstream, crashed_s in self._crashed_s_by_upstream.items()
            if crashed_s <= oldest_s
        }
        if old:
            for upstream in old:
                del self._crashed_s_by_upstream[upstream]
            self._drop(old, kept=frozenset())

    def is_covered(self, trait: str, evidence: TraitEvidence) -> bool:
        """Whether the same upstreams ended under a part of other prompts."""
        upstreams = evidence.crash_by_upstream.keys()
        companions = evidence.companions()
        return any(
            other_id != trait
            and other_id not in companions
            and upstreams <= other.crash_by_upstream.keys()
            for other_id, other in self.by_trait.items()
        )

    def explain(self, held: frozenset[str]) -> None:
        """Drop the crashes under held prompts from the evidence on others."""
        explained: set[str] = set()
        for trait in held:
            evidence = self.by_trait.get(trait)
            if evidence is not None:
                explained |= evidence.crash_by_upstream.keys()
        self._drop(explained, kept=held)

    def _drop(self, upstreams: Set[str], kept: frozenset[str]) -> None:
        """Drop crashes of upstreams from the evidence on all but kept parts."""
        for trait, evidence in list(self.by_trait.items()):
            if trait in kept:
                continue
            for upstream in upstreams & evidence.crash_by_upstream.keys():
                del evidence.crash_by_upstream[upstream]
            if not evidence.crash_by_upstream:
                del self.by_trait[trait]
