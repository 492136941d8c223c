"""Judge upstreams: failing, slow, leaving, and how large a batch they bear."""

from __future__ import annotations

from collections.abc import Iterable
import statistics

import attrs

from shallotfold._model.upstreams import UpstreamLoad

MAX_FAILURES_IN_A_ROW = 2
MAX_LOAD_FAILURES = 3
SILENCE_S = 2.0
MIN_PROBE_SLACK_S = 5.0
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 15.0
STRAGGLER_RATIO = 2.0
RECOVERED_RATIO = 1.5
MIN_SAMPLE_TOKENS = 20
MIN_PEERS = 2
MAX_EJECTED_SHARE = 0.34
SAMPLE_WEIGHT = 0.5
GAP_HIGH_RATIO = 0.95
GAP_LOW_RATIO = 0.8


@attrs.define(kw_only=True)
class UpstreamHealth:
    """What the owner of a pool knows about one upstream.

    Attributes:
        failures: Failed attempts in a row.
        load_failures: Load reports missed in a row.
        closed_until_s: No new work before this time.
        backoff_s: Length of the last closure.
        probing: Whether one request at a time tests it.
        slow: Whether it was closed for slowness.
        gap_s: Recent time between tokens; -1 before any sample.
        sample_tokens: Tokens since the last judgement.
        sample_busy_s: Stream seconds since the last judgement.
        batch_bound: Most requests at once that keep the gaps in the target;
            0 means no bound but the slots.
        load: Last load report.
        alive_s: When it last made progress for anybody.
    """

    failures: int = 0
    load_failures: int = 0
    closed_until_s: float = 0.0
    backoff_s: float = 0.0
    probing: bool = False
    slow: bool = False
    gap_s: float = -1.0
    sample_tokens: int = 0
    sample_busy_s: float = 0.0
    batch_bound: int = 0
    load: UpstreamLoad | None = None
    alive_s: float = 0.0

    @property
    def leaving(self) -> bool:
        """Whether its own load report says that it is about to go."""
        return self.load is not None and self.load.leaving

    def limit(self, slots: int, now_s: float) -> int:
        """Return how many requests it may run at once."""
        if now_s < self.closed_until_s or self.leaving:
            return 0
        overdue = now_s - self.closed_until_s > MAX_BACKOFF_S
        if self.load is not None and self.is_silent(now_s) and not overdue:
            return 0
        if self.probing:
            return 1
        if self.load is not None and self.load.slots:
            slots = min(slots, self.load.slots)
        return min(slots, self.batch_bound) if self.batch_bound else slots

    def close(self, now_s: float, seconds: float = 0.0) -> None:
        """Give it no work for a time that doubles with each closure."""
        self.backoff_s = min(
            MAX_BACKOFF_S, max(FIRST_BACKOFF_S, 2.0 * self.backoff_s)
        )
        self.closed_until_s = now_s + (seconds or self.backoff_s)
        self.probing = True

    def reopen(self) -> None:
        """Give it full work again."""
        self.failures = 0
        self.backoff_s = 0.0
        self.probing = False
        self.slow = False

    def on_failure(
        self, now_s: float, *, ran: bool, retry_after_s: float
    ) -> None:
        """Count a failed attempt; a refused connection closes at once."""
        self.failures += 1
        if retry_after_s >= 0.0:
            self.close(now_s, max(FIRST_BACKOFF_S, retry_after_s))
        elif not ran or self.probing or self.failures >= MAX_FAILURES_IN_A_ROW:
            self.close(now_s)

    def is_silent(self, now_s: float) -> bool:
        """Whether it neither reports its load nor makes progress."""
        return (
            self.load_failures >= MAX_LOAD_FAILURES
            and now_s - self.alive_s > SILENCE_S
        )

    def on_success(self, now_s: float) -> None:
        """Count a whole answer."""
        self.alive_s = now_s
        self.failures = 0
        if self.probing and not self.slow:
            self.reopen()

    def on_load(self, load: UpstreamLoad, now_s: float) -> None:
        """Take over a load report; it reopens a failed upstream."""
        self.load = load
        self.load_failures = 0
        if self.probing and not self.slow and now_s >= self.closed_until_s:
            self.reopen()

    def may_probe(self, slack_s: float, now_s: float) -> bool:
        """Whether a request has the time to try an upstream under test."""
        overdue = now_s - self.closed_until_s > MAX_BACKOFF_S
        return slack_s >= MIN_PROBE_SLACK_S or overdue

    def on_load_failure(self, now_s: float) -> None:
        """Close an upstream that gives no reports any more."""
        self.load_failures += 1
        if self.load_failures >= MAX_LOAD_FAILURES and not self.probing:
            self.close(now_s)

    def add_sample(self, tokens: int, busy_s: float, now_s: float) -> None:
        """Collect progress of streams."""
        self.alive_s = now_s
        self.sample_tokens += tokens
        self.sample_busy_s += busy_s

    def take_samples(self) -> bool:
        """Fold the collected progress into `gap_s`; False if too little."""
        few = self.sample_tokens < MIN_SAMPLE_TOKENS
        if few and self.sample_busy_s < 1.0:
            return False
        gap_s = self.sample_busy_s / max(1, self.sample_tokens)
        old = self.gap_s if self.gap_s >= 0.0 else gap_s
        self.gap_s = old + SAMPLE_WEIGHT * (gap_s - old)
        self.sample_tokens = 0
        self.sample_busy_s = 0.0
        return True

    def adapt_bound(
        self, target_s: float | None, running: int, slots: int
    ) -> None:
        """Move the batch bound so that gaps stay under the target."""
        if target_s is None:
            self.batch_bound = 0
            return
        bound = self.batch_bound or slots
        if self.gap_s > GAP_HIGH_RATIO * target_s:
            bound = max(1, min(bound, running) - 1)
        elif self.gap_s < GAP_LOW_RATIO * target_s and running >= bound:
            bound += 1
        self.batch_bound = bound if bound < slots else 0


def eject_stragglers(
    healths: Iterable[UpstreamHealth], total: int, now_s: float
) -> list[UpstreamHealth]:
    """Close upstreams that are far slower than the pool, and readmit others.

    At most `MAX_EJECTED_SHARE` of the pool's `total` upstreams are closed for
    slowness, so that the rest is not overloaded.

    Returns:
        The upstreams closed now.
    """
    known = [health for health in healths if health.gap_s >= 0.0]
    fast = [health.gap_s for health in known if not health.slow]
    if len(fast) < MIN_PEERS:
        return []
    median_s = statistics.median_low(fast)
    ejected = sum(health.slow for health in known)
    closed = []
    for health in sorted(known, key=lambda h: -h.gap_s):
        if health.slow:
            _judge_probe(health, median_s, now_s)
        elif (
            health.gap_s > STRAGGLER_RATIO * median_s
            and ejected + 1 <= MAX_EJECTED_SHARE * total
        ):
            health.slow = True
            health.close(now_s)
            ejected += 1
            closed.append(health)
    return closed


def _judge_probe(health: UpstreamHealth, median_s: float, now_s: float) -> None:
    if now_s < health.closed_until_s:
        return
    if health.gap_s <= RECOVERED_RATIO * median_s:
        health.reopen()
    elif health.gap_s > STRAGGLER_RATIO * median_s:
        health.close(now_s)
