"""Keep all hosts together below the limits of named rates and cold starts."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs

from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding.cold_upstreams import ColdChange
from shallotfold._gateway.deciding.cold_upstreams import ColdUpstreams
from shallotfold._gateway.deciding.limit_permits import MIN_RATE_PER_S
from shallotfold._gateway.deciding.limit_permits import LimitPermits
from shallotfold._gateway.deciding.limit_shares import SETTLING_S
from shallotfold._gateway.deciding.limit_shares import LimitShares
from shallotfold._gateway.deciding.limit_shares import Share
from shallotfold._gateway.deciding.named_limits import LimitChange
from shallotfold._gateway.deciding.named_limits import LimitStatement
from shallotfold._gateway.deciding.named_limits import NamedLimits

# The shares of many hosts are added up at most this often.
SHARE_INTERVAL_S = 0.1
# Callers aren't told to wait longer than this: limits change meanwhile.
MAX_RETURN_S = 5.0


@attrs.define
class UpstreamLimits:
    """Limits in force, the share of this host and the requests it may send.

    Attributes:
        shares: Demand of all hosts.
        cold: Upstreams that are cold.
        clock_offset_s: Agreed time of day minus the boot clock.
    """

    shares: LimitShares = attrs.field(factory=LimitShares)
    cold: ColdUpstreams = attrs.field(factory=ColdUpstreams)
    clock_offset_s: float = 0.0
    _named: NamedLimits = attrs.field(factory=NamedLimits)
    _permits: LimitPermits = attrs.field(factory=LimitPermits)
    _share_by_service: dict[str, tuple[float, Share]] = attrs.field(
        factory=dict
    )
    _last_return_s_by_service: dict[str, float] = attrs.field(factory=dict)

    def record(
        self, statement: LimitStatement, now_s: float, peer: str | None = None
    ) -> LimitChange | None:
        """Record what a response to this host, or to a peer, said.

        Returns:
            How the limit of the upstream changed, if it did.
        """
        change = self._named.record(statement, peer)
        if change is None:
            return None
        if self.cold.is_cold(change.upstream):
            # `may_send` begins a new count if the lower of both limits changed.
            return change
        if math.isinf(change.rate):
            self._permits.drop(change.upstream)
        else:
            self._permits.begin(
                change.upstream, change.rate, now_s + self.clock_offset_s
            )
        return change

    def own_statements(self) -> list[LimitStatement]:
        """Return what peers should learn from this host."""
        return self._named.own_statements()

    def __len__(self) -> int:
        """Return the number of upstreams that name a limit."""
        return len(self._named)

    @property
    def any_limited(self) -> bool:
        """Whether any upstream names a limit or is cold."""
        return bool(self._named) or bool(self.cold)

    def is_limited(self, upstream: Upstream) -> bool:
        """Whether the upstream names a limit or is cold."""
        return not math.isinf(self._rate_of(upstream))

    def record_registrations(
        self, upstreams_by_id: Mapping[str, Upstream], now_s: float, source: str
    ) -> list[ColdChange]:
        """Record all current registrations; see `ColdUpstreams`."""
        changes = self.cold.record_registrations(upstreams_by_id, now_s, source)
        self._begin_changed(changes, upstreams_by_id, now_s)
        return changes

    def set_services(
        self,
        services_by_name: Mapping[str, Service],
        registered: Mapping[str, Upstream],
        now_s: float,
    ) -> list[ColdChange]:
        """Set the services, which say what cold upstreams take."""
        changes = self.cold.set_services(services_by_name, now_s)
        self._begin_changed(changes, registered, now_s)
        return changes

    def may_send(self, upstream: Upstream, now_s: float) -> bool:
        """Whether this host may send a request to the upstream now."""
        rate = self._rate_of(upstream)
        if math.isinf(rate):
            return True
        self._ensure_begun(upstream, rate, now_s)
        return self._permits.has_permit(
            upstream.upstream_id,
            self._share_of(upstream.service, now_s),
            now_s + self.clock_offset_s,
        )

    def record_send(self, upstream: Upstream) -> None:
        """Count a request of any kind; `may_send` was true."""
        if self.is_limited(upstream):
            self._permits.use_permit(upstream.upstream_id)

    def book_return_s(
        self, service: str, upstreams: Iterable[Upstream], now_s: float
    ) -> float:
        """Return after which time a refused caller should return.

        Callers are spread over the time in which the upstreams, which all have
        limits, take as many requests.
        """
        share = self._share_of(service, now_s)
        rate = share.width * sum(
            max(self._rate_of(u), MIN_RATE_PER_S) for u in upstreams
        )
        if not rate:
            # This host has just started.
            return SETTLING_S
        last_s = max(now_s, self._last_return_s_by_service.get(service, now_s))
        return_s = min(last_s + 1.0 / rate, now_s + MAX_RETURN_S)
        self._last_return_s_by_service[service] = return_s
        return return_s - now_s

    def update(
        self, registered: Mapping[str, Upstream], now_s: float
    ) -> list[ColdChange]:
        """Update demand and drop what is no longer needed.

        Returns:
            The upstreams that became warm.
        """
        self.shares.update(now_s)
        changes = self.cold.update(now_s)
        self._begin_changed(changes, registered, now_s)
        for upstream in self._named.drop_expired(registered, now_s):
            if not self.cold.is_cold(upstream):
                self._permits.drop(upstream)
        return changes

    def _rate_of(self, upstream: Upstream) -> float:
        """Return the lower of both limits; infinite without one."""
        return min(
            self._named.rate_of(upstream),
            self.cold.rate_of(upstream.upstream_id),
        )

    def _begin_changed(
        self,
        changes: Sequence[ColdChange],
        registered: Mapping[str, Upstream],
        now_s: float,
    ) -> None:
        """Count slots from the moment that an upstream became cold or warm."""
        for change in changes:
            upstream = registered.get(change.upstream)
            rate = math.inf if upstream is None else self._rate_of(upstream)
            if upstream is None or math.isinf(rate):
                self._permits.drop(change.upstream)
            else:
                self._ensure_begun(upstream, rate, now_s)

    def _ensure_begun(
        self, upstream: Upstream, rate: float, now_s: float
    ) -> None:
        upstream_id = upstream.upstream_id
        is_cold = self.cold.is_cold(upstream_id)
        if not self._permits.has_begun(upstream_id, rate, is_cold=is_cold):
            self._permits.begin(
                upstream_id,
                rate,
                now_s + self.clock_offset_s,
                is_cold=is_cold,
            )

    def _share_of(self, service: str, now_s: float) -> Share:
        computed_s, share = self._share_by_service.get(
            service, (-math.inf, None)
        )
        if share is None or now_s - computed_s > SHARE_INTERVAL_S:
            share = self.shares.share_of(service, now_s)
            self._share_by_service[service] = (now_s, share)
        return share
