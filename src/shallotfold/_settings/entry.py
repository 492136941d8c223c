"""Declare the settings of `shallotfold-entry`."""

from collections.abc import Mapping

import attrs
from attrs import validators

from shallotfold._settings.addresses import Address
from shallotfold._settings.common import LogSettings
from shallotfold._settings.common import PlatformSettings
from shallotfold._settings.common import StatsdSettings

_POSITIVE = validators.gt(0)
_POSITIVE_S = validators.gt(0.0)


@attrs.frozen(kw_only=True)
class CallerSettings:
    """Limits on the requests and connections of callers.

    Attributes:
        max_body_bytes: Largest request body.
        max_header_bytes: Largest single header, and longest request line.
        max_nesting: Deepest nesting of a JSON body.
        max_held_bytes: Total size of request bodies held in memory; requests
            beyond it are refused as overload.
        write_timeout_s: A caller that reads no byte for this long counts as
            disconnected.
    """

    max_body_bytes: int = attrs.field(
        default=8 * 1024 * 1024, validator=_POSITIVE
    )
    max_header_bytes: int = attrs.field(default=16 * 1024, validator=_POSITIVE)
    max_nesting: int = attrs.field(default=64, validator=_POSITIVE)
    max_held_bytes: int = attrs.field(
        default=64 * 1024 * 1024, validator=_POSITIVE
    )
    write_timeout_s: float = attrs.field(default=60.0, validator=_POSITIVE_S)


@attrs.frozen(kw_only=True)
class AttemptSettings:
    """Limits on one attempt at an upstream.

    Attributes:
        connect_timeout_s: Timeout for connecting to an upstream.
        idle_timeout_s: Longest time without a byte from an upstream.
        keepalive_s: How long an idle connection is kept open.
        max_answer_bytes: Largest response that is buffered whole, and largest
            single event of a stream.
    """

    connect_timeout_s: float = attrs.field(default=1.0, validator=_POSITIVE_S)
    idle_timeout_s: float = attrs.field(default=60.0, validator=_POSITIVE_S)
    keepalive_s: float = attrs.field(default=15.0, validator=_POSITIVE_S)
    max_answer_bytes: int = attrs.field(
        default=8 * 1024 * 1024, validator=_POSITIVE
    )


@attrs.frozen(kw_only=True)
class OperatorPortSettings:
    """Port on which operators query an entry.

    Attributes:
        address: Address of the operator port.
        key_sha256: Hexadecimal SHA-256 digest of the operator key; the port
            is not opened if it is empty.
    """

    address: Address = attrs.field(factory=lambda: Address("127.0.0.1", 0))
    key_sha256: str = ""


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of one entry.

    Attributes:
        host: Name of this host, unique in the fleet.
        data_centre: Data centre of this host.
        caller_address: Address that callers connect to.
        peer_address: Address of the peer port; `None` for a single entry.
        fleet_secret: Secret shared by all entries.
        credentials: Secrets for the upstreams by credential name.
        platform: The platform's services; `None` to run without them.
        configuration_file: Configuration document to start from, for running
            without a store; empty for none.
        shutdown_linger_s: How long a drained entry keeps listening after the
            signal, so that the load balancer sees that it is not ready.
        shutdown_timeout_s: Longest duration of a graceful shutdown.
        callers: Limits on callers.
        attempts: Limits on attempts.
        operator: Operator port.
        log: Log format and level.
        statsd: Statsd server that receives the metrics.
    """

    host: str
    data_centre: str
    caller_address: Address
    peer_address: Address | None = None
    fleet_secret: str = attrs.field(default="", repr=False)
    credentials: Mapping[str, str] = attrs.field(factory=dict, repr=False)
    platform: PlatformSettings | None = None
    configuration_file: str = ""
    shutdown_linger_s: float = attrs.field(
        default=1.0, validator=validators.ge(0.0)
    )
    shutdown_timeout_s: float = attrs.field(
        default=120.0, validator=_POSITIVE_S
    )
    callers: CallerSettings = attrs.field(factory=CallerSettings)
    attempts: AttemptSettings = attrs.field(factory=AttemptSettings)
    operator: OperatorPortSettings = attrs.field(factory=OperatorPortSettings)
    log: LogSettings = attrs.field(factory=LogSettings)
    statsd: StatsdSettings = attrs.field(factory=StatsdSettings)
