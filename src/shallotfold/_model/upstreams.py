"""Describe what is observed about hosts and upstreams."""

import enum

import attrs


@attrs.frozen(kw_only=True)
class UpstreamLoad:
    """A load report of one upstream; it lags behind the truth.

    Attributes:
        running: Requests being run.
        queued: Requests waiting inside the upstream.
        slots: Requests that it runs at once.
        tokens_per_s: Output rate over the last second.
        cache_used_ratio: Share of its prefix cache in use, 0 to 1.
        leaving: Whether the upstream says that it is about to go.
    """

    running: int
    queued: int
    slots: int
    tokens_per_s: float = 0.0
    cache_used_ratio: float = 0.0
    leaving: bool = False


class HostRole(enum.Enum):
    """What runs on a host of the platform's list."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class HostState(enum.Enum):
    """State of a host in the platform's lagging list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class HostRecord:
    """One row of the platform's lagging host list.

    Attributes:
        name: Unique name of the host; for upstreams the upstream's name.
        role: What runs there.
        state: Live or leaving.
        data_centre: Where it runs.
        address: `IP:PORT` of the peer port for entries; base URL for
            upstreams.
        offer: Name of the offer it was ordered under; empty if declared.
    """

    name: str
    role: HostRole
    state: HostState
    data_centre: str
    address: str
    offer: str = ""
