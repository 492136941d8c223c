"""Fleets sent as much to slow upstreams as to fast ones, or ran into a wall.

Loads are those of the hardest cases: many hosts that know of each other's
requests late, few upstreams of different speeds, and disturbances of 0.6 s.
"""

import pytest

from tests.gateway.deciding.speed_simulation import SpeedSimulation
from tests.gateway.deciding.speed_simulation import usual_rate

SLOTS = 6
SPEEDS = (1.0, 1.0, 1.3)


def simulate(way: str, curve: str) -> list[SpeedSimulation]:
    """Run three seeds with 59 hosts: what one seed shows is mostly chance."""
    simulations = [
        SpeedSimulation(
            way=way,
            curve=curve,
            speeds=SPEEDS,
            slots=SLOTS,
            hosts=59,
            requests_per_s=usual_rate(curve, SPEEDS, SLOTS),
            seed=seed,
        )
        for seed in (1, 2, 3)
    ]
    for simulation in simulations:
        simulation.run(14.0)
    return simulations


@pytest.mark.parametrize("curve", ["flat", "knee", "linear"])
def test_requests_take_less_time_than_with_fixed_weights(curve: str) -> None:
    chosen, fixed = simulate("chosen", curve), simulate("fixed", curve)
    chosen_s, fixed_s = (
        sum(simulation.mean_s() for simulation in simulations)
        for simulations in (chosen, fixed)
    )
    assert chosen_s < 0.95 * fixed_s
    for simulation in chosen:
        # No upstream is starved, nor gets all.
        assert min(simulation.sent) >= 0.1 * sum(simulation.sent)
        if curve == "flat":
            limit = simulation.placements[0].speeds.limit
            for upstream in simulation.by_id.values():
                assert limit(upstream, simulation.now_s) >= SLOTS - 1


def test_overload_at_a_wall_is_no_worse_than_with_fixed_weights() -> None:
    """Upstreams that run too many requests at once never catch up again."""
    chosen, fixed = (
        sum(simulation.in_time() for simulation in simulate(way, "wall"))
        for way in ("chosen", "fixed")
    )
    assert chosen > fixed
