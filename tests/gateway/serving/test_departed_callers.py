"""Upstreams got requests whose callers had already left.

A busy event loop saw a request and the end of its connection together, and sent
the request first. Behind pipelined requests the end wasn't seen at all.
"""

import asyncio
import socket
import time

import pytest

from tests.gateway.backends import Backend
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import signed_response
from tests.gateway.serving.harness import status_of

BUSY_S = 0.1
# Upstreams may work for callers that have left for this long.
DEPARTURE_NOTICED_S = 0.5


async def connect(port: int) -> socket.socket:
    """Return a connection that the gateway has accepted."""
    sock = socket.create_connection(("127.0.0.1", port))
    await asyncio.sleep(0.02)
    return sock


def keep_event_loop_busy() -> None:
    """Keep the gateway from reading while bytes arrive."""
    time.sleep(BUSY_S)


def keep_alive_request(path: str) -> bytes:
    return request(path).replace(b"Connection: close\r\n", b"")


@pytest.mark.parametrize(
    ("path", "method"),
    [
        ("/lookup/1", "GET"),
        ("/book/1", "POST"),
        ("/open/1", "GET"),
        ("/talk/1", "POST"),
        ("/chat/1", "POST"),
    ],
)
@pytest.mark.parametrize("has_idle_connection", [True, False])
def test_request_whose_caller_has_left_is_not_sent(
    path: str, method: str, has_idle_connection: bool
) -> None:
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        if has_idle_connection:
            assert status_of(await harness.send(request("/book/0"))) == 200
            backend.requests.clear()
        caller = await connect(harness.port)
        body = b"x" if method == "POST" else b""
        caller.sendall(request(path, method=method, body=body))
        caller.close()
        keep_event_loop_busy()
        await asyncio.sleep(0.2)
        assert not backend.requests
        assert not harness.gateway.busy
        assert harness.gateway.dispatcher.open_requests == 0

    run_scenario([backend], scenario)


def test_request_whose_caller_leaves_before_the_retry_is_not_sent_again() -> (
    None
):
    """The answer to the first attempt and the departure came together."""
    callers: list[socket.socket] = []

    def fail_while_the_caller_leaves(_: bytes) -> bytes:
        if callers:
            callers.pop().close()
            keep_event_loop_busy()
        return signed_response(status=b"503 Unavailable")

    async def scenario(harness: GatewayHarness) -> None:
        # Leaves idle connections to both upstreams.
        await asyncio.gather(
            *(harness.send(request("/lookup/0")) for _ in range(8))
        )
        for backend in harness.backends:
            backend.requests.clear()
            backend.respond = fail_while_the_caller_leaves
        callers.append(await connect(harness.port))
        callers[0].sendall(keep_alive_request("/lookup/1"))
        await asyncio.sleep(0.3)
        assert not callers
        assert sum(len(b.requests) for b in harness.backends) == 1

    run_scenario(
        [
            Backend(lambda _: signed_response()),
            Backend(lambda _: signed_response()),
        ],
        scenario,
    )


@pytest.mark.parametrize("queued", [1, 4, 8, 20])
def test_departure_is_noticed_behind_pipelined_requests(queued: int) -> None:
    """Reading is paused then, which hid the end of the connection."""
    backend = Backend(lambda _: b"")

    async def scenario(harness: GatewayHarness) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(keep_alive_request("/chat/0"))
        await asyncio.sleep(0.05)
        for number in range(queued):
            writer.write(keep_alive_request(f"/lookup/{number}"))
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(DEPARTURE_NOTICED_S)
        assert backend.disconnects == 1
        assert len(backend.requests) == 1
        assert not harness.gateway.busy

    run_scenario([backend], scenario)


def test_request_of_a_caller_that_waits_is_sent_after_a_busy_time() -> None:
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        sender = asyncio.create_task(harness.send(request()))
        await asyncio.sleep(0)
        keep_event_loop_busy()
        assert status_of(await sender) == 200

    run_scenario([backend], scenario)
