"""Build a configuration step by step and report each mistake at its call."""

from collections.abc import Iterable
from collections.abc import Mapping
import sys
from typing import Any
from typing import TextIO
from typing import TypeVar

import attrs

from shallotfold._errors import InvalidInputError
from shallotfold._errors import UsageError
from shallotfold._model.checking import check_configuration
from shallotfold._model.configuration import Budget
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import KeyDigest
from shallotfold._model.configuration import Limits
from shallotfold._model.configuration import Offer
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Route
from shallotfold._model.configuration import Targets
from shallotfold._model.configuration import Upstream
from shallotfold._model.configuration import Workspace
from shallotfold._model.serialization import dump_configuration

T = TypeVar("T")


@attrs.frozen
class DataCentre:
    """A data centre that upstreams and offers may name."""

    name: str


class ConfigurationBuilder:
    """Collect declarations and build one checked configuration from them.

    Each method declares one item and returns it, so that later declarations
    refer to objects instead of names that may be misspelt.
    """

    def __init__(self, *, usage_window_s: int = 60) -> None:
        """Start an empty configuration.

        Args:
            usage_window_s: Length of a usage window in seconds.
        """
        self._usage_window_s = usage_window_s
        self._budget = Budget()
        self._data_centres_by_name: dict[str, DataCentre] = {}
        self._classes_by_name: dict[str, RequestClass] = {}
        self._workspaces_by_name: dict[str, Workspace] = {}
        self._routes_by_prefix: dict[str, Route] = {}
        self._upstreams_by_name: dict[str, Upstream] = {}
        self._offers_by_name: dict[str, Offer] = {}

    def add_data_centre(self, name: str) -> DataCentre:
        """Declare a data centre."""
        return _add(self._data_centres_by_name, name, DataCentre(name))

    def add_class(
        self,
        name: str,
        *,
        tier: int,
        targets: Targets | None = None,
        **options: Any,
    ) -> RequestClass:
        """Declare a request class.

        Args:
            name: Unique name.
            tier: Importance; 1 is the highest, 5 the lowest.
            targets: Latency targets; none by default.
            options: Other fields of `RequestClass`.
        """
        request_class = _make(
            RequestClass,
            name=name,
            tier=tier,
            targets=targets or Targets(),
            **options,
        )
        return _add(self._classes_by_name, name, request_class)

    def add_model_upstream(
        self, name: str, *, data_centre: DataCentre, model: str, **options: Any
    ) -> Upstream:
        """Declare an upstream that serves a model.

        Args:
            name: Unique name.
            data_centre: Where it runs.
            model: Model it serves.
            options: Other fields of `Upstream`; `url` is required.
        """
        upstream = _make(
            Upstream,
            name=name,
            data_centre=data_centre.name,
            model=model,
            **options,
        )
        return _add(self._upstreams_by_name, name, upstream)

    def add_plain_upstream(
        self,
        name: str,
        *,
        data_centre: DataCentre,
        service: str,
        **options: Any,
    ) -> Upstream:
        """Declare an upstream that serves a plain service.

        Args:
            name: Unique name.
            data_centre: Where it runs.
            service: Plain service it serves.
            options: Other fields of `Upstream`; `url` is required.
        """
        upstream = _make(
            Upstream,
            name=name,
            data_centre=data_centre.name,
            service=service,
            **options,
        )
        return _add(self._upstreams_by_name, name, upstream)

    def add_offer(
        self, name: str, *, data_centre: DataCentre, model: str, **options: Any
    ) -> Offer:
        """Declare a kind of upstream that may be ordered.

        Args:
            name: Unique name.
            data_centre: Where it would run.
            model: Model it would serve.
            options: Other fields of `Offer`.
        """
        offer = _make(
            Offer,
            name=name,
            data_centre=data_centre.name,
            model=model,
            **options,
        )
        return _add(self._offers_by_name, name, offer)

    def add_route(
        self,
        prefix: str,
        *,
        service: str,
        request_class: RequestClass,
        **options: Any,
    ) -> Route:
        """Declare a plain route.

        Args:
            prefix: Path prefix, for example `/booking/`.
            service: Service of the upstreams that serve it.
            request_class: Class of its requests.
            options: Other fields of `Route`.
        """
        route = _make(
            Route,
            prefix=prefix,
            service=service,
            request_class=request_class.name,
            **options,
        )
        return _add(self._routes_by_prefix, prefix, route)

    def add_workspace(
        self,
        name: str,
        *,
        keys: Iterable[KeyDigest],
        classes: Iterable[RequestClass],
        routes: Iterable[Route] = (),
        weight: float = 1.0,
        limits: Limits | None = None,
    ) -> Workspace:
        """Declare a workspace; its first class is the default.

        Args:
            name: Unique name.
            keys: Keys in force.
            classes: Classes that it may use, at least one.
            routes: Plain routes that it may use.
            weight: Share relative to other workspaces of the same class.
            limits: Limits over the whole fleet; none by default.
        """
        class_names = tuple(item.name for item in classes)
        if not class_names:
            raise UsageError(f"workspace {name!r}: give at least one class")
        workspace = Workspace(
            name=name,
            keys=tuple(keys),
            classes=class_names,
            default_class=class_names[0],
            routes=tuple(route.prefix for route in routes),
            weight=weight,
            limits=limits or Limits(),
        )
        return _add(self._workspaces_by_name, name, workspace)

    def set_budget(self, max_price_per_hour: float) -> None:
        """Limit the total price of upstreams per hour."""
        self._budget = Budget(max_price_per_hour=max_price_per_hour)

    def build(self) -> Configuration:
        """Check everything together and return the configuration.

        Raises:
            InvalidInputError: Declarations contradict each other; the error
                lists all faults.
        """
        configuration = Configuration(
            classes_by_name=dict(self._classes_by_name),
            workspaces_by_name=dict(self._workspaces_by_name),
            routes_by_prefix=dict(self._routes_by_prefix),
            upstreams_by_name=dict(self._upstreams_by_name),
            offers_by_name=dict(self._offers_by_name),
            data_centres=tuple(self._data_centres_by_name),
            budget=self._budget,
            usage_window_s=self._usage_window_s,
        )
        faults = check_configuration(configuration)
        if faults:
            raise InvalidInputError(faults)
        return configuration

    def print(self, stream: TextIO | None = None) -> None:
        """Write the checked configuration as one line of JSON.

        Args:
            stream: Text stream to write to; standard output by default.
        """
        document = dump_configuration(self.build()).decode()
        (stream or sys.stdout).write(document + "\n")


def _add(items_by_name: dict[str, T], name: str, item: T) -> T:
    if name in items_by_name:
        kind = type(item).__name__
        raise UsageError(f"{kind} {name!r} is declared twice; rename one")
    items_by_name[name] = item
    return item


def _make(item_class: type[T], **values: Any) -> T:
    allowed = _field_names(item_class)
    unknown = sorted(values.keys() - allowed)
    if unknown:
        raise UsageError(
            f"{item_class.__name__} has no field {', '.join(unknown)}; "
            f"use {', '.join(sorted(allowed))}"
        )
    try:
        return item_class(**values)
    except TypeError as error:
        raise UsageError(f"{item_class.__name__}: {error}; add it") from error


def _field_names(item_class: type) -> set[str]:
    fields_by_name: Mapping[str, Any] = attrs.fields_dict(item_class)
    return set(fields_by_name)
