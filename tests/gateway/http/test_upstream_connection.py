"""Test reading responses and matching them to their requests."""

import asyncio
from collections.abc import Callable

import attrs
import pytest

from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import find_header
from shallotfold._gateway.http.upstream_connection import UpstreamConnection
from shallotfold._runtime.loop import new_event_loop
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response

REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


class RecordingListener:
    """Records a response; accepts only its own id or none."""

    def __init__(self, expected_id: bytes = b"mine") -> None:
        self.expected_id = expected_id
        self.body = b""
        self.outcome = ""
        self.ended = asyncio.Event()

    def on_head(self, status: int, reason: bytes, headers: Headers) -> bool:
        del status, reason
        lowercase_headers = [(name.lower(), value) for name, value in headers]
        return find_header(lowercase_headers, b"id") in (None, self.expected_id)

    def on_data(self, data: bytes) -> None:
        self.body += data

    def on_complete(self) -> None:
        self.outcome = "complete"
        self.ended.set()

    def on_failure(self, reason: str) -> None:
        self.outcome = f"failed: {reason}"
        self.ended.set()


@attrs.frozen
class ConnectionState:
    """State of a connection after a response."""

    reusable: bool
    connected: bool


def send_request(backend: Backend) -> tuple[RecordingListener, ConnectionState]:
    """Send one request; return its response and the connection's state."""

    async def run() -> tuple[RecordingListener, ConnectionState]:
        await backend.start()
        _, connection = await asyncio.get_running_loop().create_connection(
            UpstreamConnection, "127.0.0.1", backend.port
        )
        listener = RecordingListener()
        connection.send(REQUEST, listener)
        async with asyncio.timeout(2):
            await listener.ended.wait()
        # Bytes after the response may need another turn of the event loop.
        await asyncio.sleep(0.05)
        state = ConnectionState(connection.reusable, connection.connected)
        connection.abort()
        await backend.stop()
        return listener, state

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        return runner.run(run())


def always_respond(data: bytes) -> Callable[[bytes], bytes]:
    return lambda request: data


def test_complete_response_leaves_connection_reusable() -> None:
    listener, state = send_request(
        Backend(always_respond(complete_response(b"hello")))
    )
    assert (listener.body, listener.outcome) == (b"hello", "complete")
    assert state.reusable


@pytest.mark.parametrize(
    "surplus", [b"junk", complete_response(b"second"), b"HTTP/1.1 200 OK\r\n"]
)
def test_bytes_after_a_response_close_the_connection(surplus: bytes) -> None:
    listener, state = send_request(
        Backend(always_respond(complete_response(b"hello") + surplus))
    )
    assert (listener.body, listener.outcome) == (b"hello", "complete")
    assert not state.reusable
    assert not state.connected


def test_response_to_another_request_is_skipped() -> None:
    late_response = complete_response(b"other", b"Id: theirs")
    listener, state = send_request(
        Backend(
            always_respond(
                late_response + complete_response(b"hello", b"Id: mine")
            )
        )
    )
    assert (listener.body, listener.outcome) == (b"hello", "complete")
    assert not state.reusable


def test_truncated_response_fails() -> None:
    truncated = complete_response(b"hello")[:-2]
    listener, _ = send_request(Backend(always_respond(truncated), close=True))
    assert listener.outcome.startswith("failed")


def test_response_without_length_ends_with_connection() -> None:
    unframed = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"
    listener, state = send_request(
        Backend(always_respond(unframed), close=True)
    )
    assert (listener.body, listener.outcome) == (b"hello", "complete")
    assert not state.reusable


def test_reset_response_without_length_fails() -> None:
    unframed = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello"
    listener, _ = send_request(Backend(always_respond(unframed), reset=True))
    assert listener.outcome.startswith("failed")


def test_response_without_length_fails_if_eof_hides_a_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Some event loops report the end of the input before the reset."""

    class Socket:
        def getsockopt(self, level: int, option: int) -> int:
            del level, option
            return 104

    class Transport:
        def get_extra_info(self, name: str) -> object:
            return Socket() if name == "socket" else None

    async def run() -> RecordingListener:
        connection = UpstreamConnection()
        listener = RecordingListener()
        connection._listener = listener
        connection._close_delimited = True
        monkeypatch.setattr(connection, "_transport", Transport())
        connection.eof_received()
        connection.connection_lost(None)
        return listener

    assert asyncio.run(run()).outcome.startswith("failed")


def test_bytes_that_are_no_response_fail() -> None:
    listener, _ = send_request(
        Backend(always_respond(b"\x00\x01\x02 no answer\r\n\r\n"))
    )
    assert listener.outcome.startswith("failed")


def test_connection_with_close_header_is_not_reused() -> None:
    _, state = send_request(
        Backend(
            always_respond(complete_response(b"hello", b"Connection: close"))
        )
    )
    assert not state.reusable
