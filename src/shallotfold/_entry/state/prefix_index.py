"""Know roughly which prompt prefixes upstreams hold in their caches."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

MAX_PREFIXES_PER_UPSTREAM = 2000


@attrs.define(kw_only=True)
class PrefixIndex:
    """Digests by upstream, the least recently used forgotten first.

    Published events come late and with gaps, so grants count as well: an
    upstream that was given a prompt will soon hold its prefixes.

    Attributes:
        digests_by_upstream: Digests believed to be held.
    """

    digests_by_upstream: dict[str, collections.OrderedDict[str, None]] = (
        attrs.field(factory=dict)
    )

    def hold(self, upstream: str, digests: Iterable[str]) -> None:
        """Note that an upstream holds prefixes."""
        held = self.digests_by_upstream.setdefault(
            upstream, collections.OrderedDict()
        )
        for digest in digests:
            held[digest] = None
            held.move_to_end(digest)
        while len(held) > MAX_PREFIXES_PER_UPSTREAM:
            held.popitem(last=False)

    def drop(self, upstream: str, digests: Iterable[str]) -> None:
        """Note that an upstream dropped prefixes."""
        held = self.digests_by_upstream.get(upstream)
        if held is not None:
            for digest in digests:
                held.pop(digest, None)

    def replace(self, upstream: str, digests: Iterable[str]) -> None:
        """Take over the whole content of a cache."""
        self.digests_by_upstream.pop(upstream, None)
        self.hold(upstream, digests)

    def hit_ratio(self, upstream: str, digests: Sequence[str]) -> float:
        """Return which part of a prompt an upstream holds, 0 to 1."""
        held = self.digests_by_upstream.get(upstream)
        if not held or not digests:
            return 0.0
        for index in range(len(digests) - 1, -1, -1):
            if digests[index] in held:
                return (index + 1) / len(digests)
        return 0.0
