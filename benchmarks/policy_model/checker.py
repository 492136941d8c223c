"""Judge a run by its trace alone, without looking into any reducer.

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
STARVED_S = 15.0
STARVED_MIN_ARRIVALS = 5
LEAVING_GRACE_S = 5.0
FAIR_RATIO = 0.8
FAIR_MIN_REQUESTS = 20


@attrs.define(kw_only=True)
class Attempt:
    """One attempt as the trace shows it."""

    request_id: str
    upstream: str
    started_s: float
    stopped_s: float = float("inf")
    whole: bool = False


@attrs.define(kw_only=True)
class Life:
    """One request as the trace shows it."""

    arrival: Arrival
    first_token_s: float = -1.0
    last_token_s: float = -1.0
    finished_s: float = -1.0
    refused_s: float = -1.0
    code: str = ""
    left: bool = False
    lost: bool = False
    attempts: list[Attempt] = attrs.field(factory=list)
    runs: int = 0


class Checker:
    """Figures and violations of one run."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._configuration = simulation.configuration
        self._classes = simulation.configuration.classes_by_name
        self._faulty: dict[str, list[tuple[float, bool]]] = {}
        self._leaving: dict[str, float] = {}
        self._signs_s_by_upstream: dict[str, list[float]] = {}
        self._attempts: list[Attempt] = []
        self._lives = {
            a.request_id: Life(arrival=a) for a in simulation.arrivals
        }
        for record in simulation.trace:
            self._read(record)
        self._model_attempts = [
            attempt
            for attempt in self._attempts
            if self._lives[attempt.request_id].arrival.output_tokens
        ]
        self._started_s = [a.started_s for a in self._model_attempts]

    def figures(self) -> dict[str, object]:
        """Return all figures of the run."""
        good = [life for life in self._lives.values() if self._is_good(life)]
        tokens = sum(life.arrival.output_tokens for life in good)
        spend = self._spend()
        violations = self._violations()
        return {
            "attainment_by_class": self._attainment(),
            "goodput_tokens_per_s": _round(tokens / scenarios.DURATION_S),
            "wasted_work_ratio": _round(self._wasted(good)),
            "worst_workspace_ratio": _round(min(self._ratios().values())),
            "cheap_work_ratio": _round(self._cheap()),
            "spend": _round(spend),
            "spend_per_good_token": round(spend / max(1, tokens), 9),
            "violations": sum(violations.values()),
            "violations_by_rule": violations,
        }

    def _read(self, record: Record) -> None:
        life = self._lives.get(record.request_id)
        if life is None:
            self._read_fault(record)
        elif record.kind in ("started", "stopped", "ran"):
            self._read_attempt(life, record)
        elif record.kind == "tokens":
            if life.first_token_s < 0.0:
                life.first_token_s = record.at_s
            life.last_token_s = record.at_s
            self._read_sign(life, record.at_s)
        elif record.kind == "finished":
            life.finished_s = record.at_s
        elif record.kind == "refused":
            life.refused_s = record.at_s
            life.code = record.detail
        elif life.finished_s < 0.0 and life.refused_s < 0.0:
            life.left |= record.kind == "left"
            life.lost |= record.kind == "lost"

    def _read_fault(self, record: Record) -> None:
        if record.kind == "leaving":
            self._leaving[record.detail] = record.at_s
        if record.kind in ("faulty", "mended", "leaving"):
            changes = self._faulty.setdefault(record.detail, [])
            changes.append((record.at_s, record.kind != "mended"))

    def _read_attempt(self, life: Life, record: Record) -> None:
        if record.kind == "started":
            attempt = Attempt(
                request_id=record.request_id,
                upstream=record.detail,
                started_s=record.at_s,
            )
            life.attempts.append(attempt)
            self._attempts.append(attempt)
        elif record.kind == "ran":
            life.runs += 1
        elif life.attempts:
            last = life.attempts[-1]
            last.stopped_s = min(last.stopped_s, record.at_s)
            last.whole |= record.detail == Outcome.RAN.value
            self._read_sign(life, record.at_s)

    def _read_sign(self, life: Life, at_s: float) -> None:
        """Note that an entry heard of the upstream of an attempt."""
        if life.attempts:
            upstream = life.attempts[-1].upstream
            self._signs_s_by_upstream.setdefault(upstream, []).append(at_s)

    def _is_good(self, life: Life) -> bool:
        if life.finished_s < 0.0 or life.left:
            return False
        arrival = life.arrival
        targets = self._classes[arrival.class_name].targets
        whole_s = life.finished_s - arrival.at_s
        if targets.whole_answer_s is not None:
            return whole_s <= targets.whole_answer_s
        first_s = life.first_token_s - arrival.at_s
        if (
            targets.first_token_s is not None
            and first_s > targets.first_token_s
        ):
            return False
        gaps = max(1, arrival.output_tokens - 1)
        gap_s = (life.last_token_s - life.first_token_s) / gaps
        return gap_s <= (targets.between_tokens_s or gap_s)

    def _attainment(self) -> dict[str, float]:
        offered: collections.Counter[str] = collections.Counter()
        attained: collections.Counter[str] = collections.Counter()
        for life in self._lives.values():
            if not life.left:
                offered[life.arrival.class_name] += 1
                attained[life.arrival.class_name] += self._is_good(life)
        return {
            name: _round(attained[name] / offered[name])
            for name in sorted(offered)
        }

    def _wasted(self, good: list[Life]) -> float:
        """Return the share of all work that led to no answer in target."""
        work = sum(u.work for u in self._simulation.upstreams_by_name.values())
        prefills = self._simulation.prefills
        useful = sum(
            life.arrival.output_tokens
            + prefills.get(life.arrival.request_id, 0.0)
            for life in good
        )
        return max(0.0, 1.0 - useful / work) if work else 0.0

    def _cheap(self) -> float:
        upstreams = self._simulation.upstreams_by_name.values()
        work = sum(u.work for u in upstreams) or 1.0
        return sum(u.work for u in upstreams if u.spec.reclaimable) / work

    def _spend(self) -> float:
        """Return what the upstreams cost while they existed."""
        total = 0.0
        for name, upstream in self._simulation.upstreams_by_name.items():
            seconds = scenarios.DURATION_S
            if name in self._leaving:
                seconds = min(seconds, self._leaving[name])
            total += upstream.spec.price_per_hour * seconds / 3600.0
        return total

    def _ratios(self) -> dict[str, float]:
        """Return which part of its fair share each workspace was served."""
        return {
            name: served / fair
            for name, (served, fair) in self._shares().items()
        }

    def _shares(self) -> dict[str, tuple[float, float]]:
        """Return what each workspace was served, and its fair share."""
        served: dict[str, float] = collections.defaultdict(float)
        fair: dict[str, float] = collections.defaultdict(float)
        for name in self._classes:
            demand: dict[str, float] = collections.defaultdict(float)
            got: dict[str, float] = collections.defaultdict(float)
            for life in self._lives.values():
                if life.arrival.class_name != name or life.left or life.lost:
                    continue
                demand[life.arrival.workspace] += _cost(life)
                if life.finished_s >= 0.0:
                    got[life.arrival.workspace] += _cost(life)
            for workspace, share in self._max_min(
                demand, sum(got.values())
            ).items():
                served[workspace] += got[workspace]
                fair[workspace] += share
        return {name: (served[name], fair[name]) for name in fair if fair[name]}

    def _max_min(
        self, demand: dict[str, float], total: float
    ) -> dict[str, float]:
        """Share a total by weight, giving nobody more than its demand."""
        workspaces = self._configuration.workspaces_by_name
        weights = {name: workspaces[name].weight for name in demand}
        shares: dict[str, float] = {}
        for name in sorted(demand, key=lambda n: (demand[n] / weights[n], n)):
            equal = total * weights[name] / sum(weights.values())
            shares[name] = min(float(demand[name]), equal)
            total -= shares[name]
            del weights[name]
        return shares

    def _violations(self) -> dict[str, int]:
        return {
            "shed_for_lower": self._shed_for_lower(),
            "preempted_for_lower": self._preempted_for_lower(),
            "starved": self._starved(),
            "unfair": self._unfair(),
            "leaving": self._work_for_leaving(),
            "ran_twice": sum(
                life.runs > 1 and not life.arrival.idempotent
                for life in self._lives.values()
            ),
        }

    def _shed_for_lower(self) -> int:
        """Count capacity refusals while a lower tier kept a usable slot."""
        found = 0
        for life in self._lives.values():
            if life.code in CAPACITY_REFUSALS:
                running = collections.Counter(
                    self._class_of(attempt.request_id).name
                    for attempt in self._running_at(life.refused_s)
                    if attempt.stopped_s > life.refused_s + CANCEL_GRACE_S
                    and not self._is_faulty(attempt.upstream, life.refused_s)
                    and self._seen_mended(attempt.upstream, life.refused_s)
                )
                found += self._exceeds_floors(life, running)
        return found

    def _preempted_for_lower(self) -> int:
        """Count cancelled attempts whose place a lower tier took."""
        found = 0
        for life in self._lives.values():
            if life.left or life.lost or not life.attempts:
                continue
            ends = [a.started_s for a in life.attempts[1:]]
            ends.append(max(life.refused_s, life.finished_s))
            for attempt, next_s in zip(life.attempts, ends, strict=True):
                if attempt.whole or attempt.stopped_s >= next_s:
                    continue
                found += self._exceeds_floors(
                    life, self._peaks_between(attempt.stopped_s, next_s)
                )
        return found

    def _peaks_between(
        self, after_s: float, end_s: float
    ) -> collections.Counter[str]:
        """Return how many new attempts of a class ran at once at most."""
        peaks: collections.Counter[str] = collections.Counter()
        started = [
            attempt
            for attempt in self._started_between(after_s, end_s)
            if not self._is_faulty(attempt.upstream, attempt.started_s)
        ]
        for index, attempt in enumerate(started):
            name = self._class_of(attempt.request_id).name
            together = sum(
                other.stopped_s > attempt.started_s
                and not self._is_faulty(other.upstream, attempt.started_s)
                and self._class_of(other.request_id).name == name
                for other in started[: index + 1]
            )
            peaks[name] = max(peaks[name], together)
        return peaks

    def _exceeds_floors(
        self, life: Life, counts: collections.Counter[str]
    ) -> bool:
        """Whether more of a lower tier ran than its floor allows."""
        mine = self._classes[life.arrival.class_name]
        if not life.arrival.output_tokens:
            return False
        slots = sum(
            u.slots
            for u in self._configuration.upstreams_by_name.values()
            if u.model
        )
        return any(
            count > max(1, int(self._classes[name].floor_share * slots))
            for name, count in counts.items()
            if self._classes[name].tier > mine.tier
        )

    def _starved(self) -> int:
        """Count stretches in which a class was offered but never started."""
        found = 0
        for name in self._classes:
            arrived = [
                life.arrival.at_s
                for life in self._lives.values()
                if life.arrival.class_name == name
            ]
            started = [
                a.started_s
                for a in self._attempts
                if self._class_of(a.request_id).name == name
            ]
            start_s = 0.0
            while start_s + STARVED_S <= scenarios.DURATION_S:
                end_s = start_s + STARVED_S
                offered = _count(arrived, start_s, end_s)
                served = _count(started, start_s, end_s)
                found += offered >= STARVED_MIN_ARRIVALS and not served
                start_s += STARVED_S / 3
        return found

    def _unfair(self) -> int:
        costs: dict[str, list[float]] = collections.defaultdict(list)
        for life in self._lives.values():
            costs[life.arrival.workspace].append(_cost(life))
        return sum(
            served + max(costs[name]) < FAIR_RATIO * fair
            and len(costs[name]) >= FAIR_MIN_REQUESTS
            for name, (served, fair) in self._shares().items()
        )

    def _work_for_leaving(self) -> int:
        return sum(
            attempt.started_s
            > self._leaving[attempt.upstream] + LEAVING_GRACE_S
            for attempt in self._attempts
            if attempt.upstream in self._leaving
        )

    def _class_of(self, request_id: str) -> RequestClass:
        return self._classes[self._lives[request_id].arrival.class_name]

    def _running_at(self, at_s: float) -> Iterator[Attempt]:
        for attempt in self._model_attempts:
            if attempt.started_s <= at_s < attempt.stopped_s:
                yield attempt

    def _started_between(self, after_s: float, end_s: float) -> list[Attempt]:
        first = bisect.bisect_right(self._started_s, after_s)
        end = bisect.bisect_left(self._started_s, end_s)
        return self._model_attempts[first:end]

    def _is_faulty(self, upstream: str, at_s: float) -> bool:
        faulty = False
        for changed_s, value in self._faulty.get(upstream, ()):
            if changed_s <= at_s:
                faulty = value
        return faulty

    def _seen_mended(self, upstream: str, at_s: float) -> bool:
        """Whether an entry can know that an upstream has recovered.

        Progress of an answer there shows it at once, a load report later.
        """
        mended_s = [
            changed_s
            for changed_s, faulty in self._faulty.get(upstream, ())
            if changed_s <= at_s and not faulty
        ]
        if not mended_s or at_s - mended_s[-1] >= REPORT_LAG_S:
            return True
        signs_s = self._signs_s_by_upstream.get(upstream, [])
        return bool(_count(signs_s, mended_s[-1], at_s))


def _cost(life: Life) -> float:
    arrival = life.arrival
    return cost_of(arrival.prompt_tokens, arrival.output_tokens)


def _count(times: list[float], start_s: float, end_s: float) -> int:
    return sum(start_s <= at_s < end_s for at_s in times)


def _round(value: float) -> float:
    return round(value, 6)
