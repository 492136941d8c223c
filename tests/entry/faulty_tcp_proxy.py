"""A small TCP proxy that can drop the bytes of one or both directions."""

import asyncio

import attrs

from shallotfold._settings.addresses import Address


@attrs.define
class FaultyTcpProxy:
    """Forward connections to `target`, except for silent directions.

    A silent direction stays open, but its bytes are read and discarded.
    """

    target: Address
    to_target_silent: bool = False
    from_target_silent: bool = False
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @property
    def address(self) -> Address:
        assert self._server is not None
        ip, port = self._server.sockets[0].getsockname()[:2]
        return Address(ip, port)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connect, "127.0.0.1", 0)

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.wait_closed()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target.ip, self.target.port
            )
        except OSError:
            writer.transport.abort()
            return
        self._start(reader, target_writer, "to_target_silent")
        self._start(target_reader, writer, "from_target_silent")

    def _start(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        flag_name: str,
    ) -> None:
        task = asyncio.create_task(self._copy(reader, writer, flag_name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        flag_name: str,
    ) -> None:
        try:
            while data := await reader.read(65536):
                if not getattr(self, flag_name):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()
