"""Estimate which prompt prefixes upstreams have in their caches."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

MAX_PREFIXES_PER_UPSTREAM = 2000


@attrs.define(kw_only=True)
class PrefixIndex:
    """LRU index of prefix digests by upstream.

    Cache events arrive late and with gaps, so grants are recorded as well: an
    upstream that gets a prompt will soon cache its prefixes.

    Attributes:
        digests_by_upstream: Digests assumed to be cached.
    """

    digests_by_upstream: dict[str, collections.OrderedDict[str, None]] = (
        attrs.field(factory=dict)
    )

    def add(self, upstream: str, digests: Iterable[str]) -> None:
        """Record prefixes that an upstream caches."""
        cached = self.digests_by_upstream.setdefault(
            upstream, collections.OrderedDict()
        )
        for digest in digests:
            cached[digest] = None
            cached.move_to_end(digest)
        while len(cached) > MAX_PREFIXES_PER_UPSTREAM:
            cached.popitem(last=False)

    def remove(self, upstream: str, digests: Iterable[str]) -> None:
        """Record prefixes that an upstream evicted."""
        cached = self.digests_by_upstream.get(upstream)
        if cached is not None:
            for digest in digests:
                cached.pop(digest, None)

    def replace(self, upstream: str, digests: Iterable[str]) -> None:
        """Replace all recorded prefixes of an upstream."""
        self.digests_by_upstream.pop(upstream, None)
        self.add(upstream, digests)

    def hit_ratio(self, upstream: str, digests: Sequence[str]) -> float:
        """Return the share of a prompt that an upstream caches, 0 to 1."""
        cached = self.digests_by_upstream.get(upstream)
        if not cached or not digests:
            return 0.0
        for index in range(len(digests) - 1, -1, -1):
            if digests[index] in cached:
                return (index + 1) / len(digests)
        return 0.0
