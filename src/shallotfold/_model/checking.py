"""Validate what the types of a configuration can't express."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import math
import re
from typing import Any
import urllib.parse

from shallotfold._errors import Fault
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Offer
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Route
from shallotfold._model.configuration import Targets
from shallotfold._model.configuration import Upstream
from shallotfold._model.configuration import Workspace
from shallotfold._settings.addresses import parse_address

MAX_TIER = 5
MAX_FLOOR_SHARE = 0.2
MAX_FLOOR_SHARE_SUM = 0.5
MAX_USAGE_WINDOW_S = 3600
RESERVED_PREFIXES = ("/v1/", "/healthz/", "/readyz/")

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_PREFIX = re.compile(r"(/[A-Za-z0-9._~-]+)+/")
_METHOD = re.compile(r"[A-Z]{3,10}")


def check_configuration(
    configuration: Configuration, source: str = "configuration"
) -> tuple[Fault, ...]:
    """Return all faults of a configuration; a valid one has none."""
    checker = _Checker(configuration, source)
    checker.check()
    return tuple(checker.faults)


class _Checker:
    """Collect the faults of one configuration."""

    def __init__(self, configuration: Configuration, source: str) -> None:
        self.faults: list[Fault] = []
        self._configuration = configuration
        self._source = source

    def check(self) -> None:
        configuration = self._configuration
        for name in configuration.data_centres:
            self._check_name(f"data_centres.{name}", name)
        self._check_items(
            "classes_by_name", configuration.classes_by_name, self._check_class
        )
        self._check_floor_shares()
        self._check_items(
            "workspaces_by_name",
            configuration.workspaces_by_name,
            self._check_workspace,
        )
        self._check_key_digests()
        self._check_items(
            "routes_by_prefix",
            configuration.routes_by_prefix,
            self._check_route,
        )
        self._check_overlapping_prefixes()
        self._check_items(
            "upstreams_by_name",
            configuration.upstreams_by_name,
            self._check_upstream,
        )
        self._check_items(
            "offers_by_name", configuration.offers_by_name, self._check_offer
        )
        price = configuration.budget.max_price_per_hour
        self._check_number("budget.max_price_per_hour", price, at_least=0)
        self._check_number(
            "usage_window_s",
            configuration.usage_window_s,
            at_least=1,
            at_most=MAX_USAGE_WINDOW_S,
        )

    def _check_items(
        self,
        field: str,
        items: Mapping[str, Any],
        check: Callable[[str, Any], None],
    ) -> None:
        for key, item in items.items():
            path = f"{field}.{key}"
            name = item.prefix if isinstance(item, Route) else item.name
            if name != key:
                self._add_fault(
                    path, repr(name), repr(key), "Use the same name for both."
                )
            if not isinstance(item, Route):
                self._check_name(path, key)
            check(path, item)

    def _check_class(self, path: str, item: RequestClass) -> None:
        self._check_number(
            f"{path}.tier", item.tier, at_least=1, at_most=MAX_TIER
        )
        self._check_number(
            f"{path}.floor_share",
            item.floor_share,
            at_least=0,
            at_most=MAX_FLOOR_SHARE,
        )
        self._check_number(
            f"{path}.max_output_tokens", item.max_output_tokens, at_least=1
        )
        self._check_number(
            f"{path}.expected_output_tokens",
            item.expected_output_tokens,
            at_least=1,
            at_most=max(1, item.max_output_tokens),
        )
        self._check_targets(path, item.targets)

    def _check_targets(self, path: str, targets: Targets) -> None:
        for name in ("first_token_s", "between_tokens_s", "whole_answer_s"):
            value = getattr(targets, name)
            if value is not None:
                self._check_number(f"{path}.targets.{name}", value, above=0)

    def _check_floor_shares(self) -> None:
        total = sum(
            item.floor_share
            for item in self._configuration.classes_by_name.values()
        )
        if total > MAX_FLOOR_SHARE_SUM:
            self._add_fault(
                "classes_by_name.*.floor_share",
                f"a sum of {total:g}",
                f"a sum of at most {MAX_FLOOR_SHARE_SUM:g}",
                "Lower the floor shares.",
            )

    def _check_workspace(self, path: str, item: Workspace) -> None:
        configuration = self._configuration
        for name in item.classes:
            self._check_reference(
                f"{path}.classes", name, configuration.classes_by_name
            )
        self._check_reference(
            f"{path}.default_class", item.default_class, item.classes
        )
        for prefix in item.routes:
            self._check_reference(
                f"{path}.routes", prefix, configuration.routes_by_prefix
            )
        for key in item.keys:
            self._check_name(f"{path}.keys.{key.key_id}", key.key_id)
            if not _SHA256.fullmatch(key.sha256):
                self._add_fault(
                    f"{path}.keys.{key.key_id}.sha256",
                    "another text",
                    "64 hexadecimal digits in lower case",
                    "Give the SHA-256 digest of the key, never the key.",
                )
        self._check_number(f"{path}.weight", item.weight, above=0)
        for name in ("requests_per_minute", "tokens_per_minute", "concurrency"):
            limit = getattr(item.limits, name)
            if limit is not None:
                self._check_number(f"{path}.limits.{name}", limit, at_least=1)

    def _check_key_digests(self) -> None:
        owners_by_sha256: dict[str, str] = {}
        for name, item in self._configuration.workspaces_by_name.items():
            path = f"workspaces_by_name.{name}.keys"
            for key_id in _duplicates(key.key_id for key in item.keys):
                self._add_fault(
                    path,
                    f"{key_id!r} twice",
                    "unique",
                    "Rename one of the keys.",
                )
            for key in item.keys:
                first_owner = owners_by_sha256.setdefault(
                    key.sha256, f"{name}.{key.key_id}"
                )
                if first_owner != f"{name}.{key.key_id}":
                    self._add_fault(
                        f"{path}.{key.key_id}",
                        f"the same key as {first_owner}",
                        "a key of one workspace",
                        "Create a separate key for each.",
                    )

    def _check_route(self, path: str, item: Route) -> None:
        if not _PREFIX.fullmatch(item.prefix):
            self._add_fault(
                path,
                repr(item.prefix),
                "a path like /booking/",
                "Start and end the prefix with a slash; use letters, digits "
                "and . _ ~ - between single slashes.",
            )
        self._check_reference(
            f"{path}.request_class",
            item.request_class,
            self._configuration.classes_by_name,
        )
        services = {
            upstream.service
            for upstream in self._configuration.upstreams_by_name.values()
            if upstream.service
        }
        self._check_reference(f"{path}.service", item.service, services)
        for method in item.idempotent_methods:
            if not _METHOD.fullmatch(method):
                self._add_fault(
                    f"{path}.idempotent_methods",
                    repr(method),
                    "methods in upper case",
                    "Use 3 to 10 upper-case letters, as in GET.",
                )

    def _check_overlapping_prefixes(self) -> None:
        prefixes = sorted(
            {*self._configuration.routes_by_prefix, *RESERVED_PREFIXES}
        )
        # Sorting puts a prefix right before the prefixes that it covers.
        covering = prefixes[0]
        for prefix in prefixes[1:]:
            if not prefix.startswith(covering):
                covering = prefix
                continue
            self._add_fault(
                f"routes_by_prefix.{prefix}",
                f"an overlap with {covering}",
                "prefixes that don't cover each other",
                "Rename one of the routes.",
            )
        for prefix in RESERVED_PREFIXES:
            if prefix in self._configuration.routes_by_prefix:
                self._add_fault(
                    f"routes_by_prefix.{prefix}",
                    "a reserved prefix",
                    "any other prefix",
                    "Rename the route.",
                )

    def _check_upstream(self, path: str, item: Upstream) -> None:
        self._check_url(f"{path}.url", item.url)
        self._check_capacity(path, item)
        if bool(item.model) == bool(item.service):
            self._add_fault(
                path,
                f"model {item.model!r} and service {item.service!r}",
                "exactly one of them",
                "Set either model or service.",
            )

    def _check_offer(self, path: str, item: Offer) -> None:
        self._check_capacity(path, item)
        self._check_name(f"{path}.model", item.model)
        self._check_number(f"{path}.start_s", item.start_s, at_least=0)
        self._check_number(f"{path}.max_count", item.max_count, at_least=0)

    def _check_capacity(self, path: str, item: Upstream | Offer) -> None:
        self._check_reference(
            f"{path}.data_centre",
            item.data_centre,
            self._configuration.data_centres,
        )
        self._check_number(f"{path}.slots", item.slots, at_least=1)
        self._check_number(f"{path}.tokens_per_s", item.tokens_per_s, above=0)
        self._check_number(
            f"{path}.price_per_hour", item.price_per_hour, at_least=0
        )

    def _check_url(self, path: str, url: str) -> None:
        parts = urllib.parse.urlsplit(url)
        try:
            parse_address(parts.netloc)
        except ValueError:
            valid = False
        else:
            valid = parts.scheme == "http" and parts.path in ("", "/")
        if not valid:
            self._add_fault(
                path,
                repr(url),
                "http://IP:PORT",
                "Correct the address; host names are not resolved.",
            )

    def _check_name(self, path: str, name: str) -> None:
        if not _NAME.fullmatch(name):
            self._add_fault(
                path,
                repr(name),
                "1 to 64 letters, digits, dots, dashes or underscores",
                "Rename it.",
            )

    def _check_reference(
        self, path: str, name: str, declared: Iterable[str]
    ) -> None:
        names = sorted(declared)
        if name in names:
            return
        listed = ", ".join(names[:10]) + (", ..." if len(names) > 10 else "")
        self._add_fault(
            path,
            repr(name),
            listed or "(none declared)",
            "Declare it or correct the name.",
        )

    def _check_number(
        self,
        path: str,
        value: float,
        *,
        at_least: float = -math.inf,
        above: float = -math.inf,
        at_most: float = math.inf,
    ) -> None:
        in_range = at_least <= value <= at_most and value > above
        if in_range and math.isfinite(value):
            return
        bounds = []
        if above > -math.inf:
            bounds.append(f"more than {above:g}")
        if at_least > -math.inf:
            bounds.append(f"at least {at_least:g}")
        if at_most < math.inf:
            bounds.append(f"at most {at_most:g}")
        self._add_fault(
            path, f"{value:g}", " and ".join(bounds), f"Correct {path}."
        )

    def _add_fault(
        self, key: str, found: str, allowed: str, remedy: str
    ) -> None:
        self.faults.append(
            Fault(
                source=self._source,
                key=key,
                found=found,
                allowed=allowed,
                remedy=remedy,
            )
        )


def _duplicates(names: Iterable[str]) -> Iterator[str]:
    counts = Counter(names)
    return (name for name, count in counts.items() if count > 1)
