"""Choose the upstream of a request.

Requests that share a prompt prefix go to the same upstream on every host
without any exchange: rendezvous hashing ranks the upstreams of each prefix.
Load moves them on to others.
"""

from collections.abc import Iterable
import hashlib

import attrs

from shallotfold._gateway.model import Prompt
from shallotfold._gateway.model import Upstream
from shallotfold._gateway.upstream_loads import UpstreamLoads
from shallotfold._gateway.upstream_trust import UpstreamTrust

# Running requests slow a batch by about as much as reading these tokens.
TOKENS_PER_RUNNING_REQUEST = 60.0
# What an attempt that fails costs, in tokens read for nothing.
TOKENS_PER_FAILURE = 20_000.0
# What a second of a cold start costs, in tokens.
TOKENS_PER_COLD_S = 2_000.0
# Crossing data centres costs bytes and a little time, in tokens.
TOKENS_PER_CROSSING = 150.0
# Upstreams queue a few requests beyond their slots.
QUEUE_PER_SLOT = 1.5
# A prefix that was sent somewhere within this time is still kept there.
PREFIX_KEPT_S = 12.0
PREFIX_MEMORY_ENTRIES = 4_096


@attrs.define
class PrefixMemory:
    """Where this host sent each prefix last."""

    _sent_s: dict[tuple[str, str], float] = attrs.field(factory=dict)

    def note(self, key: str, upstream: str, now_s: float) -> None:
        """Remember that `upstream` reads the prefix."""
        self._sent_s.pop((key, upstream), None)
        self._sent_s[key, upstream] = now_s
        if len(self._sent_s) > PREFIX_MEMORY_ENTRIES:
            del self._sent_s[next(iter(self._sent_s))]

    def holds(self, key: str, upstream: str, now_s: float) -> bool:
        """Whether `upstream` read the prefix a short time ago."""
        sent_s = self._sent_s.get((key, upstream))
        return sent_s is not None and now_s - sent_s <= PREFIX_KEPT_S


@attrs.define(kw_only=True)
class Placement:
    """Rank the upstreams of a service for one request.

    Attributes:
        data_centre: Where this host runs.
        loads: Estimated loads.
        trust: How attempts ended.
        prefixes: What was sent where.
    """

    data_centre: str
    loads: UpstreamLoads = attrs.field(factory=UpstreamLoads)
    trust: UpstreamTrust = attrs.field(factory=UpstreamTrust)
    prefixes: PrefixMemory = attrs.field(factory=PrefixMemory)

    def choose(
        self, candidates: Iterable[Upstream], prompt: Prompt, now_s: float
    ) -> Upstream | None:
        """Return the upstream where the request costs least, if any has room.

        Paused upstreams are used only when no other is left.
        """
        known = [u for u in candidates if not self.trust.gone(u.upstream_id)]
        usable = [u for u in known if self.trust.usable(u.upstream_id, now_s)]
        roomy = [u for u in usable or known if self._has_room(u)]
        if not roomy:
            return None
        home = home_of(prompt.shared_key, known)
        return min(
            roomy,
            key=lambda u: (self._cost(u, prompt, home, now_s), u.upstream_id),
        )

    def unread_tokens(
        self, upstream: Upstream, prompt: Prompt, home: str, now_s: float
    ) -> int:
        """Return the prompt tokens that the upstream would have to read."""
        key = prompt.shared_key
        if key and (
            upstream.upstream_id == home
            or self.prefixes.holds(key, upstream.upstream_id, now_s)
        ):
            return max(1, prompt.prompt_tokens - prompt.shared_tokens)
        return prompt.prompt_tokens

    def _has_room(self, upstream: Upstream) -> bool:
        if upstream.slots <= 0:
            return True
        load = self.loads.total(upstream.upstream_id)
        return load.requests < upstream.slots * (1.0 + QUEUE_PER_SLOT)

    def _cost(
        self, upstream: Upstream, prompt: Prompt, home: str, now_s: float
    ) -> float:
        load = self.loads.total(upstream.upstream_id)
        slots = max(1, upstream.slots)
        cost = float(self.unread_tokens(upstream, prompt, home, now_s))
        cost += load.pending_tokens
        cost += TOKENS_PER_RUNNING_REQUEST * load.requests
        # Beyond its slots a request waits for another one to end.
        cost += TOKENS_PER_COLD_S * max(0.0, load.requests / slots - 0.8)
        cost += TOKENS_PER_COLD_S * upstream.cold_s
        cost += TOKENS_PER_FAILURE * self.trust.failure_ratio(
            upstream.upstream_id, now_s
        )
        if upstream.data_centre != self.data_centre:
            cost += TOKENS_PER_CROSSING
        return cost


def home_of(key: str, upstreams: Iterable[Upstream]) -> str:
    """Return the upstream that rendezvous hashing gives a prefix; or empty."""
    if not key:
        return ""
    return max(
        (u.upstream_id for u in upstreams),
        key=lambda name: hashlib.blake2b(
            f"{key}/{name}".encode(), digest_size=8
        ).digest(),
        default="",
    )
