"""Test the fenced HTTP client on the event loop that the binaries use."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

import attrs
import pytest

from shallotfold._errors import PlatformError
from shallotfold._runtime.loop import new_event_loop
from shallotfold._services.fenced_http import FencedHttpClient

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
TIMEOUT_S = 10.0


@attrs.define
class PeerServer:
    """A server that either responds or never reads a request."""

    listener: socket.socket
    responds: bool
    connections: list[socket.socket] = attrs.field(factory=list)
    received: bytes = b""
    accepted: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def url(self) -> str:
        ip, port = self.listener.getsockname()
        return f"http://{ip}:{port}"

    async def read_to_end(self) -> None:
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(self.connections[0], 65536):
            self.received += data

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            connection.setblocking(False)
            self.connections.append(connection)
            self.accepted.set()
            if self.responds:
                await loop.sock_recv(connection, 65536)
                await loop.sock_sendall(connection, RESPONSE)


def run(
    scenario: Callable[[PeerServer], Awaitable[None]], *, responds: bool = True
) -> None:
    async def main() -> None:
        with socket.socket() as listener:
            listener.bind(("127.77.42.1", 0))
            listener.listen(8)
            listener.setblocking(False)
            peer = PeerServer(listener, responds)
            server_task = asyncio.ensure_future(peer.serve())
            try:
                await asyncio.wait_for(scenario(peer), TIMEOUT_S)
            finally:
                server_task.cancel()
                for connection in peer.connections:
                    connection.close()

    loop = new_event_loop()
    try:
        loop.run_until_complete(main())
    finally:
        loop.close()


def test_request_gets_its_response() -> None:
    async def scenario(peer: PeerServer) -> None:
        client = FencedHttpClient(peer.url)
        response = await client.call("POST", "/x", {"a": 1}, 5.0)
        assert (response.status, response.content) == (200, {})

    run(scenario)


def test_aborted_request_resets_its_connection() -> None:
    async def scenario(peer: PeerServer) -> None:
        client = FencedHttpClient(peer.url)
        call = asyncio.ensure_future(client.call("POST", "/x", {}, 5.0))
        await peer.accepted.wait()
        await client.abort()
        with pytest.raises(PlatformError):
            await call
        with pytest.raises(ConnectionResetError):
            await peer.read_to_end()

    run(scenario, responds=False)


def test_nothing_is_sent_after_the_deadline() -> None:
    async def scenario(peer: PeerServer) -> None:
        times = iter([100.0])
        client = FencedHttpClient(peer.url, clock=lambda: next(times, 106.0))
        with pytest.raises(PlatformError):
            await client.call("POST", "/x", {}, 5.0)
        await peer.accepted.wait()
        with pytest.raises(ConnectionResetError):
            await peer.read_to_end()
        assert peer.received == b""

    run(scenario, responds=False)
