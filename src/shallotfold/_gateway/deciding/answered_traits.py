"""Remember which traits of requests were answered, and what that shows."""

import math

import attrs

from shallotfold._gateway.deciding.request_traits import is_fingerprint

# An answer shows that its parts end no upstream. Engines may get other software
# or weights later, so that this doesn't hold for ever.
SOUND_AFTER_ANSWER_S = 60.0
# An answer that was on the way when a request was held back.
ANSWER_TRANSIT_S = 0.5
MAX_SOUND_PARTS = 4_096
MAX_ANSWERED_REQUESTS = 2_048


@attrs.define
class AnsweredTraits:
    """When requests with a trait were last answered, on any known host."""

    _answered_s_by_part: dict[str, float] = attrs.field(factory=dict)
    # Apart, since most requests are unlike all others and would displace parts.
    _answered_s_by_request: dict[str, float] = attrs.field(factory=dict)

    def record(self, trait: str, answered_s: float) -> None:
        """Record an answer, which may be older than the latest one."""
        known_s = max(answered_s, self.answered_s(trait))
        if is_fingerprint(trait):
            answered_s_by_trait = self._answered_s_by_request
            limit = MAX_ANSWERED_REQUESTS
        else:
            answered_s_by_trait = self._answered_s_by_part
            limit = MAX_SOUND_PARTS
        answered_s_by_trait.pop(trait, None)
        answered_s_by_trait[trait] = known_s
        if len(answered_s_by_trait) > limit:
            del answered_s_by_trait[next(iter(answered_s_by_trait))]

    def answered_s(self, trait: str) -> float:
        """Return the time of the latest answer, on the boot clock."""
        if is_fingerprint(trait):
            return self._answered_s_by_request.get(trait, -math.inf)
        return self._answered_s_by_part.get(trait, -math.inf)

    def is_sound(self, trait: str, crashed_s: float, now_s: float) -> bool:
        """Whether a trait isn't the cause of a crash.

        A part of a prompt stays sound for a while: other prompts with it are
        the more likely cause. A request that was answered before may end
        upstreams now, so that only a later answer counts.
        """
        if is_fingerprint(trait):
            return self.answered_s(trait) >= crashed_s
        return now_s - self.answered_s(trait) < SOUND_AFTER_ANSWER_S

    def ends_holds_before_s(self, trait: str) -> float:
        """Return the time up to which the latest answer ends holds."""
        if is_fingerprint(trait):
            return self.answered_s(trait) + ANSWER_TRANSIT_S
        return self.answered_s(trait) + SOUND_AFTER_ANSWER_S
