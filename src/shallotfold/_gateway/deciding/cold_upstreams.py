"""Track which upstreams are cold, and until when.

An upstream that has just started says in its registration how much longer it
is cold: slow, and able to take few requests a second. The time counts from the
receipt of the registration, which is never earlier than the registration was
written, so that the end is never assumed too early.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs

from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Upstream

# Registrations lapse while the store is away and return afterwards; without
# this memory, a returned one would begin the cold start again.
MEMORY_S = 60.0
# Registrations of one cold start give slightly different ends, as each takes
# another time to arrive. Only a larger difference is logged.
MIN_LOGGED_EXTENSION_S = 1.0


@attrs.frozen(kw_only=True)
class ColdChange:
    """An upstream that became cold, for longer than before, or warm.

    Attributes:
        upstream: Id of the upstream.
        rate: Requests a second that it takes from all hosts together while it
            is cold.
        remaining_s: How much longer it is cold; 0: it is warm now.
        source: Where the change came from: `store`, a peer, `configuration`,
            or `time` if the cold start ended.
    """

    upstream: str
    rate: float
    remaining_s: float
    source: str


@attrs.define
class _Known:
    """What the newest registration of an upstream said.

    Attributes:
        upstream: The upstream as registered.
        cold_until_s: End of its cold start, on the boot clock.
        missing_since_s: When its registration was found missing, on the boot
            clock; `None`: it is registered.
    """

    upstream: Upstream
    cold_until_s: float
    missing_since_s: float | None = None

    def update(self, upstream: Upstream, now_s: float) -> None:
        """Apply a registration unless it is the same as before, or older."""
        self.missing_since_s = None
        before = self.upstream
        if _identity(upstream) == _identity(before):
            return
        cold_until_s = now_s + upstream.cold_remaining_s
        if upstream.started_ms == before.started_ms != 0:
            if upstream.sequence < before.sequence:
                return
        elif 0 < upstream.started_ms < before.started_ms:
            # An earlier start, or a later one whose clock was set back. Only
            # a longer cold start is safe in both cases.
            cold_until_s = max(cold_until_s, self.cold_until_s)
        self.upstream = upstream
        self.cold_until_s = cold_until_s


@attrs.define
class ColdUpstreams:
    """Cold upstreams of the services whose cold upstreams have a rate limit."""

    _services_by_name: Mapping[str, Service] = attrs.field(factory=dict)
    _known_by_id: dict[str, _Known] = attrs.field(factory=dict)
    _rate_by_id: dict[str, float] = attrs.field(factory=dict)

    def set_services(
        self, services_by_name: Mapping[str, Service], now_s: float
    ) -> list[ColdChange]:
        """Set the services, which may come after the registrations.

        Returns:
            The upstreams that are cold now or no longer, or have another rate.
        """
        self._services_by_name = services_by_name
        return self._update_rates(
            list(self._known_by_id), now_s, "configuration"
        )

    def record_registrations(
        self, upstreams_by_id: Mapping[str, Upstream], now_s: float, source: str
    ) -> list[ColdChange]:
        """Record all current registrations.

        Args:
            upstreams_by_id: The registered upstreams.
            now_s: Time on the boot clock.
            source: Where the newest registrations came from.

        Returns:
            The upstreams that became cold, for longer than before, or warm.
        """
        extended_ids = set()
        for upstream_id, upstream in upstreams_by_id.items():
            known = self._known_by_id.get(upstream_id)
            if known is None:
                self._known_by_id[upstream_id] = _Known(
                    upstream, now_s + upstream.cold_remaining_s
                )
                continue
            before_s = known.cold_until_s
            known.update(upstream, now_s)
            if known.cold_until_s > before_s + MIN_LOGGED_EXTENSION_S:
                extended_ids.add(upstream_id)
        self._drop_missing(upstreams_by_id, now_s)
        return self._update_rates(
            list(upstreams_by_id), now_s, source, extended_ids
        )

    def update(self, now_s: float) -> list[ColdChange]:
        """End the cold starts whose time is over.

        Returns:
            The upstreams that became warm.
        """
        return self._update_rates(list(self._rate_by_id), now_s, "time")

    def rate_of(self, upstream_id: str) -> float:
        """Return the rate limit in requests a second; infinite if warm."""
        return self._rate_by_id.get(upstream_id, math.inf)

    def is_cold(self, upstream_id: str) -> bool:
        """Whether the upstream is cold and its service limits cold ones."""
        return upstream_id in self._rate_by_id

    def __len__(self) -> int:
        """Return the number of cold upstreams."""
        return len(self._rate_by_id)

    def _drop_missing(
        self, registered: Mapping[str, Upstream], now_s: float
    ) -> None:
        """Drop upstreams that haven't been registered for a while."""
        missing_ids = self._known_by_id.keys() - registered.keys()
        for upstream_id in missing_ids:
            known = self._known_by_id[upstream_id]
            if known.missing_since_s is None:
                known.missing_since_s = now_s
            elif (
                now_s - known.missing_since_s > MEMORY_S
                and upstream_id not in self._rate_by_id
            ):
                del self._known_by_id[upstream_id]

    def _update_rates(
        self,
        upstream_ids: Iterable[str],
        now_s: float,
        source: str,
        extended_ids: Iterable[str] = (),
    ) -> list[ColdChange]:
        changes = []
        for upstream_id in upstream_ids:
            known = self._known_by_id[upstream_id]
            remaining_s = known.cold_until_s - now_s
            before = self._rate_by_id.get(upstream_id, 0.0)
            rate = (
                self._cold_rate(known.upstream.service)
                if remaining_s > 0.0
                else 0.0
            )
            if rate:
                self._rate_by_id[upstream_id] = rate
            elif before:
                del self._rate_by_id[upstream_id]
            if rate != before or (rate and upstream_id in extended_ids):
                changes.append(
                    ColdChange(
                        upstream=upstream_id,
                        rate=rate or before,
                        remaining_s=remaining_s if rate else 0.0,
                        source=source,
                    )
                )
        return changes

    def _cold_rate(self, service_name: str) -> float:
        """Return the rate of a service's cold upstreams; 0: no limit."""
        service = self._services_by_name.get(service_name)
        if service is None or not service.cold_start_s:
            return 0.0
        return service.cold_rate_per_s


def _identity(upstream: Upstream) -> tuple[int, int, float, str]:
    """Return what tells two registrations of one id apart."""
    return (
        upstream.started_ms,
        upstream.sequence,
        upstream.cold_remaining_s,
        upstream.service,
    )
