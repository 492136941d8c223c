"""Check that stalled streams move on and that slow ones are left alone.

A stalled stream that sent a comment or a byte now and then counted as making
progress, and its caller waited for the route's time-out.
"""

import asyncio

import pytest

from shallotfold._gateway.deciding import dispatcher
from tests.gateway.backends import sse_event
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
INTERVAL_S = 0.1
EVENTS = 12


class DrippingBackend:
    """Sends the first event, then one part after the other.

    Attributes:
        parts: Sent at intervals, after the first event.
        requests: Requests received.
    """

    def __init__(self, parts: list[bytes]) -> None:
        self.parts = parts
        self.requests: list[bytes] = []
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
            received = await reader.readuntil(b"\r\n\r\n")
            self.requests.append(received)
            writer.write(HEAD)
            if b"last-event-id" in received.lower():
                for number in range(2, EVENTS + 1):
                    writer.write(chunk(sse_event(number)))
                writer.write(b"0\r\n\r\n")
                return
            writer.write(chunk(sse_event(1)))
            for part in self.parts:
                await asyncio.sleep(INTERVAL_S)
                writer.write(chunk(part) if part else b"0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


@pytest.fixture(autouse=True)
def _shorten_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(dispatcher, "MIN_STALL_TIMEOUT_S", 0.4)
    monkeypatch.setattr(dispatcher, "STALL_TIMEOUT_PER_GAP_TARGET", 2.0)


@pytest.mark.parametrize("part", [b": ping\n\n", b"d"], ids=["comment", "byte"])
def test_stream_without_events_moves_to_another_upstream(part: bytes) -> None:
    backends = [DrippingBackend([part] * 25) for _ in range(2)]

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(request("/talk/1"))
        for number in range(1, EVENTS + 1):
            assert response.count(b"data: piece %d\n" % number) == 1

    run_scenario(backends, scenario)  # type: ignore[arg-type]
    assert sum(len(backend.requests) for backend in backends) == 2


def test_slow_stream_is_left_alone() -> None:
    """Its events come each before the others have stalled."""
    events = [sse_event(number) for number in range(2, EVENTS + 1)]
    backends = [DrippingBackend([*events, b""]) for _ in range(2)]

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(request("/talk/1"), timeout_s=4.0)
        assert response.count(b"data: piece") == EVENTS
        assert response.endswith(b"0\r\n\r\n")

    run_scenario(backends, scenario)  # type: ignore[arg-type]
    assert sum(len(backend.requests) for backend in backends) == 1
