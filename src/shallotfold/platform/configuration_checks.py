"""Check a configuration for contradictions and for parts without effect.

The readers refuse a configuration with errors. Warnings are for operators
only: a running fleet must go on taking a configuration that is merely odd.
Places are paths in the platform's document.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import re
from typing import Any

import attrs

from shallotfold._gateway.core.model import GatewayConfiguration
from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Workspace
from shallotfold.platform import names

_MS_PER_S = 1000.0
# Decoded times are quotients of milliseconds.
_ROUNDING = 1.0 + 1e-9
# Characters of a path as it is sent, without the query.
_PATH_PREFIX = re.compile(r"[!-\"$->@-~]+")
# Requests are routed by the host name without the port.
_HOST = re.compile(r"[a-z0-9._~-]+|\[[0-9a-f:.]+\]")
_MAX_LATIN_1 = "\xff"


class Severity(enum.Enum):
    """What a finding means for a configuration."""

    ERROR = "error"
    """Hosts refuse or ignore the configuration."""
    WARNING = "warning"
    """Hosts take it, but a part has no effect or contradicts another."""
    INFORMATION = "information"
    """Probably intended; doesn't count as a finding in the exit status."""


@attrs.frozen
class Finding:
    """One fault or oddity of a configuration.

    Attributes:
        severity: What it means.
        place: Dotted path in the document; empty for all of it.
        text: What was found, without any key.
        remedy: How to correct it, as an imperative sentence.
    """

    severity: Severity
    place: str
    text: str
    remedy: str

    def __str__(self) -> str:
        """Format the finding as one line."""
        place = f"{self.place}: " if self.place else ""
        return f"{self.severity.value}: {place}{self.text}. {self.remedy}"


@attrs.frozen(kw_only=True)
class DeclaredConfiguration:
    """A decoded configuration with what its maps by name and key leave out.

    Attributes:
        configuration: As hosts use it. Of services with the same name it has
            the last one; a key of several workspaces belongs to the first.
        services: All services, in the order of the document.
        workspaces: All workspaces, in the order of the document.
        keys_of_workspaces: The keys of each of them.
        document: The document itself.
    """

    configuration: GatewayConfiguration
    services: tuple[Service, ...]
    workspaces: tuple[Workspace, ...]
    keys_of_workspaces: tuple[Sequence[str], ...]
    document: Mapping[str, Any]


def find_errors(declared: DeclaredConfiguration) -> tuple[Finding, ...]:
    """Return the findings for which hosts refuse a configuration."""
    return _run(_ERROR_CHECKS, declared)


def check_configuration(
    declared: DeclaredConfiguration,
) -> tuple[Finding, ...]:
    """Return all findings, errors first."""
    return find_errors(declared) + _run(_OTHER_CHECKS, declared)


def check_version(
    version: int, version_in_force: int, *, is_changed: bool
) -> tuple[Finding, ...]:
    """Check that hosts will take a version instead of the one in force.

    Args:
        version: Version of the configuration that is to be sent.
        version_in_force: Version that hosts have.
        is_changed: Whether the two configurations differ otherwise.
    """
    if version > version_in_force:
        return ()
    if version == version_in_force and not is_changed:
        # It is the configuration in force.
        return ()
    return (
        Finding(
            Severity.ERROR,
            "Version",
            f"{version} is not higher than {version_in_force}, the version "
            "in force, so hosts ignore it",
            f"Use version {version_in_force + 1} or a higher one.",
        ),
    )


_Check = Callable[[DeclaredConfiguration], Iterator[Finding]]


def _run(
    checks: Iterable[_Check], declared: DeclaredConfiguration
) -> tuple[Finding, ...]:
    return tuple(finding for check in checks for finding in check(declared))


def _error(place: str, text: str, remedy: str) -> Finding:
    return Finding(Severity.ERROR, place, text, remedy)


def _warning(place: str, text: str, remedy: str) -> Finding:
    return Finding(Severity.WARNING, place, text, remedy)


