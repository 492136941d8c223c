"""Index the upstreams of a service for the placement of requests."""

from collections.abc import Iterable
from collections.abc import Mapping
import functools
import hashlib
import heapq
import random

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import Upstream

# The prefill of a longer prompt slows every other stream of the engine for
# several steps, so long prompts prefer a separate partition of the engines.
LONG_PROMPT_TOKENS = 4_096
LONG_PROMPT_ENGINE_SHARE = 0.6
# Smaller sets aren't partitioned: all prompts share the engines.
MIN_PARTITIONED_ENGINES = 4
MAX_CACHED_HOMES = 4_096
MAX_CACHED_HASHES = 16_384


@attrs.frozen
class _Partition:
    upstreams: tuple[Upstream, ...]
    ids: frozenset[str]

    @classmethod
    def of(cls, upstreams: Iterable[Upstream]) -> "_Partition":
        listed = tuple(upstreams)
        return cls(listed, frozenset(u.upstream_id for u in listed))


@attrs.define(eq=False)
class EngineSet:
    """The upstreams of one service that may get new requests.

    Attributes:
        by_id: The upstreams.
        long_share: Share of the engines that long prompts prefer.
    """

    by_id: Mapping[str, Upstream]
    long_share: float = LONG_PROMPT_ENGINE_SHARE
    _all: _Partition = attrs.field(init=False)
    _long: _Partition = attrs.field(init=False)
    _short: _Partition = attrs.field(init=False)
    _homes_by_prefix: dict[tuple[str, bool], tuple[str, ...]] = attrs.field(
        init=False, factory=dict
    )

    def __attrs_post_init__(self) -> None:
        """Partition the engines between long and other prompts.

        The partitions follow from a hash of the engine ids: every host gets
        the same ones, and few engines switch when others join or leave.
        """
        sorted_engines = sorted(
            self.by_id.values(), key=lambda u: _cached_hash(u.upstream_id)
        )
        self._all = _Partition.of(sorted_engines)
        if len(sorted_engines) < MIN_PARTITIONED_ENGINES:
            self._long = self._short = self._all
        else:
            long_count = round(len(sorted_engines) * self.long_share)
            self._long = _Partition.of(sorted_engines[:long_count])
            self._short = _Partition.of(sorted_engines[long_count:])

    @classmethod
    def of(
        cls,
        upstreams: Iterable[Upstream],
        long_share: float = LONG_PROMPT_ENGINE_SHARE,
    ) -> "EngineSet":
        """Build the set from upstreams."""
        return cls({u.upstream_id: u for u in upstreams}, long_share)

    def preferred_ids(self, prompt: Prompt) -> frozenset[str]:
        """Return the ids of the partition for prompts of this length."""
        return self._partition_for(prompt).ids

    def homes_of(self, prompt: Prompt) -> tuple[str, ...]:
        """Return the home engines of the shared prefix, by rendezvous hashing.

        Returns:
            At most two ids of preferred engines, highest weight first.
        """
        key = (prompt.shared_prefix_id, is_long(prompt))
        homes = self._homes_by_prefix.get(key)
        if homes is None:
            homes = tuple(
                heapq.nlargest(
                    2,
                    self.preferred_ids(prompt),
                    key=lambda name: _hash(f"{key[0]}/{name}"),
                )
            )
            if len(self._homes_by_prefix) >= MAX_CACHED_HOMES:
                self._homes_by_prefix.clear()
            self._homes_by_prefix[key] = homes
        return homes

    def sample(self, prompt: Prompt, count: int, draw: float) -> set[str]:
        """Return the ids of randomly sampled engines.

        Args:
            prompt: Prompt to be placed.
            count: Size of the sample from the partition of the prompt, and of
                a second one from all engines in case that partition is full.
            draw: Random number, 0 to 1; equal numbers give equal samples.
        """
        generator = random.Random(draw)
        sampled_ids: set[str] = set()
        for upstreams in (
            self._partition_for(prompt).upstreams,
            self._all.upstreams,
        ):
            sample = generator.sample(upstreams, min(count, len(upstreams)))
            sampled_ids.update(u.upstream_id for u in sample)
        return sampled_ids

    def _partition_for(self, prompt: Prompt) -> _Partition:
        if not prompt.prompt_tokens:
            return self._all
        return self._long if is_long(prompt) else self._short


def is_long(prompt: Prompt) -> bool:
    """Whether the prefill of a prompt slows other streams noticeably."""
    return prompt.prompt_tokens > LONG_PROMPT_TOKENS


@functools.lru_cache(maxsize=MAX_CACHED_HASHES)
def _cached_hash(text: str) -> bytes:
    return _hash(text)


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
