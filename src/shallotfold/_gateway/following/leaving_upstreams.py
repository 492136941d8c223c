"""Remember the upstreams that said in a response that they are leaving."""

import attrs

from shallotfold._gateway.core.model import Upstream

MAX_REMEMBERED = 1_024
# Upstreams may return under their id. One whose start isn't known can't be
# told from an earlier one, so it counts as leaving for this long only.
UNKNOWN_START_MEMORY_S = 60.0
# Several heartbeats fit into this time, in case some are lost.
ANNOUNCED_FOR_S = 5.0
MAX_ANNOUNCED = 32


@attrs.frozen
class _Departure:
    started_ms: int
    learned_s: float
    from_response: bool


@attrs.define
class LeavingUpstreams:
    """Leaving upstreams by id, whatever their registration says."""

    _departure_by_id: dict[str, _Departure] = attrs.field(factory=dict)

    def add(
        self,
        upstream_id: str,
        started_ms: int,
        now_s: float,
        *,
        from_response: bool,
    ) -> bool:
        """Add an upstream.

        Args:
            upstream_id: Its id.
            started_ms: Start of its process in Unix milliseconds; 0: unknown.
            now_s: Time on the boot clock.
            from_response: Whether this host got the response, not a peer.

        Returns:
            Whether it wasn't known to be leaving.
        """
        known = self._departure_by_id.get(upstream_id)
        if known is not None and known.started_ms > started_ms:
            return False
        self._departure_by_id.pop(upstream_id, None)
        self._departure_by_id[upstream_id] = _Departure(
            started_ms, now_s, from_response
        )
        if len(self._departure_by_id) > MAX_REMEMBERED:
            del self._departure_by_id[next(iter(self._departure_by_id))]
        return known is None or known.started_ms != started_ms

    def includes(self, upstream: Upstream, now_s: float) -> bool:
        """Whether this start of the upstream is leaving."""
        departure = self._departure_by_id.get(upstream.upstream_id)
        if departure is None:
            return False
        if departure.started_ms and upstream.started_ms:
            return upstream.started_ms <= departure.started_ms
        return now_s - departure.learned_s < UNKNOWN_START_MEMORY_S

    def announcements(self, now_s: float) -> dict[str, int]:
        """Return the starts by id that this host learned of lately itself."""
        recent = [
            (upstream_id, departure.started_ms)
            for upstream_id, departure in self._departure_by_id.items()
            if departure.from_response
            and now_s - departure.learned_s < ANNOUNCED_FOR_S
        ]
        return dict(recent[-MAX_ANNOUNCED:])
