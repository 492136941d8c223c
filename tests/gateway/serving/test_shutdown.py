"""Check that a planned stop under load cuts off no request.

Requests that arrived in the last moments of the grace period were passed on and
then cut off without an answer.
"""

import asyncio

import pytest

from shallotfold._gateway.serving import gateway
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import run_scenario

WORK_S = 0.2
GRACE_S = 1.0
REQUEST = (
    b"POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: 7\r\n"
    b"Deadline-Remaining: 5000\r\nX-Api-Key: secret\r\n"
    b"Content-Length: 1\r\n\r\nx"
)
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


class SlowBackend:
    """Takes a while for each request.

    Attributes:
        runs: Requests that it has begun to work on.
    """

    def __init__(self) -> None:
        self.runs = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await reader.readuntil(b"\r\n\r\nx")
                self.runs += 1
                await asyncio.sleep(WORK_S)
                writer.write(RESPONSE)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def call_repeatedly(port: int, first_delay_s: float) -> int:
    """Use one connection until it is closed; return the whole responses."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    responses = 0
    try:
        await asyncio.sleep(first_delay_s)
        while True:
            writer.write(REQUEST)
            received = await reader.readuntil(b"done")
            responses += 1
            if b"connection: close" in received.lower():
                return responses
    except (asyncio.IncompleteReadError, ConnectionError):
        return responses
    finally:
        writer.close()


def test_requests_that_are_passed_on_during_a_stop_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each caller first uses its connection at another moment of the stop."""
    monkeypatch.setattr(gateway, "LAST_REQUESTS_BEFORE_END_S", 0.5)
    backend = SlowBackend()

    async def scenario(harness: GatewayHarness) -> None:
        callers = [
            asyncio.create_task(call_repeatedly(harness.port, n * 0.05))
            for n in range(24)
        ]
        await asyncio.sleep(0.01)
        harness.gateway.begin_shutdown(GRACE_S)
        await harness.gateway.drain()
        await harness.gateway.close()
        answered = sum(await asyncio.gather(*callers))
        assert backend.runs == answered
        assert answered >= 8

    run_scenario([backend], scenario)  # type: ignore[list-item]
