"""Define routes, services, workspaces, upstreams and prompts.

All times are in seconds.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import enum

import attrs


class RouteKind(enum.Enum):
    """Whether requests on a route may run more than once."""

    STREAM = "stream"
    """An event stream; runs at most once unless the route is resumable."""
    ONCE = "once"
    """A call that may run at most once."""
    REPEATABLE = "repeatable"
    """A call that may run any number of times."""


@attrs.frozen
class SplitShare:
    """Share of a route's traffic that goes to one service.

    Attributes:
        service: Name of the service.
        weight: Relative weight, 0 or more.
    """

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """A rule for requests to one host name and path prefix.

    Attributes:
        name: Unique name.
        host: Lower-case host name.
        path_prefix: Begins and ends with a slash.
        kind: Whether requests may run more than once.
        timeout_s: Longest time until the final response.
        target_s: Target latency; a response within it is worth most.
        gap_target_s: Longest gap between events that meets the target.
        priority: Rank of the route; 0 is the highest.
        split: Services that share the traffic, with weights.
        max_attempts: Number of upstreams to which one request may be sent.
        public: Whether callers need no key.
        reads_prompt: Whether requests carry a prompt for an engine.
        resumable: Whether a broken stream may resume at another upstream.
        allowed_regions: Regions whose upstreams may get its requests; `None`:
            all.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_s: float
    gap_target_s: float = 0.0
    priority: int = 0
    split: tuple[SplitShare, ...]
    max_attempts: int = 1
    public: bool = False
    reads_prompt: bool = False
    resumable: bool = False
    allowed_regions: frozenset[str] | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.REPEATABLE


@attrs.frozen(kw_only=True)
class ScalingLimits:
    """Bounds on the upstreams of a service in one data centre.

    Attributes:
        minimum: Fewest upstreams, on-demand and spot together.
        maximum: Most upstreams, on-demand and spot together.
        boot_s: Time from an order until the new upstream serves.
        spot_price_ratio: Price of a spot upstream as a fraction of the
            on-demand price.
        price_by_data_centre: Price of one upstream per second.
    """

    minimum: int
    maximum: int
    boot_s: float
    spot_price_ratio: float
    price_by_data_centre: Mapping[str, float]


@attrs.frozen(kw_only=True)
class Service:
    """A group of interchangeable upstreams.

    Attributes:
        name: Unique name.
        scaling: Bounds of orders; `None` if no upstreams are ordered.
        connection_limit: Connections that one upstream accepts from all
            hosts together; it resets further ones. 0: unknown.
        cold_rate_per_s: Requests a second that a cold upstream takes from all
            hosts together. 0: the service has no cold upstreams.
        cold_start_s: How long an upstream is cold after its start. 0: the
            service has no cold upstreams.
    """

    name: str
    scaling: ScalingLimits | None = None
    connection_limit: int = 0
    cold_rate_per_s: float = 0.0
    cold_start_s: float = 0.0


@attrs.frozen
class Workspace:
    """The customer that a key belongs to.

    Attributes:
        name: Unique name.
        priority: Rank that takes precedence over the route's; `None`: the
            route's applies.
        allowed_regions: Regions whose upstreams may get its requests; `None`:
            all.
    """

    name: str
    priority: int | None
    allowed_regions: frozenset[str] | None = None


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Limits on the size and duration of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class GatewayConfiguration:
    """One version of the configuration that operators write.

    Attributes:
        version: Increases with each change, by any amount.
        routes: All routes.
        services_by_name: All services.
        workspaces_by_key: The workspace of each valid API key.
        requires_keys: Whether routes that aren't public need a key.
        limits: Limits on requests.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: Mapping[str, Service]
    workspaces_by_key: Mapping[str, Workspace]
    requires_keys: bool
    limits: RequestLimits


@attrs.frozen(kw_only=True)
class Upstream:
    """One registered incarnation of an upstream.

    Attributes:
        upstream_id: Its id; another id may reuse its address later.
        service: Service that it belongs to.
        ip: Its IP address.
        port: Its port.
        data_centre: Where it runs.
        slots: Requests that it runs concurrently.
        draining: Whether it is shutting down and gets no new requests.
        cold_remaining_s: How much longer it is slow after its start.
        started_ms: Start of this incarnation in Unix milliseconds; 0: unknown.
        spot: Whether the platform may reclaim it at short notice.
        sequence: Number of the registration, which grows while the incarnation
            runs. Registrations that differ in nothing else are equal.
    """

    upstream_id: str
    service: str
    ip: str
    port: int
    data_centre: str
    slots: int
    draining: bool = False
    cold_remaining_s: float = 0.0
    started_ms: int = 0
    spot: bool = False
    sequence: int = attrs.field(default=0, eq=False)


@attrs.frozen
class PromptPart:
    """One part of a prompt.

    Attributes:
        part_id: Id of its content; equal content has an equal id.
        tokens: Its length in tokens.
    """

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """What a request declares about its prompt.

    Attributes:
        model: Name of the requested model.
        parts: Parts in order; the last one isn't shared with other requests.
        prompt_tokens: Input tokens.
        max_output_tokens: Upper bound of output tokens.
        shared_prefix_id: Id of the last part shared with other requests;
            empty: none.
        shared_prefix_tokens: Tokens of all parts shared with other requests.
    """

    model: str = ""
    parts: Sequence[PromptPart] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    # Placement looks at these for each upstream.
    shared_prefix_id: str = attrs.field(init=False, eq=False, repr=False)
    shared_prefix_tokens: int = attrs.field(init=False, eq=False, repr=False)

    @shared_prefix_id.default
    def _find_shared_prefix_id(self) -> str:
        return self.parts[-2].part_id if len(self.parts) > 1 else ""

    @shared_prefix_tokens.default
    def _sum_shared_tokens(self) -> int:
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share, in order."""
        return tuple(part.part_id for part in self.parts[:-1])
