"""Check the client of the platform's store."""

from collections.abc import Callable
import time

import pytest

from shallotfold._errors import HistoryLostError
from shallotfold._errors import LeaseLostError
from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold.platform.store import PlatformStore
from tests.platform.conftest import Scene
from tests.platform.store_standin import StoreStandIn

Play = Callable[[Scene], None]


def test_a_value_is_written_once_and_read_back(play_store: Play) -> None:
    async def scene(store: PlatformStore, standin: StoreStandIn) -> None:
        assert await store.get("k") is None
        revision = await store.compare_and_swap("k", 0, b"\x00value")
        found = await store.get("k")
        assert found is not None
        assert (found.value, found.revision) == (b"\x00value", revision)
        with pytest.raises(StoreConflictError) as caught:
            await store.compare_and_swap("k", 0, b"other")
        assert caught.value.actual_revision == revision
        await store.delete("k", revision)
        assert "k" not in standin.entries

    play_store(scene)


def test_a_prefix_is_read_page_by_page(play_store: Play) -> None:
    async def scene(store: PlatformStore, standin: StoreStandIn) -> None:
        for number in range(8):
            standin.put(f"servers/{number}", b"x")
        standin.put("other", b"y")
        snapshot = await store.snapshot("servers/")
        assert len(snapshot.changed) == 8
        assert snapshot.revision == standin.revision

    play_store(scene)


def test_a_watch_returns_the_newest_state_of_each_key(play_store: Play) -> None:
    async def scene(store: PlatformStore, standin: StoreStandIn) -> None:
        start = standin.revision
        standin.put("servers/a", b"1")
        standin.put("servers/a", b"2")
        standin.put("servers/b", b"3")
        standin.remove("servers/b")
        changes = await store.watch("servers/", start, 1.0)
        assert [v.value for v in changes.changed] == [b"2"]
        assert changes.deleted == ("servers/b",)
        assert changes.revision == standin.revision

    play_store(scene)


def test_a_lost_history_is_an_error_of_its_own(play_store: Play) -> None:
    async def scene(store: PlatformStore, standin: StoreStandIn) -> None:
        standin.kept_from = 50
        with pytest.raises(HistoryLostError):
            await store.watch("servers/", 3, 1.0)

    play_store(scene)


@pytest.mark.parametrize("status", [429, 503, 500])
def test_a_refused_call_is_unavailable(play_store: Play, status: int) -> None:
    async def scene(store: PlatformStore, standin: StoreStandIn) -> None:
        standin.refuse = status
        with pytest.raises(StoreUnavailableError):
            await store.get("k")

    play_store(scene)


def test_a_lost_answer_is_unavailable_in_time_and_not_repeated(
    play_store: Play,
) -> None:
    async def scene(store: PlatformStore, standin: StoreStandIn) -> None:
        standin.lose.add("kv-txn")
        begin_s = time.monotonic()
        with pytest.raises(StoreUnavailableError):
            await store.compare_and_swap("k", 0, b"v")
        assert time.monotonic() - begin_s < 1.5
        assert standin.calls.count("kv-txn") == 1
        standin.lose.clear()
        # The write was carried out all the same.
        assert await store.get("k") is not None

    play_store(scene)


def test_a_lease_ends_with_its_keys(play_store: Play) -> None:
    async def scene(store: PlatformStore, standin: StoreStandIn) -> None:
        lease = await store.grant_lease(3.0)
        await store.compare_and_swap("k", 0, b"v", lease.lease_id)
        await store.renew_lease(lease.lease_id)
        await store.revoke_lease(lease.lease_id)
        assert "k" not in standin.entries
        with pytest.raises(LeaseLostError):
            await store.renew_lease(lease.lease_id)
        with pytest.raises(LeaseLostError):
            await store.compare_and_swap("k", 0, b"v", lease.lease_id)

    play_store(scene)
