"""Requests that only some regions may serve reach no upstream elsewhere."""

from hypothesis import given
from hypothesis import strategies as st

from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.core.model import Workspace
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from shallotfold._gateway.serving.route_table import allowed_regions
from tests.gateway.factories import DispatcherHarness
from tests.gateway.factories import make_prompt
from tests.gateway.factories import make_route
from tests.gateway.factories import make_upstream

REGION_BY_DATA_CENTRE = {"a": "north", "b": "north", "c": "south"}
DATA_CENTRES = ("a", "b", "c", "unknown")
SETS = st.none() | st.frozensets(st.sampled_from(["north", "south"]))


def make_harness() -> DispatcherHarness:
    harness = DispatcherHarness(
        *(
            make_upstream(f"{name}{n}", data_centre=name, slots=1)
            for name in DATA_CENTRES
            for n in range(2)
        )
    )
    harness.dispatcher.region_by_data_centre = REGION_BY_DATA_CENTRE
    return harness


def sent_regions(harness: DispatcherHarness) -> set[str | None]:
    return {
        REGION_BY_DATA_CENTRE.get(effect.upstream.data_centre)
        for effect in harness.effects
        if isinstance(effect, effects.SendAttempt)
    }


@given(st.lists(st.sampled_from(["north", "south"]), min_size=1, max_size=30))
def test_no_request_overflows_into_another_region(regions: list[str]) -> None:
    """The upstreams of its regions may be full while others are idle."""
    harness = make_harness()
    for number, region in enumerate(regions):
        harness.arrive(
            number, prompt=make_prompt(), allowed_regions=frozenset({region})
        )
        assert sent_regions(harness) <= {region}


def test_retries_and_resumed_streams_stay_in_the_regions() -> None:
    harness = make_harness()
    route = make_route(RouteKind.STREAM, resumable=True, max_attempts=9)
    harness.arrive(route=route, allowed_regions=frozenset({"south"}))
    tried = 0
    while sent_regions(harness):
        assert sent_regions(harness) == {"south"}
        tried += 1
        harness.feed(
            events.AttemptBroken(
                now_s=harness.now_s, request=1, response_started=tried > 1
            )
        )
    assert tried == 2


def test_without_upstreams_in_its_regions_a_request_is_refused() -> None:
    harness = make_harness()
    nowhere: frozenset[str] = frozenset()
    for regions in (frozenset({"east"}), nowhere):
        (refusal,) = harness.arrive(allowed_regions=regions)
        assert isinstance(refusal, effects.Refuse)
        assert refusal.retry_after_s > 0.0


@given(SETS, SETS)
def test_regions_of_the_route_and_the_workspace_both_bind(
    of_route: frozenset[str] | None, of_workspace: frozenset[str] | None
) -> None:
    route = make_route(allowed_regions=of_route)
    allowed = allowed_regions(route, Workspace("w", None, of_workspace))
    for region in ("north", "south"):
        assert (allowed is None or region in allowed) == all(
            regions is None or region in regions
            for regions in (of_route, of_workspace)
        )
