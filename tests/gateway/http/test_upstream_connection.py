"""Check that answers are read exactly and belong to their requests."""

import asyncio
from collections.abc import Callable

import attrs
import pytest

from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import find_header
from shallotfold._gateway.http.upstream_connection import UpstreamConnection
from shallotfold._runtime.loop import new_event_loop
from tests.gateway.backends import Backend
from tests.gateway.backends import whole

REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


class Reader:
    """Notes what it is told; takes only answers with its id, or none."""

    def __init__(self, expected: bytes = b"mine") -> None:
        self.expected = expected
        self.body = b""
        self.end = ""
        self.ended = asyncio.Event()

    def on_head(self, status: int, reason: bytes, headers: Headers) -> bool:
        del status, reason
        lowered = [(name.lower(), value) for name, value in headers]
        return find_header(lowered, b"id") in (None, self.expected)

    def on_data(self, data: bytes) -> None:
        self.body += data

    def on_complete(self) -> None:
        self.end = "complete"
        self.ended.set()

    def on_failure(self, reason: str) -> None:
        self.end = f"failed: {reason}"
        self.ended.set()


@attrs.frozen
class State:
    """What a connection was like after an answer."""

    reusable: bool
    connected: bool


def talk(backend: Backend) -> tuple[Reader, State]:
    """Send one request and return how it ended."""

    async def run() -> tuple[Reader, State]:
        await backend.start()
        _, connection = await asyncio.get_running_loop().create_connection(
            UpstreamConnection, "127.0.0.1", backend.port
        )
        reader = Reader()
        connection.send(REQUEST, reader)
        async with asyncio.timeout(2):
            await reader.ended.wait()
        # What follows the answer may need another turn of the loop.
        await asyncio.sleep(0.05)
        state = State(connection.reusable, connection.connected)
        connection.abort()
        await backend.stop()
        return reader, state

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(run())


def answering(data: bytes) -> Callable[[bytes], bytes]:
    return lambda request: data


def test_a_whole_answer_leaves_the_connection_reusable() -> None:
    reader, connection = talk(Backend(answering(whole(b"hello"))))
    assert (reader.body, reader.end) == (b"hello", "complete")
    assert connection.reusable


@pytest.mark.parametrize(
    "surplus", [b"junk", whole(b"second"), b"HTTP/1.1 200 OK\r\n"]
)
def test_bytes_after_an_answer_spoil_the_connection(surplus: bytes) -> None:
    reader, connection = talk(Backend(answering(whole(b"hello") + surplus)))
    assert (reader.body, reader.end) == (b"hello", "complete")
    assert not connection.reusable
    assert not connection.connected


def test_another_request_s_answer_is_skipped() -> None:
    late = whole(b"other", b"Id: theirs")
    reader, connection = talk(
        Backend(answering(late + whole(b"hello", b"Id: mine")))
    )
    assert (reader.body, reader.end) == (b"hello", "complete")
    assert not connection.reusable


def test_a_short_answer_fails() -> None:
    cut = whole(b"hello")[:-2]
    reader, _ = talk(Backend(answering(cut), close=True))
    assert reader.end.startswith("failed")


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    unframed = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"
    reader, connection = talk(Backend(answering(unframed), close=True))
    assert (reader.body, reader.end) == (b"hello", "complete")
    assert not connection.reusable


def test_an_answer_without_a_length_that_is_reset_fails() -> None:
    unframed = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"
    reader, _ = talk(Backend(answering(unframed), reset=True))
    assert reader.end.startswith("failed")


def test_a_reset_that_is_read_as_an_end_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Some loops report the end of the stream before the reset behind it."""

    class Socket:
        def getsockopt(self, level: int, option: int) -> int:
            del level, option
            return 104

    class Transport:
        def get_extra_info(self, name: str) -> object:
            return Socket() if name == "socket" else None

    async def run() -> Reader:
        connection = UpstreamConnection()
        reader = Reader()
        connection._reader = reader
        connection._until_close = True
        monkeypatch.setattr(connection, "_transport", Transport())
        connection.eof_received()
        connection.connection_lost(None)
        return reader

    assert asyncio.run(run()).end.startswith("failed")


def test_bytes_that_are_no_answer_fail() -> None:
    reader, _ = talk(Backend(answering(b"\x00\x01\x02 no answer\r\n\r\n")))
    assert reader.end.startswith("failed")


def test_a_connection_that_asks_to_close_is_not_reused() -> None:
    _, connection = talk(
        Backend(answering(whole(b"hello", b"Connection: close")))
    )
    assert not connection.reusable
