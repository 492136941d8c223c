"""Choose the upstream of a request.

Requests that share a prompt prefix go to upstreams that cache it: those that
it was sent to lately, as hosts announce to each other. Without an announcement,
rendezvous hashing ranks the upstreams of each prefix the same on every host.
Under load, requests overflow to other upstreams.
"""

from collections.abc import Set

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding.engine_set import EngineSet
from shallotfold._gateway.deciding.engine_set import is_long
from shallotfold._gateway.deciding.prefill_rates import PrefillRates
from shallotfold._gateway.deciding.upstream_health import UpstreamHealth
from shallotfold._gateway.deciding.upstream_limits import UpstreamLimits
from shallotfold._gateway.deciding.upstream_loads import UpstreamLoads
from shallotfold._gateway.deciding.upstream_speeds import UpstreamSpeeds

# Costs are in prefill tokens: a delay costs the number of tokens whose prefill
# takes as long.

# A running request slows a batch by about as much as the prefill of this many
# tokens.
TOKENS_PER_RUNNING_REQUEST = 60.0
# A request beyond the slots waits until others end. A response takes about as
# long as the prefill of this many tokens; each slot of a full upstream finishes
# one in that time.
TOKENS_PER_RESPONSE = 250_000.0
# Cost of a failing attempt, as wasted prefill tokens.
TOKENS_PER_FAILURE = 20_000.0
# Cost of each second until a cold start is over.
TOKENS_PER_COLD_S = 2_000.0
# The prefill of a shared prefix at one more upstream costs more than its time:
# it evicts other prefixes and is repeated at every such move.
TOKENS_PER_UNCACHED_TOKEN = 6.0
# Waiting uses up part of the latency target. At this target a queued token
# costs as much as a token of the request; with longer targets it costs less.
INTERACTIVE_TARGET_S = 0.25
# Backlog in the preferred partition beyond which an engine of the other one is
# worth using.
TOKENS_PER_WRONG_PARTITION = 5_000.0
# The same for a long prompt while an engine for long prompts has a free slot:
# it would delay the tokens of all streams of the other engine.
TOKENS_PER_LONG_AMONG_SHORT = 35_000.0
# Cost of an engine that is expected to begin the response after the target.
# Some backlog is still better than reading a long prefix at one more engine.
TOKENS_PER_LATE_START = 20_000.0
# Crossing data centres costs bytes and a little time.
TOKENS_PER_DATA_CENTRE_CROSSING = 150.0
# An upstream gets no more requests while this many per slot are queued there.
MAX_QUEUED_PER_SLOT = 1.5
# With load control, a long prompt goes to an engine of the other partition only
# while at most this share of its slots is used.
MAX_BUSY_SLOTS_FOR_LONG = 0.25
# Hosts learn of each other's requests with a delay. If each compared all
# engines, all would choose the one that last looked idle. So each compares a
# random sample: the hosts share the fleet's number of engines, but each samples
# at least the minimum.
MIN_SAMPLED_ENGINES = 3
FLEET_SAMPLED_ENGINES = 100
# Probabilities that the first and the second home of a prefix cache it.
HOME_CACHE_PROBABILITIES = (1.0, 0.5)
# The same while other upstreams are known to cache it.
OVERFLOW_CACHE_PROBABILITIES = (0.3, 0.3)
# Hosts announce the locations of shared prefixes from this length on, and at
# most this many at a time.
MIN_ANNOUNCED_PREFIX_TOKENS = 1_000
MAX_ANNOUNCED_PREFIXES = 32
# An upstream is expected to cache a prefix for this long after it was sent.
PREFIX_CACHE_LIFETIME_S = 12.0
MAX_TRACKED_PREFIXES = 4_096