def _check_route_names(declared: DeclaredConfiguration) -> Iterator[Finding]:
    routes = declared.configuration.routes
    if not routes:
        yield _error(
            "Routes", "no routes, so no request matches", "Add a route."
        )
    for number, first, name in _repeated(route.name for route in routes):
        yield _error(
            f"Routes.{number}.Name",
            f"{name} is also the name of Routes.{first}",
            "Rename one of the routes.",
        )


def _check_services_of_routes(
    declared: DeclaredConfiguration,
) -> Iterator[Finding]:
    configuration = declared.configuration
    for number, route in enumerate(configuration.routes):
        for place, service in _services_of(number, route):
            if service not in configuration.services_by_name:
                yield _error(
                    place,
                    f"route {route.name} goes to service {service}, which "
                    "isn't defined",
                    "Define the service or correct the name.",
                )
        if not sum(share.weight for share in route.split):
            yield _error(
                f"Routes.{number}.TrafficSplit",
                f"all weights of route {route.name} are 0",
                "Give one service a weight above 0.",
            )


def _check_scaling_bounds(
    declared: DeclaredConfiguration,
) -> Iterator[Finding]:
    for number, service in enumerate(declared.services):
        scaling = service.scaling
        if scaling is not None and scaling.minimum > scaling.maximum:
            yield _error(
                f"Services.{number}.Scaling.Minimum",
                f"{scaling.minimum} of service {service.name} is above its "
                f"Maximum of {scaling.maximum}",
                "Lower Minimum or raise Maximum.",
            )


def _check_shared_keys(declared: DeclaredConfiguration) -> Iterator[Finding]:
    key_count = sum(map(len, declared.keys_of_workspaces))
    owner_by_key = declared.configuration.workspaces_by_key
    if len(owner_by_key) == key_count:
        # No key is there twice. Hosts read thousands of workspaces in their
        # event loop.
        return
    for number, (workspace, keys) in enumerate(_workspaces_of(declared)):
        name = workspace.name
        # Keys are secret, so no finding has one.
        owners = {owner_by_key[key].name for key in keys}
        for owner in sorted(owners - {name}):
            yield _error(
                f"Tenants.{number}.ApiKeys",
                f"{owner} and {name} share a key",
                "Create a separate key for each.",
            )


def _check_matching(declared: DeclaredConfiguration) -> Iterator[Finding]:
    routes = declared.configuration.routes
    last_by_match = {(r.host, r.path_prefix): r for r in routes}
    for number, route in enumerate(routes):
        last = last_by_match[route.host, route.path_prefix]
        if last is not route:
            yield _warning(
                f"Routes.{number}",
                f"route {route.name} never matches, since the later route "
                f"{last.name} has the same host and prefix",
                "Remove one of the routes or change its prefix.",
            )
        if not _HOST.fullmatch(route.host):
            yield _warning(
                f"Routes.{number}.Host",
                f"route {route.name} never matches: {route.host!r} is no host "
                "name without port and wildcard",
                "Give one host name; add a route for each further one.",
            )
        if not _PATH_PREFIX.fullmatch(route.path_prefix):
            yield _warning(
                f"Routes.{number}.PathPrefix",
                f"route {route.name} never matches: {route.path_prefix!r} has "
                "characters that no path has when it is sent",
                "Write them in percent-encoding and leave a query out.",
            )


def _check_splits(declared: DeclaredConfiguration) -> Iterator[Finding]:
    for number, route in enumerate(declared.configuration.routes):
        place = f"Routes.{number}.TrafficSplit"
        has_weight = any(share.weight for share in route.split)
        for index, share in enumerate(route.split):
            if has_weight and not share.weight:
                yield _warning(
                    f"{place}.{index}.Weight",
                    f"route {route.name} never goes to service "
                    f"{share.service}, since its weight is 0",
                    "Remove the service from the split or raise its weight.",
                )
        for index, first, name in _repeated(s.service for s in route.split):
            yield _warning(
                f"{place}.{index}.Service",
                f"{name} is also the service of {place}.{first}",
                "Add the weights up in one of the two.",
            )


