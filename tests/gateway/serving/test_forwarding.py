"""Test that requests and responses are forwarded unchanged."""

import pytest

from shallotfold._gateway.core.model import RequestLimits
from tests.gateway.backends import Backend
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
