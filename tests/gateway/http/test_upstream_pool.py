"""Test the limits of open and of idle connections per host."""

import asyncio

import pytest

from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.upstream_pool import MAX_IDLE_CONNECTIONS
from shallotfold._gateway.http.upstream_pool import UpstreamPool
from shallotfold._gateway.http.upstream_pool import idle_limit
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.gateway.factories import make_upstream


@pytest.mark.parametrize(
    ("connection_limit", "host_count", "expected_limit"),
    [
        (0, 67, MAX_IDLE_CONNECTIONS),
        (100_000, 67, MAX_IDLE_CONNECTIONS),
        (530, 67, 3),
        (530, 9, MAX_IDLE_CONNECTIONS),
        (100, 300, 1),
    ],
)
def test_idle_connections_leave_room_for_requests(
    connection_limit: int, host_count: int, expected_limit: int
) -> None:
    assert idle_limit(connection_limit, host_count) == expected_limit


class _Listener:
    """Tells how a request ended."""

    def __init__(self) -> None:
        self.outcome: asyncio.Future[str] = (
            asyncio.get_running_loop().create_future()
        )

    def is_wanted(self) -> bool:
        return True

    def on_unsent(self, reason: str, *, host_is_full: bool) -> None:
        del reason
        self.outcome.set_result("host is full" if host_is_full else "unsent")

    def on_head_part(self, count: int) -> None: ...

    def on_head(self, status: int, reason: bytes, headers: Headers) -> bool:
        del status, reason, headers
        return True

    def on_data(self, data: bytes) -> None: ...

    def on_complete(self) -> None:
        self.outcome.set_result("complete")

    def on_failure(self, reason: str) -> None:
        self.outcome.set_result(reason)


async def test_idle_connection_makes_room_for_one_to_another_upstream() -> None:
    backends = [Backend(lambda _: complete_response(b"ok")) for _ in range(2)]
    pool = UpstreamPool(lambda _: MAX_IDLE_CONNECTIONS)
    pool.max_connections = 1
    for number, backend in enumerate(backends):
        await backend.start()
        upstream = make_upstream(f"u{number}", port=backend.port)
        listener = _Listener()
        send_handle = pool.send(
            upstream, b"GET / HTTP/1.1\r\n\r\n", listener, repeatable=True
        )
        assert await listener.outcome == "complete"
        pool.release(upstream, send_handle)
    assert pool.connections_made == 2
    await asyncio.sleep(0.05)
    assert [backend.disconnects for backend in backends] == [1, 0]
    await pool.close()
    for backend in backends:
        await backend.stop()


async def test_connections_in_use_are_not_exceeded() -> None:
    """Connections to upstreams took the descriptors of the store."""
    backend = Backend(lambda _: b"")
    await backend.start()
    upstream = make_upstream("u0", port=backend.port)
    pool = UpstreamPool(lambda _: MAX_IDLE_CONNECTIONS)
    pool.max_connections = 2
    listeners = [_Listener() for _ in range(5)]
    for listener in listeners:
        pool.send(
            upstream, b"GET / HTTP/1.1\r\n\r\n", listener, repeatable=True
        )
    await asyncio.sleep(0.1)
    outcomes = [
        listener.outcome.result() if listener.outcome.done() else "waits"
        for listener in listeners
    ]
    assert sorted(outcomes) == ["host is full"] * 3 + ["waits"] * 2
    assert pool.connections_made == 2
    await pool.close()
    await backend.stop()


async def test_connections_that_have_ended_are_not_remembered() -> None:
    """With a high limit, they would have filled the memory."""
    backend = Backend(lambda _: complete_response(b"ok"), close=True)
    await backend.start()
    upstream = make_upstream("u0", port=backend.port)
    pool = UpstreamPool(lambda _: MAX_IDLE_CONNECTIONS)
    pool.max_connections = 1_000
    for _ in range(20):
        listener = _Listener()
        send_handle = pool.send(
            upstream, b"GET / HTTP/1.1\r\n\r\n", listener, repeatable=True
        )
        assert await listener.outcome == "complete"
        send_handle.cancel()
        await asyncio.sleep(0.01)
    del listener, send_handle
    assert len(pool._connections) <= 2
    await pool.close()
    await backend.stop()
