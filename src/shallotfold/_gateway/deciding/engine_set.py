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
# Of more upstreams than this a sample is compared for each request: the best
# of so many is hardly worse than the best of all.
MOST_COMPARED = 96
# And so many of both kinds, for the case that all fitting ones are full.
OTHERS_COMPARED = 16


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

    def compared(self, prompt: Prompt, named: Iterable[str]) -> list[Upstream]:
        """Return the upstreams to compare for a request.

        Args:
            prompt: Its prompt.
            named: Upstreams that must be among them if they are in the set.

        Returns:
            All of a small set, else a sample of fitting engines.
        """
        everyone = self._all.upstreams
        if len(everyone) <= MOST_COMPARED:
            return list(everyone)
        fitting = self._side_of(prompt).upstreams
        sample = random.sample(fitting, min(MOST_COMPARED, len(fitting)))
        sample += random.sample(everyone, OTHERS_COMPARED)
        found = {u.upstream_id: u for u in sample}
        for name in named:
            if name in self.by_id:
                found[name] = self.by_id[name]
        return list(found.values())

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
