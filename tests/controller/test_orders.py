import asyncio
import contextlib

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from shallotfold._errors import PlatformError
from shallotfold._fleet.order_journal import OrderJournal
from shallotfold._fleet.order_journal import decode_journal
from shallotfold._fleet.order_journal import encode_journal
from shallotfold._fleet.usage_flush import ModelDemand
from shallotfold._fleet.usage_flush import UsageFlush
from shallotfold._fleet.usage_flush import encode_flush
from shallotfold._fleet.usage_flush import flush_key
from shallotfold._standin.store import StoreFault
from tests.controller.simulation import HOLDER_WAIT_S
from tests.controller.simulation import Simulation

SOURCE = "entry-1"


async def flush_demand(
    simulation: Simulation, tokens_per_s: float, seconds: float
) -> None:
    """Flush steadily rising cumulative demand as an entry does."""
    requested = 0.0
    for _ in range(round(seconds)):
        requested += tokens_per_s
        flush = UsageFlush(
            source=SOURCE,
            demand=(
                ModelDemand(
                    model="small",
                    class_name="chat",
                    asked_tokens=int(requested),
                ),
            ),
        )
        stored = simulation.store.snapshot(flush_key(SOURCE))
        with contextlib.suppress(PlatformError):
            await simulation.store.compare_and_swap(
                flush_key(SOURCE),
                stored[0].revision if stored else 0,
                encode_flush(flush),
            )
        await simulation.run(1)


def journals(simulation: Simulation) -> dict[str, OrderJournal]:
    return {
        stored.key: decode_journal(stored.value)
        for stored in simulation.store.snapshot("orders/")
    }


def running_upstreams(simulation: Simulation) -> set[str]:
    """Return the upstreams that were started and not released."""
    started: set[str] = set()
    for executed in simulation.orders.executed:
        if executed.order.action == "start":
            started.add(executed.order.upstream)
        else:
            started.discard(executed.order.upstream)
    return started


def check_orders(simulation: Simulation) -> None:
    """Check that each order arrived once, and none after a successor's."""
    platform = simulation.orders
    ids = [executed.order.order_id for executed in platform.executed]
    assert len(ids) == len(set(ids))
    assert platform.stale_count == 0


def check_journals(simulation: Simulation) -> None:
    """Check that the journals match what the platform runs.

    An upstream with an open intent may run or not.
    """
    check_orders(simulation)
    recorded = {
        upstream
        for journal in journals(simulation).values()
        for upstream in journal.offers_by_upstream
    }
    intended = {
        intent.upstream
        for journal in journals(simulation).values()
        for intent in journal.intents
    }
    assert (
        recorded - intended
        <= running_upstreams(simulation)
        <= recorded | intended
    )


async def test_demand_starts_upstreams_and_idleness_releases_them() -> None:
    simulation = Simulation()
    await simulation.run(HOLDER_WAIT_S)
    await flush_demand(simulation, tokens_per_s=150.0, seconds=40)
    started = running_upstreams(simulation)
    assert len(started) >= 2
    await simulation.run(150)
    assert len(running_upstreams(simulation)) < len(started)
    check_journals(simulation)


async def test_lost_answer_is_looked_up_and_not_repeated() -> None:
    simulation = Simulation()
    await simulation.run(HOLDER_WAIT_S)
    simulation.lost_order_answers = 3
    await flush_demand(simulation, tokens_per_s=150.0, seconds=60)
    assert simulation.lost_order_answers == 0
    assert simulation.orders.repeat_count == 0
    check_journals(simulation)


@pytest.mark.parametrize("dies_after_effect", [False, True])
@pytest.mark.parametrize("calls", range(12))
async def test_holder_killed_at_any_call_loses_and_repeats_no_order(
    calls: int, *, dies_after_effect: bool
) -> None:
    simulation = Simulation()
    await simulation.run(HOLDER_WAIT_S)
    first_holder = simulation.holders("orders/east")[0]
    crash_injector = simulation.controllers[first_holder].crash_injector
    crash_injector.dies_after_effect = dies_after_effect
    demand_task = asyncio.ensure_future(
        flush_demand(simulation, tokens_per_s=300.0, seconds=60)
    )
    while not journals(simulation)[  # noqa: ASYNC110
        "orders/east"
    ].intents:
        await asyncio.sleep(0)
    crash_injector.calls_left = calls
    await demand_task
    check_journals(simulation)
    assert simulation.orders.repeat_count == 0
    assert running_upstreams(simulation)


async def test_journal_write_with_unknown_outcome_sends_nothing() -> None:
    simulation = Simulation()
    await simulation.run(HOLDER_WAIT_S)
    simulation.store.set_fault(StoreFault.LOSE_ANSWERS)
    await simulation.run(4)
    simulation.store.set_fault(StoreFault.OK)
    await flush_demand(simulation, tokens_per_s=150.0, seconds=40)
    check_journals(simulation)


def test_encoded_journal_decodes_to_the_same() -> None:
    journal = OrderJournal(fencing=7).with_start("east", "east-small")
    journal = journal.with_outcome("east-1", executed=True)
    journal = journal.with_release("east", "east-small-1")
    assert decode_journal(encode_journal(journal)) == journal
    assert journal.next_number == 3


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "down", "lose_answers", "lose_order", "stop"]),
        st.integers(0, 2),
        st.integers(0, 9),
    ),
    max_size=8,
)


@settings(max_examples=20, suppress_health_check=[HealthCheck.too_slow])
@given(steps=STEPS)
def test_no_sequence_of_faults_duplicates_or_loses_an_order(
    steps: list[tuple[str, int, int]],
) -> None:
    async def scenario() -> None:
        simulation = Simulation()
        await simulation.run(HOLDER_WAIT_S)
        for verb, host, number in steps:
            controller = simulation.controllers[f"host{host}"]
            if verb == "kill":
                controller.crash_injector.calls_left = number
            elif verb == "stop" and not controller.dead:
                controller.shell.request_shutdown()
            elif verb == "lose_order":
                simulation.lost_order_answers = number
            elif verb in ("down", "lose_answers"):
                simulation.store.set_fault(StoreFault(verb), count=number)
            await flush_demand(
                simulation, tokens_per_s=80.0 * number, seconds=6
            )
            if controller.dead or controller.shell.stopped.is_set():
                controller.kill()
                simulation.restart(f"host{host}")
            check_orders(simulation)
        simulation.store.set_fault(StoreFault.OK)
        simulation.lost_order_answers = 0
        await flush_demand(simulation, tokens_per_s=100.0, seconds=40)
        check_journals(simulation)

    asyncio.run(scenario())
