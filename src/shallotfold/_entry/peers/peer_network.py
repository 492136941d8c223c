"""Maintain authenticated streams between this entry and its peers."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
import random
import time

import attrs
from loguru import logger

from shallotfold._entry import events
from shallotfold._entry.peers.peer_stream import STREAM_ERRORS
from shallotfold._entry.peers.peer_stream import PeerStream
from shallotfold._entry.peers.refusal_log import RefusalLog
from shallotfold._entry.state.neighbours import choose_neighbours
from shallotfold._errors import HandshakeError
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._settings.addresses import Address
from shallotfold._settings.addresses import parse_address
from shallotfold._wire import handshake
from shallotfold._wire.handshake import Identity
from shallotfold._wire.messages import PeerMessage

CONNECT_TIMEOUT_S = 2.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 3.0
# The host with the smaller name dials first, so that the two hosts of a pair
# rarely dial each other at the same time.
SECOND_DIALER_DELAY_S = 0.5
IDLE_TIMEOUT_S = 60.0
MAX_PENDING_HANDSHAKES = 64
MAX_UNSENT_MESSAGES = 256


@attrs.frozen(kw_only=True)
class PeerNetworkSettings:
    """Address and identity of an entry towards its peers.

    Attributes:
        host: Name of this host.
        incarnation: Start time of the process in nanoseconds.
        listen: Address of the peer port; port 0 selects any free one.
        fleet_secret: Secret shared by all entries.
    """

    host: str
    incarnation: int
    listen: Address
    fleet_secret: str = attrs.field(repr=False)


class PeerNetwork:
    """All peer streams of one entry.

    Streams to neighbours are always maintained. Streams to other entries are
    opened on the first message and closed when idle. A pair of entries has
    one stream; of two, the one dialed by the host with the smaller name is
    kept.

    Attributes:
        streams_by_host: Open streams.
    """

    def __init__(
        self,
        settings: PeerNetworkSettings,
        deliver: Callable[[events.Event], None],
    ) -> None:
        self.streams_by_host: dict[str, PeerStream] = {}
        self._settings = settings
        self._deliver = deliver
        self._identity = Identity(
            settings.host,
            settings.incarnation,
            settings.fleet_secret.encode(),
        )
        self._addresses_by_host: dict[str, Address] = {}
        self._neighbours: frozenset[str] = frozenset()
        self._dial_tasks_by_host: dict[str, asyncio.Task[None]] = {}
        self._unsent_by_host: dict[str, collections.deque[PeerMessage]] = {}
        self._accept_tasks: set[asyncio.Task[None]] = set()
        self._pending_handshakes = 0
        self._refusals = RefusalLog()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> Address:
        """Address that peers dial; valid after `start`."""
        assert self._server is not None
        ip, port = self._server.sockets[0].getsockname()[:2]
        return Address(ip, port)

    async def start(self) -> None:
        """Listen on the peer port.

        Raises:
            OSError: The address can't be used.
        """
        listen = self._settings.listen
        self._server = await asyncio.start_server(
            self._accept, listen.ip, listen.port
        )

    async def close(self) -> None:
        """Stop listening and close all streams."""
        if self._server is not None:
            self._server.close()
        tasks = [*self._dial_tasks_by_host.values(), *self._accept_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            await self._server.wait_closed()

    def set_hosts(self, hosts: Sequence[HostRecord]) -> None:
        """Apply the platform's list of hosts, and close idle streams."""
        self._addresses_by_host = _entry_addresses(hosts)
        self._addresses_by_host.pop(self._settings.host, None)
        self._neighbours = choose_neighbours(
            self._settings.host, list(self._addresses_by_host)
        )
        for host in self._neighbours:
            self._start_dialing(host)
        self._close_idle()

    def send(self, host: str, message: PeerMessage) -> None:
        """Send to a peer, opening a stream on demand.

        Messages to a neighbour or unknown host without a stream are dropped:
        the reducer already knows that the peer is disconnected.
        """
        stream = self.streams_by_host.get(host)
        if stream is not None:
            stream.send(message)
            return
        if host in self._neighbours or host not in self._addresses_by_host:
            return
        unsent = self._unsent_by_host.setdefault(
            host, collections.deque(maxlen=MAX_UNSENT_MESSAGES)
        )
        unsent.append(message)
        self._start_dialing(host)

    def _start_dialing(self, host: str) -> None:
        if host in self._dial_tasks_by_host:
            return
        task = asyncio.create_task(self._maintain_stream(host))
        self._dial_tasks_by_host[host] = task
        task.add_done_callback(
            lambda _: self._dial_tasks_by_host.pop(host, None)
        )

    async def _maintain_stream(self, host: str) -> None:
        if self._settings.host > host and host in self._neighbours:
            await asyncio.sleep(SECOND_DIALER_DELAY_S)
        backoff_s = INITIAL_BACKOFF_S
        while self._needs_stream(host):
            if host in self.streams_by_host or await self._dial(host):
                backoff_s = INITIAL_BACKOFF_S
            elif host not in self._neighbours:
                self._report_unreachable(host)
                return
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.5))
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def _needs_stream(self, host: str) -> bool:
        if host not in self._addresses_by_host:
            return False
        return host in self._neighbours or host in self._unsent_by_host

    def _report_unreachable(self, host: str) -> None:
        """Drop unsent messages and report that the peer can't be reached."""
        self._unsent_by_host.pop(host, None)
        self._deliver_connection_event(events.PeerDisconnected, host)

    async def _dial(self, host: str) -> bool:
        """Run one outgoing stream to its end; return whether it was opened."""
        address = self._addresses_by_host[host]
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    address.ip, address.port
                )
        except OSError:
            return False
        try:
            hello = await handshake.dial(reader, writer, self._identity, host)
        except HandshakeError as error:
            writer.transport.abort()
            self._refusals.log(str(address), error)
            return False
        except BaseException:
            writer.transport.abort()
            raise
        return await self._run_stream(
            hello, self._settings.host, reader, writer
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._pending_handshakes >= MAX_PENDING_HANDSHAKES:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._accept_tasks.add(task)
        try:
            await self._accept_peer(reader, writer)
        except asyncio.CancelledError:
            # asyncio's server would log a cancelled handler as an error.
            return
        finally:
            writer.transport.abort()
            self._accept_tasks.discard(task)

    async def _accept_peer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._pending_handshakes += 1
        try:
            hello = await handshake.accept(reader, writer, self._identity)
        except HandshakeError as error:
            source = str(writer.get_extra_info("peername"))
            self._refusals.log(source, error)
            return
        finally:
            self._pending_handshakes -= 1
        await self._run_stream(hello, hello.host, reader, writer)

    async def _run_stream(
        self,
        hello: handshake.Hello,
        dialer: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        stream = PeerStream(
            host=hello.host,
            incarnation=hello.incarnation,
            dialer=dialer,
            reader=reader,
            writer=writer,
            on_message=self._on_message,
        )
        if not self._register_stream(stream):
            stream.abort()
            return False
        try:
            await stream.run()
        except STREAM_ERRORS as error:
            logger.info("stream to {} ended: {!r}", stream.host, error)
        finally:
            stream.abort()
            self._unregister_stream(stream)
        return True

    def _close_idle(self) -> None:
        now_s = time.monotonic()
        for stream in list(self.streams_by_host.values()):
            if stream.host in self._neighbours:
                continue
            dialed_here = stream.dialer == self._settings.host
            if dialed_here and now_s - stream.last_message_s > IDLE_TIMEOUT_S:
                stream.abort()

    def _register_stream(self, stream: PeerStream) -> bool:
        """Make a stream the only one to its peer, or reject it."""
        old = self.streams_by_host.get(stream.host)
        if old is not None and not _replaces(stream, old):
            return False
        if old is not None:
            self._unregister_stream(old)
            old.abort()
        self.streams_by_host[stream.host] = stream
        self._deliver_connection_event(events.PeerConnected, stream.host)
        for message in self._unsent_by_host.pop(stream.host, ()):
            stream.send(message)
        return True

    def _unregister_stream(self, stream: PeerStream) -> None:
        if self.streams_by_host.get(stream.host) is stream:
            del self.streams_by_host[stream.host]
            self._deliver_connection_event(events.PeerDisconnected, stream.host)

    def _on_message(self, stream: PeerStream, message: PeerMessage) -> None:
        if self.streams_by_host.get(stream.host) is not stream:
            return
        self._deliver(
            events.PeerMessageReceived(
                now_s=time.monotonic(), host=stream.host, message=message
            )
        )

    def _deliver_connection_event(
        self,
        event_type: type[events.PeerConnected | events.PeerDisconnected],
        host: str,
    ) -> None:
        self._deliver(event_type(now_s=time.monotonic(), host=host))


def _replaces(new: PeerStream, old: PeerStream) -> bool:
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    if new.dialer == old.dialer:
        # The dialer has given up the old stream.
        return True
    return new.dialer < old.dialer


def _entry_addresses(hosts: Sequence[HostRecord]) -> dict[str, Address]:
    addresses_by_host: dict[str, Address] = {}
    for record in hosts:
        if record.role is not HostRole.ENTRY:
            continue
        try:
            addresses_by_host[record.name] = parse_address(record.address)
        except ValueError as error:
            logger.warning("host list: {}: {}", record.name, error)
    return addresses_by_host
