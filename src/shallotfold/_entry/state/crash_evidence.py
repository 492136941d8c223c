"""Remember under which requests upstreams ended, on one entry."""

import attrs

# Fewer would hold back sound requests that were open twice by chance.
UPSTREAMS_TO_HOLD = 3
FIRST_HOLD_S = 15.0
MAX_HOLD_S = 120.0
# Evidence that has not led to a hold is forgotten after this time.
EVIDENCE_LIFETIME_S = 300.0
MAX_REMEMBERED_REQUESTS = 512


@attrs.define
class _Evidence:
    """What happened to equal requests since the last complete answer."""

    upstreams: set[str] = attrs.field(factory=set)
    hold_s: float = 0.0
    held_until_s: float = 0.0
    updated_s: float = 0.0


@attrs.define
class CrashEvidence:
    """Holds back requests under which several upstreams broke off.

    Equal requests have the same caller, method, path and body. When their
    attempts broke off at several upstreams, and none was answered in between,
    equal ones are held back. After the hold one of them is a trial; if it
    breaks off too, the next hold is longer.
    """

    # In the order of their last update.
    _evidence_by_request: dict[str, _Evidence] = attrs.field(factory=dict)

    def record_broken_off(
        self, request: str, upstream: str, now_s: float
    ) -> None:
        """Record that an attempt of a request broke off.

        Args:
            request: Digest that equal requests share; empty: not known.
            upstream: Name of the upstream.
            now_s: Current time.
        """
        if not request:
            return
        evidence = self._evidence_by_request.pop(request, None)
        if evidence is None or self._has_lapsed(evidence, now_s):
            evidence = _Evidence()
        self._evidence_by_request[request] = evidence
        evidence.updated_s = now_s
        evidence.upstreams.add(upstream)
        if len(evidence.upstreams) >= UPSTREAMS_TO_HOLD:
            evidence.hold_s = min(
                MAX_HOLD_S, max(FIRST_HOLD_S, 2.0 * evidence.hold_s)
            )
            evidence.held_until_s = now_s + evidence.hold_s
        if len(self._evidence_by_request) > MAX_REMEMBERED_REQUESTS:
            oldest = next(iter(self._evidence_by_request))
            del self._evidence_by_request[oldest]

    def record_answer(self, request: str) -> None:
        """Forget what happened to requests that an upstream has answered."""
        self._evidence_by_request.pop(request, None)

    def hold_s(self, request: str, now_s: float) -> float:
        """Return how long a request is held back; 0: it isn't."""
        evidence = self._evidence_by_request.get(request)
        return evidence.held_until_s - now_s if evidence else 0.0

    def begin_trial(self, request: str, now_s: float) -> None:
        """Hold further ones back while the first after a hold is tried."""
        evidence = self._evidence_by_request.get(request)
        if evidence is not None and evidence.hold_s:
            evidence.held_until_s = now_s + evidence.hold_s

    def _has_lapsed(self, evidence: _Evidence, now_s: float) -> bool:
        return now_s - evidence.updated_s > EVIDENCE_LIFETIME_S
