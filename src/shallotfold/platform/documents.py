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
from shallotfold.platform.configuration_checks import DeclaredConfiguration
from shallotfold.platform.configuration_checks import find_errors
from shallotfold.platform.fields import Fields
from shallotfold.platform.fields import parse_document

_MS_PER_S = 1000.0
# Bounds of what a document may plausibly say.
MAX_DURATION_MS = 7 * 86_400_000.0
MAX_COUNT = 1_000_000
MAX_FACTOR = 1e9
MAX_BYTES = 2**40
MAX_PORT = 65_535
# Errors in the message about a refused configuration, which becomes a log line.
MAX_SHOWN_ERRORS = 3
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
        """Decode a configuration without errors; see `Dialect`."""
        declared = decode_configuration(document)
        _raise_errors(declared)
        return declared.configuration

    def read_upstream(self, upstream_id: str, document: bytes) -> Upstream:
        """Decode an upstream's registration; see `Dialect`."""
        if not upstream_id or not upstream_id.isprintable():
            raise ValueError(f"{upstream_id!r} can't be an id")
        content = parse_document(document)
        state = content.text("State")
        if state not in _DRAINING_BY_STATE:
            content.fail("State", f"unknown state {state!r}")
        # Nothing here needs it, but who leaves it out is no upstream.
        content.text("Version")
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
            sequence=content.whole_number("SequenceNumber"),
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


def decode_configuration(document: bytes) -> DeclaredConfiguration:
    """Decode a configuration without checking how its parts fit together.

    Raises:
        ValueError: A field is missing or has another type or range.
    """
    content = parse_document(document)
    version = content.whole_number("Version", minimum=1)
    try:
        return _decode_configuration(version, content)
    except ValueError as error:
        raise ValueError(f"version {version}: {error}") from error


def _decode_configuration(
    version: int, content: Fields
) -> DeclaredConfiguration:
    services = tuple(map(_decode_service, content.objects("Services")))
    requires_keys = content.has("Tenants")
    tenants = content.objects("Tenants") if requires_keys else []
    workspaces = tuple(map(_decode_workspace, tenants))
    keys_of_workspaces = tuple(tenant.secrets("ApiKeys") for tenant in tenants)
    workspace_by_key: dict[str, Workspace] = {}
    for workspace, keys in zip(workspaces, keys_of_workspaces, strict=True):
        for key in keys:
            workspace_by_key.setdefault(key, workspace)
    return DeclaredConfiguration(
        configuration=GatewayConfiguration(
            version=version,
            routes=tuple(map(_decode_route, content.objects("Routes"))),
            services_by_name={service.name: service for service in services},
            workspaces_by_key=workspace_by_key,
            requires_keys=requires_keys,
            limits=_decode_limits(content.object("Limits")),
        ),
        services=services,
        workspaces=workspaces,
        keys_of_workspaces=keys_of_workspaces,
        document=content.value_by_name,
    )


def _decode_workspace(tenant: Fields) -> Workspace:
    return Workspace(
        tenant.text("Name"),
        tenant.whole_number("Priority", maximum=MAX_COUNT)
        if tenant.has("Priority")
        else None,
        _decode_regions(tenant),
    )


def _raise_errors(declared: DeclaredConfiguration) -> None:
    errors = find_errors(declared)
    if not errors:
        return
    shown = [f"{e.place}: {e.text}" for e in errors[:MAX_SHOWN_ERRORS]]
    if len(errors) > len(shown):
        shown.append(f"{len(errors) - len(shown)} more errors")
    version = declared.configuration.version
    raise ValueError(f"version {version}: {'; '.join(shown)}")


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
        allowed_regions=_decode_regions(content),
    )


def _decode_regions(content: Fields) -> frozenset[str] | None:
    if not content.has("AllowedRegions"):
        return None
    return frozenset(content.texts("AllowedRegions"))


def _decode_split(content: Fields) -> tuple[SplitShare, ...]:
    if not content.has("TrafficSplit"):
        return (SplitShare(content.text("Service"), 1.0),)
    split = tuple(
        SplitShare(
            share.text("Service"), share.number("Weight", maximum=MAX_FACTOR)
        )
        for share in content.objects("TrafficSplit")
    )
    return split or (SplitShare(content.text("Service"), 1.0),)


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
        cold_rate_per_s=content.number("ColdPerS", 0.0, maximum=MAX_FACTOR),
        cold_start_s=content.number(
            "ColdStartS", 0.0, maximum=MAX_DURATION_MS / _MS_PER_S
        ),
    )


def _decode_scaling(content: Fields) -> ScalingLimits:
    return ScalingLimits(
        minimum=content.whole_number("Minimum", maximum=MAX_COUNT),
        maximum=content.whole_number("Maximum", maximum=MAX_COUNT),
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
