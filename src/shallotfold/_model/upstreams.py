"""Define what is observed about hosts and upstreams."""

import enum

import attrs


@attrs.frozen(kw_only=True)
class UpstreamLoad:
    """A load report of one upstream; it may be outdated.

    Attributes:
        running: Number of running requests.
        queued: Number of requests queued in the upstream.
        slots: Number of requests that it runs concurrently.
        tokens_per_s: Output rate over the last second.
        cache_used_ratio: Share of its prefix cache in use, 0 to 1.
        leaving: Whether the upstream reports that it is about to shut down.
    """

    running: int
    queued: int
    slots: int
    tokens_per_s: float = 0.0
    cache_used_ratio: float = 0.0
    leaving: bool = False


class HostRole(enum.Enum):
    """What runs on a host of the platform's host list."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class HostState(enum.Enum):
    """State of a host in the platform's delayed host list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class HostRecord:
    """A row of the platform's delayed host list.

    Attributes:
        name: Unique name of the host; for upstreams the upstream's name.
        role: What runs on the host.
        state: Live or leaving.
        data_centre: Data centre of the host.
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
