import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp.test_utils import TestServer
import pytest

from shallotfold._errors import LeaseLostError
from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._errors import ValueTooLargeError
from shallotfold._services.http_store import HttpStore
from shallotfold._services.ports import Store
from shallotfold._settings.addresses import Address
from shallotfold._settings.standin import PlatformStandinSettings
from shallotfold._standin.platform_http import make_platform_server
from shallotfold._standin.store import StoreFault
from shallotfold._standin.store import StoreStandin


def run(scenario: Callable[[Store, StoreStandin], Awaitable[None]]) -> None:
    async def main() -> None:
        settings = PlatformStandinSettings(address=Address("127.0.0.1", 0))
        platform = make_platform_server(settings)
        standin = platform.store
        server = TestServer(platform.make_app(), host="127.0.0.1")
        await server.start_server()
        store = HttpStore(f"http://127.0.0.1:{server.port}")
        await store.start()
        try:
            await asyncio.wait_for(scenario(store, standin), 20)
        finally:
            await store.close()
            await server.close()

    asyncio.run(main())


def test_written_value_is_read_back_and_deleted() -> None:
    async def scenario(store: Store, _: StoreStandin) -> None:
        value = bytes(range(256))
        revision = await store.compare_and_swap("x/a", 0, value)
        stored = await store.get("x/a")
        assert stored is not None
        assert (stored.value, stored.revision) == (value, revision)
        assert [item.key for item in await store.list("x/")] == ["x/a"]
        assert await store.get("x/b") is None
        await store.delete("x/a", revision)
        assert await store.list("x/") == ()

    run(scenario)


def test_conflicts_and_lost_leases_raise_their_error_classes() -> None:
    async def scenario(store: Store, _: StoreStandin) -> None:
        revision = await store.compare_and_swap("a", 0, b"1")
        with pytest.raises(StoreConflictError) as caught:
            await store.compare_and_swap("a", 0, b"2")
        assert caught.value.actual_revision == revision
        with pytest.raises(LeaseLostError):
            await store.renew_lease("none")
        with pytest.raises(ValueTooLargeError):
            await store.compare_and_swap("b", 0, bytes(1_000_001))
        lease = await store.grant_lease(9.0)
        await store.compare_and_swap("b", 0, b"", lease.lease_id)
        await store.revoke_lease(lease.lease_id)
        assert await store.get("b") is None

    run(scenario)


def test_lost_response_is_unavailable_but_the_write_took_effect() -> None:
    async def scenario(store: Store, standin: StoreStandin) -> None:
        standin.set_fault(StoreFault.LOSE_ANSWERS, count=1)
        with pytest.raises(StoreUnavailableError):
            await store.compare_and_swap("a", 0, b"1")
        assert await store.get("a") is not None
        assert standin.calls_by_name["compare_and_swap"] == 1

    run(scenario)


def test_watch_returns_a_change() -> None:
    async def scenario(store: Store, standin: StoreStandin) -> None:
        changes, _ = await asyncio.gather(
            store.watch("a", 0, 10.0),
            standin.compare_and_swap("a", 0, b"1"),
        )
        assert [item.value for item in changes.changed] == [b"1"]
        assert (await store.watch("b", 0, 0.0)).changed == ()

    run(scenario)


def test_refused_connection_is_unavailable() -> None:
    async def main() -> None:
        store = HttpStore("http://127.0.0.1:1")
        await store.start()
        try:
            with pytest.raises(StoreUnavailableError, match="read it back"):
                await store.get("a")
        finally:
            await store.close()

    asyncio.run(main())
