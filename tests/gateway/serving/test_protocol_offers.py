"""Test requests that offer to switch to another protocol.

A booking with `Upgrade: h2c` ran without its body: the parser ends such a
request with its head.
"""

import asyncio
from collections.abc import Iterator

import pytest

from shallotfold._gateway.core.model import RequestLimits
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.request_parser import RequestParser
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.gateway.backends import stream_response
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import signed_response

BODY = b'{"shelter": 3}'
OFFERS = (
    ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c"),
    ("Connection: Upgrade", "Upgrade: websocket"),
    ("Connection: keep-alive, Upgrade", "Upgrade: TLS/1.2, foo/2"),
    ("Proxy-Connection: Upgrade", "Upgrade: h2c"),
    ("Connection: keep-alive", "Connection: Upgrade", "Upgrade: h2c"),
    ("Upgrade: h2c",),
    ("Connection: Upgrade",),
)
FRAMINGS = ("length", "chunks", "none")


def _request(
    framing: str,
    *lines: str,
    method: str = "POST",
    path: str = "/book/1",
    last: bool = False,
) -> bytes:
    head = [
        f"{method} {path} HTTP/1.1",
        "Host: shop.example",
        "Attempt-Id: 77",
        "Deadline-Remaining: 5000",
        "X-Api-Key: secret",
        *lines,
    ]
    body = b""
    if framing == "length":
        head.append(f"Content-Length: {len(BODY)}")
        body = BODY
    elif framing == "chunks":
        head.append("Transfer-Encoding: chunked")
        chunks = (b"%x\r\n%b\r\n" % (len(p), p) for p in (BODY[:3], BODY[3:]))
        body = b"".join(chunks) + b"0\r\nX-Sum: 1\r\n\r\n"
    if last:
        head.append("Connection: close")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def _split(data: bytes, part_bytes: int) -> Iterator[bytes]:
    for start in range(0, len(data), part_bytes):
        yield data[start : start + part_bytes]


async def _send_in_parts(
    harness: GatewayHarness, parts: Iterator[bytes]
) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(0.002)
    async with asyncio.timeout(2.0):
        received = await reader.read()
    writer.close()
    return received


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("offer", OFFERS)
@pytest.mark.parametrize("part_bytes", [1 << 20, 64])
def test_request_with_an_offer_runs_as_sent(
    offer: tuple[str, ...], framing: str, part_bytes: int
) -> None:
    """With the body lost, the caller got 200 for a booking of nothing."""
    backend = Backend(lambda _: signed_response())
    data = (
        _request(framing, *offer)
        + _request(framing, *offer, method="PUT")
        + _request("none", method="GET", path="/lookup/1")
        + _request(framing, *offer, method="DELETE", last=True)
    )

    async def scenario(harness: GatewayHarness) -> None:
        parts = _split(data, part_bytes)
        received = await _send_in_parts(harness, parts)
        assert received.count(b"HTTP/1.1 200 OK") == 4

    run_scenario([backend], scenario)
    expected = b"" if framing == "none" else BODY
    bodies = [sent.split(b"\r\n\r\n", 1)[1] for sent in backend.requests]
    assert bodies == [expected, expected, b"", expected]


@pytest.mark.parametrize("framing", FRAMINGS)
def test_connect_request_runs_as_sent(framing: str) -> None:
    """The parser ends a CONNECT request with its head, too."""
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        data = _request(framing, method="CONNECT", last=True)
        assert b"HTTP/1.1 200 OK" in await harness.send(data)

    run_scenario([backend], scenario)
    (sent,) = backend.requests
    assert sent.startswith(b"CONNECT /book/1 HTTP/1.1\r\n")
    assert sent.endswith(b"\r\n\r\n" + (b"" if framing == "none" else BODY))


