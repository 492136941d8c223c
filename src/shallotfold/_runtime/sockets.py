"""Socket options of connections."""

import asyncio
import socket
import struct

# SO_LINGER on, 0 s: closing the socket resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Reset a connection; bytes that weren't sent yet are dropped.

    `WriteTransport.abort` alone ends a connection in an orderly way unless
    received bytes are unread.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()
