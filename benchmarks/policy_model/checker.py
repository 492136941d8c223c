"""Check a run by its trace alone, without access to reducer state.

The terms are defined in docs/design/tiers-and-fairness.md.
"""

import bisect
import collections
from collections.abc import Iterator

import attrs

from benchmarks.policy_model import scenarios
from benchmarks.policy_model.scenarios import Arrival
from benchmarks.policy_model.simulation import REPORT_LAG_S
from benchmarks.policy_model.simulation import Record
from benchmarks.policy_model.simulation import Simulation
from shallotfold._entry.state.estimates import cost_of
from shallotfold._model.configuration import RequestClass
from shallotfold._model.requests import Outcome

CAPACITY_REFUSALS = frozenset(
    {"target_missed", "overloaded", "preempted", "no_upstream"}
)
CANCEL_GRACE_S = 0.25
STARVATION_WINDOW_S = 15.0
STARVATION_MIN_ARRIVALS = 5
LEAVING_GRACE_S = 5.0
MIN_FAIR_SHARE_RATIO = 0.8
FAIRNESS_MIN_REQUESTS = 20


@attrs.define(kw_only=True)
class Attempt:
    """One attempt, reconstructed from the trace."""

    request_id: str
    upstream: str
    started_s: float
    stopped_s: float = float("inf")
    completed: bool = False


@attrs.define(kw_only=True)
class RequestHistory:
    """History of one request, reconstructed from the trace."""

    arrival: Arrival
    first_token_s: float = -1.0
    last_token_s: float = -1.0
    finished_s: float = -1.0
    refused_s: float = -1.0
    code: str = ""
    caller_disconnected: bool = False
    entry_lost: bool = False
    attempts: list[Attempt] = attrs.field(factory=list)
    runs: int = 0


