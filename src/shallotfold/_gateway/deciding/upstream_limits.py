"""Keep all hosts together below the limits that upstreams name."""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs

from shallotfold._gateway.core.model import Upstream
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
        clock_offset_s: Agreed time of day minus the boot clock.
    """

    shares: LimitShares = attrs.field(factory=LimitShares)
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

    def is_limited(self, upstream: Upstream) -> bool:
        """Whether the upstream names a limit."""
        return not math.isinf(self._named.rate_of(upstream))

    def may_send(self, upstream: Upstream, now_s: float) -> bool:
        """Whether this host may send a request to the upstream now."""
        if not self.is_limited(upstream):
            return True
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

        Callers are spread over the time in which the upstreams, which all name
        limits, take as many requests.
        """
        share = self._share_of(service, now_s)
        rate = share.width * sum(
            max(self._named.rate_of(u), MIN_RATE_PER_S) for u in upstreams
        )
        if not rate:
            # This host has just started.
            return SETTLING_S
        last_s = max(now_s, self._last_return_s_by_service.get(service, now_s))
        return_s = min(last_s + 1.0 / rate, now_s + MAX_RETURN_S)
        self._last_return_s_by_service[service] = return_s
        return return_s - now_s

    def update(self, registered: Mapping[str, Upstream], now_s: float) -> None:
        """Update demand and drop what is no longer needed."""
        self.shares.update(now_s)
        for upstream in self._named.drop_expired(registered, now_s):
            self._permits.drop(upstream)

    def _share_of(self, service: str, now_s: float) -> Share:
        computed_s, share = self._share_by_service.get(
            service, (-math.inf, None)
        )
        if share is None or now_s - computed_s > SHARE_INTERVAL_S:
            share = self.shares.share_of(service, now_s)
            self._share_by_service[service] = (now_s, share)
        return share
