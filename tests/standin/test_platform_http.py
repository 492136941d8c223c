import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.test_utils import TestServer
import attrs
import pytest

from shallotfold._settings.addresses import Address
from shallotfold._settings.standin import PlatformStandinSettings
from shallotfold._settings.standin import SpareEngine
from shallotfold._standin.platform_http import make_platform_server

SETTINGS = PlatformStandinSettings(
    address=Address("127.0.0.1", 0),
    data_centres=("a",),
    spare_engines=(
        SpareEngine(data_centre="a", offer="o", url="http://127.0.0.1:1"),
    ),
    host_list_lag_s=0.0,
    start_s=0.0,
)
ORDER = {
    "order_id": "1",
    "action": "start",
    "offer": "o",
    "upstream": "u",
    "fencing": 2,
}
REPORT = {
    "workspace": "w",
    "window": 60,
    "requests": 1,
    "prompt_tokens": 2,
    "output_tokens": 3,
    "fencing": 1,
}


@attrs.frozen
class Platform:
    session: aiohttp.ClientSession
    url: str

    async def post(self, path: str, body: dict[str, Any]) -> int:
        async with self.session.post(self.url + path, json=body) as response:
            return response.status

    async def get(self, path: str) -> Any:
        async with self.session.get(self.url + path) as response:
            return await response.json()


def run(scenario: Callable[[Platform], Awaitable[None]]) -> None:
    async def main() -> None:
        app = make_platform_server(SETTINGS).make_app()
        server = TestServer(app, host="127.0.0.1")
        await server.start_server()
        async with aiohttp.ClientSession() as session:
            platform = Platform(session, f"http://127.0.0.1:{server.port}")
            await asyncio.wait_for(scenario(platform), 20)
        await server.close()

    asyncio.run(main())


def test_usage_reports_are_accepted_once() -> None:
    async def scenario(platform: Platform) -> None:
        assert await platform.post("/v1/usage", REPORT) == 200
        assert await platform.post("/v1/usage", REPORT) == 200
        other = {**REPORT, "requests": 9}
        assert await platform.post("/v1/usage", other) == 409
        assert await platform.post("/v1/usage", {"workspace": "w"}) == 400
        usage = await platform.get("/v1/usage")
        assert usage["reports"] == [{**REPORT, "repeats": 1}]
        assert usage["conflicts"] == 1

    run(scenario)


def test_orders_are_executed_and_can_be_looked_up() -> None:
    async def scenario(platform: Platform) -> None:
        assert await platform.post("/v1/orders/a", ORDER) == 200
        stale = {**ORDER, "order_id": "2", "fencing": 1}
        assert await platform.post("/v1/orders/a", stale) == 409
        more = {**ORDER, "order_id": "3", "upstream": "v"}
        assert await platform.post("/v1/orders/a", more) == 422
        assert (await platform.get("/v1/orders/a/1"))["upstream"] == "u"
        assert (await platform.get("/v1/orders/a/3"))["error"] == "not_found"
        listed = await platform.get("/v1/orders/a")
        assert [order["order_id"] for order in listed["orders"]] == ["1"]
        hosts = (await platform.get("/v1/hosts"))["hosts"]
        assert [host["name"] for host in hosts] == ["u"]
        reclaim = {"reclaim": {"data_centre": "a"}}
        await platform.post("/faults", reclaim)
        hosts = (await platform.get("/v1/hosts"))["hosts"]
        assert [host["state"] for host in hosts] == ["leaving"]

    run(scenario)


def test_response_is_dropped_after_the_report_takes_effect() -> None:
    async def scenario(platform: Platform) -> None:
        await platform.post("/faults", {"lost_usage_answers": 1})
        with pytest.raises(aiohttp.ClientError):
            await platform.post("/v1/usage", REPORT)
        assert len((await platform.get("/v1/usage"))["reports"]) == 1

    run(scenario)
