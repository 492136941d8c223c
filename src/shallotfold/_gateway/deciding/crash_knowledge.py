"""Define what hosts tell each other of requests under which upstreams end."""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs


@attrs.frozen
class CrashReport:
    """An upstream ended while a request was open there.

    Attributes:
        upstream: Id and start of the upstream.
        age_s: How long ago that was.
        traits: Traits of the request that aren't known to be sound: shared
            parts of its prompt and its fingerprint.
        answer_begun: Whether part of the answer had come.
    """

    upstream: str
    age_s: float
    traits: tuple[str, ...]
    answer_begun: bool


@attrs.frozen
class HoldReport:
    """Requests that a host holds back.

    Attributes:
        traits: Requests with all of these traits are held back.
        age_s: How long they have been.
        stored: Whether the platform's store has it.
        trials: Requests that were let through as a trial.
    """

    traits: tuple[str, ...]
    age_s: float
    stored: bool
    trials: int


@attrs.frozen(kw_only=True)
class CrashKnowledge:
    """What a host tells its peers about requests under which upstreams end.

    Attributes:
        reports: Upstreams that ended under its own requests.
        holds: Requests that it holds back.
        answer_ages_s_by_trait: How long ago a request with a trait that is
            suspected was answered.
    """

    reports: Sequence[CrashReport] = ()
    holds: Sequence[HoldReport] = ()
    answer_ages_s_by_trait: Mapping[str, float] = attrs.field(factory=dict)

    def __bool__(self) -> bool:
        """Whether there is anything to tell."""
        return bool(self.reports or self.holds or self.answer_ages_s_by_trait)
