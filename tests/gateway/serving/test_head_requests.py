"""Test responses to HEAD, which end with their heads.

The gateway waited for the body that a length announced, and sent bodies of its
own, which callers took for the begin of their next response.
"""

import asyncio
from collections.abc import Callable

import pytest

from shallotfold._gateway.http.messages import encode_local_response
from shallotfold._gateway.serving.pages import Page
from shallotfold._gateway.serving.pages import PageServer
from shallotfold._settings.addresses import Address
from tests.gateway.backends import Backend
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import signed_response

END = b"\r\n\r\n"
ID = b"Attempt-Id: 77\r\n"


def _request(path: str, method: str, key: str = "secret") -> bytes:
    return (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: 77\r\n"
        f"X-Api-Key: {key}\r\nDeadline-Remaining: 5000\r\n\r\n"
    ).encode()


def _respond_to_head(head: bytes) -> Callable[[bytes], bytes]:
    """Return the response to each HEAD, and an ordinary one to others."""
    return lambda data: (
        head if data.startswith(b"HEAD ") else signed_response(b"next")
    )


async def _send_head_and_get(
    harness: GatewayHarness, path: str, key: str = "secret"
) -> bytes:
    """Return the head of the first response; the second must be whole."""
    reader, writer = await asyncio.open_connection("127.0.0.1", harness.port)
    writer.write(_request(path, "HEAD", key))
    async with asyncio.timeout(5.0):
        head = await reader.readuntil(END)
        writer.write(_request("/lookup/1", "GET"))
        second_head = await reader.readuntil(END)
        assert second_head.startswith(b"HTTP/1.1 200 OK\r\n")
        assert await reader.readexactly(4) == b"next"
    writer.close()
    return head


@pytest.mark.parametrize("path", ["/lookup/1", "/book/1", "/talk/1", "/chat/1"])
@pytest.mark.parametrize(
    ("head", "expected"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n", b"Content-Length: 9"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", b"Content-Length: 0"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", b"200 OK"),
        (b"HTTP/1.1 200 OK\r\n", b"200 OK"),
        (b"HTTP/1.1 204 No Content\r\n", b"204 No Content"),
        (
            b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n",
            b"Content-Length: 9",
        ),
        (b"HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n", b"404 Not Found"),
        (b"HTTP/1.1 500 Failed\r\nContent-Length: 9\r\n", b"500 Failed"),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n",
            b"Content-Length: 9",
        ),
    ],
)
def test_response_of_the_upstream_ends_with_its_head(
    path: str, head: bytes, expected: bytes
) -> None:
    response = head + ID + b"Response-Signature: s" + END
    backends = [Backend(_respond_to_head(response)) for _ in range(2)]

    async def scenario(harness: GatewayHarness) -> None:
        received = await _send_head_and_get(harness, path)
        assert expected in received
        assert b"Response-Signature: s\r\n" in received

    run_scenario(backends, scenario)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/1", "secret", 404),
        ("/lookup/1", "wrong", 401),
        ("/book/1", "secret", 504),
        ("/talk/1", "secret", 504),
    ],
)
def test_response_of_the_gateway_has_no_body(
    path: str, key: str, status: int
) -> None:
    backend = Backend(_respond_to_head(b""))

    async def scenario(harness: GatewayHarness) -> None:
        received = await _send_head_and_get(harness, path, key)
        assert received.startswith(b"HTTP/1.1 %d " % status)

    run_scenario([backend], scenario)


@pytest.mark.parametrize("status", [b"503 Busy", b"429 Many"])
def test_refusal_of_the_upstream_has_no_body(status: bytes) -> None:
    lines = b"\r\nNot-Executed: 1\r\nContent-Length: 9\r\n"
    head = b"HTTP/1.1 " + status + lines + ID + b"\r\n"
    backends = [Backend(_respond_to_head(head)) for _ in range(2)]

    async def scenario(harness: GatewayHarness) -> None:
        received = await _send_head_and_get(harness, "/book/1")
        assert received.startswith(b"HTTP/1.1 503 ")

    run_scenario(backends, scenario)


@pytest.mark.parametrize(
    "framing",
    [b"Content-Length: 9\r\n", b"Transfer-Encoding: chunked\r\n", b""],
)
def test_body_that_an_upstream_sends_to_head_reaches_nobody(
    framing: bytes,
) -> None:
    head = b"HTTP/1.1 200 OK\r\n" + framing + ID + b"\r\n"
    body = b"HTTP/1.1 200 OK\r\nAttempt-Id: 77\r\nContent-Length: 4\r\n\r\nfake"
    backend = Backend(_respond_to_head(head + body))

    async def scenario(harness: GatewayHarness) -> None:
        for _ in range(3):
            received = await _send_head_and_get(harness, "/lookup/1")
            assert received.startswith(b"HTTP/1.1 200 OK\r\n")

    run_scenario([backend], scenario)


def test_response_to_head_that_breaks_off_is_no_answer() -> None:
    backend = Backend(_respond_to_head(b"HTTP/1.1 200 OK\r\n" + ID), reset=True)

    async def scenario(harness: GatewayHarness) -> None:
        received = await harness.send(_request("/book/1", "HEAD"))
        assert received.startswith(b"HTTP/1.1 502 ")
        assert received.endswith(END)

    run_scenario([backend], scenario)


async def test_pages_have_no_body() -> None:
    server = PageServer({b"/page": lambda: Page(200, b"text")})
    await server.start([Address("127.0.0.1", 0)])
    port = server._servers[0].sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for _ in range(2):
        writer.write(b"HEAD /page HTTP/1.1\r\nHost: x\r\n\r\n")
        async with asyncio.timeout(1.0):
            head = await reader.readuntil(END)
        assert head.startswith(b"HTTP/1.1 200 OK\r\n")
        assert b"Content-Length: 4\r\n" in head
    writer.close()
    await server.close()


def test_local_response_to_head_announces_the_length_of_its_body() -> None:
    whole = encode_local_response(404, body=b"no route")
    assert encode_local_response(
        404, body=b"no route", head_only=True
    ) == whole.removesuffix(b"no route")
