"""Health of upstreams: failures, outlier ejection and concurrency limits."""

from __future__ import annotations

from collections.abc import Iterable
import statistics

import attrs

from shallotfold._model.upstreams import UpstreamLoad

MAX_CONSECUTIVE_FAILURES = 2
MAX_CONSECUTIVE_LOAD_FAILURES = 3
SILENCE_TIMEOUT_S = 2.0
MIN_PROBE_SLACK_S = 5.0
INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 15.0
STRAGGLER_RATIO = 2.0
RECOVERED_RATIO = 1.5
MIN_SAMPLE_TOKENS = 20
MIN_COMPARED_UPSTREAMS = 2
MAX_EJECTED_SHARE = 0.34
GAP_EWMA_WEIGHT = 0.5
SHRINK_ABOVE_RATIO = 0.95
GROW_BELOW_RATIO = 0.8


@attrs.define(kw_only=True)
class UpstreamHealth:
    """What the owner of a pool knows about one upstream.

    Attributes:
        failures: Consecutive failed attempts.
        load_failures: Consecutive missed load reports.
        ejected_until_s: It gets no new work before this time.
        backoff_s: Length of the last ejection.
        probing: Whether it gets only one request at a time, as a probe.
        slow: Whether it was ejected for slowness.
        gap_s: Moving average of the time between tokens; -1 before any sample.
        sample_tokens: Tokens since the last evaluation.
        sample_busy_s: Stream seconds since the last evaluation.
        concurrency_limit: Most concurrent requests that keep the gaps within
            the target; 0 means that only the slots limit it.
        load: Last load report.
        last_progress_s: When any of its attempts last made progress.
    """

    failures: int = 0
    load_failures: int = 0
    ejected_until_s: float = 0.0
    backoff_s: float = 0.0
    probing: bool = False
    slow: bool = False
    gap_s: float = -1.0
    sample_tokens: int = 0
    sample_busy_s: float = 0.0
    concurrency_limit: int = 0
    load: UpstreamLoad | None = None
    last_progress_s: float = 0.0

    @property
    def leaving(self) -> bool:
        """Whether its load report says that it is leaving."""
        return self.load is not None and self.load.leaving

    def limit(self, slots: int, now_s: float) -> int:
        """Return how many concurrent requests it may run."""
        if now_s < self.ejected_until_s or self.leaving:
            return 0
        overdue = now_s - self.ejected_until_s > MAX_BACKOFF_S
        if self.load is not None and self.is_silent(now_s) and not overdue:
            return 0
        if self.probing:
            return 1
        if self.load is not None and self.load.slots:
            slots = min(slots, self.load.slots)
        return (
            min(slots, self.concurrency_limit)
            if self.concurrency_limit
            else slots
        )

    def eject(self, now_s: float, seconds: float = 0.0) -> None:
        """Give it no work for `seconds`, or for an exponential backoff."""
        self.backoff_s = min(
            MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2.0 * self.backoff_s)
        )
        self.ejected_until_s = now_s + (seconds or self.backoff_s)
        self.probing = True

    def readmit(self) -> None:
        """Give it normal work again."""
        self.failures = 0
        self.backoff_s = 0.0
        self.probing = False
        self.slow = False

    def on_failure(
        self, now_s: float, *, ran: bool, retry_after_s: float
    ) -> None:
        """Count a failed attempt; a refused connection ejects at once."""
        self.failures += 1
        if retry_after_s >= 0.0:
            self.eject(now_s, max(INITIAL_BACKOFF_S, retry_after_s))
        elif (
            not ran or self.probing or self.failures >= MAX_CONSECUTIVE_FAILURES
        ):
            self.eject(now_s)

    def is_silent(self, now_s: float) -> bool:
        """Whether it neither reports its load nor makes progress."""
        return (
            self.load_failures >= MAX_CONSECUTIVE_LOAD_FAILURES
            and now_s - self.last_progress_s > SILENCE_TIMEOUT_S
        )

    def on_success(self, now_s: float) -> None:
        """Record a complete answer."""
        self.last_progress_s = now_s
        self.failures = 0
        if self.probing and not self.slow:
            self.readmit()

    def on_load(self, load: UpstreamLoad, now_s: float) -> None:
        """Record a load report; it readmits an upstream that had failed."""
        self.load = load
        self.load_failures = 0
        if self.probing and not self.slow and now_s >= self.ejected_until_s:
            self.readmit()

    def may_probe(self, slack_s: float, now_s: float) -> bool:
        """Whether a request has enough slack to probe this upstream."""
        overdue = now_s - self.ejected_until_s > MAX_BACKOFF_S
        return slack_s >= MIN_PROBE_SLACK_S or overdue

    def on_load_failure(self, now_s: float) -> None:
        """Count a missed load report; several in a row eject the upstream."""
        self.load_failures += 1
        if (
            self.load_failures >= MAX_CONSECUTIVE_LOAD_FAILURES
            and not self.probing
        ):
            self.eject(now_s)

    def add_sample(self, tokens: int, busy_s: float, now_s: float) -> None:
        """Add progress of streams to the sample."""
        self.last_progress_s = now_s
        self.sample_tokens += tokens
        self.sample_busy_s += busy_s

    def update_gap(self) -> bool:
        """Update `gap_s` from the sample; return False if it is too small."""
        too_few_tokens = self.sample_tokens < MIN_SAMPLE_TOKENS
        if too_few_tokens and self.sample_busy_s < 1.0:
            return False
        gap_s = self.sample_busy_s / max(1, self.sample_tokens)
        old = self.gap_s if self.gap_s >= 0.0 else gap_s
        self.gap_s = old + GAP_EWMA_WEIGHT * (gap_s - old)
        self.sample_tokens = 0
        self.sample_busy_s = 0.0
        return True

    def adapt_concurrency_limit(
        self, target_s: float | None, running: int, slots: int
    ) -> None:
        """Adapt the concurrency limit so that gaps stay below the target."""
        if target_s is None:
            self.concurrency_limit = 0
            return
        limit = self.concurrency_limit or slots
        if self.gap_s > SHRINK_ABOVE_RATIO * target_s:
            limit = max(1, min(limit, running) - 1)
        elif self.gap_s < GROW_BELOW_RATIO * target_s and running >= limit:
            limit += 1
        self.concurrency_limit = limit if limit < slots else 0


