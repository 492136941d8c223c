"""Divide a host's descriptors between callers and upstreams."""

import resource

import attrs

# Files, listening sockets and pipes; the platform counts them apart from
# connections.
OTHER_DESCRIPTORS = 200
CALLER_SHARE = 3 / 4
# The rest serves the store, peers and connections that are about to be closed.
UPSTREAM_SHARE = 3 / 16


@attrs.frozen
class DescriptorShares:
    """How many connections a host may have open.

    Attributes:
        callers: Connections of callers; `None`: any number.
        upstreams: Connections to upstreams, with those that are being opened
            and idle ones; `None`: any number.
    """

    callers: int | None
    upstreams: int | None


def divide_descriptors(limit: int) -> DescriptorShares:
    """Return the shares of a process.

    Args:
        limit: Descriptors that it may open, or `RLIM_INFINITY`.
    """
    if limit == resource.RLIM_INFINITY:
        return DescriptorShares(None, None)
    connections = max(limit // 2, limit - OTHER_DESCRIPTORS)
    return DescriptorShares(
        callers=max(1, int(connections * CALLER_SHARE)),
        upstreams=max(1, int(connections * UPSTREAM_SHARE)),
    )
