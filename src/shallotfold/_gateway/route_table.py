"""Find the route of a request and the workspace of its key."""

import bisect
import itertools

from shallotfold._gateway.model import GatewayConfiguration
from shallotfold._gateway.model import Route


class RouteTable:
    """Routes of one configuration, by host name and longest path prefix."""

    def __init__(self, configuration: GatewayConfiguration) -> None:
        self.configuration = configuration
        self._routes_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            routes = self._routes_by_prefix_by_host.setdefault(route.host, {})
            routes[route.path_prefix] = route

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
