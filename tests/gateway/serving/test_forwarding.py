"""Test that requests and responses are forwarded unchanged."""

import asyncio

import pytest

from shallotfold._gateway.core.model import RequestLimits
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import signed_response
from tests.gateway.serving.harness import status_of


def test_request_is_forwarded_unchanged_and_its_response_returned() -> None:
    backend = Backend(lambda _: signed_response(b"\x00\xffbody"))

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(
            request("/book/a%2Fb?q=1", "X-Mine: 5", method="POST", body=b"abc")
        )
        assert response.endswith(b"\r\n\r\n\x00\xffbody")
        assert b"Response-Signature: s\r\n" in response

    run_scenario([backend], scenario)
    (sent,) = backend.requests
    assert sent.startswith(b"POST /book/a%2Fb?q=1 HTTP/1.1\r\n")
    assert sent.endswith(b"\r\n\r\nabc")
    assert b"X-Mine: 5\r\n" in sent
    assert b"Attempt-Id: 77\r\n" in sent


@pytest.mark.parametrize("path", ["/lookup/1", "/open/1"])
def test_internal_headers_and_key_from_the_caller_are_not_forwarded(
    path: str,
) -> None:
    backend = Backend(lambda _: signed_response())
    forged_headers = (
        "Tenant-Name: south",
        "Request-Priority: 0",
        "Expected-Instance: other",
        "Expected-Version: 3",
        "Cache-Retention: x",
        "Cache-Pin-Duration: 9",
        "Kv-Fetch: 10.0.0.1:1",
        "Kv-From: 10.0.0.1:1/3",
        "Kv-Cache-Replica: 10.0.0.1:1",
    )

    async def scenario(harness: GatewayHarness) -> None:
        assert (
            status_of(await harness.send(request(path, *forged_headers))) == 200
        )

    run_scenario([backend], scenario)
    (sent,) = backend.requests
    assert b"expected-instance: u0\r\n" in sent
    assert b"secret" not in sent
    for value in (b"south", b"other", b"Cache-", b"Kv-", b"Expected-Version"):
        assert value not in sent
    assert (b"tenant-name: north" in sent) == (path == "/lookup/1")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (request("/nowhere/1"), 404),
        (request(key="wrong"), 401),
        (request(key=""), 401),
        (request("/open/1", key=""), 200),
        (b"NONSENSE\r\n\r\n", 400),
        (request("/lookup/1", "Transfer-Encoding: chunked", body=b"x"), 400),
    ],
)
def test_requests_are_checked_for_route_key_and_syntax(
    data: bytes, status: int
) -> None:
    async def scenario(harness: GatewayHarness) -> None:
        assert status_of(await harness.send(data)) == status

    run_scenario([Backend(lambda _: signed_response())], scenario)


def test_request_limits_are_enforced() -> None:
    limits = RequestLimits(
        max_header_bytes=500,
        max_body_bytes=10,
        header_timeout_s=0.3,
        idle_timeout_s=0.6,
    )

    async def scenario(harness: GatewayHarness) -> None:
        head_response = await harness.send(
            request("/lookup/1", "X-Big: " + "x" * 900)
        )
        assert status_of(head_response) == 431
        body_response = await harness.send(
            request("/book/1", method="POST", body=b"x" * 11)
        )
        assert status_of(body_response) == 413
        timeout_response = await harness.send(
            b"GET /lookup/1 HTTP/1.1\r\nHost: sh"
        )
        assert status_of(timeout_response) == 408
        stalled = request("/book/1", method="POST", body=b"x" * 9)[:-3]
        assert status_of(await harness.send(stalled)) == 408

    run_scenario([Backend(lambda _: signed_response())], scenario, limits)


def test_requests_are_counted_for_the_workspace() -> None:
    async def scenario(harness: GatewayHarness) -> None:
        await harness.send(request())
        await harness.send(request("/open/1"))
        await harness.send(request("/nowhere/1"))

    harness = run_scenario([Backend(lambda _: signed_response())], scenario)
    assert harness.counts.total(0) == {"north": 1}


def test_headers_that_any_connection_header_names_are_removed() -> None:
    """Those that a second one named were forwarded."""
    backend = Backend(lambda _: signed_response(b"ok"))

    async def scenario(harness: GatewayHarness) -> None:
        await harness.send(
            request("/lookup/1", "Connection: Two", "One: 1", "Two: 2")
        )

    run_scenario([backend], scenario)
    assert b"One: 1" in backend.requests[0]
    assert b"Two: 2" not in backend.requests[0]


REQUEST_HEADERS = (
    "Attempt-Id: 77",
    "Content-Type: application/json",
    "Content-Encoding: identity",
    "Accept: text/plain",
    "Authorization: x",
    "If-Match: v1",
    "Last-Event-Id: 3",
    "Model-Name: m",
    "Token-Counts: 8,2",
    "Prompt-Prefix: 5c1e:8",
    "Output-Length-Hint: 2",
)


