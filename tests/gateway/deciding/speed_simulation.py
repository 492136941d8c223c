"""Simulate hosts that place requests at upstreams of different speeds.

Each host has a `Placement`; what it knows of speeds is one of several ways. Run
as a program, it prints a table that compares them.
"""

from collections.abc import Callable
import heapq
import itertools
import math
import random
import sys
from typing import Any

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding.engine_set import EngineSet
from shallotfold._gateway.deciding.placement import Placement
from shallotfold._gateway.deciding.upstream_speeds import UpstreamSpeeds
from tests.gateway.factories import make_upstream

HEARTBEAT_S = 0.7
NOISE_FACTOR = 2.5
NOISE_SHARE = 0.15
NOISE_S = 0.6
WRONG_REPORT_SHARE = 0.05
REPORT_DELAY_S = 0.1
WORK_S = 0.2
TRANSIT_S = 0.005
# At first, hosts get this share of their load.
CALM_S = 5.0
CALM_LOAD = 0.3
IN_TIME_S = 4.0 * WORK_S

# Multiple of the time of work at a share of used slots.
CURVES: dict[str, Callable[[float], float]] = {
    "flat": lambda share: 1.0,
    "wall": lambda share: 1.0 if share <= 0.75 else 4.0,
    "knee": lambda share: max(1.0, 4.0 * share),
    "linear": lambda share: 1.0 + share,
    "modes": lambda share: 1.0,
}


class FixedWeights(UpstreamSpeeds):
    """All upstreams count alike, as without load control."""

    def spread(self, upstream: Upstream, draw: float, peers: int) -> float:
        return 1.0

    def time_factor(self, upstream: Upstream, now_s: float) -> float:
        return 1.0

    def limit(self, upstream: Upstream, now_s: float) -> int:
        return upstream.slots


class ReportOnly(FixedWeights):
    """The newest report is the factor, however old it is."""

    def time_factor(self, upstream: Upstream, now_s: float) -> float:
        estimate = self._estimate_by_id.get(upstream.upstream_id)
        return math.exp(estimate.reported_log) if estimate else 1.0


class FactorOnly(UpstreamSpeeds):
    """Factors as in the product; all slots are used."""

    def limit(self, upstream: Upstream, now_s: float) -> int:
        return upstream.slots


class LimitOnly(UpstreamSpeeds):
    """Limits by a fit of time over concurrency; no factors."""

    def time_factor(self, upstream: Upstream, now_s: float) -> float:
        return 1.0


class Aimd(FixedWeights):
    """Additive increase, multiplicative decrease at twice the lowest time."""

    def __init__(self) -> None:
        super().__init__()
        self.limits: dict[str, float] = {}
        self.short_s: dict[str, float] = {}
        self.long_s: dict[str, float] = {}

    def limit(self, upstream: Upstream, now_s: float) -> int:
        limit = self.limits.get(upstream.upstream_id, upstream.slots)
        return min(upstream.slots, max(1, math.ceil(limit)))

    def record_time(
        self, upstream: Upstream, ratio: float, running: int, now_s: float
    ) -> None:
        name = upstream.upstream_id
        # The lowest time rises slowly, so that it is measured again.
        lowest_s = min(self.long_s.get(name, ratio) * 1.002, ratio)
        self.long_s[name] = lowest_s
        limit = self.limits.get(name, float(upstream.slots))
        limit = limit * 0.9 if ratio > 2.0 * lowest_s else limit + 1.0 / limit
        self.limits[name] = min(float(upstream.slots), max(1.0, limit))


class Gradient(Aimd):
    """Limit by the gradient of a long over a short mean of times."""

    def record_time(
        self, upstream: Upstream, ratio: float, running: int, now_s: float
    ) -> None:
        name = upstream.upstream_id
        for means, weight in ((self.short_s, 0.2), (self.long_s, 0.01)):
            mean_s = means.setdefault(name, ratio)
            means[name] = mean_s + weight * (ratio - mean_s)
        gradient = 1.5 * self.long_s[name] / self.short_s[name]
        gradient = min(1.0, max(0.5, gradient))
        limit = self.limits.get(name, float(upstream.slots))
        target = limit * gradient + math.sqrt(limit)
        limit += 0.2 * (target - limit)
        self.limits[name] = min(float(upstream.slots), max(1.0, limit))