def _check_times(declared: DeclaredConfiguration) -> Iterator[Finding]:
    for number, route in enumerate(declared.configuration.routes):
        place = f"Routes.{number}"
        timeout_ms = route.timeout_s * _MS_PER_S
        target_ms = route.target_s * _MS_PER_S
        attempts = route.max_attempts
        if route.target_s > route.timeout_s:
            yield _warning(
                f"{place}.TimeoutMs",
                f"{timeout_ms:g} of route {route.name} is below its "
                f"TargetLatencyMs of {target_ms:g}",
                "Raise the timeout or lower the target.",
            )
        # Without a target of its own, a route has its timeout as the target,
        # and further attempts are for those that fail early.
        elif (
            route.target_s < route.timeout_s
            and attempts * route.target_s > route.timeout_s * _ROUNDING
        ):
            yield _warning(
                f"{place}.MaxAttempts",
                f"{attempts} attempts of route {route.name} take "
                f"{attempts * target_ms:g} ms at its target latency, more "
                f"than its TimeoutMs of {timeout_ms:g}",
                "Lower the attempts or the target, or raise the timeout.",
            )
        if route.gap_target_s > route.timeout_s:
            yield _warning(
                f"{place}.GapTargetMs",
                f"{route.gap_target_s * _MS_PER_S:g} of route {route.name} is "
                f"above its TimeoutMs of {timeout_ms:g}",
                "Lower the gap target or raise the timeout.",
            )


def _check_stream_fields(declared: DeclaredConfiguration) -> Iterator[Finding]:
    for number, route in enumerate(declared.configuration.routes):
        if route.kind is RouteKind.STREAM:
            if route.resumable and route.max_attempts == 1:
                yield _warning(
                    f"Routes.{number}.StreamResumption",
                    f"no effect on route {route.name}, whose only attempt is "
                    "the first",
                    "Raise MaxAttempts or remove the field.",
                )
            continue
        for field, is_set in (
            ("StreamResumption", route.resumable),
            ("GapTargetMs", route.gap_target_s > 0),
        ):
            if is_set:
                yield _warning(
                    f"Routes.{number}.{field}",
                    f"no effect on route {route.name}, which isn't streaming",
                    "Remove the field or make the route streaming.",
                )


def _check_services(declared: DeclaredConfiguration) -> Iterator[Finding]:
    used = {
        share.service
        for route in declared.configuration.routes
        for share in route.split
    }
    service_names = [service.name for service in declared.services]
    for number, name in enumerate(service_names):
        if name not in used:
            yield _warning(
                f"Services.{number}",
                f"no route goes to service {name}",
                "Remove the service or add it to a route.",
            )
    for number, first, name in _repeated(service_names):
        yield _warning(
            f"Services.{number}.Name",
            f"{name} is also the name of Services.{first}; only the last "
            "service of a name counts",
            "Remove or rename one of the services.",
        )


def _check_scaling(declared: DeclaredConfiguration) -> Iterator[Finding]:
    for number, service in enumerate(declared.services):
        scaling = service.scaling
        if scaling is None:
            continue
        place = f"Services.{number}.Scaling"
        if not scaling.maximum:
            yield _warning(
                f"{place}.Maximum",
                f"0 of service {service.name}, so no upstream is ordered",
                "Raise Maximum or remove Scaling.",
            )
        if not scaling.price_by_data_centre:
            yield _warning(
                f"{place}.ZonePrices",
                f"no prices of service {service.name}, so no upstream is "
                "ordered",
                "Add the price in each data centre or remove Scaling.",
            )
        if scaling.spot_price_ratio > 1:
            yield _warning(
                f"{place}.SpotPriceRatio",
                f"spot upstreams of service {service.name} cost "
                f"{scaling.spot_price_ratio:g} times those on demand",
                "Give the ratio of the spot price to the on-demand price.",
            )


