import asyncio

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from shallotfold._controller import usage_sources
from shallotfold._entry.usage import replication
from shallotfold._entry.usage import usage as entry_usage
from shallotfold._fleet.audit import AuditFilter
from shallotfold._fleet.audit import read_records
from shallotfold._standin.store import StoreFault
from tests.controller.simulation import HOLDER_WAIT_S
from tests.controller.usage_simulation import WORKSPACES
from tests.controller.usage_simulation import UsageSimulation

ENTRIES = ("e0", "e1", "e2")
REPORTING_WAIT_S = 120.0


async def make_fleet() -> UsageSimulation:
    fleet = UsageSimulation()
    for name in ENTRIES:
        await fleet.start_entry(name)
    await fleet.run(HOLDER_WAIT_S)
    return fleet


async def serve(fleet: UsageSimulation, seconds: int) -> None:
    for number in range(seconds * 2):
        for index, name in enumerate(ENTRIES):
            fleet.answer(name, WORKSPACES[(number + index) % 3])
        await fleet.run(0.5)


async def test_every_answer_is_reported_once() -> None:
    fleet = await make_fleet()
    await serve(fleet, 30)
    await fleet.run(REPORTING_WAIT_S)
    assert fleet.reported() == fleet.counted == fleet.finished()
    assert fleet.exposed() == 0


async def test_killed_entry_loses_nothing_that_a_peer_holds() -> None:
    fleet = await make_fleet()
    await serve(fleet, 5)
    for name in ENTRIES:
        fleet.answer(name, "north")
    await fleet.run(0.2)
    fleet.kill_entry("e0")
    assert fleet.finished() == fleet.counted
    await fleet.run(REPORTING_WAIT_S)
    assert fleet.reported() == fleet.counted


async def test_without_holders_a_killed_entry_loses_usage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(replication, "_choose_holder", lambda *_: "")
    fleet = await make_fleet()
    await serve(fleet, 5)
    for name in ENTRIES:
        fleet.answer(name, "north")
    await fleet.run(0.2)
    fleet.kill_entry("e0")
    await fleet.run(REPORTING_WAIT_S)
    assert fleet.reported() < fleet.finished()


async def test_store_outage_makes_reports_late_but_complete() -> None:
    fleet = await make_fleet()
    fleet.store.set_fault(StoreFault.DOWN)
    await serve(fleet, 90)
    assert not fleet.reported()
    fleet.store.set_fault(StoreFault.OK)
    await fleet.run(REPORTING_WAIT_S)
    assert fleet.reported() == fleet.counted


async def test_peer_reports_in_time_for_a_paused_entry() -> None:
    fleet = await make_fleet()
    await serve(fleet, 8)
    fleet.answer("e0", "north")
    entry = fleet.entries["e0"]
    entry.paused = True
    await fleet.run(100)
    entry.paused = False
    await serve(fleet, 5)
    await fleet.run(REPORTING_WAIT_S)
    assert fleet.reported() == fleet.counted
    records = await read_records(fleet.store, AuditFilter(kind="usage"))
    assert all(
        record.change.after.endswith(" 0 of them late") for record in records
    )


async def test_frozen_entries_report_late_usage_in_a_later_window() -> None:
    fleet = await make_fleet()
    await serve(fleet, 8)
    fleet.answer("e0", "north")
    for entry in fleet.entries.values():
        entry.paused = True
    await fleet.run(100)
    for entry in fleet.entries.values():
        entry.paused = False
    await serve(fleet, 5)
    await fleet.run(REPORTING_WAIT_S)
    assert fleet.reported() == fleet.counted
    records = await read_records(fleet.store, AuditFilter(kind="usage"))
    assert any(
        not record.change.after.endswith(" 0 of them late")
        for record in records
    )


async def test_entry_paused_beyond_retirement_counts_nothing_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(entry_usage, "LONG_PAUSE_THRESHOLD_S", 60.0)
    monkeypatch.setattr(usage_sources, "RETIRE_AFTER_S", 90.0)
    monkeypatch.setattr(usage_sources, "RETIRE_PERIOD_S", 30.0)
    fleet = await make_fleet()
    await serve(fleet, 8)
    await fleet.run(2)
    fleet.entries["e0"].paused = True
    await fleet.run(200)
    retired = [
        value
        for value in fleet.store.snapshot("usage/flush/e0")
        if b"retired" in value.value
    ]
    assert retired
    fleet.entries["e0"].paused = False
    await serve(fleet, 8)
    await fleet.run(REPORTING_WAIT_S)
    assert fleet.reported() == fleet.counted


async def test_frozen_figures_are_cleaned_up_once_reported() -> None:
    fleet = await make_fleet()
    for _ in range(30):
        await serve(fleet, 4)
        await fleet.run(8)
    await fleet.run(REPORTING_WAIT_S)
    assert fleet.reported() == fleet.counted
    assert len(fleet.store.snapshot("usage/frozen/")) <= 4 * 22


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "kill_entry",
                "freeze_entry",
                "kill_controller",
                "freeze_controller",
                "stop_controller",
                "down",
                "lose_answers",
                "lose_reports",
            ]
        ),
        st.integers(0, 2),
        st.integers(0, 12),
    ),
    max_size=6,
)


async def apply_step(
    fleet: UsageSimulation, verb: str, target: int, number: int
) -> None:
    entry, controller = f"e{target}", fleet.controllers[f"host{target}"]
    if verb == "kill_entry":
        fleet.kill_entry(entry)
    elif verb == "freeze_entry":
        fleet.entries[entry].paused = True
    elif verb == "kill_controller":
        controller.crash_injector.calls_left = number
    elif verb == "freeze_controller":
        controller.paused = True
    elif verb == "stop_controller" and not controller.paused:
        controller.shell.request_shutdown()
    elif verb == "lose_reports":
        fleet.lost_report_answers = number
    elif verb in ("down", "lose_answers"):
        fleet.store.set_fault(StoreFault(verb), count=5 * number)
    await serve(fleet, number)


async def restore_all(fleet: UsageSimulation) -> None:
    """Restart or resume every stopped entry and controller."""
    fleet.lost_report_answers = 0
    for name, entry in list(fleet.entries.items()):
        entry.paused = False
        if entry.crash_injector.dead:
            await fleet.start_entry(name)
    for name, controller in list(fleet.controllers.items()):
        fleet.resume(name)
        if controller.dead or controller.shell.stopped.is_set():
            controller.kill()
            fleet.restart(name)


@settings(max_examples=15, suppress_health_check=[HealthCheck.too_slow])
@given(steps=STEPS)
def test_no_sequence_of_faults_reports_usage_twice_or_never(
    steps: list[tuple[str, int, int]],
) -> None:
    async def scenario() -> None:
        fleet = await make_fleet()
        for verb, target, number in steps:
            await apply_step(fleet, verb, target, number)
            await restore_all(fleet)
            await fleet.run(1)
        fleet.store.set_fault(StoreFault.OK)
        await fleet.run(REPORTING_WAIT_S)
        # A killed entry may lose the usage of answers that no peer held.
        lost = fleet.finished() - fleet.reported()
        assert lost.total() <= fleet.exposed()

    asyncio.run(scenario())
