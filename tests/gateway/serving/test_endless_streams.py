"""Upstreams' streams without end stopped a gateway for all other callers."""

import asyncio
import contextlib
import time

import pytest

from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import signed_response
from tests.gateway.serving.harness import status_of

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nResponse-Signature: s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"f\r\nid: 1\ndata: a\n\n\r\n"
)
# The harness' lookups have this timeout.
LOOKUP_TIMEOUT_S = 0.6
LOOKUPS = 20
# Endless streams need some time until they have sent a megabyte.
LOOKUP_INTERVAL_S = 0.1


class EndlessBackend:
    """Answers lookups, and sends the body of a stream without end."""

    def __init__(self, chunk: bytes, streams: int) -> None:
        self.port = 0
        self.all_streams_run = asyncio.Event()
        self._awaited_streams = streams
        self._block = chunk * (65_536 // len(chunk) + 1)
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
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/lookup/" in head:
                    writer.write(signed_response())
                    continue
                self._awaited_streams -= 1
                if not self._awaited_streams:
                    self.all_streams_run.set()
                writer.write(STREAM_HEAD)
                while True:
                    writer.write(self._block)
                    await writer.drain()
                    await asyncio.sleep(0)
        writer.close()


@pytest.mark.parametrize(
    "chunk",
    [
        b"10\r\n" + b"a" * 16 + b"\r\n",
        b"1\r\na\r\n",
        b"100\r\n" + b"a" * 256 + b"\r\n",
        b"1000\r\n" + b"\n" * 4096 + b"\r\n",
    ],
    ids=["16", "1", "256", "blank lines"],
)
def test_other_requests_are_answered_beside_endless_streams(
    chunk: bytes,
) -> None:
    check_lookups_beside_streams(chunk, streams=3)


# Each event took 2 to 3 microseconds, so that one read took 0.2 s, and each
# stream got as much of the event loop's time as all lookups together.
@pytest.mark.parametrize(
    "body",
    [
        b"a\n\n" * 8192,
        b":\n\n" * 8192,
        b"id:1\n\n" * 8192,
        b"a\n" * 400_000 + b"\n",
    ],
    ids=["small events", "comments", "small events with ids", "short lines"],
)
def test_other_requests_are_answered_beside_many_endless_streams_of_events(
    body: bytes,
) -> None:
    chunk = b"%x\r\n%s\r\n" % (len(body), body)
    check_lookups_beside_streams(chunk, streams=12)


def check_lookups_beside_streams(chunk: bytes, streams: int) -> None:
    """Check that lookups are answered in time beside endless streams."""
    backend = EndlessBackend(chunk, streams)

    async def scenario(harness: GatewayHarness) -> None:
        tasks = [
            asyncio.create_task(
                harness.send(request("/chat/1", method="POST"), timeout_s=5.0)
            )
            for _ in range(streams)
        ]
        await backend.all_streams_run.wait()
        for _ in range(LOOKUPS):
            await asyncio.sleep(LOOKUP_INTERVAL_S)
            started_s = time.monotonic()
            response = await harness.send(request(), timeout_s=5.0)
            assert status_of(response) == 200
            assert time.monotonic() - started_s < LOOKUP_TIMEOUT_S
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_scenario([backend], scenario)  # type: ignore[list-item]
