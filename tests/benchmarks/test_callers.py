import asyncio
import json

from aiohttp import web
from aiohttp.test_utils import TestServer

from benchmarks.callers import Callers
from benchmarks.exchanges import Exchange
from benchmarks.exchanges import Result
from benchmarks.exchanges import Workload
from shallotfold._model.prompts import prompt_text
from shallotfold._standin.answers import answer_to

STREAM = Workload(
    class_name="chat",
    workspace="w",
    key="k",
    interval_s=1.0,
    streaming=True,
    min_tokens=10,
    max_tokens=10,
)


def send_request(tokens: list[int], *, end_marker: bool) -> Exchange:
    async def respond(request: web.Request) -> web.StreamResponse:
        expected = answer_to(prompt_text(await request.json()))
        response = web.StreamResponse()
        await response.prepare(request)
        for index in tokens:
            delta = {"content": expected.token(index)}
            chunk = json.dumps({"choices": [{"delta": delta}]})
            await response.write(f"data: {chunk}\n\n".encode())
        if end_marker:
            await response.write(b"data: [DONE]\n\n")
        return response

    async def main() -> Exchange:
        app = web.Application()
        app.router.add_post("/v1/chat/completions", respond)
        server = TestServer(app, host="127.0.0.1")
        await server.start_server()
        callers = Callers([f"http://127.0.0.1:{server.port}"], max_tries=2)
        await callers.start()
        try:
            return await callers.send_one(STREAM)
        finally:
            await callers.close()
            await server.close()

    return asyncio.run(main())


def test_complete_stream_is_an_answer() -> None:
    exchange = send_request(list(range(10)), end_marker=True)
    assert exchange.result is Result.ANSWERED
    assert exchange.output_tokens == 10


def test_lost_or_duplicated_tokens_are_wrong() -> None:
    for tokens in ([0, 1, 2, 4, 5, 6, 7, 8, 9], [0, 1, 1, *range(2, 10)]):
        assert send_request(tokens, end_marker=True).result is Result.WRONG


def test_stream_without_end_marker_is_retried() -> None:
    exchange = send_request(list(range(10)), end_marker=False)
    assert exchange.result is Result.FAILED
    assert len(exchange.cut_at) == exchange.tries == 2
