"""Declare the settings that several binaries share."""

import attrs
from attrs import validators

from shallotfold._settings.addresses import Address


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Base URLs of the platform's services, each `http://IP:PORT`.

    Attributes:
        store_url: Key-value service.
        hosts_url: Host list.
        orders_url: Upstream orders.
        usage_url: Usage reports.
    """

    store_url: str
    hosts_url: str
    orders_url: str
    usage_url: str


@attrs.frozen(kw_only=True)
class LogSettings:
    """How the process logs to standard error.

    Attributes:
        format: `text`, or `json` with one line per record.
        level: Least severe level that is logged.
    """

    format: str = attrs.field(
        default="text", validator=validators.in_(("text", "json"))
    )
    level: str = attrs.field(
        default="INFO",
        validator=validators.in_(("DEBUG", "INFO", "WARNING", "ERROR")),
    )


@attrs.frozen(kw_only=True)
class StatsdSettings:
    """Settings of the statsd client.

    Attributes:
        address: UDP address of the statsd server.
        prefix: First part of every metric name.
    """

    address: Address = attrs.field(factory=lambda: Address("127.0.0.1", 8125))
    prefix: str = "shallotfold"