class Checker:
    """Computes the metrics and rule violations of one run."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._configuration = simulation.configuration
        self._classes = simulation.configuration.classes_by_name
        self._fault_changes_by_upstream: dict[
            str, list[tuple[float, bool]]
        ] = {}
        self._leaving_s_by_upstream: dict[str, float] = {}
        self._progress_s_by_upstream: dict[str, list[float]] = {}
        self._attempts: list[Attempt] = []
        self._requests = {
            a.request_id: RequestHistory(arrival=a) for a in simulation.arrivals
        }
        for record in simulation.trace:
            self._apply_record(record)
        self._model_attempts = [
            attempt
            for attempt in self._attempts
            if self._requests[attempt.request_id].arrival.output_tokens
        ]
        self._model_starts_s = [a.started_s for a in self._model_attempts]

    def metrics(self) -> dict[str, object]:
        """Return all metrics of the run."""
        in_target = [
            request
            for request in self._requests.values()
            if self._meets_targets(request)
        ]
        tokens = sum(request.arrival.output_tokens for request in in_target)
        spend = self._total_spend()
        violations = self._violations_by_rule()
        return {
            "attainment_by_class": self._attainment_by_class(),
            "goodput_tokens_per_s": _round(tokens / scenarios.DURATION_S),
            "wasted_work_ratio": _round(self._wasted_work_ratio(in_target)),
            "worst_workspace_ratio": _round(
                min(self._fair_share_ratios().values())
            ),
            "cheap_work_ratio": _round(self._spot_work_ratio()),
            "spend": _round(spend),
            "spend_per_good_token": round(spend / max(1, tokens), 9),
            "violations": sum(violations.values()),
            "violations_by_rule": violations,
        }

    def _apply_record(self, record: Record) -> None:
        request = self._requests.get(record.request_id)
        if request is None:
            self._apply_fault(record)
        elif record.kind in ("started", "stopped", "ran"):
            self._apply_attempt(request, record)
        elif record.kind == "tokens":
            if request.first_token_s < 0.0:
                request.first_token_s = record.at_s
            request.last_token_s = record.at_s
            self._add_progress(request, record.at_s)
        elif record.kind == "finished":
            request.finished_s = record.at_s
        elif record.kind == "refused":
            request.refused_s = record.at_s
            request.code = record.detail
        elif request.finished_s < 0.0 and request.refused_s < 0.0:
            request.caller_disconnected |= record.kind == "left"
            request.entry_lost |= record.kind == "lost"

    def _apply_fault(self, record: Record) -> None:
        if record.kind == "leaving":
            self._leaving_s_by_upstream[record.detail] = record.at_s
        if record.kind in ("faulty", "mended", "leaving"):
            changes = self._fault_changes_by_upstream.setdefault(
                record.detail, []
            )
            changes.append((record.at_s, record.kind != "mended"))

    def _apply_attempt(self, request: RequestHistory, record: Record) -> None:
        if record.kind == "started":
            attempt = Attempt(
                request_id=record.request_id,
                upstream=record.detail,
                started_s=record.at_s,
            )
            request.attempts.append(attempt)
            self._attempts.append(attempt)
        elif record.kind == "ran":
            request.runs += 1
        elif request.attempts:
            last = request.attempts[-1]
            last.stopped_s = min(last.stopped_s, record.at_s)
            last.completed |= record.detail == Outcome.RAN.value
            self._add_progress(request, record.at_s)

    def _add_progress(self, request: RequestHistory, at_s: float) -> None:
        """Record that an entry got progress from an attempt's upstream."""
        if request.attempts:
            upstream = request.attempts[-1].upstream
            self._progress_s_by_upstream.setdefault(upstream, []).append(at_s)

    def _meets_targets(self, request: RequestHistory) -> bool:
        if request.finished_s < 0.0 or request.caller_disconnected:
            return False
        arrival = request.arrival
        targets = self._classes[arrival.class_name].targets
        duration_s = request.finished_s - arrival.at_s
        if targets.whole_answer_s is not None:
            return duration_s <= targets.whole_answer_s
        first_s = request.first_token_s - arrival.at_s
        if (
            targets.first_token_s is not None
            and first_s > targets.first_token_s
        ):
            return False
        gaps = max(1, arrival.output_tokens - 1)
        gap_s = (request.last_token_s - request.first_token_s) / gaps
        return gap_s <= (targets.between_tokens_s or gap_s)

    def _attainment_by_class(self) -> dict[str, float]:
        offered: collections.Counter[str] = collections.Counter()
        attained: collections.Counter[str] = collections.Counter()
        for request in self._requests.values():
            if not request.caller_disconnected:
                offered[request.arrival.class_name] += 1
                attained[request.arrival.class_name] += self._meets_targets(
                    request
                )
        return {
            name: _round(attained[name] / offered[name])
            for name in sorted(offered)
        }

    def _wasted_work_ratio(self, in_target: list[RequestHistory]) -> float:
        """Return the share of work not spent on answers within target."""
        work = sum(u.work for u in self._simulation.upstreams_by_name.values())
        prefill_costs = self._simulation.first_prefill_cost_by_request
        useful = sum(
            request.arrival.output_tokens
            + prefill_costs.get(request.arrival.request_id, 0.0)
            for request in in_target
        )
        return max(0.0, 1.0 - useful / work) if work else 0.0

    def _spot_work_ratio(self) -> float:
        upstreams = self._simulation.upstreams_by_name.values()
        work = sum(u.work for u in upstreams) or 1.0
        return sum(u.work for u in upstreams if u.spec.reclaimable) / work

    def _total_spend(self) -> float:
        """Return the cost of all upstreams, each until its leaving notice."""
        total = 0.0
        for name, upstream in self._simulation.upstreams_by_name.items():
            duration_s = scenarios.DURATION_S
            if name in self._leaving_s_by_upstream:
                duration_s = min(duration_s, self._leaving_s_by_upstream[name])
            total += upstream.spec.price_per_hour * duration_s / 3600.0
        return total

    def _fair_share_ratios(self) -> dict[str, float]:
        """Return the served part of the fair share by workspace."""
        return {
            name: served / fair
            for name, (served, fair) in self._served_and_fair_shares().items()
        }

    def _served_and_fair_shares(self) -> dict[str, tuple[float, float]]:
        """Return served cost and fair share by workspace."""
        served: dict[str, float] = collections.defaultdict(float)
        fair: dict[str, float] = collections.defaultdict(float)
        for name in self._classes:
            demand: dict[str, float] = collections.defaultdict(float)
            served_in_class: dict[str, float] = collections.defaultdict(float)
            for request in self._requests.values():
                if (
                    request.arrival.class_name != name
                    or request.caller_disconnected
                    or request.entry_lost
                ):
                    continue
                demand[request.arrival.workspace] += _cost(request)
                if request.finished_s >= 0.0:
                    served_in_class[request.arrival.workspace] += _cost(request)
            for workspace, share in self._max_min_shares(
                demand, sum(served_in_class.values())
            ).items():
                served[workspace] += served_in_class[workspace]
                fair[workspace] += share
        return {name: (served[name], fair[name]) for name in fair if fair[name]}

    def _max_min_shares(
        self, demand: dict[str, float], total: float
    ) -> dict[str, float]:
        """Return weighted max-min fair shares, each at most its demand."""
        workspaces = self._configuration.workspaces_by_name
        weights = {name: workspaces[name].weight for name in demand}
        shares: dict[str, float] = {}
        for name in sorted(demand, key=lambda n: (demand[n] / weights[n], n)):
            weighted_share = total * weights[name] / sum(weights.values())
            shares[name] = min(float(demand[name]), weighted_share)
            total -= shares[name]
            del weights[name]
        return shares

    def _violations_by_rule(self) -> dict[str, int]:
        return {
            "shed_for_lower": self._count_shed_for_lower_tier(),
            "preempted_for_lower": self._count_preempted_for_lower_tier(),
            "starved": self._count_starved_windows(),
            "unfair": self._count_unfair_workspaces(),
            "leaving": self._count_starts_on_leaving(),
            "ran_twice": sum(
                request.runs > 1 and not request.arrival.idempotent
                for request in self._requests.values()
            ),
        }

    def _count_shed_for_lower_tier(self) -> int:
        """Count capacity refusals while a lower tier held a usable slot."""
        count = 0
        for request in self._requests.values():
            if request.code in CAPACITY_REFUSALS:
                running = collections.Counter(
                    self._class_of(attempt.request_id).name
                    for attempt in self._running_at(request.refused_s)
                    if attempt.stopped_s > request.refused_s + CANCEL_GRACE_S
                    and not self._is_faulty(attempt.upstream, request.refused_s)
                    and self._is_recovery_visible(
                        attempt.upstream, request.refused_s
                    )
                )
                count += self._exceeds_floors(request, running)
        return count

    def _count_preempted_for_lower_tier(self) -> int:
        """Count cancelled attempts whose slot went to a lower tier."""
        count = 0
        for request in self._requests.values():
            if (
                request.caller_disconnected
                or request.entry_lost
                or not request.attempts
            ):
                continue
            gap_ends_s = [a.started_s for a in request.attempts[1:]]
            gap_ends_s.append(max(request.refused_s, request.finished_s))
            for attempt, next_s in zip(
                request.attempts, gap_ends_s, strict=True
            ):
                if attempt.completed or attempt.stopped_s >= next_s:
                    continue
                count += self._exceeds_floors(
                    request, self._peaks_between(attempt.stopped_s, next_s)
                )
        return count

    def _peaks_between(
        self, after_s: float, end_s: float
    ) -> collections.Counter[str]:
        """Return the peak concurrency of new attempts by class."""
        peaks: collections.Counter[str] = collections.Counter()
        attempts = [
            attempt
            for attempt in self._started_between(after_s, end_s)
            if not self._is_faulty(attempt.upstream, attempt.started_s)
        ]
        for index, attempt in enumerate(attempts):
            name = self._class_of(attempt.request_id).name
            concurrent = sum(
                other.stopped_s > attempt.started_s
                and not self._is_faulty(other.upstream, attempt.started_s)
                and self._class_of(other.request_id).name == name
                for other in attempts[: index + 1]
            )
            peaks[name] = max(peaks[name], concurrent)
        return peaks

    def _exceeds_floors(
        self, request: RequestHistory, counts: collections.Counter[str]
    ) -> bool:
        """Whether a lower tier ran more attempts than its floor allows."""
        request_class = self._classes[request.arrival.class_name]
        if not request.arrival.output_tokens:
            return False
        slots = sum(
            u.slots
            for u in self._configuration.upstreams_by_name.values()
            if u.model
        )
        return any(
            count > max(1, int(self._classes[name].floor_share * slots))
            for name, count in counts.items()
            if self._classes[name].tier > request_class.tier
        )

    def _count_starved_windows(self) -> int:
        """Count windows in which a class had arrivals but no starts."""
        count = 0
        for name in self._classes:
            arrived = [
                request.arrival.at_s
                for request in self._requests.values()
                if request.arrival.class_name == name
            ]
            started = [
                a.started_s
                for a in self._attempts
                if self._class_of(a.request_id).name == name
            ]
            window_start_s = 0.0
            while window_start_s + STARVATION_WINDOW_S <= scenarios.DURATION_S:
                window_end_s = window_start_s + STARVATION_WINDOW_S
                arrival_count = _count_between(
                    arrived, window_start_s, window_end_s
                )
                start_count = _count_between(
                    started, window_start_s, window_end_s
                )
                count += (
                    arrival_count >= STARVATION_MIN_ARRIVALS and not start_count
                )
                window_start_s += STARVATION_WINDOW_S / 3
        return count

    def _count_unfair_workspaces(self) -> int:
        costs: dict[str, list[float]] = collections.defaultdict(list)
        for request in self._requests.values():
            costs[request.arrival.workspace].append(_cost(request))
        return sum(
            served + max(costs[name]) < MIN_FAIR_SHARE_RATIO * fair
            and len(costs[name]) >= FAIRNESS_MIN_REQUESTS
            for name, (served, fair) in self._served_and_fair_shares().items()
        )

    def _count_starts_on_leaving(self) -> int:
        return sum(
            attempt.started_s
            > self._leaving_s_by_upstream[attempt.upstream] + LEAVING_GRACE_S
            for attempt in self._attempts
            if attempt.upstream in self._leaving_s_by_upstream
        )

    def _class_of(self, request_id: str) -> RequestClass:
        return self._classes[self._requests[request_id].arrival.class_name]

    def _running_at(self, at_s: float) -> Iterator[Attempt]:
        for attempt in self._model_attempts:
            if attempt.started_s <= at_s < attempt.stopped_s:
                yield attempt

    def _started_between(self, after_s: float, end_s: float) -> list[Attempt]:
        first = bisect.bisect_right(self._model_starts_s, after_s)
        end = bisect.bisect_left(self._model_starts_s, end_s)
        return self._model_attempts[first:end]

    def _is_faulty(self, upstream: str, at_s: float) -> bool:
        faulty = False
        for changed_s, value in self._fault_changes_by_upstream.get(
            upstream, ()
        ):
            if changed_s <= at_s:
                faulty = value
        return faulty

    def _is_recovery_visible(self, upstream: str, at_s: float) -> bool:
        """Whether an entry can know that an upstream has recovered.

        Progress of an answer from there shows it at once, a load report
        after `REPORT_LAG_S`.
        """
        recovered_s = [
            changed_s
            for changed_s, faulty in self._fault_changes_by_upstream.get(
                upstream, ()
            )
            if changed_s <= at_s and not faulty
        ]
        if not recovered_s or at_s - recovered_s[-1] >= REPORT_LAG_S:
            return True
        progress_s = self._progress_s_by_upstream.get(upstream, [])
        return bool(_count_between(progress_s, recovered_s[-1], at_s))


def _cost(request: RequestHistory) -> float:
    arrival = request.arrival
    return cost_of(arrival.prompt_tokens, arrival.output_tokens)


def _count_between(times: list[float], start_s: float, end_s: float) -> int:
    return sum(start_s <= at_s < end_s for at_s in times)


def _round(value: float) -> float:
    return round(value, 6)
