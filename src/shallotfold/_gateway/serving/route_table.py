"""Find the route of a request and the workspace of its key."""

import bisect
import itertools

from shallotfold._gateway.core.model import GatewayConfiguration
from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import Workspace

# Engines know ranks from 0 to this one.
LAST_RANK = 9


class RouteTable:
    """Routes of one configuration, by host name and longest path prefix."""

    def __init__(self, configuration: GatewayConfiguration) -> None:
        self.configuration = configuration
        self._routes_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            routes = self._routes_by_prefix_by_host.setdefault(route.host, {})
            routes[route.path_prefix] = route
        self._rank_by_priorities = _ranks(configuration)

    def rank(self, route: Route, workspace: Workspace | None) -> int:
        """Return how urgent a request is inside an engine, 0 first.

        The workspace's priority goes first; among its requests the route's
        decides.
        """
        pair = (_priority_of(workspace), route.priority)
        return self._rank_by_priorities.get(pair, LAST_RANK)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        Args:
            host: Value of the Host header; a port is ignored.
            path: Path as sent, without a query.
        """
        name = host.lower().rsplit(":", 1)[0] if ":" in host else host.lower()
        routes = self._routes_by_prefix_by_host.get(name)
        if not routes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _priority_of(workspace: Workspace | None) -> int:
    if workspace is None or workspace.priority is None:
        return 0
    return workspace.priority


def _ranks(configuration: GatewayConfiguration) -> dict[tuple[int, int], int]:
    """Number all pairs of priorities in their order, as far as ranks go."""
    owners = {_priority_of(w) for w in configuration.workspaces_by_key.values()}
    routes = {route.priority for route in configuration.routes}
    pairs = sorted(itertools.product(owners | {0}, routes))
    return {pair: min(LAST_RANK, n) for n, pair in enumerate(pairs)}


def choose_service(route: Route, draw: float) -> str:
    """Pick a service of the route's split by its weights.

    Args:
        route: The route.
        draw: Uniform number in [0, 1).
    """
    if len(route.split) == 1:
        return route.split[0].service
    bounds = list(itertools.accumulate(share.weight for share in route.split))
    if bounds[-1] <= 0:
        return route.split[0].service
    place = bisect.bisect_right(bounds, draw * bounds[-1])
    return route.split[min(place, len(route.split) - 1)].service
