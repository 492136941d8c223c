"""Plain servers that end when they begin to run one certain request."""

import asyncio
import time

import attrs

from benchmarks.soak.external_services import get_header
from benchmarks.soak.external_services import make_response
from benchmarks.soak.external_services import read_request
from shallotfold.platform import names
from tests.gateway.crashing_engines import CrashingArrival
from tests.gateway.crashing_engines import CrashingEngines

CRASHING_TARGET = "/look/bad?item=7"
CRASHING_BODY = b"bad"


@attrs.define(eq=False)
class CrashingServers(CrashingEngines):
    """A service of plain servers.

    Attributes:
        work_s: Time until the response to a sound request.
        crash_delay_s: A server ends this long after it began to run the
            crashing request.
        restart_s: Time until a server is back.
        keeps_registration: Whether a server comes back at its address, with the
            id and the start that it had.
    """

    work_s: float = 0.03
    crash_delay_s: float = 0.04
    restart_s: float = 1.0
    keeps_registration: bool = False

    def crash(self, server_id: str) -> None:
        """End a server, whatever it is doing."""
        self._crash(server_id)

    @property
    def ids(self) -> list[str]:
        """Ids of the servers that run."""
        return list(self._servers)

    async def _replace(self, engine_id: str) -> None:
        await asyncio.sleep(self.restart_s)
        if not self.keeps_registration:
            await self._start_engine()
            self.store.remove(f"{names.UPSTREAMS_PREFIX}{engine_id}")
            return
        port = self._port_by_id[engine_id]
        self._writers_by_id[engine_id] = set()
        self._servers[engine_id] = await asyncio.start_server(
            lambda reader, writer: self._serve(engine_id, reader, writer),
            "127.0.0.1",
            port,
        )

    async def _serve(
        self,
        engine_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers_by_id.setdefault(engine_id, set()).add(writer)
        try:
            while True:
                await self._answer_plain(
                    engine_id, *await read_request(reader), writer
                )
        except (asyncio.IncompleteReadError, ConnectionError, RuntimeError):
            # The gateway closed the connection, or the server ended: uvloop
            # raises RuntimeError for a write to an aborted transport.
            pass
        finally:
            self._writers_by_id.get(engine_id, set()).discard(writer)
            writer.close()

    async def _answer_plain(
        self,
        server_id: str,
        head: bytes,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = get_header(head, "Attempt-Id")
        target = head.split(b" ", 2)[1].decode()
        if target == CRASHING_TARGET or body == CRASHING_BODY:
            self.arrivals.append(CrashingArrival(request_id, time.monotonic()))
            await asyncio.sleep(self.crash_delay_s)
            self._crash(server_id)
            return
        await asyncio.sleep(self.work_s)
        writer.write(
            make_response(
                200,
                b"sound",
                f"Attempt-Id: {request_id}",
                "Response-Signature: s",
            )
        )
        await writer.drain()
