"""A body in small chunks stopped the event loop of each gateway that got it.

One read from the socket held thousands of chunks. For each of them, the bytes
of the incomplete event were copied and searched from the start.
"""

import asyncio
import time

import pytest

from shallotfold._gateway.http.event_stream import EventSplitter
from shallotfold._gateway.http.upstream_connection import UpstreamConnection
from tests.gateway.http.test_endless_responses import CHUNKED_HEAD
from tests.gateway.http.test_endless_responses import REQUEST
from tests.gateway.http.test_endless_responses import FakeTransport
from tests.gateway.http.test_endless_responses import Listener
from tests.gateway.http.test_endless_responses import feed

READ_BYTES = 65_536
# The slowest links of a deployment have 5 Mbit/s.
MIN_BYTES_PER_S = 625_000


class CountingListener(Listener):
    """Counts the parts in which it gets a body."""

    def __init__(self) -> None:
        super().__init__()
        self.parts = 0

    def on_data(self, data: bytes) -> None:
        super().on_data(data)
        self.parts += 1


@pytest.mark.parametrize("chunk_bytes", [1, 16, 256, 16_384])
def test_body_of_one_read_is_passed_on_at_once(chunk_bytes: int) -> None:
    listener = CountingListener()
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"a" * chunk_bytes)
    read = chunk * (READ_BYTES // len(chunk))

    async def receive() -> None:
        connection = UpstreamConnection()
        connection.connection_made(FakeTransport())
        connection.send(REQUEST, listener)
        connection.data_received(CHUNKED_HEAD + read)
        connection.data_received(read)

    asyncio.run(receive())
    assert listener.parts == 2
    assert listener.body_bytes == 2 * read.count(chunk) * chunk_bytes


@pytest.mark.parametrize("part", [b"a" * 16, b"a", b"\n" * 4096, b"\r\n"])
def test_incomplete_event_isn_t_searched_again_for_each_part(
    part: bytes,
) -> None:
    splitter = EventSplitter()
    total_bytes = 400_000
    started_s = time.process_time()
    for _ in range(total_bytes // len(part)):
        splitter.feed(part)
    assert time.process_time() - started_s < total_bytes / MIN_BYTES_PER_S


def test_blank_lines_are_few_events() -> None:
    events = EventSplitter().feed(b"id: 1\ndata: a\n" + b"\n" * READ_BYTES)
    assert len(events) == 1
    assert events[0].event_id == 1
    assert events[0].data.endswith(b"\n" * READ_BYTES)


def test_body_before_a_malformed_chunk_is_passed_on() -> None:
    parts = iter([CHUNKED_HEAD + b"2\r\nab\r\n", b"2\r\ncd\r\nzz\r\n"])
    listener, _, _ = feed(parts, max_bytes=READ_BYTES)
    assert listener.body_bytes == 4
    assert listener.failure