@attrs.define
class PrefixLocations:
    """Upstreams that each prefix was sent to lately, by any host.

    Attributes:
        unannounced: Prefix id and upstream id of each prefix that this host
            sent since its last announcement to peers.
    """

    unannounced: list[tuple[str, str]] = attrs.field(factory=list)
    _sent_s_by_prefix: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def record_send(self, prompt: Prompt, upstream: str, now_s: float) -> None:
        """Record a prompt that this host sends."""
        prefix_id = prompt.shared_prefix_id
        if not prefix_id:
            return
        self.record(prefix_id, upstream, now_s)
        if prompt.shared_prefix_tokens >= MIN_ANNOUNCED_PREFIX_TOKENS:
            self.unannounced.append((prefix_id, upstream))
            del self.unannounced[:-MAX_ANNOUNCED_PREFIXES]

    def record(self, prefix_id: str, upstream: str, now_s: float) -> None:
        """Record that a prefix was sent to `upstream`."""
        oldest_s = now_s - PREFIX_CACHE_LIFETIME_S
        known = self._sent_s_by_prefix.pop(prefix_id, {})
        sent_s = {n: at_s for n, at_s in known.items() if at_s >= oldest_s}
        sent_s[upstream] = now_s
        self._sent_s_by_prefix[prefix_id] = sent_s
        if len(self._sent_s_by_prefix) > MAX_TRACKED_PREFIXES:
            del self._sent_s_by_prefix[next(iter(self._sent_s_by_prefix))]

    def holders(self, prefix_id: str, now_s: float) -> set[str]:
        """Return the upstreams that probably still cache the prefix."""
        oldest_s = now_s - PREFIX_CACHE_LIFETIME_S
        sent_s = self._sent_s_by_prefix.get(prefix_id, {})
        return {name for name, at_s in sent_s.items() if at_s >= oldest_s}

    def take_unannounced(self) -> list[tuple[str, str]]:
        """Return and clear the prefixes to be announced to peers."""
        unannounced, self.unannounced = self.unannounced, []
        return unannounced


