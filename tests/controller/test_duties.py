import asyncio

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from shallotfold._controller import duties
from shallotfold._controller import effects
from shallotfold._fleet.duties import USAGE_SHARD_COUNT
from shallotfold._fleet.duties import all_duties
from shallotfold._standin.store import StoreFault
from tests.controller.simulation import CONFIGURATION
from tests.controller.simulation import Simulation
from tests.controller.simulation import VirtualFence

DUTIES = all_duties(CONFIGURATION.data_centres)
HOSTS = ("host0", "host1", "host2")


def fencing_by_duty(simulation: Simulation) -> dict[str, int]:
    return {
        duty: controller.shell.state.duties.held_by_name[duty].fencing
        for controller in simulation.controllers.values()
        for duty in DUTIES
        if duty in controller.shell.state.duties.held_by_name
    }


async def test_every_duty_gets_one_holder_and_they_are_spread() -> None:
    simulation = Simulation()
    await simulation.run(15)
    held = {duty: simulation.holders(duty) for duty in DUTIES}
    assert all(len(holders) == 1 for holders in held.values())
    assert len({holders[0] for holders in held.values()}) > 1


async def test_killed_holder_is_replaced_with_a_higher_fencing_token() -> None:
    simulation = Simulation()
    await simulation.run(15)
    before = fencing_by_duty(simulation)
    first_holder = simulation.holders(DUTIES[0])[0]
    simulation.controllers[first_holder].kill()
    await simulation.run(20)
    after = fencing_by_duty(simulation)
    assert simulation.holders(DUTIES[0])[0] != first_holder
    assert after[DUTIES[0]] > before[DUTIES[0]]


async def test_paused_holder_dies_before_a_successor_may_send() -> None:
    simulation = Simulation()
    await simulation.run(15)
    first_holder = simulation.holders(DUTIES[0])[0]
    simulation.controllers[first_holder].paused = True
    await simulation.run(20)
    simulation.resume(first_holder)
    assert simulation.controllers[first_holder].dead
    await simulation.run(1)
    assert simulation.holders(DUTIES[0]) != [first_holder]


async def test_without_the_fence_a_frozen_holder_gives_a_duty_two_senders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(VirtualFence, "enabled", False)
    simulation = Simulation()
    await simulation.run(15)
    first_holder = simulation.holders(DUTIES[0])[0]
    simulation.controllers[first_holder].paused = True
    with pytest.raises(AssertionError):
        await simulation.run(20)


async def test_lost_answers_still_raise_the_fencing_token() -> None:
    simulation = Simulation()
    await simulation.run(15)
    before = fencing_by_duty(simulation)
    first_holder = simulation.holders(DUTIES[0])[0]
    simulation.controllers[first_holder].kill()
    for _ in range(10):
        simulation.store.set_fault(StoreFault.LOSE_ANSWERS, count=3)
        await simulation.run(2)
    simulation.store.set_fault(StoreFault.OK)
    await simulation.run(20)
    assert fencing_by_duty(simulation)[DUTIES[0]] > before[DUTIES[0]]


async def test_store_outage_stops_sends_until_the_store_returns() -> None:
    simulation = Simulation()
    await simulation.run(15)
    simulation.store.set_fault(StoreFault.DOWN)
    await simulation.run(10)
    assert not any(simulation.holders(duty) for duty in DUTIES)
    assert not any(c.dead for c in simulation.controllers.values())
    simulation.store.set_fault(StoreFault.OK)
    await simulation.run(20)
    assert all(simulation.holders(duty) for duty in DUTIES)


async def test_slow_store_loses_no_duty() -> None:
    simulation = Simulation()
    await simulation.run(15)
    before = fencing_by_duty(simulation)
    simulation.store.set_fault(StoreFault.SLOW, delay_s=1.5)
    await simulation.run(30)
    assert fencing_by_duty(simulation) == before
    assert all(simulation.holders(duty) for duty in DUTIES)


async def test_shutdown_hands_over_without_waiting_for_the_lease() -> None:
    simulation = Simulation()
    await simulation.run(15)
    first_holder = simulation.holders(DUTIES[0])[0]
    shell = simulation.controllers[first_holder].shell
    shell.request_shutdown()
    await asyncio.wait_for(shell.stopped.wait(), 5)
    simulation.controllers[first_holder].kill()
    takeover_s = shell.state.takeover_wait_s
    max_takeover_s = (
        2 * duties.CANDIDATE_POLL_PERIOD_S
        + duties.CANDIDATES_PER_DUTY * duties.ACQUIRE_DELAY_PER_RANK_S
        + takeover_s
    )
    await simulation.run(max_takeover_s)
    assert simulation.holders(DUTIES[0])


async def test_only_candidates_poll_the_duties_often() -> None:
    simulation = Simulation(host_count=24)
    await simulation.run(30)
    simulation.store.calls_by_name.clear()
    await simulation.run(30)
    candidates = duties.CANDIDATES_PER_DUTY * len(DUTIES)
    calls = simulation.store.calls_by_name
    assert calls["list"] <= candidates * 40 + 24
    assert calls["renew_lease"] <= len(DUTIES) * 30
    windows = 30 // CONFIGURATION.usage_window_s + 1
    assert calls["compare_and_swap"] <= USAGE_SHARD_COUNT * windows


async def test_duty_is_released_only_after_its_sends_are_aborted() -> None:
    simulation = Simulation()
    await simulation.run(15)
    first_holder = simulation.holders(DUTIES[0])[0]
    controller = simulation.controllers[first_holder]
    aborts: list[object] = []
    controller.shell.register(effects.AbortSends, aborts.append)
    controller.shell.request_shutdown()
    await simulation.run(2)
    keys = [value.key for value in simulation.store.snapshot("duties/")]
    assert aborts
    assert f"duties/{DUTIES[0]}" in keys
    assert controller.fence.deadline_s > 0


STORE_DELAY_S = 4.0
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("run"), st.sampled_from(["0.5", "3", "9"])),
        st.tuples(st.just("freeze"), st.sampled_from(HOSTS)),
        st.tuples(st.just("thaw"), st.sampled_from(HOSTS)),
        st.tuples(st.just("kill"), st.sampled_from(HOSTS)),
        st.tuples(st.just("restart"), st.sampled_from(HOSTS)),
        st.tuples(st.just("stop"), st.sampled_from(HOSTS)),
        st.tuples(
            st.just("store"),
            st.sampled_from(["ok", "down", "lose_answers", "slow"]),
        ),
    ),
    max_size=25,
)


async def apply_step(simulation: Simulation, verb: str, target: str) -> None:
    if verb == "run":
        await simulation.run(float(target))
        return
    if verb == "store":
        simulation.store.set_fault(StoreFault(target), delay_s=STORE_DELAY_S)
        return
    controller = simulation.controllers[target]
    if verb == "freeze":
        controller.paused = True
    elif verb == "thaw":
        simulation.resume(target)
    elif verb == "kill":
        controller.kill()
    elif verb == "restart" and controller.dead:
        simulation.restart(target)
    elif verb == "stop" and not controller.paused and not controller.dead:
        controller.shell.request_shutdown()


@settings(
    max_examples=40,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(steps=STEPS)
def test_no_sequence_of_faults_gives_a_duty_two_senders(
    steps: list[tuple[str, str]],
) -> None:
    async def scenario() -> None:
        simulation = Simulation()
        await simulation.run(12)
        for verb, target in steps:
            await apply_step(simulation, verb, target)
        await simulation.run(12)

    asyncio.run(scenario())
