"""Test streams that an upstream breaks off, by how they are framed."""

import asyncio
from typing import Any

import pytest

from shallotfold._gateway.core import decision_log
from tests.gateway.backends import Backend
from tests.gateway.backends import close_delimited_stream
from tests.gateway.backends import sse_event
from tests.gateway.backends import stream_response
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import status_of

LAST_CHUNK = b"0\r\n\r\n"
TRUNCATED_EVENT = sse_event(3)[:9]


def send_stream_request(
    *backends: Backend, path: str = "/chat/1"
) -> tuple[bytes, GatewayHarness]:
    """Return the response to one request for a stream."""
    responses = []

    async def scenario(harness: GatewayHarness) -> None:
        responses.append(
            await harness.send(request(path, method="POST", body=b"x"))
        )

    harness = run_scenario(list(backends), scenario)
    return responses[0], harness


@pytest.mark.parametrize(
    ("response", "decision", "framing", "incomplete_event_bytes"),
    [
        (stream_response(sse_event(1)), "done", "chunked", 0),
        (close_delimited_stream(sse_event(1)), "done", "connection_close", 0),
        (
            stream_response(sse_event(1), sse_event(2)[:9], ended=False),
            "broken",
            "chunked",
            9,
        ),
    ],
)
def test_log_shows_framing_and_position_of_a_stream(
    monkeypatch: pytest.MonkeyPatch,
    response: bytes,
    decision: str,
    framing: str,
    incomplete_event_bytes: int,
) -> None:
    """Without them, a truncated stream looks like a whole one in the log."""
    lines: dict[str, dict[str, Any]] = {}

    def record(decision: str, **inputs: Any) -> None:
        lines[decision] = inputs

    monkeypatch.setattr(decision_log, "record", record)
    send_stream_request(Backend(lambda _: response, close=True))
    line = lines[decision]
    assert line["framing"] == framing
    assert line["last_event"] == 1
    assert line["incomplete_event_bytes"] == incomplete_event_bytes


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize(
    "response",
    [
        close_delimited_stream(sse_event(1), sse_event(2), TRUNCATED_EVENT),
        stream_response(sse_event(1), sse_event(2), TRUNCATED_EVENT),
    ],
    ids=["connection_close", "chunked"],
)
def test_stream_that_ends_inside_an_event_has_no_last_chunk(
    response: bytes, reset: bool
) -> None:
    """An engine that broke off a stream in an orderly way seemed to end it."""
    received, _ = send_stream_request(
        Backend(lambda _: response, close=True, reset=reset)
    )
    assert sse_event(2) in received
    assert TRUNCATED_EVENT not in received
    assert not received.endswith(LAST_CHUNK)


def test_stream_that_ends_inside_an_event_is_resumed() -> None:
    """The rest of a resumable stream was never asked for."""

    def respond(sent: bytes) -> bytes:
        if b"last-event-id: 2" in sent:
            return close_delimited_stream(sse_event(3), sse_event(4))
        return close_delimited_stream(
            sse_event(1), sse_event(2), TRUNCATED_EVENT
        )

    received, harness = send_stream_request(
        *(Backend(respond, close=True) for _ in range(2)), path="/talk/1"
    )
    body = received.split(b"\r\n\r\n", 1)[1]
    for number in range(1, 5):
        assert body.count(sse_event(number)) == 1
    assert body.endswith(LAST_CHUNK)
    assert harness.counts.total(0) == {"north": 1}


def test_stream_without_length_and_events_is_a_failure() -> None:
    """An engine that crashed before its first event seemed to send none."""
    received, _ = send_stream_request(
        Backend(lambda _: close_delimited_stream(), close=True)
    )
    assert status_of(received) == 502


def test_chunked_stream_without_events_is_complete() -> None:
    """A stream that is resumed after its last event has no further one."""
    received, _ = send_stream_request(Backend(lambda _: stream_response()))
    assert status_of(received) == 200
    assert received.endswith(LAST_CHUNK)


def http_1_0_request(path: str) -> bytes:
    return request(path, method="POST", body=b"x").replace(
        b"HTTP/1.1", b"HTTP/1.0"
    )


def test_http_1_0_caller_gets_a_stream_without_chunks() -> None:
    """HTTP/1.0 has no chunks: their sizes became a part of the stream."""

    async def scenario(harness: GatewayHarness) -> None:
        head, _, body = (
            await harness.send(http_1_0_request("/chat/1"))
        ).partition(b"\r\n\r\n")
        assert b"transfer-encoding" not in head.lower()
        assert b"Connection: close" in head
        assert body == sse_event(1) + sse_event(2)

    backend = Backend(lambda _: stream_response(sse_event(1), sse_event(2)))
    run_scenario([backend], scenario)


def test_broken_off_stream_resets_the_connection_of_an_http_1_0_caller() -> (
    None
):
    """Without chunks, an orderly end would make a part look whole."""

    async def scenario(harness: GatewayHarness) -> None:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port
        )
        writer.write(http_1_0_request("/chat/1"))
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), 2.0)
        writer.close()

    broken_stream = stream_response(sse_event(1), ended=False)
    run_scenario([Backend(lambda _: broken_stream, close=True)], scenario)


def test_stopping_gateway_resets_the_stream_of_an_http_1_0_caller() -> None:
    """A gateway that stopped in the middle of a stream seemed to end it."""
    unfinished_stream = stream_response(sse_event(1), ended=False)

    async def scenario(harness: GatewayHarness) -> None:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port
        )
        writer.write(http_1_0_request("/chat/1"))
        await reader.readuntil(b"piece 1\n\n")
        await harness.gateway.close()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), 2.0)
        writer.close()

    run_scenario([Backend(lambda _: unfinished_stream)], scenario)
