"""Collect, for each trait of requests, the upstreams that ended under it."""

from collections.abc import Set
import math

import attrs

from shallotfold._gateway.deciding.request_traits import is_fingerprint

# Upstreams that end closer together may have ended for one common reason.
MIN_CRASH_SPACING_S = 0.05
# When an upstream ends, all its open requests break off within this time. What
# breaks off there later was sent after the end, until the upstream may be back.
SAME_CRASH_S = 0.3
MIN_RESTART_S = 2.0
# A prompt ends an upstream that begins to answer it, so that one whose answer
# has already come in part is less likely the cause.
BEGUN_ANSWER_WEIGHT = 0.5
MAX_EVIDENCE_TRAITS = 1_024
# Earlier crashes of one start of an upstream that are told apart.
MAX_EARLIER_CRASHES = 8


@attrs.define
class _Crash:
    """An upstream that ended under a trait.

    Attributes:
        crashed_s: When, on the boot clock.
        companions: Other traits of all requests with the trait that were open
            there.
        weight: How much it counts, 0 to 1.
        follows_crash: Whether such a request was sent there after it had ended
            another upstream, so that the two have no moment in common.
    """

    crashed_s: float
    companions: frozenset[str]
    weight: float
    follows_crash: bool


@attrs.define
class TraitEvidence:
    """Upstreams that ended under a trait since it was last answered."""

    crash_by_upstream: dict[str, _Crash] = attrs.field(factory=dict)
    """By id and start; a further crash of one start has a number of its own."""
    service: str = ""
    """Service of a request of this host; empty: only peers had one."""

    def crash_count(self) -> float:
        """Return the weight of the crashes that came at different times."""
        count, last_s = 0.0, -MIN_CRASH_SPACING_S
        for crash in sorted(
            self.crash_by_upstream.values(), key=lambda c: c.crashed_s
        ):
            if (
                crash.follows_crash
                or crash.crashed_s - last_s >= MIN_CRASH_SPACING_S
            ):
                count, last_s = count + crash.weight, crash.crashed_s
        return count

    def drop_before(self, oldest_s: float) -> None:
        """Drop the crashes up to a time."""
        self.crash_by_upstream = {
            key: crash
            for key, crash in self.crash_by_upstream.items()
            if crash.crashed_s > oldest_s
        }

    def latest_s(self) -> float:
        """Return the time of the latest crash."""
        return max(c.crashed_s for c in self.crash_by_upstream.values())

    def companions(self) -> frozenset[str]:
        """Return the parts that were open together with it in each crash."""
        crashes = self.crash_by_upstream.values()
        return frozenset.intersection(*(crash.companions for crash in crashes))


