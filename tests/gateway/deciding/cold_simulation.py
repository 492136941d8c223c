"""Simulate hosts and upstreams that become cold in virtual time.

Registrations reach each host after a delay of its own, and some arrive again
later. Hosts that start read a registration from a peer's snapshot, which may be
old.
"""

from typing import Any

import attrs

from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Upstream
from tests.gateway.deciding.limit_simulation import LimitSimulation
from tests.gateway.deciding.limit_simulation import SimulatedHost
from tests.gateway.factories import SERVICE
from tests.gateway.limited_engines import most_in_window

REWRITE_INTERVAL_S = 1.2
REGISTRATION_DELAY_S = (0.01, 0.8)
REPEAT_DELAY_S = (0.5, 6.0)
REPEATED_SHARE = 0.3
START_MS = 1_000


class ColdSimulation(LimitSimulation):
    """One run; all upstreams belong to a service whose cold ones are limited.

    Attributes:
        cold_rate_per_s: Requests a second that a cold upstream takes.
        cold_arrivals_s: Times at which requests reached each upstream while it
            was cold, from hosts that a registration of this cold start had
            reached.
        served_warm: Requests that warm upstreams got.
    """

    def __init__(
        self,
        *,
        cold_rate_per_s: float,
        cold_start_s: float = 3.0,
        **arguments: Any,
    ) -> None:
        self.cold_rate_per_s = cold_rate_per_s
        self.cold_arrivals_s: dict[str, list[float]] = {}
        self.served_warm = 0
        self._cold_start_s = cold_start_s
        self._sequence_by_id: dict[str, int] = {}
        self._first_version_by_id: dict[str, tuple[int, int]] = {}
        self._cold_until_s: dict[str, float] = {}
        self._views: dict[int, dict[str, Upstream]] = {}
        super().__init__(**arguments)

    def start_host(self, number: int) -> None:
        views = self._views
        peers = [view for host, view in views.items() if host != number]
        views[number] = dict(
            self._rng.choice(peers) if peers else self._upstreams
        )
        super().start_host(number)
        host = self._hosts[number]
        host.limits.set_services(
            {
                SERVICE: Service(
                    name=SERVICE,
                    cold_rate_per_s=self.cold_rate_per_s,
                    cold_start_s=self._cold_start_s,
                )
            },
            views[number],
            self.now_s,
        )
        host.limits.record_registrations(views[number], self.now_s, "peer")

    def become_cold(self, *upstream_ids: str, restart: bool = False) -> None:
        """Let upstreams, or all, be cold from now on.

        Args:
            *upstream_ids: The upstreams; none: all.
            restart: Whether they start anew under their id.
        """
        for upstream_id in upstream_ids or tuple(self._upstreams):
            self._cold_until_s[upstream_id] = self.now_s + self._cold_start_s
            before = self._upstreams[upstream_id]
            started_ms = before.started_ms or START_MS
            if restart:
                started_ms += 1
                self._sequence_by_id[upstream_id] = 0
            self._upstreams[upstream_id] = attrs.evolve(
                before, started_ms=started_ms
            )
            self._first_version_by_id[upstream_id] = (
                started_ms,
                self._sequence_by_id.get(upstream_id, 0) + 1,
            )
            self._register(upstream_id, self._cold_until_s[upstream_id])

    def burst(self, count: int) -> None:
        """Let this many requests arrive at each host at once."""
        for host in list(self._hosts.values()):
            if self.now_s >= host.frozen_until_s:
                for _ in range(count):
                    self._handle(host)

    def check_cold(self, rate_factor: float = 1.5, extra: float = 5.0) -> int:
        """Check the bound for all upstreams; return the largest number."""
        most = 0
        for upstream_id, times_s in self.cold_arrivals_s.items():
            found = most_in_window(times_s, 1.0)
            allowed = rate_factor * self.cold_rate_per_s + extra
            assert found <= allowed, (upstream_id, found, allowed)
            most = max(most, found)
        return most

    def _register(self, upstream_id: str, cold_until_s: float) -> None:
        if self._cold_until_s[upstream_id] != cold_until_s:
            # It became cold again meanwhile and registers by another call.
            return
        remaining_s = max(0.0, cold_until_s - self.now_s)
        sequence = self._sequence_by_id.get(upstream_id, 0) + 1
        self._sequence_by_id[upstream_id] = sequence
        upstream = attrs.evolve(
            self._upstreams[upstream_id],
            cold_remaining_s=remaining_s,
            sequence=sequence,
        )
        self._upstreams[upstream_id] = upstream
        for number in self._hosts:
            self._later(
                REGISTRATION_DELAY_S, self._receive_one, number, upstream
            )
            if self._rng.random() < REPEATED_SHARE:
                self._later(REPEAT_DELAY_S, self._receive_one, number, upstream)
        if remaining_s:
            self._at(
                self.now_s + REWRITE_INTERVAL_S,
                self._register,
                upstream_id,
                cold_until_s,
            )

    def _receive_one(self, number: int, upstream: Upstream) -> None:
        host = self._hosts.get(number)
        if host is None:
            return
        if self.now_s < host.frozen_until_s:
            self._at(host.frozen_until_s, self._receive_one, number, upstream)
            return
        view = self._views[number]
        upstream_id = upstream.upstream_id
        host.limits.record_registrations(
            {**view, upstream_id: upstream}, self.now_s, "store"
        )
        if _version(upstream) > _version(view[upstream_id]):
            view[upstream_id] = upstream

    def _upstreams_of(self, host: SimulatedHost) -> dict[str, Upstream]:
        return self._views[host.number]

    def _choose(
        self, host: SimulatedHost, upstreams: list[Upstream]
    ) -> Upstream:
        cold = host.limits.cold
        warm = [u for u in upstreams if not cold.is_cold(u.upstream_id)]
        return self._rng.choice(warm or upstreams)

    def _arrive(
        self, host: SimulatedHost, upstream: Upstream, sent_s: float
    ) -> None:
        upstream_id = upstream.upstream_id
        if self.now_s >= self._cold_until_s.get(upstream_id, 0.0):
            self.served_warm += 1
        elif _version(upstream) >= self._first_version_by_id[upstream_id]:
            self.cold_arrivals_s.setdefault(upstream_id, []).append(self.now_s)
        super()._arrive(host, upstream, sent_s)


def _version(upstream: Upstream) -> tuple[int, int]:
    return upstream.started_ms, upstream.sequence
