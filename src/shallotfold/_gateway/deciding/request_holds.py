"""Describe requests that are held back, and their trials."""

from collections.abc import Iterable
import math

import attrs

from shallotfold._gateway.deciding.request_traits import is_fingerprint

HOLD_S = 600.0
# Nobody else is kept waiting by a request that is held back by itself.
REQUEST_HOLD_S = 3_600.0
# One request is let through this long after a hold began, in case the part is
# sound. Hosts do so at different times, and the first one tells the others.
TRIAL_AFTER_S = 5.0
TRIAL_SPREAD_S_PER_HOST = 0.2
# Of equal requests, one at each of these times. The upstream of the first trial
# may end of the other cause that still lasts.
REQUEST_TRIALS_AFTER_S = (2.0, 15.0)


@attrs.define
class RequestHold:
    """Requests that are held back.

    Attributes:
        traits: Requests with all of these traits. There are several as long as
            it isn't known which of them ends upstreams.
        held_s: Since when, on the boot clock.
        stored: Whether the platform's store has it.
        trials: Requests that were let through as a trial, on any host.
        decided_here: Whether this host decided it.
        refused_s: When such a request last came here, on the boot clock.
        trial_claimed: Whether this host may let the next one through.
    """

    traits: frozenset[str]
    held_s: float
    stored: bool = False
    trials: int = 0
    decided_here: bool = False
    refused_s: float = -math.inf
    trial_claimed: bool = False

    @property
    def is_of_equal_requests(self) -> bool:
        """Whether only equal requests are held back."""
        return have_fingerprint(self.traits)

    @property
    def ends_s(self) -> float:
        """When such requests are let through again, on the boot clock."""
        return self.held_s + hold_duration_s(self.traits)

    def trial_due_s(self, host_count: int, draw: float) -> float:
        """Return from when on a host may make the next trial.

        Args:
            host_count: Number of hosts, among which trials are spread.
            draw: Random number of the host, 0 to 1.
        """
        trials_after_s = (
            REQUEST_TRIALS_AFTER_S
            if self.is_of_equal_requests
            else (TRIAL_AFTER_S,)
        )
        if self.trials >= len(trials_after_s):
            return math.inf
        spread_s = TRIAL_SPREAD_S_PER_HOST * host_count
        return self.held_s + trials_after_s[self.trials] + draw * spread_s


@attrs.frozen(kw_only=True)
class HoldChange:
    """A hold that began, changed or ended, for the log.

    Attributes:
        decision: `prompt_held`, `hold_narrowed` or `prompt_released`;
            `request_held` and `request_released` for equal requests.
        traits: Its traits, before the change if it ended.
        reason: What led to it.
        upstreams: Upstreams that ended under them, if this host decided.
    """

    decision: str
    traits: tuple[str, ...]
    reason: str
    upstreams: tuple[str, ...] = ()


def have_fingerprint(traits: Iterable[str]) -> bool:
    """Whether only equal requests have all of these traits."""
    return any(map(is_fingerprint, traits))


def hold_duration_s(traits: Iterable[str]) -> float:
    """Return how long requests with these traits are held back."""
    return REQUEST_HOLD_S if have_fingerprint(traits) else HOLD_S


def describe_begin(
    hold: RequestHold, reason: str, upstreams: Iterable[str] = ()
) -> HoldChange:
    """Return the change by which a hold begins."""
    return HoldChange(
        decision=(
            "request_held" if hold.is_of_equal_requests else "prompt_held"
        ),
        traits=tuple(sorted(hold.traits)),
        reason=reason,
        upstreams=tuple(upstreams),
    )


def describe_end(hold: RequestHold, reason: str) -> HoldChange:
    """Return the change by which a hold ends."""
    return HoldChange(
        decision=(
            "request_released"
            if hold.is_of_equal_requests
            else "prompt_released"
        ),
        traits=tuple(sorted(hold.traits)),
        reason=reason,
    )
