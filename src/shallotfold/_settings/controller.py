"""Declare the settings of `shallotfold-controller`."""

import attrs
from attrs import validators

from shallotfold._settings.common import LogSettings
from shallotfold._settings.common import PlatformSettings
from shallotfold._settings.common import StatsdSettings


@attrs.frozen(kw_only=True)
class ControllerSettings:
    """Settings of one controller process.

    Attributes:
        host: Name of this host, unique in the fleet.
        data_centre: Data centre of this host.
        platform: The platform's services.
        lease_ttl_s: Time to live of the lease on this process's duties.
        takeover_wait_s: Wait before the first order of a new holder; longer
            than an order of the former holder can be in flight.
        order_timeout_s: Timeout of an order.
        log: Log format and level.
        statsd: Statsd server that receives the metrics.
    """

    host: str
    data_centre: str
    platform: PlatformSettings
    lease_ttl_s: float = attrs.field(default=6.0, validator=validators.ge(2.0))
    takeover_wait_s: float = attrs.field(
        default=3.0, validator=validators.ge(1.0)
    )
    order_timeout_s: float = attrs.field(
        default=2.0, validator=validators.gt(0.0)
    )
    log: LogSettings = attrs.field(factory=LogSettings)
    statsd: StatsdSettings = attrs.field(factory=StatsdSettings)