def _check_workspaces(declared: DeclaredConfiguration) -> Iterator[Finding]:
    for number, (workspace, keys) in enumerate(_workspaces_of(declared)):
        place = f"Tenants.{number}.ApiKeys"
        name = workspace.name
        if not keys:
            yield _warning(
                place,
                f"workspace {name} has no keys",
                "Add a key or remove the workspace.",
            )
        for index, first, _ in _repeated(keys):
            yield _warning(
                f"{place}.{index}",
                f"the same key of workspace {name} as {place}.{first}",
                "Remove one of the two.",
            )
        for index, key in enumerate(keys):
            if key != key.strip() or max(key) > _MAX_LATIN_1:
                yield _warning(
                    f"{place}.{index}",
                    f"no header can carry this key of workspace {name}",
                    "Use a key of ASCII characters without outer spaces.",
                )
    for number, first, name in _repeated(
        workspace.name for workspace in declared.workspaces
    ):
        yield _warning(
            f"Tenants.{number}.Name",
            f"{name} is also the name of Tenants.{first}",
            "Put all keys into one of the two or rename one.",
        )


def _check_access(declared: DeclaredConfiguration) -> Iterator[Finding]:
    configuration = declared.configuration
    if not configuration.requires_keys:
        yield Finding(
            Severity.INFORMATION,
            "Tenants",
            "absent, so all routes are open to callers without a key",
            "Add workspaces unless this is intended.",
        )
        return
    for number, route in enumerate(configuration.routes):
        if not route.public and not configuration.workspaces_by_key:
            yield _warning(
                f"Routes.{number}",
                f"route {route.name} needs a key, and there is none",
                "Add a workspace with a key or make the route public.",
            )
        if route.public:
            yield Finding(
                Severity.INFORMATION,
                f"Routes.{number}.Public",
                f"route {route.name} is open to callers without a key",
                "Remove the field unless this is intended.",
            )


def _check_limits(declared: DeclaredConfiguration) -> Iterator[Finding]:
    configuration = declared.configuration
    limits = configuration.limits
    key_bytes = max(
        map(_encoded_bytes, configuration.workspaces_by_key), default=0
    )
    needed_bytes = max(
        (
            _header_bytes(route, 0 if route.public else key_bytes)
            for route in configuration.routes
        ),
        default=0,
    )
    if needed_bytes > limits.max_header_bytes:
        yield _warning(
            "Limits.MaxHeaderBytes",
            f"{limits.max_header_bytes} is too small for path, host and key "
            f"of some requests, which need {needed_bytes} bytes",
            f"Raise it well above {needed_bytes}.",
        )
    if not limits.max_body_bytes:
        yield _warning(
            "Limits.MaxBodyBytes",
            "0, so no request may have a body",
            "Raise it.",
        )


def _encoded_bytes(text: str) -> int:
    return len(text.encode())


def _header_bytes(route: Route, key_bytes: int) -> int:
    """Return the size of the head that each request on a route needs.

    As in the limit, the target counts; the rest of the request line doesn't.

    Args:
        route: The route.
        key_bytes: Size of the caller's key; 0 if it needs none.
    """
    size = _encoded_bytes(route.path_prefix)
    size += len(b"Host: \r\n") + _encoded_bytes(route.host)
    if key_bytes:
        size += len(names.HEADERS.key) + len(b": \r\n") + key_bytes
    return size


def _workspaces_of(
    declared: DeclaredConfiguration,
) -> Iterator[tuple[Workspace, Sequence[str]]]:
    """Yield each workspace with its keys."""
    return zip(declared.workspaces, declared.keys_of_workspaces, strict=True)


def _services_of(number: int, route: Route) -> Iterator[tuple[str, str]]:
    """Yield the place and name of each service of a route."""
    for index, share in enumerate(route.split):
        place = f"Routes.{number}"
        if len(route.split) > 1:
            place += f".TrafficSplit.{index}"
        yield f"{place}.Service", share.service


def _repeated(values: Iterable[str]) -> Iterator[tuple[int, int, str]]:
    """Yield position, first position and value of each repeated value."""
    first_by_value: dict[str, int] = {}
    for number, value in enumerate(values):
        first = first_by_value.setdefault(value, number)
        if first != number:
            yield number, first, value


_ERROR_CHECKS: tuple[_Check, ...] = (
    _check_route_names,
    _check_services_of_routes,
    _check_scaling_bounds,
    _check_shared_keys,
)
_OTHER_CHECKS: tuple[_Check, ...] = (
    _check_matching,
    _check_splits,
    _check_times,
    _check_stream_fields,
    _check_services,
    _check_scaling,
    _check_workspaces,
    _check_access,
    _check_limits,
)