@attrs.define(kw_only=True)
class Placement:
    """Choose among the upstreams of a service for one request.

    Attributes:
        data_centre: Data centre of this host.
        controls_load: Whether long prompts wait for a slot elsewhere than at
            engines, and keep away from those of short ones.
        host_count: Number of hosts that send to the same upstreams, this one
            included.
        loads: Estimated loads.
        health: Failure ratios and ejections.
        limits: Limits that upstreams have named, and those of cold ones.
        prefixes: Upstreams that cache shared prefixes.
        rates: Prefill rates of the engines.
        speeds: Time factors; without load control there are none.
    """

    data_centre: str
    controls_load: bool = False
    host_count: int = 1
    loads: UpstreamLoads = attrs.field(factory=UpstreamLoads)
    health: UpstreamHealth = attrs.field(factory=UpstreamHealth)
    limits: UpstreamLimits = attrs.field(factory=UpstreamLimits)
    prefixes: PrefixLocations = attrs.field(factory=PrefixLocations)
    rates: PrefillRates = attrs.field(factory=PrefillRates)
    speeds: UpstreamSpeeds = attrs.field(factory=UpstreamSpeeds)

    def choose_upstream(
        self,
        engines: EngineSet,
        prompt: Prompt,
        now_s: float,
        target_s: float = INTERACTIVE_TARGET_S,
        tried: Set[str] = frozenset(),
        draw: float = 0.0,
    ) -> Upstream | None:
        """Return the upstream with the lowest cost that has capacity, if any.

        Ejected upstreams are used only when no other is left, cold ones only
        when no warm one is, those that asked for a pause never, and those with
        a limit while this host's share of it isn't used up.

        Args:
            engines: Upstreams of the service.
            prompt: Declared sizes and parts of the prompt.
            now_s: Time on the boot clock.
            target_s: Target for the start of the response, after the request.
            tried: Ids of upstreams that had an attempt of the request.
            draw: Random number of the attempt, 0 to 1.
        """
        cached_tokens = self.expected_cached_tokens(engines, prompt, now_s)
        count = max(
            MIN_SAMPLED_ENGINES, FLEET_SAMPLED_ENGINES // self.host_count
        )
        sampled_ids = engines.sample(prompt, count, draw) | cached_tokens.keys()
        candidates = self._with_capacity(engines, sampled_ids - tried, now_s)
        candidates = self._available(candidates, now_s)
        if not candidates or self._are_cold(candidates):
            candidates = self._with_capacity(
                engines, engines.by_id.keys() - tried, now_s
            )
            candidates = self._available(candidates, now_s) or candidates
        preferred_ids = engines.preferred_ids(prompt)
        if self.controls_load and is_long(prompt):
            candidates = self._with_room_for_long(
                candidates, preferred_ids
            ) or self._with_room_for_long(
                self._available(
                    self._with_capacity(
                        engines, engines.by_id.keys() - tried, now_s
                    ),
                    now_s,
                ),
                preferred_ids,
            )
        candidates = self._warm(candidates) or candidates
        if not candidates:
            return None
        wrong_partition_tokens = TOKENS_PER_WRONG_PARTITION
        if is_long(prompt) and any(
            self._has_free_slot(upstream)
            for upstream in candidates
            if upstream.upstream_id in preferred_ids
        ):
            wrong_partition_tokens = TOKENS_PER_LONG_AMONG_SHORT
        wait_weight = min(1.0, INTERACTIVE_TARGET_S / max(target_s, 1e-3))

        peers = self.host_count - 1 if len(engines.by_id) <= count else 0

        def cost(upstream: Upstream) -> tuple[float, str]:
            upstream_id = upstream.upstream_id
            cached = cached_tokens.get(upstream_id, 0)
            factor = self.speeds.time_factor(upstream, now_s)
            spread = self.speeds.spread(upstream, draw, peers)
            tokens = self._cost(
                upstream, prompt, cached, wait_weight, factor * spread, now_s
            )
            if upstream_id not in preferred_ids:
                tokens += wrong_partition_tokens
            load = self.loads.total_load(upstream_id)
            start_s = factor * self.rates.prefill_s(
                upstream.service,
                load.pending_tokens + prompt.prompt_tokens - cached,
            )
            if start_s > target_s:
                tokens += TOKENS_PER_LATE_START
            return tokens, upstream_id

        return min(candidates, key=cost)

    def pause_remaining_s(self, engines: EngineSet, now_s: float) -> float:
        """Return when the first upstream may get requests again, from now.

        It is 0 unless all upstreams that are still there asked for a pause.
        """
        return min(
            (
                self.health.pause_remaining_s(upstream_id, now_s)
                for upstream_id in engines.by_id
                if not self.health.is_replaced(upstream_id)
            ),
            default=0.0,
        )

    def upstreams_if_all_limited(
        self, engines: EngineSet | None, now_s: float
    ) -> list[Upstream]:
        """Return the upstreams that are there if all of them are limited.

        Those that are paused don't count, unless all of them are.
        """
        if engines is None or not self.limits.any_limited:
            return []
        present = [
            upstream
            for upstream in engines.by_id.values()
            if not self.health.is_replaced(upstream.upstream_id)
            and not self.health.pause_remaining_s(upstream.upstream_id, now_s)
        ]
        return present if all(map(self.limits.is_limited, present)) else []

    def expected_cached_tokens(
        self, engines: EngineSet, prompt: Prompt, now_s: float
    ) -> dict[str, int]:
        """Return the prompt tokens that upstreams probably cache, by id.

        Upstreams that cache none are left out. While no host has announced a
        prefix, its first home is expected to cache it, its second home with a
        probability of a half: all hosts try them first. Once holders of the
        prefix are known, the homes count as probable overflow targets of other
        hosts, so that all hosts overflow from a full holder to the same one.
        """
        prefix_id = prompt.shared_prefix_id
        if not prefix_id:
            return {}
        cached_tokens = {
            upstream_id: prompt.shared_prefix_tokens
            for upstream_id in self.prefixes.holders(prefix_id, now_s)
            if upstream_id in engines.by_id
        }
        probabilities = (
            OVERFLOW_CACHE_PROBABILITIES
            if cached_tokens
            else HOME_CACHE_PROBABILITIES
        )
        for upstream_id, probability in zip(
            engines.homes_of(prompt), probabilities, strict=False
        ):
            cached_tokens.setdefault(
                upstream_id, round(prompt.shared_prefix_tokens * probability)
            )
        return cached_tokens

    def _with_capacity(
        self, engines: EngineSet, upstream_ids: Set[str], now_s: float
    ) -> list[Upstream]:
        return [
            upstream
            for upstream in map(engines.by_id.__getitem__, upstream_ids)
            if not self.health.is_replaced(upstream.upstream_id)
            and not self.health.pause_remaining_s(upstream.upstream_id, now_s)
            and self._has_capacity(upstream)
            and self.limits.may_send(upstream, now_s)
        ]

    def _available(
        self, upstreams: list[Upstream], now_s: float
    ) -> list[Upstream]:
        return [
            u
            for u in upstreams
            if self.health.is_available(u.upstream_id, now_s)
        ]

    def _with_room_for_long(
        self, upstreams: list[Upstream], preferred_ids: Set[str]
    ) -> list[Upstream]:
        """Return the upstreams whose streams a long prompt may delay."""
        return [
            upstream
            for upstream in upstreams
            if self.loads.total_load(upstream.upstream_id).requests
            < upstream.slots
            * (
                1.0
                if upstream.upstream_id in preferred_ids
                else MAX_BUSY_SLOTS_FOR_LONG
            )
        ]

    def _are_cold(self, upstreams: list[Upstream]) -> bool:
        return bool(self.limits.cold) and not self._warm(upstreams)

    def _warm(self, upstreams: list[Upstream]) -> list[Upstream]:
        cold = self.limits.cold
        if not cold:
            return upstreams
        return [u for u in upstreams if not cold.is_cold(u.upstream_id)]

    def _has_free_slot(self, upstream: Upstream) -> bool:
        load = self.loads.total_load(upstream.upstream_id)
        return load.requests < upstream.slots

    def _has_capacity(self, upstream: Upstream) -> bool:
        if upstream.slots <= 0:
            return True
        load = self.loads.total_load(upstream.upstream_id)
        return load.requests < upstream.slots * (1.0 + MAX_QUEUED_PER_SLOT)

    def _cost(
        self,
        upstream: Upstream,
        prompt: Prompt,
        cached: int,
        wait_weight: float,
        factor: float,
        now_s: float,
    ) -> float:
        load = self.loads.total_load(upstream.upstream_id)
        slots = max(1, upstream.slots)
        unshared_tokens = prompt.prompt_tokens - prompt.shared_prefix_tokens
        uncached_tokens = prompt.shared_prefix_tokens - cached
        cost = unshared_tokens + TOKENS_PER_UNCACHED_TOKEN * uncached_tokens
        cost += TOKENS_PER_RUNNING_REQUEST * load.requests
        waiting = max(0, load.requests + 1 - slots)
        wait_tokens = (
            load.pending_tokens + TOKENS_PER_RESPONSE * waiting / slots
        )
        cost += wait_weight * wait_tokens
        # The request itself counts too: of idle upstreams, the fastest is best.
        cost += (factor - 1.0) * (cost + TOKENS_PER_RUNNING_REQUEST)
        cost += TOKENS_PER_COLD_S * upstream.cold_remaining_s
        cost += TOKENS_PER_FAILURE * self.health.failure_ratio(
            upstream.upstream_id, now_s
        )
        if upstream.data_centre != self.data_centre:
            cost += TOKENS_PER_DATA_CENTRE_CROSSING
        return cost
