"""Test that connections leave descriptors for the store and peers."""

import asyncio
import resource

import pytest

from shallotfold._gateway.http.socket_reserve import RESERVED_SOCKETS
from shallotfold._gateway.serving.descriptor_shares import DescriptorShares
from shallotfold._gateway.serving.descriptor_shares import divide_descriptors
from tests.gateway.backends import Backend
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import signed_response
from tests.gateway.serving.harness import status_of

# The harness' lookups have this timeout.
LOOKUP_TIMEOUT_S = 0.6


@pytest.mark.parametrize("limit", [1_638, 4_100, 10_250])
def test_shares_leave_descriptors_for_the_store_and_peers(limit: int) -> None:
    shares = divide_descriptors(limit)
    assert shares.callers is not None
    assert shares.upstreams is not None
    # The platform keeps 200 of them for files.
    rest = limit - 200 - shares.callers - shares.upstreams
    assert rest > 2 * RESERVED_SOCKETS
    assert shares.callers >= 0.6 * limit


def test_shares_of_a_host_without_a_limit() -> None:
    assert divide_descriptors(resource.RLIM_INFINITY) == DescriptorShares(
        None, None
    )


def test_requests_beyond_the_connections_to_upstreams_are_refused_at_once() -> (
    None
):
    """They took the descriptors of the store, and blamed the upstreams."""
    backend = Backend(
        lambda data: b"" if b"/book/slow" in data else signed_response()
    )

    async def scenario(harness: GatewayHarness) -> None:
        pool = harness.gateway.pool
        pool.max_connections = 2
        slow = [
            asyncio.create_task(
                harness.send(request("/book/slow", method="POST", body=b"x"))
            )
            for _ in range(2)
        ]
        await asyncio.sleep(0.1)
        async with asyncio.timeout(LOOKUP_TIMEOUT_S):
            refusal = await harness.send(request())
        assert status_of(refusal) == 503
        assert b"Retry-After: " in refusal
        assert b"this host has too many connections" in refusal
        assert pool.connections_made == 2
        for response in await asyncio.gather(*slow):
            assert status_of(response) in (502, 504)
        # The upstream was reachable all the time.
        assert status_of(await harness.send(request())) == 200

    run_scenario([backend], scenario)
