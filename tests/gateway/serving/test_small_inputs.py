"""Callers' input in small parts takes a time that grows only with its bytes.

An upstream's body in small chunks once stopped whole gateways; these are the
same shapes from the callers' side.
"""

import asyncio
import time

import pytest

from shallotfold._gateway.core.model import RequestLimits
from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.http.messages import encode_local_response
from shallotfold._gateway.serving.body_budget import BodyBudget
from shallotfold._gateway.serving.caller_connection import CallerConnection
from tests.gateway.http.test_endless_responses import FakeTransport

# The slowest links of a deployment have 5 Mbit/s.
MIN_BYTES_PER_S = 625_000
READ_BYTES = 65_536
TOTAL_BYTES = 1_500_000


class BufferlessTransport(FakeTransport):
    """A transport whose peer takes everything at once."""

    def get_write_buffer_size(self) -> int:
        return 0

    def close(self) -> None:
        self.ended = True


class Handler:
    """Answers each request at once.

    Attributes:
        body_bytes: Bytes of all bodies.
        requests: Number of requests.
    """

    def __init__(self) -> None:
        self.body_budget = BodyBudget()
        self.body_bytes = 0
        self.requests = 0

    def start_request(
        self, request: IncomingRequest, connection: CallerConnection
    ) -> None:
        self.requests += 1
        self.body_bytes += len(request.body)
        connection.write(encode_local_response(200))
        connection.finish(close=False)

    def limits(self) -> RequestLimits:
        return RequestLimits()

    def is_draining(self) -> bool:
        return False


def receive(data: bytes, part_bytes: int) -> tuple[Handler, float]:
    """Receive data in parts; return what was handled and how long it took."""
    handler = Handler()

    async def run() -> float:
        connection = CallerConnection(handler, set())
        connection.connection_made(BufferlessTransport())
        started_s = time.process_time()
        for start in range(0, len(data), part_bytes):
            connection.data_received(data[start : start + part_bytes])
            await asyncio.sleep(0)
        for _ in range(len(data)):
            if connection.idle:
                break
            await asyncio.sleep(0)
        return time.process_time() - started_s

    return handler, asyncio.run(run())


def chunked_request(chunk_bytes: int, total_bytes: int) -> bytes:
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"a" * chunk_bytes)
    return (
        b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunk * (total_bytes // len(chunk))
        + b"0\r\n\r\n"
    )


@pytest.mark.parametrize("chunk_bytes", [1, 16, 256, 16_384])
def test_body_in_small_chunks(chunk_bytes: int) -> None:
    data = chunked_request(chunk_bytes, TOTAL_BYTES)
    handler, took_s = receive(data, READ_BYTES)
    assert handler.requests == 1
    assert handler.body_bytes > 0
    assert took_s < len(data) / MIN_BYTES_PER_S


def test_pipelined_requests() -> None:
    one = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
    count = TOTAL_BYTES // len(one) // 4
    handler, took_s = receive(one * count, READ_BYTES)
    assert handler.requests == count
    assert took_s < count * len(one) / MIN_BYTES_PER_S


def test_request_byte_by_byte() -> None:
    """The head is within its limit; each byte is a read of its own."""
    head = b"GET /x HTTP/1.1\r\nHost: a\r\nPadding: " + b"p" * 15_000
    data = head + b"\r\n\r\n"
    handler, took_s = receive(data, 1)
    assert handler.requests == 1
    # Each read has a cost of its own, which a network packet has as well.
    assert took_s < 1.0
