"""Forward loopback connections, and harm them when told to."""

import asyncio
import enum

import attrs

BLOCK_BYTES = 16_384


class Harm(enum.Enum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    """Each block waits for `DELAY_S`."""
    SILENCE = "silence"
    """Blocks of both directions are swallowed."""
    ONE_WAY = "one_way"
    """Blocks towards the caller are swallowed."""
    RESET = "reset"
    """Open and new connections are reset."""


DELAY_S = 0.15


@attrs.define(eq=False)
class Proxy:
    """A port that leads to another address.

    Attributes:
        target: IP and port that it leads to.
        harm: What happens to its connections now.
        port: Port that it listens on, after `start`.
    """

    target: tuple[str, int]
    harm: Harm = Harm.NONE
    port: int = 0
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def set_harm(self, harm: Harm) -> None:
        """Do something else to the connections from now on."""
        self.harm = harm
        if harm is Harm.RESET:
            self.reset()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self.harm is Harm.RESET:
                writer.transport.abort()
                return
            back, forth = await asyncio.open_connection(*self.target)
            self._writers.add(forth)
            try:
                await asyncio.gather(
                    self._pump(reader, forth, to_caller=False),
                    self._pump(back, writer, to_caller=True),
                )
            finally:
                forth.transport.abort()
                self._writers.discard(forth)
        except OSError:
            # The target is down: its callers see a closed connection.
            pass
        finally:
            writer.close()
            self._writers.discard(writer)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_caller: bool,
    ) -> None:
        while block := await reader.read(BLOCK_BYTES):
            if self.harm is Harm.SILENCE:
                continue
            if self.harm is Harm.ONE_WAY and to_caller:
                continue
            if self.harm is Harm.DELAY:
                await asyncio.sleep(DELAY_S)
            writer.write(block)
            await writer.drain()
        # One side's end is the other side's end, in order.
        writer.close()
