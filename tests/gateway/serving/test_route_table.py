"""Test how routes and ranks are found."""

from collections.abc import Iterable
import itertools
import tracemalloc
from typing import Any

import attrs
from hypothesis import given
from hypothesis import strategies as st

from shallotfold._gateway.core.model import GatewayConfiguration
from shallotfold._gateway.core.model import Workspace
from shallotfold._gateway.serving.route_table import MAX_RANK
from shallotfold._gateway.serving.route_table import RouteTable
from tests.gateway.factories import make_configuration
from tests.gateway.factories import make_route

PREFIXES = st.lists(st.sampled_from(["", "a", "bb"]), max_size=4).map(
    lambda segments: "/" + "".join(f"{segment}/" for segment in segments)
)


class _CountedPath(str):
    """Counts the characters of the parts that are cut off."""

    __slots__ = ("cut_characters",)

    cut_characters: int

    def __getitem__(self, key: Any) -> str:
        part = super().__getitem__(key)
        self.cut_characters += len(part)
        return part


def test_work_for_a_path_does_not_grow_with_its_slashes() -> None:
    """Paths of 15,900 slashes from 60 callers stopped a host."""
    table = RouteTable(
        make_configuration(make_route(), make_route(path_prefix="/a/b/"))
    )
    path = _CountedPath("/" * 16_000)
    path.cut_characters = 0
    assert table.find("shop.example", path) is None
    assert path.cut_characters <= len(path)


@given(
    prefixes=st.lists(PREFIXES, min_size=1, max_size=6, unique=True),
    path=st.text(alphabet="/ab", max_size=12).map(lambda text: "/" + text),
)
def test_longest_matching_prefix_is_found(
    prefixes: list[str], path: str
) -> None:
    table = RouteTable(
        make_configuration(
            *(
                make_route(name=f"r{n}", path_prefix=prefix)
                for n, prefix in enumerate(prefixes)
            )
        )
    )
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    route = table.find("shop.example:80", path)
    assert (route.path_prefix if route else None) == max(
        matching, key=len, default=None
    )


def _many_priorities(
    workspace_priorities: Iterable[int], route_priorities: Iterable[int]
) -> GatewayConfiguration:
    routes = (
        attrs.evolve(
            make_route(name=f"r{n}", path_prefix=f"/r{n}/"), priority=priority
        )
        for n, priority in enumerate(route_priorities)
    )
    return attrs.evolve(
        make_configuration(*routes),
        workspaces_by_key={
            f"k{n}": Workspace(f"w{n}", priority)
            for n, priority in enumerate(workspace_priorities)
        },
    )


@given(
    workspace_priorities=st.lists(st.integers(0, 20), max_size=6),
    route_priorities=st.lists(st.integers(0, 20), min_size=1, max_size=6),
)
def test_rank_is_the_position_among_all_pairs_of_priorities(
    workspace_priorities: list[int], route_priorities: list[int]
) -> None:
    configuration = _many_priorities(workspace_priorities, route_priorities)
    table = RouteTable(configuration)
    pairs = sorted(
        itertools.product({0, *workspace_priorities}, set(route_priorities))
    )
    for route in configuration.routes:
        for workspace in (None, *configuration.workspaces_by_key.values()):
            priority = workspace.priority if workspace else 0
            position = pairs.index((priority or 0, route.priority))
            assert table.rank(route, workspace) == min(MAX_RANK, position)


def test_memory_does_not_grow_with_workspaces_times_routes() -> None:
    """350 more routes took gateways of 8,700 workspaces past their memory."""
    configuration = _many_priorities(range(8_700), range(355))
    tracemalloc.start()
    table = RouteTable(configuration)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    (route, *_) = configuration.routes
    assert table.rank(route, None) == 0
    parts = len(configuration.workspaces_by_key) + len(configuration.routes)
    assert peak_bytes < parts * 1_000
