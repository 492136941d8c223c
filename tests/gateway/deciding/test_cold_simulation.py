"""Cold upstreams crashed under several times the requests that they take.

Every host sent to an upstream that had just started as if it were warm. The
load is what the example deployment has: more requests than all cold upstreams
together take.
"""

from collections.abc import Callable

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from tests.gateway.deciding.cold_simulation import ColdSimulation

SETTLED_S = 6.0
RATE_PER_S = 9.5
BURST_REQUESTS = 20

Fault = Callable[[ColdSimulation, int], None]


def _freeze(simulation: ColdSimulation, host: int) -> None:
    simulation.freeze_host(host, 1.5)


def _cut_off(simulation: ColdSimulation, host: int) -> None:
    simulation.cut_off(*range(host + 1))


def _reconnect(simulation: ColdSimulation, host: int) -> None:
    del host
    simulation.cut_off()


def _restart_host(simulation: ColdSimulation, host: int) -> None:
    simulation.kill_host(host)
    simulation.start_host(host)


def _move_callers(simulation: ColdSimulation, host: int) -> None:
    simulation.set_weights(lambda number: 1.0 if number <= host else 0.0)


def _become_cold(simulation: ColdSimulation, host: int) -> None:
    del host
    simulation.become_cold()


def _restart_upstream(simulation: ColdSimulation, host: int) -> None:
    del host
    simulation.become_cold("u0", restart=True)


def _burst(simulation: ColdSimulation, host: int) -> None:
    del host
    simulation.burst(BURST_REQUESTS)


FAULTS: tuple[Fault, ...] = (
    _freeze,
    _cut_off,
    _reconnect,
    _restart_host,
    _move_callers,
    _become_cold,
    _restart_upstream,
    _burst,
)


@settings(max_examples=60)
@given(
    seed=st.integers(0, 2**32),
    host_count=st.integers(1, 24),
    rate_per_s=st.sampled_from([0.3, 1.0, 3.0, 9.5, 30.0]),
    clock_error_s=st.sampled_from([0.0, 0.02, 0.1]),
    lost_share=st.sampled_from([0.0, 0.02, 0.3]),
    load=st.sampled_from([0.3, 12.0]),
    faults=st.lists(
        st.tuples(
            st.floats(0.0, 1.0), st.integers(0, 23), st.sampled_from(FAULTS)
        ),
        max_size=8,
    ),
)
def test_cold_upstream_never_gets_more_than_it_takes(
    seed: int,
    host_count: int,
    rate_per_s: float,
    clock_error_s: float,
    lost_share: float,
    load: float,
    faults: list[tuple[float, int, Fault]],
) -> None:
    simulation = ColdSimulation(
        seed=seed,
        host_count=host_count,
        upstream_count=2,
        requests_per_s=min(150.0, load * (rate_per_s + 1.0)),
        cold_rate_per_s=rate_per_s,
        clock_error_s=clock_error_s,
        lost_share=lost_share,
    )
    simulation.run(SETTLED_S)
    simulation.become_cold()
    for delay_s, host, fault in faults:
        simulation.run(simulation.now_s + delay_s)
        fault(simulation, host % host_count)
    simulation.run(simulation.now_s + 4.0)
    simulation.check_cold()


@pytest.mark.parametrize("seed", range(3))
def test_bound_holds_in_the_example_deployment(seed: int) -> None:
    """72 hosts, as many requests as need refusals, all upstreams cold."""
    simulation = ColdSimulation(
        seed=seed,
        host_count=72,
        upstream_count=8,
        requests_per_s=400.0,
        cold_rate_per_s=RATE_PER_S,
    )
    simulation.run(SETTLED_S)
    simulation.become_cold()
    simulation.run(SETTLED_S + 2.0)
    simulation.become_cold("u0", "u1")
    simulation.run(SETTLED_S + 5.0)
    assert simulation.check_cold() >= RATE_PER_S / 2
    assert simulation.refused