def eject_stragglers(
    healths: Iterable[UpstreamHealth], total: int, now_s: float
) -> list[UpstreamHealth]:
    """Eject upstreams that are far slower than the pool; readmit others.

    At most `MAX_EJECTED_SHARE` of the pool's `total` upstreams are ejected for
    slowness, so that the others are not overloaded.

    Returns:
        The upstreams that were ejected now.
    """
    measured = [health for health in healths if health.gap_s >= 0.0]
    gaps_s = [health.gap_s for health in measured if not health.slow]
    if len(gaps_s) < MIN_COMPARED_UPSTREAMS:
        return []
    median_s = statistics.median_low(gaps_s)
    ejected_count = sum(health.slow for health in measured)
    newly_ejected = []
    for health in sorted(measured, key=lambda h: -h.gap_s):
        if health.slow:
            _evaluate_probe(health, median_s, now_s)
        elif (
            health.gap_s > STRAGGLER_RATIO * median_s
            and ejected_count + 1 <= MAX_EJECTED_SHARE * total
        ):
            health.slow = True
            health.eject(now_s)
            ejected_count += 1
            newly_ejected.append(health)
    return newly_ejected


def _evaluate_probe(
    health: UpstreamHealth, median_s: float, now_s: float
) -> None:
    if now_s < health.ejected_until_s:
        return
    if health.gap_s <= RECOVERED_RATIO * median_s:
        health.readmit()
    elif health.gap_s > STRAGGLER_RATIO * median_s:
        health.eject(now_s)
