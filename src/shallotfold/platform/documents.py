"""Decode the documents that operators and upstreams put into the store."""

import json
from typing import Any

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

_MS_PER_S = 1000.0
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
    upstreams_prefix = names.UPSTREAMS_PREFIX

    def read_configuration(self, document: bytes) -> GatewayConfiguration:
        """Decode a configuration; see `Dialect`."""
        try:
            content = json.loads(document)
            tenants = content.get("Tenants", ())
            return GatewayConfiguration(
                version=int(content["Version"]),
                routes=tuple(_decode_route(r) for r in content["Routes"]),
                services_by_name={
                    s["Name"]: _decode_service(s) for s in content["Services"]
                },
                workspaces_by_key={
                    key: Workspace(t["Name"], t.get("Priority"))
                    for t in tenants
                    for key in t["ApiKeys"]
                },
                requires_keys="Tenants" in content,
                limits=_decode_limits(content.get("Limits", {})),
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(
                f"configuration has a missing or invalid field: {error}"
            ) from error

    def read_upstream(self, upstream_id: str, document: bytes) -> Upstream:
        """Decode an upstream's registration; see `Dialect`."""
        try:
            content = json.loads(document)
            ip, _, port = content["Address"].rpartition(":")
            return Upstream(
                upstream_id=upstream_id,
                service=_require_text(content["Service"]),
                ip=ip,
                port=int(port),
                data_centre=_require_text(content.get("Zone", "")),
                slots=int(content.get("Slots", 0)),
                draining=_DRAINING_BY_STATE[content["State"]],
                cold_remaining_s=float(content.get("ColdRemainingMs", 0))
                / _MS_PER_S,
                # Start of its process; the store entry itself has it, too.
                started_ms=int(content.get("born", 0)),
                spot=bool(content.get("SpotCapacity", False)),
            )
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(
                f"registration has a missing or invalid field: {error}"
            ) from error


def _require_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected text, not {value!r}")
    return value


def _decode_route(content: Any) -> Route:
    split = content.get("TrafficSplit") or [
        {"Service": content["Service"], "Weight": 1}
    ]
    return Route(
        name=content["Name"],
        host=content["Host"].lower(),
        path_prefix=content["PathPrefix"],
        kind=_KIND_BY_NAME[content["Kind"]],
        timeout_s=content["TimeoutMs"] / _MS_PER_S,
        target_s=content.get("TargetLatencyMs", content["TimeoutMs"])
        / _MS_PER_S,
        gap_target_s=content.get("GapTargetMs", 0) / _MS_PER_S,
        priority=content.get("Priority", 0),
        split=tuple(SplitShare(s["Service"], s["Weight"]) for s in split),
        max_attempts=content.get("MaxAttempts", 1),
        public=content.get("Public", False),
        # Named after sessions, but marks requests that declare a prompt.
        reads_prompt=content.get("SessionAffinity", False),
        resumable=content.get("StreamResumption", False),
    )


def _decode_service(content: Any) -> Service:
    scaling = content.get("Scaling")
    return Service(
        name=content["Name"],
        scaling=None
        if scaling is None
        else ScalingLimits(
            minimum=scaling["Minimum"],
            maximum=scaling["Maximum"],
            boot_s=scaling["BootTimeS"],
            spot_price_ratio=scaling.get("SpotPriceRatio", 1.0),
            price_by_data_centre=scaling.get("ZonePrices", {}),
        ),
        # Applies to each upstream, though it is set on the service.
        connection_limit=content.get("ConnectionLimit") or 0,
    )


def _decode_limits(content: Any) -> RequestLimits:
    defaults = RequestLimits()
    header_ms = content.get("HeaderTimeoutMs")
    idle_ms = content.get("IdleTimeoutMs")
    return RequestLimits(
        max_header_bytes=content.get(
            "MaxHeaderBytes", defaults.max_header_bytes
        ),
        max_body_bytes=content.get("MaxBodyBytes", defaults.max_body_bytes),
        header_timeout_s=header_ms / _MS_PER_S
        if header_ms
        else defaults.header_timeout_s,
        idle_timeout_s=idle_ms / _MS_PER_S
        if idle_ms
        else defaults.idle_timeout_s,
    )
