"""Arrange the upstreams of a service once for many requests."""

from collections.abc import Iterable
from collections.abc import Mapping
import functools
import hashlib
import heapq
import random

import attrs

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import Upstream

# A prompt with more unread tokens than this slows every stream beside it for
# several steps of the engine; such prompts keep to engines of their own.
LONG_PROMPT_TOKENS = 4_096
LONG_PROMPT_ENGINE_SHARE = 0.6
# Fewer engines than this are shared by all prompts.
FEWEST_DIVIDED_ENGINES = 4
# Homes of so many prefixes are remembered.
HOMES_KEPT = 4_096
DIGESTS_KEPT = 16_384


@attrs.frozen
class _Side:
    upstreams: tuple[Upstream, ...]
    ids: frozenset[str]

    @classmethod
    def of(cls, upstreams: Iterable[Upstream]) -> "_Side":
        listed = tuple(upstreams)
        return cls(listed, frozenset(u.upstream_id for u in listed))


@attrs.define(eq=False)
class EngineSet:
    """The upstreams of one service that may get new requests.

    Attributes:
        by_id: The upstreams.
    """

    by_id: Mapping[str, Upstream]
    _all: _Side = attrs.field(init=False)
    _long: _Side = attrs.field(init=False)
    _short: _Side = attrs.field(init=False)
    _homes_by_prefix: dict[tuple[str, bool], tuple[str, ...]] = attrs.field(
        init=False, factory=dict
    )

    def __attrs_post_init__(self) -> None:
        """Divide the engines between long and other prompts.

        Every host divides them alike, by a hash of their ids, so that few
        engines change sides when others come and go.
        """
        ranked = sorted(
            self.by_id.values(), key=lambda u: _digest(u.upstream_id)
        )
        self._all = _Side.of(ranked)
        if len(ranked) < FEWEST_DIVIDED_ENGINES:
            self._long = self._short = self._all
        else:
            border = round(len(ranked) * LONG_PROMPT_ENGINE_SHARE)
            self._long = _Side.of(ranked[:border])
            self._short = _Side.of(ranked[border:])

    @classmethod
    def of(cls, upstreams: Iterable[Upstream]) -> "EngineSet":
        """Return the set of some upstreams."""
        return cls({u.upstream_id: u for u in upstreams})

    def fitting_ids(self, prompt: Prompt) -> frozenset[str]:
        """Return the engines that are meant for prompts of this length."""
        return self._side_of(prompt).ids

    def homes_of(self, prompt: Prompt) -> tuple[str, ...]:
        """Return the fitting engines that hashing ranks first for a prefix.

        Returns:
            At most two ids, best first.
        """
        key = (prompt.shared_key, _is_long(prompt))
        homes = self._homes_by_prefix.get(key)
        if homes is None:
            homes = tuple(
                heapq.nlargest(
                    2,
                    self.fitting_ids(prompt),
                    key=lambda name: _rank(f"{key[0]}/{name}"),
                )
            )
            if len(self._homes_by_prefix) >= HOMES_KEPT:
                self._homes_by_prefix.clear()
            self._homes_by_prefix[key] = homes
        return homes

    def sample(self, prompt: Prompt, count: int, draw: float) -> set[str]:
        """Return the ids of drawn engines.

        Args:
            prompt: What they are for.
            count: How many to draw of those that are meant for it, and how
                many of all, for the case that the former are full.
            draw: Random number, 0 to 1; the same one draws the same engines.
        """
        chance = random.Random(draw)
        found: set[str] = set()
        for upstreams in (self._side_of(prompt).upstreams, self._all.upstreams):
            drawn = chance.sample(upstreams, min(count, len(upstreams)))
            found.update(u.upstream_id for u in drawn)
        return found

    def _side_of(self, prompt: Prompt) -> _Side:
        if not prompt.prompt_tokens:
            return self._all
        return self._long if _is_long(prompt) else self._short


def _is_long(prompt: Prompt) -> bool:
    return prompt.prompt_tokens > LONG_PROMPT_TOKENS


@functools.lru_cache(maxsize=DIGESTS_KEPT)
def _digest(text: str) -> bytes:
    return _rank(text)


def _rank(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
