"""Define the settings of a gateway process.

All times are in seconds.
"""

from collections.abc import Mapping

import attrs

from shallotfold._settings.addresses import Address

# For platforms that don't name it.
DEFAULT_REGISTRATION_INTERVAL_S = 1.2


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Settings of a gateway process.

    Attributes:
        host: Name of this host.
        data_centre: Data centre that the host is in.
        data_centres: Names of all data centres.
        region_by_data_centre: Region of each data centre.
        ip: IP address of this host.
        caller_address: Address on which callers connect.
        ready_address: Address of the readiness check.
        peer_address: Address on which peers fetch snapshots.
        peer_port: UDP port of heartbeats, the same on all hosts.
        seed_ips: Addresses of a few hosts; they may be stale.
        store_address: Address of the platform's store.
        duties_address: Address for usage reports and orders of upstreams.
        retry_ratio: Retries allowed per request of a service.
        retry_extra: Further retries allowed to all hosts together in each
            window.
        retry_window_s: Length of a retry budget window.
        grace_period_s: Time from SIGTERM to SIGKILL.
        lease_s: How long a duty holder may act without renewing its lease.
        usage_window_s: Length of a usage window.
        usage_lateness_s: Time after the end of a window until its report is
            due.
        is_first_start: Whether the whole fleet starts for the first time.
        registration_interval_s: Time between two registrations of an upstream.
        follows_evacuations: Whether operators may ask that the upstreams of a
            data centre get nothing new.
        controls_load: Whether long prompts are kept apart from short ones, and
            refused while their engines are full.
        memory_limit_mib: Memory that the process may use, in MiB; `None`: not
            known, the smallest hosts' 160 MiB are assumed.
    """

    host: str
    data_centre: str
    data_centres: tuple[str, ...]
    ip: str
    caller_address: Address
    ready_address: Address
    peer_address: Address
    peer_port: int
    seed_ips: tuple[str, ...]
    store_address: Address
    duties_address: Address
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    grace_period_s: float
    lease_s: float
    usage_window_s: float
    usage_lateness_s: float
    region_by_data_centre: Mapping[str, str] = attrs.field(factory=dict)
    registration_interval_s: float = DEFAULT_REGISTRATION_INTERVAL_S
    is_first_start: bool = False
    follows_evacuations: bool = False
    controls_load: bool = False
    memory_limit_mib: int | None = None
