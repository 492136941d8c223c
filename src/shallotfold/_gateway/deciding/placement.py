"""Choose the upstream of a request.

Requests that share a prompt prefix go where the prefix was sent lately; hosts
tell each other. While nobody has told, rendezvous hashing ranks the upstreams
of each prefix alike on every host. Load moves requests on to others.
"""

from collections.abc import Set

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding.engine_set import EngineSet
from shallotfold._gateway.deciding.upstream_health import UpstreamHealth
from shallotfold._gateway.deciding.upstream_loads import UpstreamLoads

# Running requests slow a batch by about as much as reading these tokens.
TOKENS_PER_RUNNING_REQUEST = 60.0
# Beyond its slots a request waits until others end. An answer takes about as
# long as reading these tokens; a full upstream ends one a slot in that time.
TOKENS_PER_ANSWER = 250_000.0
# What an attempt that fails costs, in tokens read for nothing.
TOKENS_PER_FAILURE = 20_000.0
# What a second of a cold start costs, in tokens.
TOKENS_PER_COLD_S = 2_000.0
# Reading a shared prefix again costs more than the time it takes: it drives
# other prefixes out and happens again on every such move.
TOKENS_PER_MISSED_TOKEN = 6.0
# A wait uses up a part of the target. With this target a token that is read
# first counts like an own one; with a longer target it counts less.
INTERACTIVE_TARGET_S = 0.25
# Going to an engine of the other kind is worth it beyond this backlog.
TOKENS_PER_WRONG_KIND = 5_000.0
# Crossing data centres costs bytes and a little time, in tokens.
TOKENS_PER_CROSSING = 150.0
# Upstreams queue a few requests beyond their slots.
QUEUE_PER_SLOT = 1.5
# Hosts know of each other's sends with a delay. If all compared all engines,
# they would all send to the one that was idle last; each compares a few drawn
# ones, the fewer the more hosts there are.
FEWEST_COMPARED = 3
COMPARED_TIMES_HOSTS = 100
# How likely the first and the second home of a prefix keep it.
HOME_CHANCES = (1.0, 0.5)
# The same when others are known to keep it.
OVERFLOW_CHANCES = (0.3, 0.3)
# Peers are told where longer shared parts were sent, and of so many at most.
SHARED_WORTH_TELLING_TOKENS = 1_000
MOST_TOLD_PREFIXES = 32
# A prefix that was sent somewhere within this time is still kept there.
PREFIX_KEPT_S = 12.0
PREFIX_MEMORY_ENTRIES = 4_096


@attrs.define
class PrefixLocations:
    """Which upstreams read each prefix lately, as far as hosts told.

    Attributes:
        unannounced: What this host sent since its peers were told last.
    """

    unannounced: list[tuple[str, str]] = attrs.field(factory=list)
    _sent_s: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def record_send(self, prompt: Prompt, upstream: str, now_s: float) -> None:
        """Remember an own send."""
        key = prompt.shared_key
        if not key:
            return
        self.record(key, upstream, now_s)
        if prompt.shared_tokens >= SHARED_WORTH_TELLING_TOKENS:
            self.unannounced.append((key, upstream))
            del self.unannounced[:-MOST_TOLD_PREFIXES]

    def record(self, key: str, upstream: str, now_s: float) -> None:
        """Remember that `upstream` reads the prefix."""
        oldest_s = now_s - PREFIX_KEPT_S
        known = self._sent_s.pop(key, {})
        sent_s = {n: at_s for n, at_s in known.items() if at_s >= oldest_s}
        sent_s[upstream] = now_s
        self._sent_s[key] = sent_s
        if len(self._sent_s) > PREFIX_MEMORY_ENTRIES:
            del self._sent_s[next(iter(self._sent_s))]

    def holders(self, key: str, now_s: float) -> set[str]:
        """Return the upstreams that probably still keep the prefix."""
        oldest_s = now_s - PREFIX_KEPT_S
        sent_s = self._sent_s.get(key, {})
        return {name for name, at_s in sent_s.items() if at_s >= oldest_s}

    def take_unannounced(self) -> list[tuple[str, str]]:
        """Return what peers have not been told yet."""
        unannounced, self.unannounced = self.unannounced, []
        return unannounced


