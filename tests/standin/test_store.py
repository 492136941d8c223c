import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import pytest

from shallotfold._errors import LeaseLostError
from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._services.ports import Store
from shallotfold._standin.store import StoreFault
from shallotfold._standin.store import StoreStandin


@attrs.define
class Clock:
    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s


def run(scenario: Callable[[StoreStandin, Clock], Awaitable[None]]) -> None:
    async def main() -> None:
        clock = Clock()
        store = StoreStandin(clock=clock)
        port: Store = store
        assert port is store
        await asyncio.wait_for(scenario(store, clock), 10)

    asyncio.run(main())


def test_write_needs_the_expected_revision() -> None:
    async def scenario(store: StoreStandin, _: Clock) -> None:
        first = await store.compare_and_swap("a", 0, b"1")
        with pytest.raises(StoreConflictError) as caught:
            await store.compare_and_swap("a", 0, b"2")
        assert caught.value.actual_revision == first
        assert await store.compare_and_swap("a", first, b"2") > first

    run(scenario)


def test_write_takes_effect_although_its_response_is_lost() -> None:
    async def scenario(store: StoreStandin, _: Clock) -> None:
        store.set_fault(StoreFault.LOSE_ANSWERS, count=1)
        with pytest.raises(StoreUnavailableError):
            await store.compare_and_swap("a", 0, b"1")
        value = await store.get("a")
        assert value is not None
        assert value.value == b"1"

    run(scenario)


def test_write_fails_without_effect_while_the_store_is_down() -> None:
    async def scenario(store: StoreStandin, _: Clock) -> None:
        store.set_fault(StoreFault.DOWN)
        with pytest.raises(StoreUnavailableError):
            await store.compare_and_swap("a", 0, b"1")
        store.set_fault(StoreFault.OK)
        assert await store.get("a") is None

    run(scenario)


def test_expired_lease_deletes_its_keys_and_wakes_watches() -> None:
    async def scenario(store: StoreStandin, clock: Clock) -> None:
        lease = await store.grant_lease(5.0)
        revision = await store.compare_and_swap("a", 0, b"1", lease.lease_id)
        watch = asyncio.create_task(store.watch("a", revision, 60.0))
        await asyncio.sleep(0)
        clock.now_s += 5.0
        changes = await watch
        assert changes.deleted == ("a",)
        with pytest.raises(LeaseLostError):
            await store.renew_lease(lease.lease_id)
        with pytest.raises(LeaseLostError):
            await store.compare_and_swap("a", 0, b"1", lease.lease_id)

    run(scenario)


def test_renewed_lease_keeps_its_keys() -> None:
    async def scenario(store: StoreStandin, clock: Clock) -> None:
        lease = await store.grant_lease(5.0)
        await store.compare_and_swap("a", 0, b"1", lease.lease_id)
        clock.now_s += 4.0
        await store.renew_lease(lease.lease_id)
        clock.now_s += 4.0
        assert await store.get("a") is not None

    run(scenario)


def test_watch_ends_when_the_store_goes_down() -> None:
    async def scenario(store: StoreStandin, _: Clock) -> None:
        watch = asyncio.create_task(store.watch("a", 0, 60.0))
        await asyncio.sleep(0)
        store.set_fault(StoreFault.DOWN)
        with pytest.raises(StoreUnavailableError):
            await watch

    run(scenario)
