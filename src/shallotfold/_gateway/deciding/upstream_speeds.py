"""Estimate how fast upstreams are now, and how many requests they handle well.

The evidence is the time of responses compared with the usual time of the
service, and the percentage that upstreams report. All hosts exchange their
samples. A service takes part once an upstream of it has reported a percentage.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
import zlib

import attrs

from shallotfold._gateway.core.model import Upstream

# Bounds of the factor and of one sample: a single response that was held up
# elsewhere says little about its upstream.
MAX_TIME_FACTOR = 4.0
MAX_LOG_FACTOR = math.log(MAX_TIME_FACTOR)
# Weights of samples decay with these time constants. A disturbance of an
# upstream lasts some tenths of a second; changes are followed in seconds.
FACTOR_DECAY_S = 3.0
FIT_DECAY_S = 10.0
# Factors compare upstreams with what was usual in the last seconds; limits
# compare times of a longer past, so that they also fall when all upstreams are
# overloaded at the same time.
USUAL_DECAY_S = 10.0
# Samples that say "as usual" and never decay, so that the factor returns to 1.
PRIOR_SAMPLES = 1.5
# Bounds how long many samples outweigh the prior ones.
MAX_FACTOR_SAMPLES = 10.0
# After this time without a sample, factor and limit are those of a new start.
FORGET_AFTER_S = 10.0
# A reported percentage says nothing more at this age: it changes many times a
# second. Near the age of 0 it counts as far as samples have confirmed it.
REPORT_LIFETIME_S = 0.6
REPORT_PAIRING_S = 0.2
PRIOR_REPORT_TRUST = 0.5
PRIOR_REPORT_VARIANCE = 0.3
# The limit is where work takes this multiple of its time at an idle upstream.
LIMIT_TIME_RATIO = 2.0
# The limit is rounded down from this far below the next number: at a wall, one
# request more takes several times as long.
LIMIT_ROUNDING = 0.25
# Times are kept by the share of used slots, in so many steps.
LOAD_STEPS = 4
LOAD_DECAY_S = 20.0
MAX_LOAD_SAMPLES = 15.0
# Up to this share of used slots, times are those of a calm upstream. They are
# kept by service too, for upstreams that have none of their own.
CALM_LOAD = 0.5
CALM_DECAY_S = 60.0
MAX_CALM_SAMPLES = 50.0
# A step with fewer samples says nothing.
MIN_LOAD_SAMPLES = 4.0
# The limit moves towards its target with this time constant.
LIMIT_SETTLING_S = 2.0
# Costs of upstreams vary at random by this share, half up and half down, so
# that one whose factor has returned to 1 is tried.
COST_SPREAD = 0.2
# Where each host compares all upstreams, costs vary more with each other host:
# they know each other's requests late, and would all choose the same upstream.
COST_SPREAD_PER_HOST = 0.02
MAX_COST_SPREAD = 1.0
# An upstream is logged as slow from the first factor on, until the second.
SLOW_FACTOR = 1.5
NO_LONGER_SLOW_FACTOR = 1.2
REVIEW_INTERVAL_S = 1.0
# Samples that a host sends with one heartbeat, the newest.
MAX_ANNOUNCED_SAMPLES = 32


@attrs.frozen
class SpeedSample:
    """How long one response took, for peers.

    Attributes:
        upstream: Id of the upstream.
        started_ms: Its start, in Unix milliseconds.
        log_time: Natural logarithm of the time in seconds, or of the time
            divided by the predicted one.
        running: Requests there, with the request; 0: unknown.
    """

    upstream: str
    started_ms: int
    log_time: float
    running: int


@attrs.frozen(kw_only=True)
class SpeedChange:
    """An upstream became slow, or is no longer.

    Attributes:
        upstream: Id of the upstream.
        service: Its service.
        is_slow: Whether it is slow now.
        factor: Its time factor.
        limit: Its limit of concurrent requests.
        slots: Requests that it runs concurrently.
    """

    upstream: str
    service: str
    is_slow: bool
    factor: float
    limit: int
    slots: int


@attrs.define
class _DecayingFit:
    """Mean and linear regression of samples whose weights decay."""

    decay_s: float
    max_weight: float = math.inf
    at_s: float = 0.0
    weight: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def add(self, x: float, y: float, now_s: float) -> None:
        decay = math.exp(min(0.0, self.at_s - now_s) / self.decay_s)
        decay = min(decay, self.max_weight / max(self.weight, 1e-9))
        self.at_s = max(self.at_s, now_s)
        self.weight = self.weight * decay + 1.0
        self.x = self.x * decay + x
        self.y = self.y * decay + y
        self.xx = self.xx * decay + x * x
        self.xy = self.xy * decay + x * y

    def weight_at(self, now_s: float) -> float:
        return self.weight * math.exp(
            min(0.0, self.at_s - now_s) / self.decay_s
        )

    @property
    def mean_y(self) -> float:
        return self.y / self.weight if self.weight else 0.0

    def slope(self, prior_slope: float, prior_variance: float) -> float:
        if not self.weight:
            return prior_slope
        variance = max(0.0, self.xx - self.x * self.x / self.weight)
        covariance = self.xy - self.x * self.y / self.weight
        return (covariance + prior_slope * prior_variance) / (
            variance + prior_variance
        )


@attrs.define
class _Estimate:
    """Estimate of one incarnation of an upstream."""

    started_ms: int
    times: _DecayingFit = attrs.field(
        factory=lambda: _DecayingFit(FACTOR_DECAY_S, MAX_FACTOR_SAMPLES)
    )
    times_by_report: _DecayingFit = attrs.field(
        factory=lambda: _DecayingFit(FIT_DECAY_S)
    )
    times_by_load: tuple[_DecayingFit, ...] = attrs.field(
        factory=lambda: tuple(
            _DecayingFit(LOAD_DECAY_S, MAX_LOAD_SAMPLES)
            for _ in range(LOAD_STEPS)
        )
    )
    reported_log: float = 0.0
    reported_s: float = -math.inf
    mean_reported_log: float = 0.0
    report_trust: float = PRIOR_REPORT_TRUST
    limit_share: float = 1.0
    limit_changed_s: float = -math.inf
    is_slow: bool = False

    def log_factor(self, now_s: float) -> float:
        """Return the mean over the last seconds, without the report."""
        age_s = now_s - self.times.at_s
        if age_s >= FORGET_AFTER_S or not self.times.weight:
            return 0.0
        decay = math.exp(min(0.0, -age_s) / FACTOR_DECAY_S)
        return (
            self.times.y * decay / (self.times.weight * decay + PRIOR_SAMPLES)
        )

    def report_log(self, now_s: float) -> float:
        """Return how far the report moves the factor, as a logarithm."""
        age_s = now_s - self.reported_s
        if age_s >= REPORT_LIFETIME_S:
            return 0.0
        freshness = 1.0 - max(0.0, age_s) / REPORT_LIFETIME_S
        deviation = self.reported_log - self.mean_reported_log
        return self.report_trust * deviation * freshness

    def record_load(
        self, log_time: float, load_share: float, calm_log: float, now_s: float
    ) -> None:
        """Record a time with the share of slots that were used."""
        # What waits behind the slots takes longer even at its best.
        work_log = log_time - math.log(max(1.0, load_share))
        step = math.ceil(min(1.0, load_share) * LOAD_STEPS) - 1
        self.times_by_load[step].add(min(1.0, load_share), work_log, now_s)
        self._move_limit(calm_log, now_s)

    def pair_with_report(self, log_factor: float, now_s: float) -> None:
        """Compare a sample with the report that came with it."""
        fit = self.times_by_report
        fit.add(self.reported_log, log_factor, now_s)
        # One sample of the prior: a report of 100 is as usual.
        self.mean_reported_log = fit.x / (fit.weight + 1.0)
        trust = fit.slope(PRIOR_REPORT_TRUST, PRIOR_REPORT_VARIANCE)
        self.report_trust = min(1.0, max(0.0, trust))

    def _move_limit(self, calm_log: float, now_s: float) -> None:
        target = self._limit_target(calm_log, now_s)
        passed_s = max(0.0, now_s - self.limit_changed_s)
        step = 1.0 - math.exp(-passed_s / LIMIT_SETTLING_S)
        if passed_s < FORGET_AFTER_S:
            self.limit_share += step * (target - self.limit_share)
        else:
            self.limit_share = 1.0
        self.limit_changed_s = now_s

    def _limit_target(self, calm_log: float, now_s: float) -> float:
        """Return the share of slots where work takes `LIMIT_TIME_RATIO`."""
        lowest: float | None = None
        below_share, below_log = 0.0, 0.0
        for times in self.times_by_load:
            if times.weight_at(now_s) < MIN_LOAD_SAMPLES:
                continue
            share = times.x / times.weight
            if lowest is None:
                lowest = times.mean_y if share <= CALM_LOAD else calm_log
            above_log = times.mean_y - lowest - math.log(LIMIT_TIME_RATIO)
            if above_log > 0.0:
                if below_share == 0.0:
                    below_share, below_log = (
                        CALM_LOAD,
                        -math.log(LIMIT_TIME_RATIO),
                    )
                part = below_log / (below_log - above_log)
                return below_share + part * (share - below_share)
            below_share, below_log = share, above_log
        return 1.0


@attrs.define
class UpstreamSpeeds:
    """Time factors and concurrency limits of the upstreams."""

    _services: set[str] = attrs.field(factory=set)
    _estimate_by_id: dict[str, _Estimate] = attrs.field(factory=dict)
    _usual_by_service: dict[str, _DecayingFit] = attrs.field(factory=dict)
    _calm_by_service: dict[str, _DecayingFit] = attrs.field(factory=dict)
    _unannounced: list[SpeedSample] = attrs.field(factory=list)
    _reviewed_s: float = -math.inf

    def covers(self, service: str) -> bool:
        """Whether upstreams of the service report percentages."""
        return service in self._services

    @property
    def slow_count(self) -> int:
        """Number of upstreams that are slow now."""
        return sum(e.is_slow for e in self._estimate_by_id.values())

    def time_factor(self, upstream: Upstream, now_s: float) -> float:
        """Return how long work takes there, relative to its service.

        Returns:
            1 as usual, 2 twice as long; between 1 / `MAX_TIME_FACTOR` and
            `MAX_TIME_FACTOR`.
        """
        estimate = self._estimate_by_id.get(upstream.upstream_id)
        if estimate is None or estimate.started_ms != upstream.started_ms:
            return 1.0
        log_factor = estimate.log_factor(now_s) + estimate.report_log(now_s)
        return math.exp(_clamped(log_factor))

    def spread(self, upstream: Upstream, draw: float, peers: int) -> float:
        """Return a random factor of the cost of an upstream for one request.

        Args:
            upstream: The upstream.
            draw: Random number of the attempt, 0 to 1.
            peers: Number of hosts that compare the same upstreams.
        """
        if upstream.service not in self._services:
            return 1.0
        number = zlib.crc32(upstream.upstream_id.encode())
        width = min(MAX_COST_SPREAD, COST_SPREAD + COST_SPREAD_PER_HOST * peers)
        return 1.0 + width * ((draw * number) % 1.0 - 0.5)

    def limit(self, upstream: Upstream, now_s: float) -> int:
        """Return how many requests it handles well at the same time.

        Returns:
            Between 1 and the slots of the upstream; its slots as they are if
            they are unknown.
        """
        estimate = self._estimate_by_id.get(upstream.upstream_id)
        slots = upstream.slots
        if (
            estimate is None
            or slots <= 1
            or estimate.started_ms != upstream.started_ms
            or estimate.limit_share >= 1.0
        ):
            return slots
        # Without samples, the limit returns to the slots in steps.
        age_s = max(0.0, now_s - estimate.limit_changed_s)
        certainty = max(0.0, 1.0 - age_s / FORGET_AFTER_S)
        share = 1.0 - (1.0 - estimate.limit_share) * certainty
        return min(slots, max(1, int(share * slots + LIMIT_ROUNDING)))

    def record_reported(
        self, upstream: Upstream, percent: int, now_s: float
    ) -> None:
        """Record how long work takes on the upstream's machine; 100: as usual.

        Args:
            upstream: The upstream that reported it.
            percent: The percentage, more than 0.
            now_s: When it arrived.
        """
        self._services.add(upstream.service)
        estimate = self._get_or_create(upstream)
        estimate.reported_log = _clamped(math.log(percent / 100.0))
        estimate.reported_s = now_s

    def record_time(
        self,
        upstream: Upstream,
        ratio: float,
        running: int,
        now_s: float,
    ) -> None:
        """Record the time of a response.

        Args:
            upstream: The upstream, which isn't cold.
            ratio: Its time, in seconds or divided by the predicted time; the
                same for all samples of a service.
            running: Requests there, with the request; 0: unknown.
            now_s: When it ended.
        """
        if upstream.service not in self._services or not (
            0.0 < ratio < math.inf
        ):
            return
        log_time = math.log(ratio)
        log_factor, estimate = self._record(upstream, log_time, running, now_s)
        if now_s - estimate.reported_s <= REPORT_PAIRING_S:
            estimate.pair_with_report(log_factor, now_s)
        self._unannounced.append(
            SpeedSample(
                upstream.upstream_id, upstream.started_ms, log_time, running
            )
        )
        del self._unannounced[:-MAX_ANNOUNCED_SAMPLES]

    def take_unannounced(self) -> list[SpeedSample]:
        """Return and clear the samples for peers, the newest first."""
        samples, self._unannounced = self._unannounced[::-1], []
        return samples

    def record_peer_samples(
        self,
        samples: Iterable[SpeedSample],
        upstreams_by_id: Mapping[str, Upstream],
        now_s: float,
    ) -> None:
        """Record samples of a peer; drop those of other incarnations."""
        for sample in samples:
            upstream = upstreams_by_id.get(sample.upstream)
            if (
                upstream is None
                or upstream.started_ms != sample.started_ms
                or upstream.cold_remaining_s > 0.0
                or upstream.service not in self._services
            ):
                continue
            self._record(upstream, sample.log_time, sample.running, now_s)

    def keep_only(self, upstreams_by_id: Mapping[str, Upstream]) -> None:
        """Drop the estimates of incarnations that aren't registered."""
        for upstream_id, estimate in list(self._estimate_by_id.items()):
            upstream = upstreams_by_id.get(upstream_id)
            if upstream is None or upstream.started_ms != estimate.started_ms:
                del self._estimate_by_id[upstream_id]

    def review(
        self, upstreams_by_id: Mapping[str, Upstream], now_s: float
    ) -> list[SpeedChange]:
        """Return the upstreams that became slow, or are no longer.

        Once in `REVIEW_INTERVAL_S` at most; calls in between return nothing.
        """
        if now_s - self._reviewed_s < REVIEW_INTERVAL_S:
            return []
        self._reviewed_s = now_s
        changes = []
        for upstream_id, estimate in self._estimate_by_id.items():
            upstream = upstreams_by_id.get(upstream_id)
            if upstream is None:
                continue
            factor = math.exp(estimate.log_factor(now_s))
            threshold = (
                NO_LONGER_SLOW_FACTOR if estimate.is_slow else SLOW_FACTOR
            )
            if (factor >= threshold) is estimate.is_slow:
                continue
            estimate.is_slow = not estimate.is_slow
            changes.append(
                SpeedChange(
                    upstream=upstream_id,
                    service=upstream.service,
                    is_slow=estimate.is_slow,
                    factor=factor,
                    limit=self.limit(upstream, now_s),
                    slots=upstream.slots,
                )
            )
        return changes

    def _record(
        self, upstream: Upstream, log_time: float, running: int, now_s: float
    ) -> tuple[float, _Estimate]:
        usual = self._usual_by_service.setdefault(
            upstream.service, _DecayingFit(USUAL_DECAY_S)
        )
        if usual.weight:
            # One response that was held up changes little.
            log_time = usual.mean_y + _clamped(log_time - usual.mean_y)
        usual.add(0.0, log_time, now_s)
        log_factor = log_time - usual.mean_y
        estimate = self._get_or_create(upstream)
        estimate.times.add(0.0, log_factor, now_s)
        if running > 0 and upstream.slots > 0:
            share = running / upstream.slots
            calm = self._calm_by_service.setdefault(
                upstream.service, _DecayingFit(CALM_DECAY_S, MAX_CALM_SAMPLES)
            )
            if share <= CALM_LOAD:
                calm.add(0.0, log_time, now_s)
            calm_log = calm.mean_y if calm.weight else log_time
            estimate.record_load(log_time, share, calm_log, now_s)
        return log_factor, estimate

    def _get_or_create(self, upstream: Upstream) -> _Estimate:
        estimate = self._estimate_by_id.get(upstream.upstream_id)
        if estimate is None or estimate.started_ms != upstream.started_ms:
            estimate = _Estimate(upstream.started_ms)
            self._estimate_by_id[upstream.upstream_id] = estimate
        return estimate


def _clamped(log_factor: float) -> float:
    return max(-MAX_LOG_FACTOR, min(MAX_LOG_FACTOR, log_factor))
