"""Define what operators declare: classes, workspaces, routes, upstreams."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class Targets:
    """Latency targets of a request class in seconds; `None` means no target.

    Attributes:
        first_token_s: From arrival of the request to the first token at the
            caller.
        between_tokens_s: Mean time between later tokens of one answer.
        whole_answer_s: From arrival of the request to the end of the answer.
    """

    first_token_s: float | None = None
    between_tokens_s: float | None = None
    whole_answer_s: float | None = None


@attrs.frozen(kw_only=True)
class RequestClass:
    """A kind of request with one tier and one set of targets.

    Attributes:
        name: Unique name, for example `chat`.
        tier: Priority tier; 1 is the highest, 5 the lowest.
        targets: Latency targets.
        floor_share: Share of a pool (0 to 0.2) that the class gets while it
            has queued requests, so that it never starves.
        expected_output_tokens: Output estimate used until an answer was
            observed.
        max_output_tokens: Largest output that a request may ask for.
    """

    name: str
    tier: int
    targets: Targets = attrs.field(factory=Targets)
    floor_share: float = 0.02
    expected_output_tokens: int = 200
    max_output_tokens: int = 4096


@attrs.frozen(kw_only=True)
class KeyDigest:
    """An API key, stored only as a digest.

    Attributes:
        key_id: Public name of the key; may be logged.
        sha256: Hexadecimal SHA-256 digest of the key.
    """

    key_id: str
    sha256: str


@attrs.frozen(kw_only=True)
class Limits:
    """Limits of one workspace across the fleet; `None` means unlimited."""

    requests_per_minute: int | None = None
    tokens_per_minute: int | None = None
    concurrency: int | None = None


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer of the operators, with its API keys and permissions.

    Attributes:
        name: Unique name.
        keys: Digests of the valid keys.
        classes: Names of the classes that the workspace may use.
        default_class: Class of a request that does not name one.
        weight: Fair queueing weight relative to other workspaces of the same
            class.
        limits: Limits across the fleet.
        routes: Prefixes of the plain routes that the workspace may use.
    """

    name: str
    keys: tuple[KeyDigest, ...]
    classes: tuple[str, ...]
    default_class: str
    weight: float = 1.0
    limits: Limits = attrs.field(factory=Limits)
    routes: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Route:
    """A path prefix that leads to a plain service.

    Attributes:
        prefix: Path prefix, for example `/booking/`.
        service: Name of the service, as declared by its upstreams.
        request_class: Name of the class of its requests.
        idempotent_methods: HTTP methods that may be retried.
        open_to_all: Whether callers without an API key are served.
    """

    prefix: str
    service: str
    request_class: str
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    open_to_all: bool = False


@attrs.frozen(kw_only=True)
class Upstream:
    """A backend that serves one model or one plain service.

    Attributes:
        name: Unique name.
        url: Base URL, `http://IP:PORT`.
        data_centre: Data centre in which it runs.
        model: Model that it serves; empty for a plain service.
        service: Plain service that it serves; empty for a model.
        slots: Number of requests that it runs at once without queueing.
        tokens_per_s: Output rate of the whole upstream at full load.
        price_per_hour: Cost per hour while it runs.
        reclaimable: Whether it is a spot instance, which the platform may
            reclaim at any time.
        credential: Name of the credential in the settings of the entries.
        checks_fencing: Whether it refuses orders with an old fencing token.
    """

    name: str
    url: str
    data_centre: str
    model: str = ""
    service: str = ""
    slots: int = 8
    tokens_per_s: float = 400.0
    price_per_hour: float = 1.0
    reclaimable: bool = False
    credential: str = ""
    checks_fencing: bool = False


@attrs.frozen(kw_only=True)
class Offer:
    """A type of upstream that can be ordered in one data centre.

    Attributes:
        name: Unique name.
        data_centre: Data centre in which it would run.
        model: Model that it would serve.
        slots: Number of requests that one such upstream runs concurrently.
        tokens_per_s: Output rate of one such upstream at full load.
        price_per_hour: Cost per hour of one such upstream.
        reclaimable: Whether it is a spot instance, which the platform may
            reclaim at any time.
        start_s: Time from the order until it serves, with weights loaded.
        max_count: Maximum number of such upstreams that run concurrently.
        credential: Name of the credential in the settings of the entries.
    """

    name: str
    data_centre: str
    model: str
    slots: int = 8
    tokens_per_s: float = 400.0
    price_per_hour: float = 1.0
    reclaimable: bool = False
    start_s: float = 60.0
    max_count: int = 4
    credential: str = ""


@attrs.frozen(kw_only=True)
class Budget:
    """The most that operators pay for upstreams."""

    max_price_per_hour: float = 1000.0


@attrs.frozen(kw_only=True)
class Configuration:
    """Everything that operators declare, as one immutable value.

    Attributes:
        classes_by_name: Request classes.
        workspaces_by_name: Workspaces.
        routes_by_prefix: Plain routes.
        upstreams_by_name: Declared upstreams, which always exist.
        offers_by_name: Types of upstreams that may be ordered.
        data_centres: Names of the data centres.
        budget: Spending limit.
        usage_window_s: Length of a usage window in seconds.
    """

    classes_by_name: Mapping[str, RequestClass] = attrs.field(factory=dict)
    workspaces_by_name: Mapping[str, Workspace] = attrs.field(factory=dict)
    routes_by_prefix: Mapping[str, Route] = attrs.field(factory=dict)
    upstreams_by_name: Mapping[str, Upstream] = attrs.field(factory=dict)
    offers_by_name: Mapping[str, Offer] = attrs.field(factory=dict)
    data_centres: tuple[str, ...] = ()
    budget: Budget = attrs.field(factory=Budget)
    usage_window_s: int = 60
