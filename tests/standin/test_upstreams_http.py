import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json

import aiohttp
import attrs
import pytest

from shallotfold._settings.addresses import Address
from shallotfold._settings.standin import EngineSettings
from shallotfold._settings.standin import EngineStandinSettings
from shallotfold._settings.standin import ServiceSettings
from shallotfold._settings.standin import ServiceStandinSettings
from shallotfold._standin.answers import answer_to
from shallotfold._standin.process import StandinProcess
from shallotfold._standin.process import make_engine_process
from shallotfold._standin.process import make_service_process

ANY_PORT = Address("127.0.0.1", 0)
ENGINE = EngineSettings(
    name="upstream",
    address=ANY_PORT,
    credential="own",
    secret_marker="sk-",
    tokens_per_s=2000.0,
)
SERVICE = ServiceSettings(name="upstream", address=ANY_PORT)


@attrs.frozen
class Upstream:
    session: aiohttp.ClientSession
    url: str

    async def fetch(self, path: str) -> dict[str, object]:
        async with self.session.get(self.url + path) as response:
            content = await response.json()
            assert isinstance(content, dict)
            return content

    async def wait_for_count(self, name: str) -> None:
        while not (await self.fetch("/stats"))[name]:
            pass

    async def set_faults(self, **faults: object) -> None:
        async with self.session.post(f"{self.url}/faults", json=faults):
            pass


def run(
    process_maker: Callable[[], StandinProcess],
    scenario: Callable[[Upstream], Awaitable[None]],
) -> None:
    async def main() -> None:
        process = process_maker()
        await process.start()
        try:
            async with aiohttp.ClientSession(
                headers={"Authorization": "Bearer own"}
            ) as session:
                url = f"http://{process.addresses_by_name['upstream']}"
                await asyncio.wait_for(scenario(Upstream(session, url)), 20)
        finally:
            await process.close()

    asyncio.run(main())


def make_engine() -> StandinProcess:
    return make_engine_process(EngineStandinSettings(engines=(ENGINE,)))


def make_service() -> StandinProcess:
    return make_service_process(ServiceStandinSettings(services=(SERVICE,)))


def make_body(**fields: object) -> dict[str, object]:
    messages = [{"role": "user", "content": "hello"}]
    return {"model": "m", "messages": messages, **fields}


async def read_stream(response: aiohttp.ClientResponse) -> tuple[str, bool]:
    text, is_ended = "", False
    async for line in response.content:
        if line.startswith(b"data: [DONE]"):
            is_ended = True
        elif line.startswith(b"data: "):
            delta = json.loads(line[6:])["choices"][0]["delta"]
            text += delta.get("content", "")
    return text, is_ended


def test_stream_is_resumed_token_by_token() -> None:
    async def scenario(upstream: Upstream) -> None:
        answer = answer_to("user: hello")
        url = f"{upstream.url}/v1/chat/completions"
        resume = {"text": answer.text(0, 3), "tokens": 3}
        for start, extra in ((0, {}), (3, {"resume": resume})):
            body = make_body(stream=True, **extra)
            headers = {"X-Request-Id": "r"}
            async with upstream.session.post(
                url, json=body, headers=headers
            ) as response:
                assert response.headers["X-Request-Id"] == "r"
                assert await read_stream(response) == (answer.text(start), True)
        wrong = make_body(resume={"text": "x", "tokens": 3})
        async with upstream.session.post(url, json=wrong) as response:
            assert response.status == 400

    run(make_engine, scenario)


def test_whole_answer_counts_its_tokens() -> None:
    async def scenario(upstream: Upstream) -> None:
        answer = answer_to("hello", max_tokens=5)
        url = f"{upstream.url}/v1/completions"
        body = {"model": "m", "prompt": "hello", "max_tokens": 5}
        async with upstream.session.post(url, json=body) as response:
            content = await response.json()
        assert content["choices"][0]["text"] == answer.text()
        assert content["usage"]["completion_tokens"] == 5

    run(make_engine, scenario)


def test_closed_connection_cancels_the_work() -> None:
    async def scenario(upstream: Upstream) -> None:
        await upstream.set_faults(speed=0.01)
        url = f"{upstream.url}/v1/chat/completions"
        post = asyncio.create_task(upstream.session.post(url, json=make_body()))
        await upstream.wait_for_count("accepted")
        post.cancel()
        await upstream.wait_for_count("cancelled")

    run(make_engine, scenario)


def test_engine_refuses_as_not_run_and_counts_leaked_secrets() -> None:
    async def scenario(upstream: Upstream) -> None:
        await upstream.set_faults(leaving=True)
        url = f"{upstream.url}/v1/chat/completions"
        headers = {"Cookie": "a=sk-1"}
        async with upstream.session.post(
            url, json=make_body(), headers=headers
        ) as response:
            assert response.status == 503
            assert response.headers["X-Not-Run"] == "1"
        wrong = {"Authorization": "Bearer wrong"}
        async with upstream.session.post(
            url, json=make_body(), headers=wrong
        ) as response:
            assert response.status == 401
        assert (await upstream.fetch("/stats"))["marked_requests"] == 1

    run(make_engine, scenario)


def test_engine_refuses_orders_with_an_old_fencing_token() -> None:
    async def scenario(upstream: Upstream) -> None:
        statuses = []
        for fencing in (2, 1, 2):
            order = {"action": "load_model", "value": "m", "fencing": fencing}
            async with upstream.session.post(
                f"{upstream.url}/orders", json=order
            ) as response:
                statuses.append(response.status)
        assert statuses == [200, 409, 200]

    run(make_engine, scenario)


@pytest.mark.parametrize(("fault", "runs"), [("before", 0), ("after", 1)])
def test_service_crash_counts_only_what_ran(fault: str, runs: int) -> None:
    async def scenario(upstream: Upstream) -> None:
        await upstream.set_faults(**{f"crash_{fault}": 1})
        with pytest.raises(aiohttp.ClientError):
            await upstream.session.post(f"{upstream.url}/booking/1", data=b"b")
        counts = (await upstream.fetch("/runs"))["runs"]
        assert isinstance(counts, dict)
        assert sum(counts.values()) == runs

    run(make_service, scenario)
