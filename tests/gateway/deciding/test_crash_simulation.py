"""Check in virtual time which requests a whole fleet holds back.

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
# Servers without prompts: some requests come again and again.
PLAIN_ROUTES = (
    RouteLoad(
        name="look",
        rate=12.0,
        subjects=200,
        answer_s=(0.03, 0.1),
        has_prompts=False,
    ),
    RouteLoad(
        name="popular",
        rate=20.0,
        subjects=1,
        answer_s=(0.03, 0.1),
        has_prompts=False,
    ),
    RouteLoad(
        name="slow",
        rate=10.0,
        subjects=2,
        answer_s=(0.3, 0.9),
        resumable=False,
        has_prompts=False,
    ),
)
# Hosts have 5 Mbit/s or more, which requests and answers need.
MAX_CRASH_BYTES_PER_S = 0.1 * 5_000_000 / 8
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
    run_s: float = 12.0,
    are_equal: bool = False,
    datagram_loss: float = 0.0,
) -> CrashSimulation:
    simulation = CrashSimulation(
        seed=seed,
        host_count=hosts,
        engine_count=engines,
        routes=routes,
        crashing_rate=crashing_rate,
        are_equal=are_equal,
    )
    simulation.datagram_loss = datagram_loss
    simulation.run(warm_up_s)
    simulation.start_crashing()
    simulation.run(warm_up_s + run_s)
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


def check_equal_requests(
    simulation: CrashSimulation, *, refused_share: float = 0.01
) -> None:
    assert len(simulation.crashes_s) >= 3
    assert simulation.late_sends(CONTACT_S, crash=3) <= ALLOWED_SENDS
    refused = simulation.refused_sound
    assert refused <= refused_share * simulation.sent_sound, (
        refused,
        simulation.sent_sound,
        simulation.sound_holds,
    )


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("crashing_rate", [0.5, 2.5, 10.0])
@pytest.mark.parametrize("engines", [4, 12])
def test_crashing_request_among_plain_ones_is_held_back(
    seed: int, crashing_rate: float, engines: int
) -> None:
    simulation = simulate(
        PLAIN_ROUTES,
        seed=seed,
        engines=engines,
        crashing_rate=crashing_rate,
        are_equal=True,
        run_s=60.0,
    )
    check_equal_requests(simulation)


@pytest.mark.parametrize("first_route", range(3))
def test_crashing_request_with_a_prompt_is_held_back(first_route: int) -> None:
    """Other requests share its parts."""
    routes = SMALL_FLEET_ROUTES[first_route:] + SMALL_FLEET_ROUTES[:first_route]
    for seed in range(3):
        check_equal_requests(simulate(routes, seed=seed, are_equal=True))


def test_crashing_request_is_held_back_by_hosts_that_have_just_started() -> (
    None
):
    for seed in range(4):
        simulation = simulate(
            PLAIN_ROUTES,
            seed=seed,
            crashing_rate=5.0,
            warm_up_s=0.5,
            are_equal=True,
        )
        check_equal_requests(simulation, refused_share=0.02)


def test_crashing_request_is_held_back_though_datagrams_are_lost() -> None:
    for seed in range(4):
        simulation = simulate(
            PLAIN_ROUTES,
            seed=seed,
            crashing_rate=2.5,
            are_equal=True,
            datagram_loss=0.5,
            run_s=40.0,
        )
        check_equal_requests(simulation)


@pytest.mark.parametrize(("hosts", "engines"), [(64, 20), (195, 60)])
def test_large_fleet_holds_back_a_crashing_request(
    hosts: int, engines: int
) -> None:
    simulation = simulate(
        PLAIN_ROUTES,
        seed=1,
        hosts=hosts,
        engines=engines,
        crashing_rate=5.0,
        are_equal=True,
        warm_up_s=5.0,
    )
    check_equal_requests(simulation)


@pytest.mark.parametrize("seed", range(5))
def test_plain_requests_are_not_held_while_servers_end_by_themselves(
    seed: int,
) -> None:
    simulation = CrashSimulation(
        seed=seed,
        host_count=9,
        engine_count=6,
        routes=PLAIN_ROUTES,
        crashing_rate=1.0,
    )
    simulation.run(5.0)
    for share in (0.2, 0.2, 0.5, 0.2, 0.2, 1.0, 0.2, 0.3):
        simulation.crash_engines(share)
        simulation.run(simulation.now_s + 0.4)
    simulation.run(simulation.now_s + 10.0)
    assert simulation.refused_sound <= 0.002 * simulation.sent_sound, (
        simulation.refused_sound,
        simulation.sound_holds,
    )


@pytest.mark.parametrize("hosts", [9, 67, 195])
def test_engines_that_end_together_do_not_fill_the_links_of_hosts(
    hosts: int,
) -> None:
    """Requests, changes and departures of callers waited behind crash messages.

    Each host that was told of an answer to a retry told all others once more.
    """
    simulation = CrashSimulation(
        seed=1,
        host_count=hosts,
        engine_count=90,
        routes=LARGE_FLEET_ROUTES,
        crashing_rate=1.0,
    )
    simulation.run(5.0)
    for share in (0.2, 0.05, 0.2):
        simulation.crash_engines(share)
        simulation.run(simulation.now_s + 1.5)
    simulation.run(simulation.now_s + 10.0)
    assert max(simulation.sent_bytes.values()) <= MAX_CRASH_BYTES_PER_S
    assert simulation.refused_sound <= 0.002 * simulation.sent_sound


@pytest.mark.parametrize("seed", range(3))
def test_crashing_request_is_held_back_while_engines_end_together(
    seed: int,
) -> None:
    """News of other crashes must not displace those of the request."""
    simulation = CrashSimulation(
        seed=seed,
        host_count=67,
        engine_count=90,
        routes=LARGE_FLEET_ROUTES,
        crashing_rate=3.0,
        are_equal=True,
    )
    simulation.run(5.0)
    simulation.start_crashing()
    for share in (0.2, 0.05, 0.2):
        simulation.crash_engines(share)
        simulation.run(simulation.now_s + 0.5)
    simulation.run(simulation.now_s + 10.0)
    check_equal_requests(simulation)
    assert max(simulation.sent_bytes.values()) <= MAX_CRASH_BYTES_PER_S
