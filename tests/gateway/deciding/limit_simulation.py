"""Simulate hosts and upstreams that name limits in virtual time.

Each host has the part of the reducer that keeps limits. Datagrams take a while
and some are lost; heartbeats come as seldom as in the real fleet.
"""

from collections.abc import Callable
import heapq
import itertools
import math
import random
from typing import Any

import attrs

from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding.named_limits import LimitStatement
from shallotfold._gateway.deciding.upstream_limits import UpstreamLimits
from shallotfold._gateway.peers.peers import heartbeat_interval_s
from tests.gateway.factories import SERVICE
from tests.gateway.factories import make_upstream
from tests.gateway.limited_engines import allowed_in_window
from tests.gateway.limited_engines import most_in_window

DATAGRAM_DELAY_S = (0.001, 0.03)
LOST_SHARE = 0.02
CLOCK_ERROR_S = 0.02
TICK_S = 0.05
# Time until a request reaches its upstream, and until its response begins.
TRANSIT_S = (0.002, 0.05)
RESPONSE_S = (0.02, 0.4)


@attrs.define(eq=False)
class SimulatedHost:
    number: int
    limits: UpstreamLimits
    weight: float
    clock_error_s: float
    frozen_until_s: float = 0.0
    cut_off: bool = False


class LimitSimulation:
    """One run.

    Attributes:
        now_s: Virtual time.
        rates: Limits that upstreams name now, by id.
        arrivals_s: Times at which requests reached each upstream.
        refused: Requests that no upstream could take.
        sent: Requests that an upstream got.
    """

    def __init__(
        self,
        *,
        seed: int,
        host_count: int,
        upstream_count: int,
        requests_per_s: float,
        weight_of: Callable[[int], float] = lambda _: 1.0,
        lost_share: float = LOST_SHARE,
        clock_error_s: float = CLOCK_ERROR_S,
    ) -> None:
        self.now_s = 0.0
        self.rates: dict[str, float] = {}
        self.arrivals_s: dict[str, list[float]] = {}
        self.refused = 0
        self.sent = 0
        self._rng = random.Random(seed)
        self._requests_per_s = requests_per_s
        self._weight_of = weight_of
        self._lost_share = lost_share
        self._clock_error_s = clock_error_s
        self._upstreams = {
            f"u{n}": make_upstream(f"u{n}") for n in range(upstream_count)
        }
        self._queue: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._interval_s = heartbeat_interval_s(host_count)
        self._hosts: dict[int, SimulatedHost] = {}
        for number in range(host_count):
            self.start_host(number)
        self._at(0.0, self._request)

    def run(self, until_s: float) -> None:
        """Run until a time."""
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)
        self.now_s = until_s

    def name(self, rate: float, *upstreams: str) -> None:
        """Let these upstreams, or all, name a limit from now on."""
        self.rates = dict.fromkeys(upstreams or self._upstreams, rate)

    def start_host(self, number: int) -> None:
        """Start a host, or start it again without what it knew."""
        limits = UpstreamLimits()
        limits.shares.host = f"host{number:04}"
        host = SimulatedHost(
            number=number,
            limits=limits,
            weight=self._weight_of(number),
            clock_error_s=self._rng.uniform(
                -self._clock_error_s, self._clock_error_s
            ),
        )
        self._hosts[number] = host
        self._tick(host)
        self._heartbeat(host)

    def kill_host(self, number: int) -> None:
        """End a host."""
        del self._hosts[number]

    def freeze_host(self, number: int, seconds: float) -> None:
        """Let a host do nothing for a while; its datagrams wait."""
        self._hosts[number].frozen_until_s = self.now_s + seconds

    def cut_off(self, *numbers: int) -> None:
        """Lose all datagrams of these hosts, and of no others."""
        for host in self._hosts.values():
            host.cut_off = host.number in numbers

    def set_weights(self, weight_of: Callable[[int], float]) -> None:
        """Let callers go to other hosts from now on."""
        self._weight_of = weight_of
        for host in self._hosts.values():
            host.weight = weight_of(host.number)

    def check(self, rate: float, from_s: float) -> None:
        """Check the stated rule for all upstreams that name this limit."""
        for upstream in self.rates:
            most = most_in_window(
                [t for t in self.arrivals_s.get(upstream, ()) if t >= from_s]
            )
            assert most <= allowed_in_window(rate), (upstream, rate, most)

    def _at(self, at_s: float, action: Any, *arguments: Any) -> None:
        heapq.heappush(
            self._queue, (at_s, next(self._order), action, arguments)
        )

    def _later(
        self, delay_s: tuple[float, float], action: Any, *arguments: Any
    ) -> None:
        self._at(self.now_s + self._rng.uniform(*delay_s), action, *arguments)

    def _runs(self, host: SimulatedHost) -> bool:
        return self._hosts.get(host.number) is host

    def _tick(self, host: SimulatedHost) -> None:
        if not self._runs(host):
            return
        if self.now_s >= host.frozen_until_s:
            host.limits.clock_offset_s = 1e9 + host.clock_error_s
            host.limits.update(self._upstreams_of(host), self.now_s)
        self._at(
            max(self.now_s + TICK_S, host.frozen_until_s), self._tick, host
        )

    def _heartbeat(self, host: SimulatedHost) -> None:
        if not self._runs(host):
            return
        if self.now_s >= host.frozen_until_s:
            self._send_to_peers(host)
        interval_s = self._interval_s * self._rng.uniform(0.8, 1.2)
        self._at(
            max(self.now_s + interval_s, host.frozen_until_s),
            self._heartbeat,
            host,
        )

    def _send_to_peers(self, host: SimulatedHost) -> None:
        message = (
            host.limits.shares.announced_demand(),
            host.limits.own_statements(),
        )
        for peer in self._hosts.values():
            if peer is host or peer.cut_off or host.cut_off:
                continue
            if self._rng.random() >= self._lost_share:
                self._later(
                    DATAGRAM_DELAY_S, self._receive, peer, host.number, message
                )

    def _receive(self, host: SimulatedHost, sender: int, message: Any) -> None:
        if not self._runs(host):
            return
        if self.now_s < host.frozen_until_s:
            self._at(host.frozen_until_s, self._receive, host, sender, message)
            return
        demand, statements = message
        peer = f"host{sender:04}"
        host.limits.shares.record_peer_demand(peer, demand, self.now_s)
        for statement in statements:
            host.limits.record(statement, self.now_s, peer)

    def _request(self) -> None:
        self._at(
            self.now_s + self._rng.expovariate(self._requests_per_s),
            self._request,
        )
        hosts = [h for h in self._hosts.values() if h.weight]
        if not hosts:
            return
        (host,) = self._rng.choices(hosts, [h.weight for h in hosts])
        if self.now_s < host.frozen_until_s:
            self._at(host.frozen_until_s, self._handle, host)
        else:
            self._handle(host)

    def _handle(self, host: SimulatedHost) -> None:
        if not self._runs(host):
            return
        host.limits.shares.count_request(SERVICE)
        open_upstreams = [
            upstream
            for upstream in self._upstreams_of(host).values()
            if host.limits.may_send(upstream, self.now_s)
        ]
        if not open_upstreams:
            self.refused += 1
            return
        upstream = self._choose(host, open_upstreams)
        host.limits.record_send(upstream)
        self.sent += 1
        self._later(TRANSIT_S, self._arrive, host, upstream, self.now_s)

    def _upstreams_of(self, host: SimulatedHost) -> dict[str, Upstream]:
        """Return the upstreams as the host knows them."""
        del host
        return self._upstreams

    def _choose(
        self, host: SimulatedHost, upstreams: list[Upstream]
    ) -> Upstream:
        """Return the upstream that a request goes to."""
        del host
        return self._rng.choice(upstreams)

    def _arrive(
        self, host: SimulatedHost, upstream: Upstream, sent_s: float
    ) -> None:
        upstream_id = upstream.upstream_id
        self.arrivals_s.setdefault(upstream_id, []).append(self.now_s)
        rate = self.rates.get(upstream_id, math.inf)
        self._later(RESPONSE_S, self._answer, host, upstream, rate, sent_s)

    def _answer(
        self,
        host: SimulatedHost,
        upstream: Upstream,
        rate: float,
        sent_s: float,
    ) -> None:
        if not self._runs(host):
            return
        if self.now_s < host.frozen_until_s:
            self._at(
                host.frozen_until_s, self._answer, host, upstream, rate, sent_s
            )
            return
        change = host.limits.record(
            LimitStatement(
                upstream=upstream.upstream_id,
                started_ms=upstream.started_ms,
                rate=rate,
                sent_s=sent_s,
                received_s=self.now_s,
            ),
            self.now_s,
        )
        if change is not None:
            self._send_to_peers(host)
