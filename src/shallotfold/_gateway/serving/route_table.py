"""Choose the route, rank and service of a request."""

import bisect
from collections.abc import Iterable
import itertools

from shallotfold._gateway.core.model import GatewayConfiguration
from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import Workspace

# Engines accept ranks from 0 to this one.
MAX_RANK = 9


class RouteTable:
    """Routes of one configuration, by host name and longest path prefix."""

    def __init__(self, configuration: GatewayConfiguration) -> None:
        self.configuration = configuration
        self._routes_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            routes = self._routes_by_prefix_by_host.setdefault(route.host, {})
            routes[route.path_prefix] = route
        self._position_by_workspace_priority = _positions(
            {0}.union(
                map(_priority_of, configuration.workspaces_by_key.values())
            )
        )
        self._position_by_route_priority = _positions(
            route.priority for route in configuration.routes
        )
        # Only these can match, so that the slashes of a path don't count.
        self._prefix_lengths_by_host = {
            host: sorted({len(prefix) for prefix in routes}, reverse=True)
            for host, routes in self._routes_by_prefix_by_host.items()
        }

    def rank(self, route: Route, workspace: Workspace | None) -> int:
        """Return the scheduling rank inside an engine, 0 first.

        Requests are ordered by the workspace's priority, then by the route's.
        """
        workspace_position = self._position_by_workspace_priority.get(
            _priority_of(workspace)
        )
        route_position = self._position_by_route_priority.get(route.priority)
        if workspace_position is None or route_position is None:
            return MAX_RANK
        position = (
            workspace_position * len(self._position_by_route_priority)
            + route_position
        )
        return min(MAX_RANK, position)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest path prefix that matches.

        Args:
            host: Value of the Host header; a port is ignored.
            path: Path as sent, without the query.
        """
        name = host.lower().rsplit(":", 1)[0] if ":" in host else host.lower()
        routes = self._routes_by_prefix_by_host.get(name)
        if not routes:
            return None
        for length in self._prefix_lengths_by_host[name]:
            if length <= len(path):
                route = routes.get(path[:length])
                if route is not None:
                    return route
        return None


def allowed_regions(
    route: Route, workspace: Workspace | None
) -> frozenset[str] | None:
    """Return the regions whose upstreams may get a request; `None`: all.

    If both the route and the workspace name regions, both bind.
    """
    of_workspace = workspace.allowed_regions if workspace else None
    if route.allowed_regions is None:
        return of_workspace
    if of_workspace is None:
        return route.allowed_regions
    return route.allowed_regions & of_workspace


def _priority_of(workspace: Workspace | None) -> int:
    if workspace is None or workspace.priority is None:
        return 0
    return workspace.priority


def _positions(priorities: Iterable[int]) -> dict[int, int]:
    """Return the position of each priority among all, in rising order."""
    return {
        priority: position
        for position, priority in enumerate(sorted(set(priorities)))
    }


def choose_service(route: Route, draw: float) -> str:
    """Choose a service of the route's split at random by weight.

    Args:
        route: The route.
        draw: Uniform random number in [0, 1).
    """
    if len(route.split) == 1:
        return route.split[0].service
    cumulative_weights = list(
        itertools.accumulate(share.weight for share in route.split)
    )
    if cumulative_weights[-1] <= 0:
        return route.split[0].service
    index = bisect.bisect_right(
        cumulative_weights, draw * cumulative_weights[-1]
    )
    return route.split[min(index, len(route.split) - 1)].service
