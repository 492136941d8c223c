import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import pytest

from shallotfold._errors import HandshakeError
from shallotfold._wire import handshake
from shallotfold._wire.framing import encode_frame
from shallotfold._wire.framing import read_frame
from shallotfold._wire.handshake import Identity

Handler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]
EAST = Identity("east", 1, b"fleet secret")
WEST = Identity("west", 2, b"fleet secret")
STRANGER = Identity("west", 3, b"another secret")


async def connect_through(handler: Handler, client: Handler) -> None:
    handled = asyncio.Event()

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(HandshakeError, OSError):
            await handler(reader, writer)
        writer.close()
        handled.set()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        await client(reader, writer)
    finally:
        writer.close()
        await handled.wait()
        server.close()
        await server.wait_closed()


def run(handler: Handler, client: Handler) -> None:
    asyncio.run(asyncio.wait_for(connect_through(handler, client), 10))


def accept_as(identity: Identity, accepted: list[handshake.Hello]) -> Handler:
    async def handler(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        accepted.append(await handshake.accept(reader, writer, identity))

    return handler


def dial_as(
    identity: Identity, expected_host: str, failure: str = ""
) -> Handler:
    async def client(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not failure:
            await handshake.dial(reader, writer, identity, expected_host)
            return
        with pytest.raises(HandshakeError, match=failure):
            await handshake.dial(reader, writer, identity, expected_host)

    return client


def test_two_entries_of_a_fleet_authenticate_each_other() -> None:
    accepted: list[handshake.Hello] = []
    run(accept_as(EAST, accepted), dial_as(WEST, "east"))
    assert [(h.host, h.incarnation) for h in accepted] == [("west", 2)]


def test_wrong_secret_is_refused_by_both_sides() -> None:
    accepted: list[handshake.Hello] = []
    run(
        accept_as(EAST, accepted), dial_as(STRANGER, "east", "handshake failed")
    )
    assert accepted == []


def test_listener_without_the_secret_is_refused() -> None:
    async def reflect_proof(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await read_frame(reader)
        hello = handshake.Hello(
            handshake.PROTOCOL_VERSION, "east", 1, bytes(32)
        )
        writer.write(encode_frame(handshake._CODEC.encode(hello)))
        proof = await read_frame(reader)
        # Sends the dialer's proof back to it.
        writer.write(encode_frame(proof))
        await writer.drain()

    run(reflect_proof, dial_as(WEST, "east", "does not know the fleet secret"))


def test_replayed_dialer_is_refused() -> None:
    recorded: list[bytes] = []
    accepted: list[handshake.Hello] = []

    async def record(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        hello = await read_frame(reader)
        hello_from_east = handshake.Hello(
            handshake.PROTOCOL_VERSION, "east", 1, bytes(32)
        )
        writer.write(encode_frame(handshake._CODEC.encode(hello_from_east)))
        recorded.extend([hello, await read_frame(reader)])

    run(record, dial_as(WEST, "east", "handshake failed"))

    async def replay(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b"".join(encode_frame(content) for content in recorded))
        await writer.drain()
        await reader.read()

    run(accept_as(EAST, accepted), replay)
    assert accepted == []


def test_host_other_than_the_dialled_one_is_refused() -> None:
    run(accept_as(EAST, []), dial_as(WEST, "north", "'east' answered"))


def test_peer_with_the_name_of_this_host_is_refused() -> None:
    run(accept_as(EAST, []), dial_as(EAST, "east", "its own name"))


def test_error_names_the_other_protocol_version() -> None:
    accepted: list[handshake.Hello] = []

    async def old_client(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        hello = handshake.Hello(99, "west", 1, bytes(32))
        writer.write(encode_frame(handshake._CODEC.encode(hello)))
        reply = handshake._CODEC.decode(await read_frame(reader))
        assert reply.protocol == handshake.PROTOCOL_VERSION

    run(accept_as(EAST, accepted), old_client)
    assert accepted == []

    async def new_listener(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await read_frame(reader)
        hello = handshake.Hello(99, "east", 1, bytes(32))
        writer.write(encode_frame(handshake._CODEC.encode(hello)))

    run(new_listener, dial_as(WEST, "east", "speaks protocol 99"))


@pytest.mark.parametrize(
    "junk", [b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\4junk", b"\xff" * 2000]
)
def test_malformed_bytes_are_refused(junk: bytes) -> None:
    accepted: list[handshake.Hello] = []

    async def send_junk(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(junk)
        with contextlib.suppress(OSError):
            await writer.drain()
            await reader.read()

    run(accept_as(EAST, accepted), send_junk)
    assert accepted == []


def test_silent_client_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(handshake, "HANDSHAKE_TIMEOUT_S", 0.05)
    accepted: list[handshake.Hello] = []

    async def stay_silent(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()

    run(accept_as(EAST, accepted), stay_silent)
    assert accepted == []
