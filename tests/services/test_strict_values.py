"""Odd numbers in an engine's answers weighed in the choice of upstreams.

Values were converted: -1, 401 digits, NaN, text and true were taken.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web
from aiohttp.test_utils import TestServer
import pytest

from shallotfold._errors import PlatformError
from shallotfold._services.http_cache_events import HttpCacheEvents
from shallotfold._services.http_loads import HttpLoadReports

ODD_NUMBERS = ["-1", "9" * 401, "NaN", "Infinity", "1e999", '"3"', "true", "[]"]


def fetch_from(body: str, fetch: Callable[[str], Awaitable[object]]) -> None:
    """Call `fetch` with the URL of a server that answers with `body`."""

    async def respond(_: web.Request) -> web.Response:
        return web.Response(text=body, content_type="application/json")

    async def run() -> None:
        app = web.Application()
        app.router.add_get("/{path:.*}", respond)
        server = TestServer(app, host="127.0.0.1")
        await server.start_server()
        try:
            await fetch(f"http://127.0.0.1:{server.port}")
        finally:
            await server.close()

    asyncio.run(run())


async def fetch_load(url: str) -> None:
    loads = HttpLoadReports()
    await loads.start()
    try:
        await loads.fetch(url)
    finally:
        await loads.close()


async def fetch_cache_events(url: str) -> None:
    cache_events = HttpCacheEvents()
    await cache_events.start()
    try:
        await cache_events.fetch(url, 0)
    finally:
        await cache_events.close()


@pytest.mark.parametrize("number", ODD_NUMBERS)
@pytest.mark.parametrize("field", ["running", "slots", "tokens_per_s"])
def test_load_report_with_an_odd_number_is_refused(
    field: str, number: str
) -> None:
    sound = {"running": "1", "queued": "0", "slots": "8"}
    fields = sound | {field: number}
    body = ",".join(f'"{name}":{value}' for name, value in fields.items())
    with pytest.raises(PlatformError):
        fetch_from(f"{{{body}}}", fetch_load)


@pytest.mark.parametrize("number", ODD_NUMBERS)
def test_cache_event_with_an_odd_number_is_refused(number: str) -> None:
    body = f'{{"events":[{{"sequence":{number}}}],"newest":1}}'
    with pytest.raises(PlatformError):
        fetch_from(body, fetch_cache_events)


@pytest.mark.parametrize(
    ("body", "fetch"),
    [
        ('{"running":1,"queued":0,"slots":8,"tokens_per_s":3}', fetch_load),
        (
            '{"events":[{"sequence":1,"held":["a"]}],"newest":1}',
            fetch_cache_events,
        ),
    ],
)
def test_sound_answer_is_read(
    body: str, fetch: Callable[[str], Awaitable[object]]
) -> None:
    fetch_from(body, fetch)
