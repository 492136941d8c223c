"""Declare the settings of `shallotfold-standin`."""

import attrs
from attrs import validators

from shallotfold._settings.addresses import Address
from shallotfold._settings.common import LogSettings


@attrs.frozen(kw_only=True)
class SpareEngine:
    """A running engine that an order may put into service.

    Attributes:
        data_centre: Where it runs.
        offer: Name of the offer under which it can be ordered.
        url: Base URL, `http://IP:PORT`.
    """

    data_centre: str
    offer: str
    url: str


@attrs.frozen(kw_only=True)
class ListedHost:
    """A host that is on the host list from the start.

    Attributes:
        name: Name of the host.
        role: `entry` or `upstream`.
        data_centre: Where it runs.
        address: `IP:PORT` of an entry's peer port, or an upstream's URL.
    """

    name: str
    role: str = attrs.field(validator=validators.in_(("entry", "upstream")))
    data_centre: str
    address: str


@attrs.frozen(kw_only=True)
class PlatformStandinSettings:
    """Settings of `shallotfold-standin platform`.

    Attributes:
        host: Name for the logs.
        data_centre: Data centre for the logs.
        address: Address to serve on; port 0 for any free one.
        data_centres: Data centres that accept orders.
        unfenced_data_centres: Those that ignore fencing tokens.
        hosts: Hosts on the host list from the start.
        spare_engines: Engines that orders may put into service.
        host_list_lag_s: Age of the host list that clients get.
        start_s: Time from a start order until its engine is on the list.
        log: Log format and level.
    """

    host: str = "platform"
    data_centre: str = ""
    address: Address
    data_centres: tuple[str, ...] = ()
    unfenced_data_centres: tuple[str, ...] = ()
    hosts: tuple[ListedHost, ...] = ()
    spare_engines: tuple[SpareEngine, ...] = ()
    host_list_lag_s: float = 1.0
    start_s: float = 1.0
    log: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen(kw_only=True)
class EngineSettings:
    """Settings of one simulated model engine.

    Attributes:
        name: Name of the upstream.
        address: Address to serve on; port 0 for any free one.
        slots: Number of requests that it runs concurrently.
        tokens_per_s: Output rate of the whole engine with all slots in use.
        prefill_tokens_per_s: Prefill rate of uncached input tokens.
        max_queued: Largest number of queued requests; more are refused.
        load_lag_s: Age of the load report.
        cache_lag_s: Age at which cache events are published.
        cache_gap_every: Every N-th cache event is never published; 0: none.
        cached_prefixes: Capacity of the cache in prefixes.
        checks_fencing: Whether orders with an old fencing token are refused.
        credential: Credential that callers must present; empty for none.
        secret_marker: Requests that contain this text are counted.
    """

    name: str
    address: Address
    slots: int = 8
    tokens_per_s: float = 400.0
    prefill_tokens_per_s: float = 20_000.0
    max_queued: int = 16
    load_lag_s: float = 1.0
    cache_lag_s: float = 1.0
    cache_gap_every: int = 7
    cached_prefixes: int = 256
    checks_fencing: bool = True
    credential: str = ""
    secret_marker: str = ""


@attrs.frozen(kw_only=True)
class EngineStandinSettings:
    """Settings of `shallotfold-standin engine`.

    Attributes:
        host: Name for the logs.
        data_centre: Data centre for the logs.
        engines: Engines that this process simulates.
        log: Log format and level.
    """

    host: str = "engine"
    data_centre: str = ""
    engines: tuple[EngineSettings, ...]
    log: LogSettings = attrs.field(factory=LogSettings)


@attrs.frozen(kw_only=True)
class ServiceSettings:
    """Settings of one simulated plain service.

    Attributes:
        name: Name of the upstream.
        address: Address to serve on; port 0 for any free one.
        delay_s: Duration of each run.
        slots: Number of slots in its load report.
        credential: Credential that callers must present; empty for none.
        secret_marker: Requests that contain this text are counted.
    """

    name: str
    address: Address
    delay_s: float = 0.0
    slots: int = 16
    credential: str = ""
    secret_marker: str = ""


@attrs.frozen(kw_only=True)
class ServiceStandinSettings:
    """Settings of `shallotfold-standin service`.

    Attributes:
        host: Name for the logs.
        data_centre: Data centre for the logs.
        services: Services that this process simulates.
        log: Log format and level.
    """

    host: str = "service"
    data_centre: str = ""
    services: tuple[ServiceSettings, ...]
    log: LogSettings = attrs.field(factory=LogSettings)