class SpreadOnly(FixedWeights):
    """All upstreams count alike but for the random spread."""

    def spread(self, upstream: Upstream, draw: float, peers: int) -> float:
        return UpstreamSpeeds.spread(self, upstream, draw, peers)


WAYS: dict[str, type[UpstreamSpeeds]] = {
    "fixed": FixedWeights,
    "spread": SpreadOnly,
    "report": ReportOnly,
    "aimd": Aimd,
    "gradient": Gradient,
    "fit": LimitOnly,
    "factor": FactorOnly,
    "chosen": UpstreamSpeeds,
}


@attrs.define(eq=False)
class _Server:
    upstream: Upstream
    speed: float
    noise: float = 1.0
    old_noise: float = 1.0
    running: int = 0
    queue: list[tuple[float, int, int, int]] = attrs.field(factory=list)


class SpeedSimulation:
    """One run.

    Attributes:
        times_s: Arrival at a host and time until the answer, of each request.
        refused: Requests for which no upstream had room.
        sent: Requests that each upstream got.
        placements: The hosts.
    """

    def __init__(
        self,
        *,
        way: str,
        curve: str,
        speeds: tuple[float, ...],
        slots: int,
        hosts: int,
        requests_per_s: float,
        noisy: bool = True,
        seed: int = 1,
    ) -> None:
        self.now_s = 0.0
        self.times_s: list[tuple[float, float]] = []
        self.refused = 0
        self._rng = random.Random(seed)
        # The ways are compared under the same disturbances and arrivals.
        self._noise_rng = random.Random(seed)
        self._arrival_rng = random.Random(seed)
        self._curve = curve
        self._rate = requests_per_s
        self._noisy = noisy
        self._servers = [
            _Server(make_upstream(f"u{number}", slots=slots), speed)
            for number, speed in enumerate(speeds)
        ]
        self.sent = [0] * len(speeds)
        self.by_id = {s.upstream.upstream_id: s.upstream for s in self._servers}
        self._engines = EngineSet.of(self.by_id.values())
        self.placements = [
            Placement(
                data_centre="a",
                controls_load=True,
                host_count=hosts,
                speeds=WAYS[way](),
            )
            for _ in range(hosts)
        ]
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._at(0.0, self._arrive)
        self._at(0.0, self._change_noise)
        for host in range(hosts):
            self._at(self._rng.uniform(0.0, HEARTBEAT_S), self._beat, host)

    def run(self, end_s: float) -> None:
        while self._events[0][0] <= end_s:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def in_time(self) -> float:
        """Return the share of requests answered within `IN_TIME_S`."""
        in_time = sum(time_s <= IN_TIME_S for _, time_s in self.times_s)
        return in_time / (len(self.times_s) + self.refused)

    def mean_s(self, since_s: float = CALM_S) -> float:
        """Return the mean time of requests that came after `since_s`."""
        times_s = [time_s for at_s, time_s in self.times_s if at_s >= since_s]
        return sum(times_s) / len(times_s)

    def _at(self, at_s: float, action: Any, *arguments: Any) -> None:
        heapq.heappush(
            self._events, (at_s, next(self._numbers), action, arguments)
        )

    def _arrive(self) -> None:
        rng = self._arrival_rng
        rate = self._rate * (CALM_LOAD if self.now_s < CALM_S else 1.0)
        self._at(self.now_s + rng.expovariate(rate), self._arrive)
        host = rng.randrange(len(self.placements))
        placement = self.placements[host]
        upstream = placement.choose_upstream(
            self._engines, Prompt(), self.now_s, draw=rng.random()
        )
        if upstream is None:
            self.refused += 1
            return
        request = next(self._numbers)
        placement.loads.start_request(upstream.upstream_id, request, 0)
        running = placement.loads.total_load(upstream.upstream_id).requests
        number = int(upstream.upstream_id[1:])
        self.sent[number] += 1
        self._at(
            self.now_s + TRANSIT_S,
            self._reach,
            number,
            (self.now_s, host, request, running),
        )

    def _reach(self, number: int, job: tuple[float, int, int, int]) -> None:
        server = self._servers[number]
        if server.running >= server.upstream.slots:
            server.queue.append(job)
        else:
            self._begin(number, job)

    def _begin(self, number: int, job: tuple[float, int, int, int]) -> None:
        server = self._servers[number]
        server.running += 1
        work_s = WORK_S * self._rng.uniform(0.7, 1.3)
        if self._curve == "modes":
            work_s *= self._rng.choices((0.3, 3.8), (0.8, 0.2))[0]
        multiple = CURVES[self._curve](server.running / server.upstream.slots)
        took_s = work_s * multiple * server.noise / server.speed
        self._at(self.now_s + took_s, self._end, number, job)

    def _end(self, number: int, job: tuple[float, int, int, int]) -> None:
        server = self._servers[number]
        server.running -= 1
        if server.queue:
            self._begin(number, server.queue.pop(0))
        sent_s, host, request, running = job
        placement = self.placements[host]
        name = server.upstream.upstream_id
        waiting = len(server.queue)
        placement.loads.record_reported_load(
            name, server.running + waiting, self.now_s
        )
        running = max(running, placement.loads.total_load(name).requests)
        placement.loads.end_request(name, request)
        percent = round(100 * server.old_noise)
        if self._rng.random() < WRONG_REPORT_SHARE:
            percent = self._rng.randint(20, 900)
        placement.speeds.record_reported(server.upstream, percent, self.now_s)
        time_s = self.now_s - sent_s
        placement.speeds.record_time(
            server.upstream, time_s, running, self.now_s
        )
        self.times_s.append((sent_s, time_s))

    def _change_noise(self) -> None:
        self._at(self.now_s + NOISE_S, self._change_noise)
        for server in self._servers:
            is_slow = self._noisy and self._noise_rng.random() < NOISE_SHARE
            server.noise = NOISE_FACTOR if is_slow else 1.0
            self._at(self.now_s + REPORT_DELAY_S, self._report_noise, server)

    def _report_noise(self, server: _Server) -> None:
        server.old_noise = server.noise

    def _beat(self, host: int) -> None:
        interval_s = HEARTBEAT_S * self._rng.uniform(0.8, 1.2)
        self._at(self.now_s + interval_s, self._beat, host)
        sender = self.placements[host]
        sender.loads.drop_expired(self.now_s)
        loads = sender.loads.local_loads()
        samples = sender.speeds.take_unannounced()
        for peer in self.placements:
            if peer is not sender:
                peer.loads.record_peer_loads(str(host), loads, self.now_s)
                peer.speeds.record_peer_samples(samples, self.by_id, self.now_s)


