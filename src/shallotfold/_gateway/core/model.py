"""Describe what a gateway serves: routes, services, workspaces, upstreams.

All times are in seconds.
"""

from collections.abc import Mapping
import enum

import attrs


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    STREAM = "stream"
    """An event stream; runs at most once unless the route is resumable."""
    ONCE = "once"
    """A call that may run at most once."""
    REPEATABLE = "repeatable"
    """A call that may run any number of times."""


@attrs.frozen
class SplitShare:
    """Share of a route's traffic that one service gets.

    Attributes:
        service: Name of the service.
        weight: Relative weight, 0 or more.
    """

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Requests to one host name and path prefix.

    Attributes:
        name: Unique name.
        host: Lower-case host name.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time until the final answer.
        target_s: Time within which an answer is worth most.
        gap_target_s: Longest pause between events that is still on time.
        priority: Rank of the route, 0 first.
        split: Services that take the traffic, with weights.
        max_attempts: Upstreams to which one request may be sent.
        public: Whether callers need no key.
        reads_prompt: Whether requests carry a prompt for an engine.
        resumable: Whether a broken stream may go on at another upstream.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.REPEATABLE


@attrs.frozen(kw_only=True)
class ScalingLimits:
    """How many upstreams of a service may be ordered in one data centre.

    Attributes:
        minimum: Fewest, of both kinds together.
        maximum: Most, of both kinds together.
        boot_s: Time from an order until a new upstream serves.
        spot_price_ratio: Price of a reclaimable upstream against another.
        price_by_data_centre: Price of one upstream for a second.
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
        scaling: Limits of orders; `None` when upstreams aren't ordered.
        connection_limit: Connections that one upstream accepts from all
            hosts together; further ones are reset. 0: not known.
    """

    name: str
    scaling: ScalingLimits | None = None
    connection_limit: int = 0


@attrs.frozen
class Workspace:
    """The customer that a key belongs to.

    Attributes:
        name: Unique name.
        priority: Rank that replaces the route's; `None`: the route's holds.
    """

    name: str
    priority: int | None


@attrs.frozen(kw_only=True)
class RequestLimits:
    """Bounds of what callers may send and how long they may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen(kw_only=True)
class GatewayConfiguration:
    """One version of everything that operators declare.

    Attributes:
        version: Rises with each change, in uneven steps.
        routes: All routes.
        services_by_name: All services.
        workspaces_by_key: The workspace of each valid key.
        requires_keys: Whether routes that aren't public need a key.
        limits: Bounds of requests.
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
        upstream_id: Its id; an address may be reused by another id.
        service: Service that it belongs to.
        ip: Its IP address.
        port: Its port.
        data_centre: Where it runs.
        slots: Requests that it runs at once.
        draining: Whether it is leaving and takes no new requests.
        cold_s: How much longer it is slow after its start.
        born_ms: Start of this incarnation in Unix milliseconds; 0: unknown.
        spot: Whether the platform may reclaim it at short notice.
    """

    upstream_id: str
    service: str
    ip: str
    port: int
    data_centre: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0
    born_ms: int = 0
    spot: bool = False


@attrs.frozen
class PromptPart:
    """One part of a prompt, in order.

    Attributes:
        part_id: Equal for equal content.
        tokens: Its length.
    """

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class Prompt:
    """What is declared about the prompt of a request.

    Attributes:
        model: Model asked for.
        parts: Parts in order; the last belongs to the request alone.
        prompt_tokens: Input tokens.
        max_output_tokens: Bound of output tokens.
    """

    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_output_tokens: int = 0

    @property
    def shared_key(self) -> str:
        """Id of the last part that other requests share; empty: none."""
        return self.parts[-2].part_id if len(self.parts) > 1 else ""

    @property
    def shared_tokens(self) -> int:
        """Tokens of all parts that other requests share."""
        return sum(part.tokens for part in self.parts[:-1])
