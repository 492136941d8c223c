"""Test that each request of a connection runs as it was sent.

Whatever its framing, its header lines and the reads it arrives in, an upstream
gets the method, path, id, content type and body that the caller sent, and the
caller gets the response to each request, in order.
"""

import asyncio
import itertools
import re

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import run_scenario

METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "CONNECT")
LINES = (
    "Connection: Upgrade, HTTP2-Settings",
    "Connection: keep-alive",
    "Connection: Attempt-Id, Content-Type",
    "Connection: Content-Length, Transfer-Encoding, Host",
    "Connection: X-Api-Key, Deadline-Remaining",
    "Proxy-Connection: Upgrade",
    "Upgrade: h2c",
    "Upgrade: websocket",
    "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA",
    "Expect: 100-continue",
    "TE: trailers",
    "Trailer: X-Sum",
    "Keep-Alive: timeout=5",
)
_ID = re.compile(rb"Attempt-Id: (\S+)\r\n")
_RESPONSE = re.compile(
    rb"HTTP/1\.1 (\d+) [^\r]*\r\n(?:[^\r]+\r\n)*Attempt-Id: (\S+)\r\n"
)


@attrs.frozen
class Shape:
    """A request as a caller sends it; `None`: it has no body."""

    method: str
    body: bytes | None
    chunked: bool
    lines: tuple[str, ...]

    def encode(self, number: int) -> bytes:
        head = [
            f"{self.method} /book/{number} HTTP/1.1",
            "Host: shop.example",
            f"Attempt-Id: id-{number}",
            "Content-Type: text/x-test",
            "Deadline-Remaining: 5000",
            "X-Api-Key: secret",
            *self.lines,
        ]
        body = self.body or b""
        if self.body is None:
            framed = b""
        elif self.chunked:
            head.append("Transfer-Encoding: chunked")
            chunk = b"%x;a=b\r\n%b\r\n" % (len(body), body) if body else b""
            framed = chunk + b"0\r\nX-Sum: 1\r\n\r\n"
        else:
            head.append(f"Content-Length: {len(body)}")
            framed = body
        return "\r\n".join(head).encode() + b"\r\n\r\n" + framed


SHAPES = st.builds(
    Shape,
    method=st.sampled_from(METHODS),
    body=st.none()
    | st.binary(max_size=40)
    | st.sampled_from([b"\r\n\r\n", b"GET /book/9 HTTP/1.1\r\n\r\n"]),
    chunked=st.booleans(),
    lines=st.lists(st.sampled_from(LINES), max_size=4, unique=True).map(tuple),
)


def _respond(data: bytes) -> bytes:
    match = _ID.search(data)
    assert match is not None
    return complete_response(b"", b"Attempt-Id: " + match[1])


async def _send(harness: GatewayHarness, parts: list[bytes]) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0.001)
    async with asyncio.timeout(5.0):
        received = await reader.read()
    writer.close()
    return received


@settings(max_examples=60)
@given(
    shapes=st.lists(SHAPES, min_size=1, max_size=4),
    cuts=st.lists(st.integers(1, 2_000), max_size=6),
)
def test_requests_run_as_sent(shapes: list[Shape], cuts: list[int]) -> None:
    """Bookings that offered another protocol ran without their bodies."""
    last = attrs.evolve(
        shapes[-1], lines=(*shapes[-1].lines, "Connection: close")
    )
    data = b"".join(
        shape.encode(number)
        for number, shape in enumerate([*shapes[:-1], last])
    )
    ends = [0, *sorted({cut for cut in cuts if cut < len(data)}), len(data)]
    parts = [data[a:b] for a, b in itertools.pairwise(ends)]
    backend = Backend(_respond)

    async def scenario(harness: GatewayHarness) -> None:
        received = await _send(harness, parts)
        assert [match[:] for match in _RESPONSE.findall(received)] == [
            (b"200", b"id-%d" % number) for number in range(len(shapes))
        ]

    run_scenario([backend], scenario)
    assert len(backend.requests) == len(shapes)
    for number, (sent, shape) in enumerate(
        zip(backend.requests, shapes, strict=True)
    ):
        head, _, body = sent.partition(b"\r\n\r\n")
        line = f"{shape.method} /book/{number} HTTP/1.1\r\n"
        assert head.startswith(line.encode())
        assert head.count(b"Attempt-Id: id-%d" % number) == 1
        assert head.count(b"Content-Type: text/x-test") == 1
        assert head.count(b"Host: shop.example") == 1
        assert body == (shape.body or b"")
        assert b"secret" not in head
