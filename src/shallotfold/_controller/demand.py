"""Convert the cumulative demand of the entries to rates."""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from shallotfold._controller.scaling import TierDemand
from shallotfold._fleet.usage_flush import UsageFlush
from shallotfold._model.configuration import RequestClass

SMOOTHING_FACTOR = 0.4
QUEUE_DRAIN_S = 10.0
MIN_INTERVAL_S = 1.0
LOWEST_TIER = 5

DemandKey = tuple[str, str]


@attrs.define(kw_only=True)
class DemandTracker:
    """Exponentially smoothed rates by model and class.

    Attributes:
        requested_by_source: Cumulative requested tokens of each source at the
            last observation.
        rate_by_key: Requested output tokens per second.
        growth_by_key: Change of the rate per second.
        observed_s: Time of the last observation.
        intervals: Number of intervals observed.
    """

    requested_by_source: dict[str, dict[DemandKey, int]] = attrs.field(
        factory=dict
    )
    rate_by_key: dict[DemandKey, float] = attrs.field(factory=dict)
    growth_by_key: dict[DemandKey, float] = attrs.field(factory=dict)
    observed_s: float | None = None
    intervals: int = 0

    def observe(self, flushes: Sequence[UsageFlush], now_s: float) -> None:
        """Update the rates from the current flushes of the entries."""
        if self.observed_s is None:
            self._store_totals(flushes)
            self.observed_s = now_s
            return
        elapsed_s = now_s - self.observed_s
        if elapsed_s < MIN_INTERVAL_S:
            return
        requested = self._requested_since_last(flushes)
        for key in requested.keys() | self.rate_by_key.keys():
            rate = requested.get(key, 0.0) / elapsed_s
            previous = self.rate_by_key.get(
                key, 0.0 if self.intervals else rate
            )
            smoothed = previous + SMOOTHING_FACTOR * (rate - previous)
            growth = (smoothed - previous) / elapsed_s
            previous_growth = self.growth_by_key.get(key, 0.0)
            self.rate_by_key[key] = smoothed
            self.growth_by_key[key] = previous_growth + SMOOTHING_FACTOR * (
                growth - previous_growth
            )
        self._store_totals(flushes)
        self.observed_s = now_s
        self.intervals += 1

    def by_tier(
        self, classes_by_name: Mapping[str, RequestClass]
    ) -> list[TierDemand]:
        """Return the demand by model and class, with the tier of the class."""
        return [
            TierDemand(
                model=model,
                tier=(
                    classes_by_name[class_name].tier
                    if class_name in classes_by_name
                    else LOWEST_TIER
                ),
                tokens_per_s=rate,
                growth_per_s=self.growth_by_key.get((model, class_name), 0.0),
            )
            for (model, class_name), rate in sorted(self.rate_by_key.items())
        ]

    def _requested_since_last(
        self, flushes: Sequence[UsageFlush]
    ) -> dict[DemandKey, float]:
        requested: dict[DemandKey, float] = {}
        for flush in flushes:
            previous = self.requested_by_source.get(flush.source, {})
            for demand in flush.demand:
                key = (demand.model, demand.class_name)
                increase = max(0, demand.asked_tokens - previous.get(key, 0))
                queued = demand.queued_tokens / QUEUE_DRAIN_S
                requested[key] = requested.get(key, 0.0) + increase + queued
        return requested

    def _store_totals(self, flushes: Sequence[UsageFlush]) -> None:
        self.requested_by_source = {
            flush.source: {
                (demand.model, demand.class_name): demand.asked_tokens
                for demand in flush.demand
            }
            for flush in flushes
        }
