"""Check that a planned stop under load cuts off no request.

Requests that arrived late in the grace period were passed on, and cut off
without an answer at its end, among them ones that may run only once.
"""

import asyncio

import pytest

from shallotfold._gateway.serving import gateway
from tests.gateway.backends import Backend
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import signed_response
from tests.gateway.serving.harness import status_of

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


def answer_nothing(_: bytes) -> bytes:
    return b""


@pytest.mark.parametrize(
    ("path", "method"),
    [
        ("/book/1", "POST"),
        ("/lookup/1", "GET"),
        ("/talk/1", "POST"),
        ("/chat/1", "POST"),
    ],
)
def test_request_that_is_open_at_the_end_gets_a_final_answer(
    path: str, method: str
) -> None:
    """It may have run, so that the answer must not promise that it hasn't."""
    grace_s = 0.4

    async def scenario(harness: GatewayHarness) -> None:
        caller = asyncio.create_task(
            harness.send(request(path, method=method, body=b"x"))
        )
        await asyncio.sleep(0.1)
        harness.gateway.begin_shutdown(grace_s)
        await harness.gateway.drain()
        await harness.gateway.close()
        response = await caller
        assert status_of(response) in {502, 504}
        assert b"connection: close" in response.lower()
        assert harness.gateway.dispatcher.open_requests == 0

    run_scenario([Backend(answer_nothing)], scenario)


def test_stream_that_has_begun_is_broken_off_at_the_end() -> None:
    """Its end must not look like that of a whole stream."""

    def begin_stream(_: bytes) -> bytes:
        return (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\n"
            b"Content-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"f\r\nid: 1\ndata: a\n\n\r\n"
        )

    async def scenario(harness: GatewayHarness) -> None:
        caller = asyncio.create_task(
            harness.send(request("/chat/1", method="POST", body=b"x"))
        )
        await asyncio.sleep(0.2)
        harness.gateway.begin_shutdown(0.3)
        await harness.gateway.drain()
        await harness.gateway.close()
        response = await caller
        assert b"data: a" in response
        assert not response.endswith(b"0\r\n\r\n")
        assert response.count(b"HTTP/1.1") == 1

    run_scenario([Backend(begin_stream)], scenario)


def test_late_request_that_may_outlast_the_stop_is_refused_unrun(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gateway, "SHUTDOWN_ACCEPT_ALL_S", 0.1)
    monkeypatch.setattr(gateway, "LAST_REQUESTS_BEFORE_END_S", 0.2)
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        harness.gateway.begin_shutdown(1.0)
        stop = asyncio.create_task(harness.gateway.drain())
        # The route's timeout, 0.6 s, ends before the process does.
        await asyncio.sleep(0.2)
        early = await harness.send(request("/book/1", method="POST", body=b"x"))
        assert status_of(early) == 200
        await asyncio.sleep(0.4)
        late = await harness.send(request("/book/1", method="POST", body=b"x"))
        assert status_of(late) == 503
        assert b"retry-after:" in late.lower()
        assert len(backend.requests) == 1
        await stop

    run_scenario([backend], scenario)


def test_request_after_the_end_is_refused_unrun() -> None:
    """The process closes its other parts before the callers' connections."""
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port
        )
        writer.write(request("/book/1", method="POST", body=b"x")[:-1])
        await asyncio.sleep(0.05)
        harness.gateway.begin_shutdown(0.1)
        await harness.gateway.drain()
        writer.write(b"x")
        response = await reader.read(4096)
        assert status_of(response) == 503
        assert not backend.requests
        writer.close()

    run_scenario([backend], scenario)
