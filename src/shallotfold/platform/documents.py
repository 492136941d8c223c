"""Decode the documents that operators and upstreams put into the store."""

import ipaddress

from shallotfold._gateway.core.model import GatewayConfiguration
from shallotfold._gateway.core.model import RequestLimits
from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.core.model import ScalingLimits
from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import SplitShare
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.model import Workspace
from shallotfold._gateway.core.wire_names import HeaderNames
from shallotfold.platform import names
from shallotfold.platform.fields import Fields
from shallotfold.platform.fields import parse_document

_MS_PER_S = 1000.0
# Bounds of what a document may plausibly say.
MAX_DURATION_MS = 7 * 86_400_000.0
MAX_COUNT = 1_000_000
MAX_FACTOR = 1e9
MAX_BYTES = 2**40
MAX_PORT = 65_535
_KIND_BY_NAME = {
    "streaming": RouteKind.STREAM,
    "non_idempotent": RouteKind.ONCE,
    "idempotent": RouteKind.REPEATABLE,
}
_DRAINING_BY_STATE = {"ready": False, "draining": True}


class PlatformDialect:
    """The platform's names and documents, as the gateway's `Dialect`."""

    headers: HeaderNames = names.HEADERS
    configuration_key = names.CONFIGURATION_KEY
    operator_prefix = names.OPERATOR_PREFIX
    evacuations_prefix = names.EVACUATIONS_PREFIX
    upstreams_prefix = names.UPSTREAMS_PREFIX

    def read_configuration(self, document: bytes) -> GatewayConfiguration:
        """Decode a configuration; see `Dialect`."""
        content = parse_document(document)
        version = content.whole_number("Version", minimum=1)
        try:
            return _decode_configuration(version, content)
        except ValueError as error:
            raise ValueError(f"version {version}: {error}") from error

    def read_upstream(self, upstream_id: str, document: bytes) -> Upstream:
        """Decode an upstream's registration; see `Dialect`."""
        if not upstream_id or not upstream_id.isprintable():
            raise ValueError(f"{upstream_id!r} can't be an id")
        content = parse_document(document)
        state = content.text("State")
        if state not in _DRAINING_BY_STATE:
            content.fail("State", f"unknown state {state!r}")
        # Nothing here needs these two, but who leaves them out is no upstream.
        content.text("Version")
        content.whole_number("SequenceNumber")
        ip, port = _decode_address(content)
        return Upstream(
            upstream_id=upstream_id,
            service=content.text("Service"),
            ip=ip,
            port=port,
            data_centre=content.text("Zone"),
            slots=content.whole_number("Slots", minimum=1, maximum=MAX_COUNT),
            draining=_DRAINING_BY_STATE[state],
            cold_remaining_s=content.number(
                "ColdRemainingMs", maximum=MAX_DURATION_MS
            )
            / _MS_PER_S,
            # Start of its process; the store entry itself has it, too.
            started_ms=content.whole_number("born", 0),
            spot=content.flag("SpotCapacity", default=False),
        )


def _decode_address(content: Fields) -> tuple[str, int]:
    address = content.text("Address")
    ip, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError as error:
        raise ValueError(f"Address: {error}") from error
    # `int` also takes signs, spaces and digits of other scripts.
    if not (port.isascii() and port.isdigit() and len(port) <= len("65535")):
        content.fail("Address", f"{address!r} has no port")
    number = int(port)
    if not 1 <= number <= MAX_PORT:
        content.fail("Address", f"port {number} is out of range")
    return ip, number


def _decode_configuration(
    version: int, content: Fields
) -> GatewayConfiguration:
    services_by_name = {
        service.name: service
        for service in map(_decode_service, content.objects("Services"))
    }
    routes = tuple(map(_decode_route, content.objects("Routes")))
    for route in routes:
        for share in route.split:
            if share.service not in services_by_name:
                raise ValueError(
                    f"route {route.name} goes to service {share.service}, "
                    "which isn't defined"
                )
    requires_keys = content.has("Tenants")
    return GatewayConfiguration(
        version=version,
        routes=routes,
        services_by_name=services_by_name,
        workspaces_by_key=(
            _decode_workspaces(content) if requires_keys else {}
        ),
        requires_keys=requires_keys,
        limits=_decode_limits(content.object("Limits")),
    )