def test_stream_with_an_offer_runs_as_sent() -> None:
    backend = Backend(lambda _: stream_response(b"id: 1\ndata: x\n\n"))

    async def scenario(harness: GatewayHarness) -> None:
        data = _request("chunks", *OFFERS[0], path="/talk/1", last=True)
        assert b"data: x" in await harness.send(data)

    run_scenario([backend], scenario)
    (sent,) = backend.requests
    assert sent.endswith(b"\r\n\r\n" + BODY)


def test_connection_is_kept_after_an_offer() -> None:
    """The next request on the connection was dropped unread."""
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port
        )
        for _ in range(3):
            writer.write(_request("length", *OFFERS[0]))
            async with asyncio.timeout(2.0):
                head = await reader.readuntil(b"\r\n\r\n")
                assert await reader.readexactly(2) == b"ok"
            assert b"connection: close" not in head.lower()
        writer.close()

    run_scenario([backend], scenario)
    assert len(backend.requests) == 3


@pytest.mark.parametrize(
    "line",
    [
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Content-Length: 3\r\nContent-Length: 4",
    ],
)
def test_offer_does_not_hide_a_body_of_unknown_length(line: str) -> None:
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        data = _request("none", *OFFERS[0], line) + BODY
        assert (await harness.send(data)).startswith(b"HTTP/1.1 400 ")

    run_scenario([backend], scenario)
    assert not backend.requests


def test_body_limit_holds_behind_an_offer() -> None:
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        data = _request("chunks", *OFFERS[0])
        assert (await harness.send(data)).startswith(b"HTTP/1.1 413 ")

    run_scenario([backend], scenario, RequestLimits(max_body_bytes=4))
    assert not backend.requests


@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("option", ["keep-alive", "close", "x"])
def test_offer_does_not_change_whether_the_connection_is_kept(
    version: str, option: str
) -> None:
    def kept(*lines: str) -> bool:
        listener = _Listener()
        listener.feed(
            "\r\n".join([f"POST / HTTP/{version}", *lines, "", ""]).encode()
        )
        return listener.kept

    assert kept(f"Connection: {option}, Upgrade", "Upgrade: h2c") == kept(
        f"Connection: {option}"
    )


class _Listener:
    """Remembers whether the connection is kept after the last request."""

    def __init__(self) -> None:
        self.kept = False
        self._headers: Headers = []
        self._parser = RequestParser(self)

    def feed(self, data: bytes) -> None:
        self._parser.feed(data)

    def on_message_begin(self) -> None:
        self._headers = []

    def on_url(self, url: bytes) -> None: ...

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None: ...

    def on_body(self, body: bytes) -> None: ...

    def on_message_complete(self) -> None:
        self.kept = self._parser.should_keep_alive

    def current_headers(self) -> Headers:
        return self._headers


@pytest.mark.parametrize("path", ["/book/1", "/talk/1"])
@pytest.mark.parametrize("offer", OFFERS[:2])
def test_response_with_an_offer_is_passed_on_whole(
    offer: tuple[str, ...], path: str
) -> None:
    """Only a response with the status 101 accepts another protocol."""
    lines = [line.encode() for line in offer]
    event = b"id: 1\ndata: x\n\n"
    backend = Backend(lambda _: complete_response(event, *lines))

    async def scenario(harness: GatewayHarness) -> None:
        data = _request("length", path=path)
        for _ in range(2):
            received = await harness.send(data, timeout_s=0.3)
            assert received.startswith(b"HTTP/1.1 200 OK\r\n")
            assert event in received
            assert b"Upgrade" not in received

    run_scenario([backend], scenario)


@pytest.mark.parametrize("lines", [*OFFERS[:2], ("Upgrade: h2c",), ()])
def test_response_that_switches_protocols_is_no_answer(
    lines: tuple[str, ...],
) -> None:
    head = b"\r\n".join(
        [b"HTTP/1.1 101 Switching Protocols", *(x.encode() for x in lines)]
    )
    backend = Backend(lambda _: head + b"\r\n\r\n" + signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        data = _request("length", last=True)
        assert (await harness.send(data)).startswith(b"HTTP/1.1 502 ")

    run_scenario([backend], scenario)