@pytest.mark.parametrize(
    "option", [line.split(":")[0] for line in REQUEST_HEADERS]
)
@pytest.mark.parametrize("path", ["/lookup/1", "/book/1", "/talk/1"])
def test_caller_can_not_name_headers_of_the_request_in_connection(
    path: str, option: str
) -> None:
    """A booking with `Connection: Attempt-Id` ran without its id."""
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        await harness.send(
            request(path, f"Connection: x, {option}", *REQUEST_HEADERS[1:]),
            timeout_s=0.3,
        )

    run_scenario([backend], scenario)
    for line in REQUEST_HEADERS:
        assert backend.requests[0].count(f"{line}\r\n".encode()) == 1


@pytest.mark.parametrize(
    "option",
    [
        "X-Api-Key",
        "Deadline-Remaining",
        "Tenant-Name",
        "Request-Priority",
        "Expected-Instance",
        "Content-Length",
        "Host",
    ],
)
def test_caller_can_not_name_headers_of_the_gateway_in_connection(
    option: str,
) -> None:
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(
            request(
                "/lookup/1",
                f"Connection: {option}",
                "Tenant-Name: south",
                "Token-Counts: 8,2",
                method="POST",
                body=b"abc",
            )
        )
        assert status_of(response) == 200

    run_scenario([backend], scenario)
    (sent,) = backend.requests
    for line in (
        b"Host: shop.example",
        b"tenant-name: north",
        b"request-priority: 0",
        b"expected-instance: u0",
        b"Content-Length: 3",
    ):
        assert sent.count(line + b"\r\n") == 1
    assert b"deadline-remaining: " in sent
    assert b"secret" not in sent
    assert b"south" not in sent


@pytest.mark.parametrize("path", ["/lookup/1", "/talk/1"])
@pytest.mark.parametrize(
    "line",
    [
        b"Attempt-Id: 77",
        b"Response-Signature: s",
        b"Weight-Versions: 3",
        b"Content-Type: text/event-stream",
        b"Content-Encoding: gzip",
        b"ETag: x",
    ],
)
def test_upstream_can_not_name_headers_of_the_response_in_connection(
    line: bytes, path: str
) -> None:
    """The caller got an answer without its signature."""
    option = line.split(b":")[0]
    other_lines = (b"Connection: X-Hop, " + option, b"X-Hop: 1")
    data = b"id: 1\ndata: x\n\n"
    backend = Backend(
        lambda _: complete_response(data, line, *other_lines),
    )

    async def scenario(harness: GatewayHarness) -> None:
        received = await harness.send(request(path))
        assert status_of(received) == 200
        assert data in received
        assert line + b"\r\n" in received
        assert b"X-Hop" not in received

    run_scenario([backend], scenario)


def test_refusal_whose_connection_header_names_its_mark_is_not_run() -> None:
    refusal = complete_response(
        b"",
        b"Attempt-Id: 77",
        b"Not-Executed: 1",
        b"Connection: Not-Executed",
        status=b"503 Full",
    )
    responses = iter([refusal, signed_response()])
    backends = [Backend(lambda _: next(responses)) for _ in range(2)]

    async def scenario(harness: GatewayHarness) -> None:
        data = request("/book/1", method="POST", body=b"x")
        assert status_of(await harness.send(data)) == 200

    run_scenario(backends, scenario)


@pytest.mark.parametrize("part_bytes", [1 << 20, 700])
@pytest.mark.parametrize(("path_bytes", "status"), [(300, 200), (900, 431)])
def test_target_counts_towards_the_size_of_the_head(
    path_bytes: int, status: int, part_bytes: int
) -> None:
    """In one read, a head could have a target of any length."""
    backend = Backend(lambda _: signed_response())
    data = request("/lookup/" + "a" * path_bytes)

    async def scenario(harness: GatewayHarness) -> None:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port
        )
        for start in range(0, len(data), part_bytes):
            writer.write(data[start : start + part_bytes])
            await writer.drain()
            await asyncio.sleep(0.01)
        assert status_of(await reader.read(4096)) == status
        writer.close()

    run_scenario([backend], scenario, RequestLimits(max_header_bytes=800))
    assert len(backend.requests) == (status == 200)


@pytest.mark.parametrize("space", [" ", "\t", " \t  "])
@pytest.mark.parametrize(
    "line", ["Host: shop.example", "X-Api-Key: secret", "Attempt-Id: 77"]
)
def test_white_space_behind_a_value_is_no_part_of_it(
    line: str, space: str
) -> None:
    """Behind a key it led to 401, behind the host to 404."""
    backend = Backend(lambda _: signed_response())
    data = request().replace(line.encode(), f"{line}{space}".encode())

    async def scenario(harness: GatewayHarness) -> None:
        assert status_of(await harness.send(data)) == 200

    run_scenario([backend], scenario)
    assert b"Attempt-Id: 77\r\n" in backend.requests[0]


@pytest.mark.parametrize("space", [b" ", b"\t"])
@pytest.mark.parametrize("path", ["/book/1", "/lookup/1"])
def test_white_space_behind_the_id_of_a_response_is_no_part_of_it(
    path: str, space: bytes
) -> None:
    """The response was ignored, and the caller got 504 though it had run."""
    backend = Backend(
        lambda _: complete_response(
            b"ok", b"Attempt-Id: 77" + space, b"Response-Signature: s" + space
        )
    )

    async def scenario(harness: GatewayHarness) -> None:
        received = await harness.send(request(path))
        assert status_of(received) == 200
        assert b"Response-Signature: s\r\n" in received

    run_scenario([backend], scenario)
