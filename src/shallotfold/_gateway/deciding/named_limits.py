"""Keep the limits that upstreams name in their responses.

An upstream in need names how many requests a second it takes from all hosts
together, for as long as its responses say so. Responses on different
connections may overtake each other, and hosts tell each other what they were
told, so that a statement is ordered by the time in which it was made.
"""

from collections.abc import Container
import math

import attrs

from shallotfold._gateway.core.model import Upstream

# An ended limit is remembered for this long, so that all hosts learn that it
# has ended. A limit is kept for as long while its upstream isn't registered:
# registrations lapse while the store is away.
MEMORY_S = 30.0
# No upstream takes more, so a larger limit limits nothing.
MAX_NAMED_RATE = 1e6
# Statements in one message to peers; the newest come first.
MAX_ANNOUNCED_LIMITS = 32


@attrs.frozen(kw_only=True)
class LimitStatement:
    """What a response said about the limit of its upstream.

    Attributes:
        upstream: Id of the upstream.
        started_ms: Start of its incarnation in Unix milliseconds; 0: unknown.
        rate: Requests a second that it takes from all hosts together; infinite
            without a limit.
        sent_s: When the request was sent.
        received_s: When the response began to arrive.
    """

    upstream: str
    started_ms: int
    rate: float
    sent_s: float
    received_s: float

    def supersedes(self, other: "LimitStatement") -> bool:
        """Whether this statement holds rather than the other one.

        Of two statements that may have been made in any order the lower limit
        holds.
        """
        if self.started_ms != other.started_ms:
            return self.started_ms > other.started_ms
        if self.sent_s > other.received_s:
            return True
        if other.sent_s > self.received_s:
            return False
        if self.rate != other.rate:
            return self.rate < other.rate
        return self.received_s > other.received_s


@attrs.frozen(kw_only=True)
class LimitChange:
    """A limit that is new, changed or ended, for the log.

    Attributes:
        upstream: Id of the upstream.
        rate: The limit now, in requests a second; infinite: none.
        previous_rate: The limit before.
        peer: Host whose response said so; `None`: this one's.
    """

    upstream: str
    rate: float
    previous_rate: float
    peer: str | None


@attrs.define
class _Known:
    statement: LimitStatement
    is_own: bool


@attrs.define
class NamedLimits:
    """The newest statement of each upstream that has named a limit."""

    _known_by_upstream: dict[str, _Known] = attrs.field(factory=dict)

    def record(
        self, statement: LimitStatement, peer: str | None = None
    ) -> LimitChange | None:
        """Record what a response to this host, or to a peer, said.

        Returns:
            How the limit of the upstream changed, if it did.
        """
        known = self._known_by_upstream.get(statement.upstream)
        if known is None and math.isinf(statement.rate):
            return None
        if known is not None and not statement.supersedes(known.statement):
            return None
        previous_rate = math.inf
        if known and known.statement.started_ms == statement.started_ms:
            previous_rate = known.statement.rate
        self._known_by_upstream[statement.upstream] = _Known(
            statement, is_own=peer is None
        )
        if statement.rate == previous_rate:
            return None
        return LimitChange(
            upstream=statement.upstream,
            rate=statement.rate,
            previous_rate=previous_rate,
            peer=peer,
        )

    def rate_of(self, upstream: Upstream) -> float:
        """Return the limit in requests a second; infinite without one."""
        known = self._known_by_upstream.get(upstream.upstream_id)
        if known is None or known.statement.started_ms != upstream.started_ms:
            return math.inf
        return known.statement.rate

    def own_statements(self) -> list[LimitStatement]:
        """Return what peers should learn from this host, newest first.

        What a peer told is announced by that peer.
        """
        own = [
            k.statement for k in self._known_by_upstream.values() if k.is_own
        ]
        own.sort(key=lambda statement: -statement.received_s)
        return own[:MAX_ANNOUNCED_LIMITS]

    def drop_expired(
        self, registered: Container[str], now_s: float
    ) -> list[str]:
        """Drop ended limits, and those of upstreams that are gone.

        Returns:
            The ids of the upstreams.
        """
        expired = [
            upstream
            for upstream, known in self._known_by_upstream.items()
            if now_s - known.statement.received_s > MEMORY_S
            and (math.isinf(known.statement.rate) or upstream not in registered)
        ]
        for upstream in expired:
            del self._known_by_upstream[upstream]
        return expired

    def __len__(self) -> int:
        """Return the number of upstreams that name a limit."""
        return sum(
            not math.isinf(known.statement.rate)
            for known in self._known_by_upstream.values()
        )
