"""Forward loopback connections and inject network faults."""

import asyncio
import enum

import attrs

from shallotfold._runtime.sockets import reset_connection

BLOCK_BYTES = 16_384


class Fault(enum.Enum):
    """Fault that a proxy injects into its connections."""

    NONE = "none"
    DELAY = "delay"
    """Each block is delayed by `BLOCK_DELAY_S`."""
    SILENCE = "silence"
    """Blocks of both directions are dropped."""
    ONE_WAY = "one_way"
    """Blocks to the caller are dropped."""
    HOLD = "hold"
    """Blocks to the target are delivered after the fault, like those that a
    healed link sends again, unless the caller has reset its connection."""
    RESET = "reset"
    """Open and new connections are reset."""


BLOCK_DELAY_S = 0.15
LOSSY_FAULTS = frozenset({Fault.SILENCE, Fault.ONE_WAY})


@attrs.define(eq=False)
class FaultyTcpProxy:
    """Forwards connections to another address.

    Attributes:
        target: IP and port to forward to.
        fault: Fault currently injected into all connections.
        port: Port that the proxy listens on, after `start`.
    """

    target: tuple[str, int]
    fault: Fault = Fault.NONE
    port: int = 0
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _server: asyncio.Server | None = None
    _flowing: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def start(self) -> None:
        """Listen on a free port."""
        self._flowing.set()
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            reset_connection(writer.transport)

    def set_fault(self, fault: Fault) -> None:
        """Inject a fault into all connections from now on."""
        self.fault = fault
        if fault is Fault.HOLD:
            self._flowing.clear()
        else:
            self._flowing.set()
        if fault is Fault.RESET:
            self.reset()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.fault is Fault.RESET:
                reset_connection(writer.transport)
                return
            target_reader, target_writer = await asyncio.open_connection(
                *self.target
            )
            self._writers.add(target_writer)
            try:
                await asyncio.gather(
                    self._copy(reader, target_writer, to_caller=False),
                    self._copy(target_reader, writer, to_caller=True),
                )
            finally:
                target_writer.transport.abort()
                self._writers.discard(target_writer)
        except OSError:
            # The target is down, or one side reset its connection.
            reset_connection(writer.transport)
        finally:
            writer.close()
            self._writers.discard(writer)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_caller: bool,
    ) -> None:
        while block := await reader.read(BLOCK_BYTES):
            if self.fault is Fault.SILENCE:
                continue
            if self.fault is Fault.ONE_WAY and to_caller:
                continue
            if not to_caller:
                await self._flowing.wait()
                if (error := reader.exception()) is not None:
                    raise error
            if self.fault is Fault.DELAY:
                await asyncio.sleep(BLOCK_DELAY_S)
            writer.write(block)
            await writer.drain()
        if self.fault in LOSSY_FAULTS:
            # The end would arrive without the data that was dropped.
            return
        # Pass on the end of the stream, after all of its data.
        writer.close()
