"""Authenticate both ends of a stream between entries with the fleet secret.

Dialer and listener exchange hellos with fresh nonces, then prove that they
know the secret by an HMAC over both hellos and their own role. The nonces
prevent replay attacks, and the roles prevent reflection attacks. The host names
prevent connections to a host other than the dialled one. The secret itself is
never sent. The stream that follows is neither encrypted nor authenticated: the
network between the hosts is trusted to deliver bytes unchanged.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import hmac
import secrets

import attrs

from shallotfold._errors import FrameError
from shallotfold._errors import HandshakeError
from shallotfold._wire.codec import MessageCodec
from shallotfold._wire.framing import encode_frame
from shallotfold._wire.framing import read_frame

PROTOCOL_VERSION = 1
HANDSHAKE_TIMEOUT_S = 3.0
MAX_HANDSHAKE_FRAME_BYTES = 1024
MAX_HOST_NAME_LENGTH = 128
_NONCE_BYTES = 32
_DIALER = b"dialer"
_LISTENER = b"listener"


@attrs.frozen
class Hello:
    """Identify the process that opens or accepts a stream.

    Attributes:
        protocol: Protocol version; must always remain the first field.
        host: Name of the sender's host.
        incarnation: Start time of the sender's process in nanoseconds.
        nonce: Fresh random bytes.
    """

    protocol: int
    host: str
    incarnation: int
    nonce: bytes


@attrs.frozen
class Proof:
    """Prove knowledge of the fleet secret for one pair of hellos."""

    mac: bytes


@attrs.frozen
class Identity:
    """Identity of this process in the handshake.

    Attributes:
        host: Name of this host.
        incarnation: Start time of the process in nanoseconds.
        secret: Fleet secret.
    """

    host: str
    incarnation: int
    secret: bytes = attrs.field(repr=False)


_CODEC = MessageCodec((Hello, Proof))


async def dial(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: Identity,
    expected_host: str,
) -> Hello:
    """Authenticate as the side that opened the connection.

    Returns:
        The hello of the authenticated peer.

    Raises:
        HandshakeError: The peer is not `expected_host` of this fleet.
    """

    async def exchange() -> Hello:
        local_hello = _make_hello(identity)
        await _send(writer, local_hello)
        peer = await _receive_hello(reader, identity)
        if peer.host != expected_host:
            raise HandshakeError(
                f"dialled {expected_host} but {peer.host!r} answered; "
                "correct the address in the host list"
            )
        await _send(writer, _make_proof(identity, local_hello, peer, _DIALER))
        await _check_proof(
            reader, _make_proof(identity, local_hello, peer, _LISTENER), peer
        )
        return peer

    return await _run_with_timeout(exchange)


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: Identity,
) -> Hello:
    """Authenticate as the side that accepted the connection.

    Returns:
        The hello of the authenticated peer.

    Raises:
        HandshakeError: The peer doesn't belong to this fleet.
    """

    async def exchange() -> Hello:
        local_hello = _make_hello(identity)
        try:
            peer = await _receive_hello(reader, identity)
        except HandshakeError:
            # Tells a peer of another version which version this entry runs.
            await _send(writer, local_hello)
            raise
        await _send(writer, local_hello)
        await _check_proof(
            reader, _make_proof(identity, peer, local_hello, _DIALER), peer
        )
        await _send(writer, _make_proof(identity, peer, local_hello, _LISTENER))
        return peer

    return await _run_with_timeout(exchange)


async def _run_with_timeout(exchange: Callable[[], Awaitable[Hello]]) -> Hello:
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            return await exchange()
    except (FrameError, OSError, asyncio.IncompleteReadError) as error:
        # TimeoutError is an OSError.
        raise HandshakeError(
            f"handshake failed ({error or 'timeout'}); only entries of one "
            "fleet may use the peer port"
        ) from error


def _make_hello(identity: Identity) -> Hello:
    return Hello(
        protocol=PROTOCOL_VERSION,
        host=identity.host,
        incarnation=identity.incarnation,
        nonce=secrets.token_bytes(_NONCE_BYTES),
    )


async def _send(writer: asyncio.StreamWriter, message: Hello | Proof) -> None:
    writer.write(encode_frame(_CODEC.encode(message)))
    await writer.drain()


async def _receive_hello(
    reader: asyncio.StreamReader, identity: Identity
) -> Hello:
    data = await read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES)
    peer = _CODEC.decode(data)
    if not isinstance(peer, Hello):
        raise HandshakeError(
            "the first message is not a hello; only entries of one fleet may "
            "use the peer port"
        )
    if peer.protocol != PROTOCOL_VERSION:
        raise HandshakeError(
            f"{peer.host[:MAX_HOST_NAME_LENGTH]!r} speaks protocol "
            f"{peer.protocol}, this entry {PROTOCOL_VERSION}; "
            "run the same version on all entries"
        )
    if peer.host == identity.host:
        raise HandshakeError(
            f"the peer is also named {identity.host!r}; "
            "give each host its own name"
        )
    if (
        len(peer.nonce) != _NONCE_BYTES
        or not 0 < len(peer.host) <= MAX_HOST_NAME_LENGTH
    ):
        raise HandshakeError(
            "malformed hello; only entries of one fleet may use the peer port"
        )
    return peer


async def _check_proof(
    reader: asyncio.StreamReader, expected: Proof, peer: Hello
) -> None:
    data = await read_frame(reader, MAX_HANDSHAKE_FRAME_BYTES)
    proof = _CODEC.decode(data)
    if not isinstance(proof, Proof) or not hmac.compare_digest(
        proof.mac, expected.mac
    ):
        raise HandshakeError(
            f"{peer.host!r} does not know the fleet secret; "
            "set the same secret on all entries"
        )


def _make_proof(
    identity: Identity, dialer: Hello, listener: Hello, role: bytes
) -> Proof:
    transcript = role + _CODEC.encode(dialer) + _CODEC.encode(listener)
    mac = hmac.new(identity.secret, transcript, hashlib.sha256)
    return Proof(mac.digest())
