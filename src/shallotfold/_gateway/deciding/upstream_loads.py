"""Estimate what upstreams have to do, from own, peers' and their own words."""

from collections.abc import Mapping

import attrs

from shallotfold._gateway.deciding.events import PeerLoad

# Older words of a peer are worth less than none: its requests have ended.
PEER_LOAD_MAX_AGE_S = 2.0
# Upstreams' own figures lag by about 0.1 s; after a few they say little.
REPORTED_LOAD_MAX_AGE_S = 0.4


@attrs.define
class _OwnLoad:
    tokens_by_request: dict[int, int] = attrs.field(factory=dict)
    pending_tokens: int = 0


@attrs.define
class _PeerWord:
    heard_s: float
    loads_by_upstream: Mapping[str, PeerLoad]


@attrs.define
class UpstreamLoads:
    """Requests and unread prompt tokens at each upstream."""

    _own_by_upstream: dict[str, _OwnLoad] = attrs.field(factory=dict)
    _word_by_peer: dict[str, _PeerWord] = attrs.field(factory=dict)
    _peers_by_upstream: dict[str, list[int]] = attrs.field(factory=dict)
    _reported: dict[str, tuple[float, int]] = attrs.field(factory=dict)

    def start_request(self, upstream: str, request: int, tokens: int) -> None:
        """Note a send with the prompt tokens that will be read."""
        own = self._own_by_upstream.setdefault(upstream, _OwnLoad())
        own.tokens_by_request[request] = tokens
        own.pending_tokens += tokens

    def record_first_byte(self, upstream: str, request: int) -> None:
        """Note the first token: the prompt has been read."""
        own = self._own_by_upstream.get(upstream)
        if own is not None and own.tokens_by_request.get(request):
            own.pending_tokens -= own.tokens_by_request[request]
            own.tokens_by_request[request] = 0

    def end_request(self, upstream: str, request: int) -> None:
        """Note that the upstream is done with the request."""
        own = self._own_by_upstream.get(upstream)
        if own is None:
            return
        own.pending_tokens -= own.tokens_by_request.pop(request, 0)
        if not own.tokens_by_request:
            del self._own_by_upstream[upstream]

    def record_reported_load(
        self, upstream: str, requests: int, now_s: float
    ) -> None:
        """Note the upstream's own count of requests."""
        self._reported[upstream] = (now_s, requests)

    def record_peer_loads(
        self, peer: str, loads: Mapping[str, PeerLoad], now_s: float
    ) -> None:
        """Note a peer's loads."""
        self._forget(peer)
        self._word_by_peer[peer] = _PeerWord(now_s, loads)
        self._add(loads, 1)

    def drop_expired(self, now_s: float) -> None:
        """Drop words that are too old."""
        oldest_s = now_s - PEER_LOAD_MAX_AGE_S
        for peer in [
            p for p, w in self._word_by_peer.items() if w.heard_s < oldest_s
        ]:
            self._forget(peer)
        oldest_s = now_s - REPORTED_LOAD_MAX_AGE_S
        for upstream in [
            u for u, (at_s, _) in self._reported.items() if at_s < oldest_s
        ]:
            del self._reported[upstream]

    def local_loads(self) -> dict[str, PeerLoad]:
        """Return this host's own loads, for its peers."""
        return {
            upstream: PeerLoad(
                len(load.tokens_by_request), max(0, load.pending_tokens)
            )
            for upstream, load in self._own_by_upstream.items()
        }

    def total_load(self, upstream: str) -> PeerLoad:
        """Return the best estimate for all hosts together."""
        own = self._own_by_upstream.get(upstream)
        requests = len(own.tokens_by_request) if own else 0
        tokens = own.pending_tokens if own else 0
        peers = self._peers_by_upstream.get(upstream)
        if peers is not None:
            requests += peers[0]
            tokens += peers[1]
        reported = self._reported.get(upstream)
        if reported is not None:
            requests = max(requests, reported[1])
        return PeerLoad(requests, max(0, tokens))

    def _forget(self, peer: str) -> None:
        word = self._word_by_peer.pop(peer, None)
        if word is not None:
            self._add(word.loads_by_upstream, -1)

    def _add(self, loads: Mapping[str, PeerLoad], sign: int) -> None:
        """Keep the sums over all peers: each request needs most of them."""
        for upstream, load in loads.items():
            sums = self._peers_by_upstream.setdefault(upstream, [0, 0])
            sums[0] += sign * load.requests
            sums[1] += sign * load.pending_tokens
            if sums == [0, 0]:
                del self._peers_by_upstream[upstream]
