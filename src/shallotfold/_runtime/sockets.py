"""Socket options of connections."""

import asyncio
import select
import socket
import struct

# SO_LINGER on, 0 s: closing the socket resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)


def is_closed_by_peer(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed or reset a connection.

    The event loop reports it only after the bytes before it, and not at all
    while reading is paused.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or transport.is_closing():
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Reset a connection; bytes that weren't sent yet are dropped.

    `WriteTransport.abort` alone ends a connection in an orderly way unless
    received bytes are unread.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()
