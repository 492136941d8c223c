"""Test the client while the store comes back from a backup."""

from collections.abc import Callable
from typing import Any

import pytest

from shallotfold._errors import HistoryLostError
from shallotfold._errors import LeaseLostError
from shallotfold._errors import StoreConflictError
from shallotfold._services.revisions import era_of
from shallotfold.platform.store import PlatformStore
from tests.platform.conftest import StoreScenario
from tests.platform.store_standin import StoreStandIn

RunWithStore = Callable[[StoreScenario], None]


def test_watch_from_before_a_restore_has_lost_its_history(
    run_with_store: RunWithStore,
) -> None:
    """Its number is given out again, so that it would miss changes."""

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        backup = standin.back_up()
        standin.put("servers/a", b"1")
        snapshot = await store.snapshot("servers/")
        standin.restore(backup)
        for number in range(5):
            standin.put(f"servers/new{number}", b"2")
        with pytest.raises(HistoryLostError):
            await store.watch("servers/", snapshot.revision, 1.0)
        assert store.era == 1
        # Known by now, so that no call is needed.
        calls = len(standin.calls)
        with pytest.raises(HistoryLostError):
            await store.watch("servers/", snapshot.revision, 1.0)
        assert len(standin.calls) == calls

    run_with_store(scenario)


def test_revisions_after_a_restore_are_higher_than_all_before(
    run_with_store: RunWithStore,
) -> None:
    """A fencing token from a number given out again would be refused."""

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        backup = standin.back_up()
        for number in range(9):
            standin.put(f"servers/{number}", b"1")
        before = await store.compare_and_swap("k", 0, b"v")
        standin.restore(backup)
        after = await store.compare_and_swap("k", 0, b"w")
        assert after > before
        stored = await store.get("k")
        assert stored is not None
        assert (stored.revision, stored.value) == (after, b"w")
        snapshot = await store.snapshot("servers/")
        assert snapshot.revision > before
        changes = await store.watch("", snapshot.revision, 1.0)
        assert era_of(changes.revision) == 1

    run_with_store(scenario)


def test_conditional_write_from_before_a_restore_is_not_sent(
    run_with_store: RunWithStore,
) -> None:
    """Its number may stand for another value by now."""

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        backup = standin.back_up()
        before = await store.compare_and_swap("k", 0, b"v")
        standin.restore(backup)
        after = await store.compare_and_swap("k", 0, b"other")
        assert after % 1024 == before % 1024
        with pytest.raises(StoreConflictError):
            await store.delete("k", before)
        assert "k" in standin.entries
        await store.delete("k", after)
        assert "k" not in standin.entries

    run_with_store(scenario)


def test_lease_granted_after_the_backup_is_lost(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        backup = standin.back_up()
        lease = await store.grant_lease(3.0)
        standin.restore(backup)
        with pytest.raises(LeaseLostError):
            await store.renew_lease(lease.lease_id)

    run_with_store(scenario)


def test_restore_between_two_pages_starts_the_snapshot_again(
    run_with_store: RunWithStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A snapshot of two eras would hold values of neither."""
    read_page = StoreStandIn.kv_range

    def read_and_restore(
        self: StoreStandIn, query: Any, content: Any, last: str
    ) -> tuple[int, Any]:
        page = read_page(self, query, content, last)
        if "After" in query:
            self.restore(self.back_up())
        return page

    monkeypatch.setattr(StoreStandIn, "kv_range", read_and_restore)

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        for number in range(8):
            standin.put(f"servers/{number}", b"x")
        with pytest.raises(HistoryLostError):
            await store.snapshot("servers/")

    run_with_store(scenario)
