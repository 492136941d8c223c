"""An upstream's stream without end stopped a gateway for all other callers."""

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
STREAMS = 3
LOOKUPS = 20


class EndlessBackend:
    """Answers lookups, and sends the body of a stream without end."""

    def __init__(self, chunk: bytes) -> None:
        self.port = 0
        self.all_streams_run = asyncio.Event()
        self._streams = 0
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
                self._streams += 1
                if self._streams == STREAMS:
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
    backend = EndlessBackend(chunk)

    async def scenario(harness: GatewayHarness) -> None:
        streams = [
            asyncio.create_task(
                harness.send(request("/chat/1", method="POST"), timeout_s=5.0)
            )
            for _ in range(STREAMS)
        ]
        await backend.all_streams_run.wait()
        for _ in range(LOOKUPS):
            started_s = time.monotonic()
            response = await harness.send(request(), timeout_s=5.0)
            assert status_of(response) == 200
            assert time.monotonic() - started_s < LOOKUP_TIMEOUT_S
        for stream in streams:
            stream.cancel()
        await asyncio.gather(*streams, return_exceptions=True)

    run_scenario([backend], scenario)  # type: ignore[list-item]
