"""Check in virtual time which prompts a whole fleet holds back.

Sound parts were held back when hosts had seen few answers, since engines that
end break off sound requests too.
"""

import pytest

from tests.gateway.deciding.crash_simulation import CrashSimulation
from tests.gateway.deciding.crash_simulation import RouteLoad

SMALL_FLEET_ROUTES = (
    RouteLoad(name="tag", rate=20.0, subjects=60, answer_s=(0.1, 0.3)),
    RouteLoad(
        name="chat",
        rate=16.0,
        subjects=60,
        answer_s=(1.0, 2.5),
        resumable=False,
    ),
    RouteLoad(name="plan", rate=11.0, subjects=104, answer_s=(2.0, 4.0)),
)
LARGE_FLEET_ROUTES = (
    RouteLoad(name="tag", rate=150.0, subjects=200, answer_s=(0.1, 0.3)),
    RouteLoad(
        name="chat",
        rate=55.0,
        subjects=200,
        answer_s=(1.0, 2.5),
        resumable=False,
    ),
    RouteLoad(name="plan", rate=84.0, subjects=400, answer_s=(2.0, 4.0)),
)
CONTACT_S = 3.0
ALLOWED_SENDS = 3


def simulate(
    routes: tuple[RouteLoad, ...],
    *,
    seed: int,
    hosts: int = 9,
    engines: int = 13,
    crashing_rate: float = 2.0,
    warm_up_s: float = 10.0,
) -> CrashSimulation:
    simulation = CrashSimulation(
        seed=seed,
        host_count=hosts,
        engine_count=engines,
        routes=routes,
        crashing_rate=crashing_rate,
    )
    simulation.run(warm_up_s)
    simulation.start_crashing()
    simulation.run(warm_up_s + 12.0)
    return simulation


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("first_route", range(3))
def test_small_fleet_holds_back_the_crashing_part_only(
    seed: int, first_route: int
) -> None:
    routes = SMALL_FLEET_ROUTES[first_route:] + SMALL_FLEET_ROUTES[:first_route]
    simulation = simulate(routes, seed=seed)
    assert simulation.late_sends(CONTACT_S) <= ALLOWED_SENDS
    assert simulation.refused_sound <= 0.01 * simulation.sent_sound


def test_crashing_part_is_held_back_when_it_comes_with_the_first_requests() -> (
    None
):
    """No host knows any sound part then."""
    for seed in range(8):
        simulation = simulate(SMALL_FLEET_ROUTES, seed=seed, warm_up_s=1.0)
        assert simulation.late_sends(CONTACT_S) <= ALLOWED_SENDS
        assert simulation.refused_sound <= 0.05 * simulation.sent_sound


def test_few_engines_that_all_end_still_show_the_crashing_part() -> None:
    """Meanwhile no request is answered that could be compared with."""
    for seed in range(8):
        simulation = simulate(
            SMALL_FLEET_ROUTES, seed=seed, engines=6, crashing_rate=5.0
        )
        assert simulation.late_sends(CONTACT_S) <= ALLOWED_SENDS
        assert simulation.refused_sound <= 0.05 * simulation.sent_sound


def test_large_fleet_holds_back_the_crashing_part_only() -> None:
    simulation = simulate(
        LARGE_FLEET_ROUTES, seed=1, hosts=64, engines=56, crashing_rate=8.0
    )
    assert simulation.late_sends(CONTACT_S) <= ALLOWED_SENDS
    assert simulation.refused_sound <= 0.01 * simulation.sent_sound


def test_engines_that_end_by_themselves_hold_hardly_any_part_back() -> None:
    """What is held back all the same is let through after a trial."""
    for seed in range(5):
        simulation = CrashSimulation(
            seed=seed,
            host_count=9,
            engine_count=13,
            routes=SMALL_FLEET_ROUTES,
            crashing_rate=1.0,
        )
        simulation.run(5.0)
        for share in (0.2, 0.1, 0.5, 0.1, 0.1, 0.3):
            simulation.crash_engines(share)
            simulation.run(simulation.now_s + 0.6)
        simulation.run(simulation.now_s + 15.0)
        assert simulation.refused_sound <= 0.01 * simulation.sent_sound
        refused_before = simulation.refused_sound
        simulation.run(simulation.now_s + 5.0)
        assert simulation.refused_sound == refused_before
