import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web
from aiohttp.test_utils import TestServer
import pytest

from shallotfold._errors import PlatformError
from shallotfold._model.upstreams import HostState
from shallotfold._model.upstreams import UpstreamLoad
from shallotfold._services.http_hosts import HttpHostList
from shallotfold._services.http_loads import HttpLoadReports
from shallotfold._settings.addresses import Address
from shallotfold._settings.standin import EngineSettings
from shallotfold._settings.standin import ListedHost
from shallotfold._settings.standin import PlatformStandinSettings
from shallotfold._standin.engine import EngineStandin
from shallotfold._standin.engine_http import EngineServer
from shallotfold._standin.http_common import monotonic_s
from shallotfold._standin.platform_http import make_platform_server

ANY_PORT = Address("127.0.0.1", 0)


def serve(
    app: web.Application, scenario: Callable[[str], Awaitable[None]]
) -> None:
    async def main() -> None:
        server = TestServer(app, host="127.0.0.1")
        await server.start_server()
        try:
            url = f"http://127.0.0.1:{server.port}"
            await asyncio.wait_for(scenario(url), 20)
        finally:
            await server.close()

    asyncio.run(main())


def test_host_list_is_read() -> None:
    host = ListedHost(
        name="entry-1", role="entry", data_centre="a", address="127.0.0.1:9"
    )
    settings = PlatformStandinSettings(address=ANY_PORT, hosts=(host,))

    async def scenario(url: str) -> None:
        hosts = HttpHostList(url)
        await hosts.start()
        try:
            (record,) = await hosts.fetch()
        finally:
            await hosts.close()
        assert (record.name, record.state) == ("entry-1", HostState.LIVE)

    serve(make_platform_server(settings).make_app(), scenario)


def test_unchanged_host_list_is_not_transferred_again() -> None:
    host = ListedHost(
        name="entry-1", role="entry", data_centre="a", address="127.0.0.1:9"
    )
    settings = PlatformStandinSettings(
        address=ANY_PORT, hosts=(host,), host_list_lag_s=0.0
    )
    platform = make_platform_server(settings)
    statuses: list[int] = []

    @web.middleware
    async def record_status(
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        response = await handler(request)
        statuses.append(response.status)
        return response

    app = platform.make_app()
    app.middlewares.append(record_status)

    async def scenario(url: str) -> None:
        hosts = HttpHostList(url)
        await hosts.start()
        try:
            first = await hosts.fetch()
            assert await hosts.fetch() == first
            platform.hosts.remove("entry-1", monotonic_s())
            assert await hosts.fetch() == ()
        finally:
            await hosts.close()

    serve(app, scenario)
    assert statuses == [200, 304, 200]


def test_load_report_is_read() -> None:
    settings = EngineSettings(name="engine", address=ANY_PORT, slots=3)

    async def scenario(url: str) -> None:
        loads = HttpLoadReports()
        await loads.start()
        try:
            load = await loads.fetch(url)
        finally:
            await loads.close()
        assert load == UpstreamLoad(running=0, queued=0, slots=3)

    serve(EngineServer(EngineStandin(settings)).make_app(), scenario)


@pytest.mark.parametrize("status", [200, 404, 500])
def test_malformed_response_is_a_platform_error(status: int) -> None:
    async def respond(_: web.Request) -> web.Response:
        return web.json_response({"running": "many"}, status=status)

    app = web.Application()
    app.router.add_get("/{path:.*}", respond)

    async def scenario(url: str) -> None:
        hosts, loads = HttpHostList(url), HttpLoadReports()
        await hosts.start()
        await loads.start()
        try:
            with pytest.raises(PlatformError):
                await hosts.fetch()
            with pytest.raises(PlatformError):
                await loads.fetch(url)
        finally:
            await hosts.close()
            await loads.close()

    serve(app, scenario)


def test_nested_response_is_a_platform_error() -> None:
    """`RecursionError` left the client, and ended whoever had called it."""

    async def respond(_: web.Request) -> web.Response:
        return web.Response(body=b"[" * 100_000)

    app = web.Application()
    app.router.add_get("/{path:.*}", respond)

    async def scenario(url: str) -> None:
        loads = HttpLoadReports()
        await loads.start()
        try:
            with pytest.raises(PlatformError):
                await loads.fetch(url)
        finally:
            await loads.close()

    serve(app, scenario)
