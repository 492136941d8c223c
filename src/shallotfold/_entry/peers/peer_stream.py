"""Exchange messages with a peer over one authenticated connection."""

import asyncio
import collections
from collections.abc import Callable
import socket
import time

import attrs

from shallotfold._errors import FrameError
from shallotfold._wire.codec import PEER_CODEC
from shallotfold._wire.control_messages import Heartbeat
from shallotfold._wire.framing import encode_frame
from shallotfold._wire.framing import read_frame
from shallotfold._wire.messages import PeerMessage

RECEIVE_TIMEOUT_S = 4.0
TCP_USER_TIMEOUT_MS = 4000
MAX_QUEUED_BYTES = 4 * 1024 * 1024


@attrs.frozen
class _QueuedFrame:
    data: bytes
    is_heartbeat: bool


class PeerStream:
    """One connection to one peer, with a bounded send queue.

    Attributes:
        host: Authenticated name of the peer.
        incarnation: Incarnation of the peer's process.
        dialer: Name of the host that opened the connection.
        last_message_s: Monotonic time of the last message sent or received
            that was not a heartbeat.
        sent_bytes: Bytes passed to the connection so far.
        received_bytes: Bytes of complete messages received so far.
    """

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        dialer: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_message: Callable[["PeerStream", PeerMessage], None],
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.dialer = dialer
        self.last_message_s = time.monotonic()
        self.sent_bytes = 0
        self.received_bytes = 0
        self._reader = reader
        self._writer = writer
        self._on_message = on_message
        self._queue: collections.deque[_QueuedFrame] = collections.deque()
        self._queued_bytes = 0
        self._has_queued = asyncio.Event()
        _set_tcp_timeouts(writer)

    def send(self, message: PeerMessage) -> None:
        """Queue a message; abort the stream when its queue is full.

        A heartbeat replaces one that is still queued.
        """
        is_heartbeat = isinstance(message, Heartbeat)
        if is_heartbeat:
            self._remove_queued_heartbeats()
        else:
            self.last_message_s = time.monotonic()
        data = encode_frame(PEER_CODEC.encode(message))
        if self._queued_bytes + len(data) > MAX_QUEUED_BYTES:
            self.abort()
            return
        self._queue.append(_QueuedFrame(data, is_heartbeat))
        self._queued_bytes += len(data)
        self._has_queued.set()

    async def run(self) -> None:
        """Send and receive until the stream ends.

        Raises:
            FrameError: The peer sent a malformed frame or message.
            OSError: The connection broke or nothing was received for too long.
            asyncio.IncompleteReadError: The peer closed the connection.
        """
        sending = asyncio.create_task(self._send_queued())
        try:
            await self._receive()
        finally:
            sending.cancel()
            self.abort()
            await asyncio.gather(sending, return_exceptions=True)

    def abort(self) -> None:
        """Close the connection and drop queued messages at once."""
        self._writer.transport.abort()

    def _remove_queued_heartbeats(self) -> None:
        for queued in [item for item in self._queue if item.is_heartbeat]:
            self._queue.remove(queued)
            self._queued_bytes -= len(queued.data)

    async def _send_queued(self) -> None:
        while True:
            await self._has_queued.wait()
            self._has_queued.clear()
            while self._queue:
                queued = self._queue.popleft()
                self._queued_bytes -= len(queued.data)
                self._writer.write(queued.data)
                self.sent_bytes += len(queued.data)
                await self._writer.drain()

    async def _receive(self) -> None:
        while True:
            async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                data = await read_frame(self._reader)
            self.received_bytes += len(data)
            message = PEER_CODEC.decode(data)
            if not isinstance(message, Heartbeat):
                self.last_message_s = time.monotonic()
            self._on_message(self, message)


def _set_tcp_timeouts(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )


# Raised when a peer ends or breaks a stream, on purpose or not.
STREAM_ERRORS = (FrameError, OSError, asyncio.IncompleteReadError)
