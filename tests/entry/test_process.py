from collections.abc import AsyncIterator
import contextlib
import pathlib

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer
import pytest

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.reducing import reducer
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._model.serialization import dump_configuration
from shallotfold._services.http_store import HttpStore
from shallotfold._settings.addresses import Address
from shallotfold._settings.common import PlatformSettings
from shallotfold._settings.standin import PlatformStandinSettings
from shallotfold._standin.platform_http import make_platform_server
from tests.entry import served_entry as s


@contextlib.asynccontextmanager
async def run_platform(urls_by_name: dict[str, str]) -> AsyncIterator[str]:
    """Run the platform stand-in with a submitted configuration."""
    settings = PlatformStandinSettings(address=Address("127.0.0.1", 0))
    app = make_platform_server(settings).make_app()
    server = TestServer(app, host="127.0.0.1")
    await server.start_server()
    url = str(server.make_url("/")).rstrip("/")
    store = HttpStore(url)
    await store.start()
    document = dump_configuration(s.make_configuration(urls_by_name))
    await ConfigurationStore(store).submit(
        document, base_version=0, who="test", why="test"
    )
    try:
        yield url
    finally:
        await store.close()
        await server.close()


async def wait_ready(served: s.ServedEntry) -> None:
    while True:
        async with served.client.get(f"{served.url}/readyz") as response:
            if response.status == 200:
                return


def test_booking_runs_once_per_idempotency_key(tmp_path: pathlib.Path) -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        number = len(fakes[0].requests)
        return web.Response(
            text=f"booked {number}", headers=s.echo_request_id(request)
        )

    fakes: list[s.FakeUpstream] = []

    async def post(
        served: s.ServedEntry, key: str, body: str
    ) -> tuple[int, str]:
        async with served.client.post(
            f"{served.url}/booking/slots",
            data=body,
            headers={"Idempotency-Key": key},
        ) as response:
            return response.status, await response.text()

    async def main() -> None:
        async with (
            s.start_upstreams(answer) as started,
            run_platform({"b1": started[0].url}) as url,
            s.serve_entry(
                tmp_path,
                {},
                platform=PlatformSettings(
                    store_url=url, hosts_url=url, orders_url=url, usage_url=url
                ),
            ) as served,
        ):
            fakes.extend(started)
            await wait_ready(served)
            assert await post(served, "k1", "slot 1") == (200, "booked 1")
            assert await post(served, "k1", "slot 1") == (200, "booked 1")
            status, text = await post(served, "k1", "slot 2")
            assert (status, "key_reused" in text) == (422, True)
            async with aiohttp.ClientSession() as operator:
                await operator.post(f"{url}/faults", json={"store": "down"})
                status, text = await post(served, "k2", "slot 3")
                assert (status, '"not_run": true' in text) == (503, True)
                await operator.post(f"{url}/faults", json={"store": "ok"})
            assert len(fakes[0].requests) == 1
            served.entry.request_shutdown()
            assert await served.entry.wait_stopped() == 0

    s.run(main())


def test_reducer_exception_is_answered_and_the_entry_goes_on(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    reduce = reducer.reduce

    def raise_once(
        state: EntryState, event: events.Event
    ) -> list[effects.Effect]:
        if isinstance(event, events.RequestArrived):
            monkeypatch.setattr(reducer, "reduce", reduce)
            raise RuntimeError("fault")
        return reduce(state, event)

    async def main() -> None:
        async with (
            s.start_upstreams(s.answer_completion) as [fake],
            s.serve_entry(tmp_path, {"m1": fake.url}) as served,
        ):
            monkeypatch.setattr(reducer, "reduce", raise_once)
            chat = f"{served.url}/v1/chat/completions"
            async with served.client.post(chat, json=s.CHAT) as response:
                assert response.status == 502
                assert (await response.json())["error"]["unknown"] is True
            async with served.client.post(chat, json=s.CHAT) as response:
                assert response.status == 200

    s.run(main())