def usual_rate(curve: str, speeds: tuple[float, ...], slots: int) -> float:
    """Return 60% of the requests a second that the upstreams can serve."""
    best = max(n / CURVES[curve](n / slots) for n in range(1, slots + 1))
    return 0.6 * sum(speeds) * best / WORK_S


SITES = (
    (1, (1.0, 1.0, 1.3), 6),
    (59, (1.0, 1.0, 1.3), 6),
    (83, (0.7, 0.7, 1.7), 6),
    (8, (1.0, 1.0, 1.3) * 15, 16),
)


def main() -> None:
    """Print the mean in ms and percentages: answered in time, refused."""
    seconds = float(sys.argv[1])
    for hosts, speeds, slots in SITES:
        for curve in CURVES:
            cells = []
            for way in WAYS:
                simulation = SpeedSimulation(
                    way=way,
                    curve=curve,
                    speeds=speeds,
                    slots=slots,
                    hosts=hosts,
                    requests_per_s=usual_rate(curve, speeds, slots),
                )
                simulation.run(seconds)
                total = len(simulation.times_s) + simulation.refused
                refused = 100 * simulation.refused / total
                cells.append(
                    f"{way} {1000 * simulation.mean_s():.0f}/"
                    f"{100 * simulation.in_time():.1f}/{refused:.1f}"
                )
            names = f"{hosts} hosts, {len(speeds)} of {speeds[:3]}, {curve}"
            print(f"{names}: {', '.join(cells)}", flush=True)  # noqa: T201


if __name__ == "__main__":
    main()
