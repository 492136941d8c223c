"""Test calls to services against servers that misbehave."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from shallotfold._gateway.http import http_client
from shallotfold._gateway.http.http_client import CallFailedError
from shallotfold._gateway.http.http_client import HttpClient
from shallotfold._runtime.loop import new_event_loop

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def run_with_server(
    serve: Serve, scenario: Callable[[HttpClient], Awaitable[None]]
) -> None:
    async def run() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            await scenario(HttpClient("127.0.0.1", port))
        finally:
            server.close()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run())


def test_late_copy_of_a_response_is_not_taken_for_the_next_one() -> None:
    """The copy of a renewal's response would have vouched for an ended lease.

    The copy came on a connection that was in use again.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await reader.readuntil(b"\r\n\r\n"):
                target = request.split(b" ")[1]
                response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
                response %= (len(target), target)
                await asyncio.sleep(0.03)
                writer.write(response)
                await asyncio.sleep(0.02)
                writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def scenario(client: HttpClient) -> None:
        for number in range(5):
            target = f"/renewal-{number}"
            response = await client.call("GET", target, timeout_s=1.0)
            assert response.body == target.encode()
        await asyncio.sleep(0.1)

    run_with_server(serve, scenario)


def test_endless_body_is_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_client, "MAX_BODY_BYTES", 100_000)

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        try:
            while True:
                writer.write(bytes(10_000))
                await writer.drain()
        except ConnectionError:
            writer.close()

    async def scenario(client: HttpClient) -> None:
        started_s = asyncio.get_running_loop().time()
        with pytest.raises(CallFailedError, match="more than 100000 bytes"):
            await client.call("GET", "/x", timeout_s=5.0)
        assert asyncio.get_running_loop().time() - started_s < 2.0

    run_with_server(serve, scenario)
