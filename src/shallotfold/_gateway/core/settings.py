"""Declare the settings of a gateway process.

All times are in seconds.
"""

import attrs

from shallotfold._settings.addresses import Address


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """What a process needs to know when it starts.

    Attributes:
        host: Name of this host.
        data_centre: Where it runs.
        data_centres: All data centres.
        ip: Its address.
        caller_address: Where callers connect.
        ready_address: Where readiness is asked for.
        peer_address: Where peers fetch what they lack.
        peer_port: UDP port of the peers' datagrams, equal on all hosts.
        seed_ips: Addresses of a few hosts, maybe stale.
        store_address: The platform's store.
        duties_address: Where usage is reported and upstreams are ordered.
        retry_ratio: Second sends allowed for each request of a service.
        retry_extra: Second sends allowed besides, in each window.
        retry_window_s: Length of that window.
        grace_period_s: Time from SIGTERM to SIGKILL.
        lease_s: How long a holder of duties may act without renewal.
        usage_window_s: Length of a usage window.
        usage_lateness_s: A window is due this long after its end.
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