@attrs.define
class CrashEvidence:
    """Upstreams that ended, and under which traits of requests.

    Attributes:
        by_trait: Evidence on each trait; traits without crashes for the longest
            time are first.
    """

    by_trait: dict[str, TraitEvidence] = attrs.field(factory=dict)
    _crashed_s_by_upstream: dict[str, float] = attrs.field(factory=dict)
    _earlier_s_by_upstream: dict[str, list[float]] = attrs.field(factory=dict)

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
            key = self._crash_key(upstream, first_s)
            self._drop({key}, kept=frozenset())
        if math.isfinite(first_s) and crashed_s > first_s + MIN_RESTART_S:
            earlier_s = self._earlier_s_by_upstream.setdefault(upstream, [])
            if len(earlier_s) < MAX_EARLIER_CRASHES:
                earlier_s.append(first_s)
        if crashed_s < first_s or crashed_s > first_s + SAME_CRASH_S:
            self._crashed_s_by_upstream[upstream] = crashed_s
        return True

    def _crash_key(self, upstream: str, crashed_s: float) -> str:
        """Return a name of one crash; a start may have several.

        What stands in front of an upstream may stay registered while the
        upstream ends and starts again behind it.
        """
        earlier_s = self._earlier_s_by_upstream.get(upstream, [])
        number = sum(
            crashed_s > earlier + MIN_RESTART_S for earlier in earlier_s
        )
        return f"{upstream}#{number}" if number else upstream

    def add(
        self,
        upstream: str,
        crashed_s: float,
        traits: tuple[str, ...],
        service: str,
        *,
        answer_begun: bool,
        follows_crash: bool = False,
    ) -> None:
        """Add a crash under the traits of one request.

        Args:
            upstream: Id and start of the upstream.
            crashed_s: When it ended, on the boot clock.
            traits: Traits of the request that may be the cause.
            service: Its service; empty: the request was a peer's.
            answer_begun: Whether part of the answer had come.
            follows_crash: Whether the request had ended an upstream before.
        """
        key = self._crash_key(upstream, crashed_s)
        weight = BEGUN_ANSWER_WEIGHT if answer_begun else 1.0
        for trait in traits:
            companions = frozenset(traits) - {trait}
            evidence = self.by_trait.pop(trait, None) or TraitEvidence()
            self.by_trait[trait] = evidence
            evidence.service = evidence.service or service
            crash = evidence.crash_by_upstream.get(key)
            if crash is None:
                evidence.crash_by_upstream[key] = _Crash(
                    crashed_s, companions, weight, follows_crash
                )
            else:
                crash.companions &= companions
                crash.weight = max(crash.weight, weight)
                crash.follows_crash |= follows_crash
        while len(self.by_trait) > MAX_EVIDENCE_TRAITS:
            del self.by_trait[next(iter(self.by_trait))]

    def drop_before(self, oldest_s: float, oldest_request_s: float) -> None:
        """Drop the crashes up to a time.

        Args:
            oldest_s: Time for parts of prompts.
            oldest_request_s: Time for requests as a whole.
        """
        for upstream, crashed_s in list(self._crashed_s_by_upstream.items()):
            if crashed_s <= min(oldest_s, oldest_request_s):
                del self._crashed_s_by_upstream[upstream]
                self._earlier_s_by_upstream.pop(upstream, None)
        for trait, evidence in list(self.by_trait.items()):
            kept_from_s = (
                oldest_request_s if is_fingerprint(trait) else oldest_s
            )
            evidence.drop_before(kept_from_s)
            if not evidence.crash_by_upstream:
                del self.by_trait[trait]

    def drop_crashes_of(self, trait: str, until_s: float) -> bool:
        """Drop the crashes under a trait up to a time.

        Returns:
            Whether there were any.
        """
        evidence = self.by_trait.get(trait)
        if evidence is None:
            return False
        count = len(evidence.crash_by_upstream)
        evidence.drop_before(until_s)
        if not evidence.crash_by_upstream:
            del self.by_trait[trait]
        return len(evidence.crash_by_upstream) < count

    def is_covered(
        self,
        trait: str,
        evidence: TraitEvidence,
        *,
        by_more_only: bool = False,
    ) -> bool:
        """Whether the same upstreams ended under a trait of other requests.

        Args:
            trait: The trait.
            evidence: Evidence on it.
            by_more_only: Whether further upstreams must have ended there too.
        """
        upstreams = evidence.crash_by_upstream.keys()
        companions = evidence.companions()
        return any(
            other_trait != trait
            and other_trait not in companions
            and upstreams <= other.crash_by_upstream.keys()
            and not (
                by_more_only and len(other.crash_by_upstream) == len(upstreams)
            )
            for other_trait, other in self.by_trait.items()
        )

    def tied_requests(self, trait: str, evidence: TraitEvidence) -> list[str]:
        """Return other requests under which the same upstreams ended."""
        upstreams = evidence.crash_by_upstream.keys()
        companions = evidence.companions()
        return [
            other_trait
            for other_trait, other in self.by_trait.items()
            if other_trait != trait
            and is_fingerprint(other_trait)
            and other_trait not in companions
            and other.crash_by_upstream.keys() == upstreams
        ]

    def explain(self, held: frozenset[str]) -> None:
        """Drop the crashes under held requests from the evidence on others."""
        explained: set[str] = set()
        for trait in held:
            evidence = self.by_trait.get(trait)
            if evidence is not None:
                explained |= evidence.crash_by_upstream.keys()
        self._drop(explained, kept=held)

    def _drop(self, upstreams: Set[str], kept: frozenset[str]) -> None:
        """Drop crashes from the evidence on all but kept traits."""
        for trait, evidence in list(self.by_trait.items()):
            if trait in kept:
                continue
            for upstream in upstreams & evidence.crash_by_upstream.keys():
                del evidence.crash_by_upstream[upstream]
            if not evidence.crash_by_upstream:
                del self.by_trait[trait]