@attrs.define(kw_only=True)
class Placement:
    """Rank the upstreams of a service for one request.

    Attributes:
        data_centre: Where this host runs.
        hosts: Hosts that send to the same upstreams, this one included.
        loads: Estimated loads.
        health: How attempts ended.
        prefixes: What was sent where.
    """

    data_centre: str
    hosts: int = 1
    loads: UpstreamLoads = attrs.field(factory=UpstreamLoads)
    health: UpstreamHealth = attrs.field(factory=UpstreamHealth)
    prefixes: PrefixLocations = attrs.field(factory=PrefixLocations)

    def choose(
        self,
        engines: EngineSet,
        prompt: Prompt,
        now_s: float,
        target_s: float = INTERACTIVE_TARGET_S,
        tried: Set[str] = frozenset(),
        draw: float = 0.0,
    ) -> Upstream | None:
        """Return the upstream where the request costs least, if any has room.

        Paused upstreams are used only when no other is left.

        Args:
            engines: Upstreams of the service.
            prompt: What is declared about the prompt.
            now_s: Time on the boot clock.
            target_s: When the answer should begin, after the request.
            tried: Upstreams that had an attempt of the request.
            draw: Random number of the attempt, 0 to 1.
        """
        kept_by_upstream = self.kept_tokens(engines, prompt, now_s)
        count = max(FEWEST_COMPARED, COMPARED_TIMES_HOSTS // self.hosts)
        compared = engines.sample(prompt, count, draw) | kept_by_upstream.keys()
        roomy = self._roomy(engines, compared - tried)
        roomy = self._usable(roomy, now_s)
        if not roomy:
            roomy = self._roomy(engines, engines.by_id.keys() - tried)
            roomy = self._usable(roomy, now_s) or roomy
        if not roomy:
            return None
        fit_ids = engines.fitting_ids(prompt)
        urgency = min(1.0, INTERACTIVE_TARGET_S / max(target_s, 1e-3))

        def cost(upstream: Upstream) -> tuple[float, str]:
            name = upstream.upstream_id
            kept = kept_by_upstream.get(name, 0)
            found = self._cost(upstream, prompt, kept, urgency, now_s)
            if name not in fit_ids:
                found += TOKENS_PER_WRONG_KIND
            return found, name

        return min(roomy, key=cost)

    def kept_tokens(
        self, engines: EngineSet, prompt: Prompt, now_s: float
    ) -> dict[str, int]:
        """Return the tokens of a prompt that upstreams probably keep.

        Only upstreams that keep some are named. While no host has told of a
        prefix, its home is expected to keep it, and its second home by half:
        all hosts turn to them first. Later they count as likely places to
        which other hosts moved it, so that hosts which leave a full holder
        at the same moment meet.
        """
        key = prompt.shared_key
        if not key:
            return {}
        kept = {
            name: prompt.shared_tokens
            for name in self.prefixes.holders(key, now_s)
            if name in engines.by_id
        }
        chances = OVERFLOW_CHANCES if kept else HOME_CHANCES
        for name, chance in zip(
            engines.homes_of(prompt), chances, strict=False
        ):
            kept.setdefault(name, round(prompt.shared_tokens * chance))
        return kept

    def _roomy(self, engines: EngineSet, names: Set[str]) -> list[Upstream]:
        return [
            upstream
            for upstream in map(engines.by_id.__getitem__, names)
            if not self.health.is_replaced(upstream.upstream_id)
            and self._has_room(upstream)
        ]

    def _usable(
        self, upstreams: list[Upstream], now_s: float
    ) -> list[Upstream]:
        return [
            u
            for u in upstreams
            if self.health.is_available(u.upstream_id, now_s)
        ]

    def _has_room(self, upstream: Upstream) -> bool:
        if upstream.slots <= 0:
            return True
        load = self.loads.total_load(upstream.upstream_id)
        return load.requests < upstream.slots * (1.0 + QUEUE_PER_SLOT)

    def _cost(
        self,
        upstream: Upstream,
        prompt: Prompt,
        kept: int,
        urgency: float,
        now_s: float,
    ) -> float:
        load = self.loads.total_load(upstream.upstream_id)
        slots = max(1, upstream.slots)
        own_tokens = prompt.prompt_tokens - prompt.shared_tokens
        missed = prompt.shared_tokens - kept
        cost = own_tokens + TOKENS_PER_MISSED_TOKEN * missed
        cost += TOKENS_PER_RUNNING_REQUEST * load.requests
        waiting = max(0, load.requests + 1 - slots)
        wait = load.pending_tokens + TOKENS_PER_ANSWER * waiting / slots
        cost += urgency * wait
        cost += TOKENS_PER_COLD_S * upstream.cold_s
        cost += TOKENS_PER_FAILURE * self.health.failure_ratio(
            upstream.upstream_id, now_s
        )
        if upstream.data_centre != self.data_centre:
            cost += TOKENS_PER_CROSSING
        return cost
