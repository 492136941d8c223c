"""Test reuse, limits and closing of connections."""

import asyncio

import attrs
import pytest

from shallotfold._gateway.core.model import RequestLimits
from shallotfold._gateway.http import upstream_pool
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import signed_response
from tests.gateway.serving.harness import status_of


def test_caller_disconnect_closes_the_upstream_connection() -> None:
    backend = Backend(lambda _: b"")

    async def scenario(harness: GatewayHarness) -> None:
        await harness.send(
            request("/chat/1", method="POST", body=b"x"), timeout_s=0.2
        )
        await asyncio.sleep(0.2)
        assert backend.disconnects == 1

    run_scenario([backend], scenario)


def test_idle_connections_are_reused() -> None:
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        for _ in range(5):
            assert status_of(await harness.send(request())) == 200
        assert harness.gateway.pool.connections_made == 1

    run_scenario([backend], scenario)


def test_host_keeps_only_its_share_of_idle_connections() -> None:
    """Upstreams reset connections beyond the limit that all hosts share."""
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        assert harness.gateway.route_table is not None
        services = harness.gateway.route_table.configuration.services_by_name
        assert isinstance(services, dict)
        for name, service in services.items():
            services[name] = attrs.evolve(service, connection_limit=4)
        harness.gateway.host_count = 2
        await asyncio.gather(*(harness.send(request()) for _ in range(6)))
        assert harness.gateway.pool.connections_made > 1
        # Half of the 4 connections, shared by two hosts.
        (idle,) = harness.gateway.pool._idle_by_upstream.values()
        assert len(idle) == 1

    run_scenario([backend], scenario)


def test_non_repeatable_request_avoids_long_idle_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Upstreams may drop idle connections silently."""
    monkeypatch.setattr(upstream_pool, "MAX_IDLE_NOT_REPEATABLE_S", 0.05)
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        once_request = request("/book/1", method="POST", body=b"x")
        assert status_of(await harness.send(request())) == 200
        await asyncio.sleep(0.1)
        assert status_of(await harness.send(once_request)) == 200
        assert harness.gateway.pool.connections_made == 2
        # A repeatable request may reuse either connection.
        assert status_of(await harness.send(request())) == 200
        assert harness.gateway.pool.connections_made == 2

    run_scenario([backend], scenario)


def test_pipelined_requests_are_answered_in_order() -> None:
    backend = Backend(lambda sent: signed_response(sent.split(b" ")[1]))

    async def scenario(harness: GatewayHarness) -> None:
        keep_alive_request = request("/lookup/1").replace(
            b"Connection: close\r\n", b""
        )
        response = await harness.send(keep_alive_request + request("/lookup/2"))
        assert response.index(b"/lookup/1") < response.index(b"/lookup/2")

    run_scenario([backend], scenario)


def test_request_pipelined_behind_the_last_response_is_not_forwarded() -> None:
    """The caller of a later request could not learn its outcome."""
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        once_request = request("/book/1", method="POST", body=b"x")
        # Leaves an idle connection that would be used immediately.
        await harness.send(once_request)
        harness.gateway.begin_shutdown(5.0)
        keep_alive_request = request("/nowhere/1").replace(
            b"Connection: close\r\n", b""
        )
        await harness.send(keep_alive_request + once_request)
        await asyncio.sleep(0.1)

    run_scenario([backend], scenario)
    assert len(backend.requests) == 1


def test_host_shutting_down_serves_requests_with_connection_close() -> None:
    async def scenario(harness: GatewayHarness) -> None:
        harness.gateway.begin_shutdown(5.0)
        keep_alive_request = request("/lookup/1").replace(
            b"Connection: close\r\n", b""
        )
        response = await harness.send(keep_alive_request)
        assert status_of(response) == 200
        assert b"Connection: close\r\n" in response

    run_scenario([Backend(lambda _: signed_response())], scenario)


def test_host_shutting_down_refuses_requests_that_may_outlast_it() -> None:
    """A stream accepted 3 s after SIGTERM was cut off at process exit."""

    async def scenario(harness: GatewayHarness) -> None:
        harness.gateway.begin_shutdown(5.0)
        assert harness.gateway.shutdown_started_s is not None
        harness.gateway.shutdown_started_s -= 2.9
        harness.gateway.shutdown_ends_s -= 2.9
        response = await harness.send(
            request("/chat/1", method="POST", body=b"x")
        )
        assert status_of(response) == 503
        assert b"Retry-After: " in response
        assert status_of(await harness.send(request())) == 200

    run_scenario([Backend(lambda _: signed_response())], scenario)


@pytest.mark.parametrize(
    ("endless", "status"),
    [
        (b"5;" + b"a" * 300_000, b"400"),
        (b"5\r\nhello\r\n0\r\n" + b"a: b\r\n" * 60_000, b"400"),
        (b"100000\r\n" + bytes(200_000), b"413"),
    ],
    ids=["chunk extension", "trailers", "body"],
)
def test_endless_request_is_rejected_before_it_ends(
    endless: bytes, status: bytes
) -> None:
    """A caller could keep its connection busy for as long as it sent."""

    async def scenario(harness: GatewayHarness) -> None:
        head = request("/lookup/1", "Transfer-Encoding: chunked", method="POST")
        response = await harness.send(head + endless, timeout_s=1.0)
        assert response.startswith(b"HTTP/1.1 " + status)

    backend = Backend(lambda received: complete_response(b"ok"))
    run_scenario([backend], scenario, RequestLimits(max_body_bytes=100_000))
    assert not backend.requests


def test_continue_is_not_written_into_another_response() -> None:
    """A pipelined request's was taken for a part of the running response."""

    async def scenario(harness: GatewayHarness) -> None:
        first = request("/lookup/1").replace(b"Connection: close\r\n", b"")
        second = request(
            "/book/1",
            "Expect: 100-continue",
            "Content-Length: 1",
            method="POST",
        )
        response = await harness.send(first + second, timeout_s=1.0)
        assert response.index(b"first") < response.index(b"100 Continue")

    def respond(received: bytes) -> bytes:
        del received
        return complete_response(b"first")

    run_scenario([Backend(respond)], scenario)
