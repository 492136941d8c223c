"""Estimate the load of upstreams from local, peer and upstream reports."""

from collections.abc import Mapping

import attrs

from shallotfold._gateway.deciding.events import RequestLoad

# An older report of a peer is worse than none: the requests in it have ended.
PEER_LOAD_MAX_AGE_S = 2.5
# Upstreams report their counts about 0.1 s late; after a few tenths of a second
# the counts are outdated.
REPORTED_LOAD_MAX_AGE_S = 0.4


@attrs.define
class _LocalLoad:
    tokens_by_request: dict[int, int] = attrs.field(factory=dict)
    pending_tokens: int = 0


@attrs.define
class _PeerReport:
    received_s: float
    loads_by_upstream: Mapping[str, RequestLoad]


@attrs.define
class UpstreamLoads:
    """Open requests and pending prefill tokens at each upstream."""

    _local_by_upstream: dict[str, _LocalLoad] = attrs.field(factory=dict)
    _report_by_peer: dict[str, _PeerReport] = attrs.field(factory=dict)
    _peer_sums_by_upstream: dict[str, list[int]] = attrs.field(factory=dict)
    _reported_by_upstream: dict[str, tuple[float, int]] = attrs.field(
        factory=dict
    )

    def start_request(self, upstream: str, request: int, tokens: int) -> None:
        """Count a request with the prompt tokens that need prefill."""
        local = self._local_by_upstream.setdefault(upstream, _LocalLoad())
        local.tokens_by_request[request] = tokens
        local.pending_tokens += tokens

    def record_first_byte(self, upstream: str, request: int) -> None:
        """Record that the response began, so the prefill is done."""
        local = self._local_by_upstream.get(upstream)
        if local is not None and local.tokens_by_request.get(request):
            local.pending_tokens -= local.tokens_by_request[request]
            local.tokens_by_request[request] = 0

    def end_request(self, upstream: str, request: int) -> None:
        """Remove a request that has ended at the upstream."""
        local = self._local_by_upstream.get(upstream)
        if local is None:
            return
        local.pending_tokens -= local.tokens_by_request.pop(request, 0)
        if not local.tokens_by_request:
            del self._local_by_upstream[upstream]

    def record_reported_load(
        self, upstream: str, requests: int, now_s: float
    ) -> None:
        """Record the count of requests that the upstream reported."""
        self._reported_by_upstream[upstream] = (now_s, requests)

    def record_peer_loads(
        self, peer: str, loads: Mapping[str, RequestLoad], now_s: float
    ) -> None:
        """Replace the loads that a peer reported."""
        self._remove_peer(peer)
        self._report_by_peer[peer] = _PeerReport(now_s, loads)
        self._add_to_sums(loads, 1)

    def drop_expired(self, now_s: float) -> None:
        """Drop reports of peers and upstreams that are too old."""
        oldest_s = now_s - PEER_LOAD_MAX_AGE_S
        for peer in [
            p
            for p, r in self._report_by_peer.items()
            if r.received_s < oldest_s
        ]:
            self._remove_peer(peer)
        oldest_s = now_s - REPORTED_LOAD_MAX_AGE_S
        for upstream in [
            u
            for u, (at_s, _) in self._reported_by_upstream.items()
            if at_s < oldest_s
        ]:
            del self._reported_by_upstream[upstream]

    def local_loads(self) -> dict[str, RequestLoad]:
        """Return the loads of this host, for its peers."""
        return {
            upstream: RequestLoad(
                len(load.tokens_by_request), max(0, load.pending_tokens)
            )
            for upstream, load in self._local_by_upstream.items()
        }

    def total_load(self, upstream: str) -> RequestLoad:
        """Return the best estimate for all hosts together."""
        local = self._local_by_upstream.get(upstream)
        requests = len(local.tokens_by_request) if local else 0
        tokens = local.pending_tokens if local else 0
        peer_sums = self._peer_sums_by_upstream.get(upstream)
        if peer_sums is not None:
            requests += peer_sums[0]
            tokens += peer_sums[1]
        reported = self._reported_by_upstream.get(upstream)
        if reported is not None:
            requests = max(requests, reported[1])
        return RequestLoad(requests, max(0, tokens))

    def _remove_peer(self, peer: str) -> None:
        report = self._report_by_peer.pop(peer, None)
        if report is not None:
            self._add_to_sums(report.loads_by_upstream, -1)

    def _add_to_sums(self, loads: Mapping[str, RequestLoad], sign: int) -> None:
        """Update the sums over all peers, which most requests read."""
        for upstream, load in loads.items():
            sums = self._peer_sums_by_upstream.setdefault(upstream, [0, 0])
            sums[0] += sign * load.requests
            sums[1] += sign * load.pending_tokens
            if sums == [0, 0]:
                del self._peer_sums_by_upstream[upstream]