def _decode_workspaces(content: Fields) -> dict[str, Workspace]:
    workspace_by_key: dict[str, Workspace] = {}
    for tenant in content.objects("Tenants"):
        workspace = Workspace(
            tenant.text("Name"),
            tenant.whole_number("Priority", maximum=MAX_COUNT)
            if tenant.has("Priority")
            else None,
        )
        for key in tenant.texts("ApiKeys"):
            other = workspace_by_key.setdefault(key, workspace)
            if other.name != workspace.name:
                # Keys are secret, so the message doesn't have it.
                tenant.fail(
                    "ApiKeys", f"{other.name} and {workspace.name} share a key"
                )
    return workspace_by_key


def _decode_route(content: Fields) -> Route:
    path_prefix = content.text("PathPrefix")
    if not (path_prefix.startswith("/") and path_prefix.endswith("/")):
        content.fail("PathPrefix", "expected slashes at both ends")
    kind = content.text("Kind")
    if kind not in _KIND_BY_NAME:
        content.fail("Kind", f"unknown kind {kind!r}")
    timeout_ms = content.number(
        "TimeoutMs", minimum=1.0, maximum=MAX_DURATION_MS
    )
    return Route(
        name=content.text("Name"),
        host=content.text("Host").lower(),
        path_prefix=path_prefix,
        kind=_KIND_BY_NAME[kind],
        timeout_s=timeout_ms / _MS_PER_S,
        target_s=content.number(
            "TargetLatencyMs", timeout_ms, minimum=1.0, maximum=MAX_DURATION_MS
        )
        / _MS_PER_S,
        gap_target_s=content.number("GapTargetMs", 0.0, maximum=MAX_DURATION_MS)
        / _MS_PER_S,
        priority=content.whole_number("Priority", 0, maximum=MAX_COUNT),
        split=_decode_split(content),
        max_attempts=content.whole_number(
            "MaxAttempts", 1, minimum=1, maximum=MAX_COUNT
        ),
        public=content.flag("Public", default=False),
        # Named after sessions, but marks requests that declare a prompt.
        reads_prompt=content.flag("SessionAffinity", default=False),
        resumable=content.flag("StreamResumption", default=False),
    )


def _decode_split(content: Fields) -> tuple[SplitShare, ...]:
    if not content.has("TrafficSplit"):
        return (SplitShare(content.text("Service"), 1.0),)
    split = tuple(
        SplitShare(
            share.text("Service"), share.number("Weight", maximum=MAX_FACTOR)
        )
        for share in content.objects("TrafficSplit")
    )
    if not split:
        return (SplitShare(content.text("Service"), 1.0),)
    if not sum(share.weight for share in split):
        content.fail("TrafficSplit", "all weights are 0")
    return split


def _decode_service(content: Fields) -> Service:
    return Service(
        name=content.text("Name"),
        scaling=_decode_scaling(content.object("Scaling"))
        if content.has("Scaling")
        else None,
        # Applies to each upstream, though it is set on the service.
        connection_limit=content.whole_number(
            "ConnectionLimit", 0, maximum=MAX_COUNT
        ),
    )


def _decode_scaling(content: Fields) -> ScalingLimits:
    minimum = content.whole_number("Minimum", maximum=MAX_COUNT)
    return ScalingLimits(
        minimum=minimum,
        maximum=content.whole_number(
            "Maximum", minimum=minimum, maximum=MAX_COUNT
        ),
        boot_s=content.number("BootTimeS", maximum=MAX_DURATION_MS / _MS_PER_S),
        spot_price_ratio=content.number(
            "SpotPriceRatio", 1.0, maximum=MAX_FACTOR
        ),
        price_by_data_centre=content.numbers_by_name(
            "ZonePrices", maximum=MAX_FACTOR
        ),
    )


def _decode_limits(content: Fields) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        max_header_bytes=content.whole_number(
            "MaxHeaderBytes",
            defaults.max_header_bytes,
            minimum=1,
            maximum=MAX_BYTES,
        ),
        max_body_bytes=content.whole_number(
            "MaxBodyBytes", defaults.max_body_bytes, maximum=MAX_BYTES
        ),
        header_timeout_s=_decode_timeout_s(
            content, "HeaderTimeoutMs", defaults.header_timeout_s
        ),
        idle_timeout_s=_decode_timeout_s(
            content, "IdleTimeoutMs", defaults.idle_timeout_s
        ),
    )


def _decode_timeout_s(content: Fields, name: str, default_s: float) -> float:
    timeout_ms = content.number(
        name, default_s * _MS_PER_S, minimum=1.0, maximum=MAX_DURATION_MS
    )
    return timeout_ms / _MS_PER_S
