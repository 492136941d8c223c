"""Call gateways as clients do, and note what each request came to."""

import asyncio
import random
import re
import time

import attrs

from benchmarks.soak.outside import header

KINDS = ("once", "repeat", "stream")
CLIENT_DEADLINE_S = 4.0


@attrs.define(kw_only=True)
class Outcome:
    """What a caller saw of one request.

    Attributes:
        request_id: Its id.
        kind: One of `KINDS`.
        key: The key that it carried.
        host: Number of the gateway that was asked.
        began_s: When it was sent, on the monotonic clock.
        took_s: Time until the answer or the end of the connection.
        status: Status of the answer; 0: none.
        complete: Whether the answer was whole.
        body: What came of its body, without chunk framing.
    """

    request_id: str
    kind: str
    key: str
    host: int
    began_s: float
    took_s: float = 0.0
    status: int = 0
    complete: bool = False
    body: bytes = b""


class Caller:
    """One client; keeps its connection while it is allowed to."""

    def __init__(self, chance: random.Random, addresses: list[str]) -> None:
        self._chance = chance
        self._addresses = addresses
        self._connection: (
            tuple[int, asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def call(self, key: str) -> Outcome:
        """Send one request."""
        kept = self._connection
        host = kept[0] if kept else self._chance.randrange(len(self._addresses))
        outcome = Outcome(
            request_id=f"{self._chance.getrandbits(64):016x}",
            kind=self._chance.choice(KINDS),
            key=key,
            host=host,
            began_s=time.monotonic(),
        )
        try:
            async with asyncio.timeout(CLIENT_DEADLINE_S + 1.0):
                await self._exchange(outcome)
        except (OSError, TimeoutError, EOFError, ValueError):
            # What came so far stays in the outcome; the checks judge it.
            self.leave()
        outcome.took_s = time.monotonic() - outcome.began_s
        return outcome

    def leave(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection[2].close()
            self._connection = None

    async def _exchange(self, outcome: Outcome) -> None:
        if self._connection is None:
            reader, writer = await asyncio.open_connection(
                self._addresses[outcome.host], 8001
            )
            self._connection = (outcome.host, reader, writer)
        _, reader, writer = self._connection
        lines = [
            f"POST /{outcome.kind}/x HTTP/1.1",
            "Host: shop.example",
            f"Attempt-Id: {outcome.request_id}",
            f"Deadline-Remaining: {CLIENT_DEADLINE_S * 1000:.0f}",
            f"X-Api-Key: {outcome.key}",
            "Content-Length: 3",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\nabc")
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        outcome.status = int(head.split(b" ", 2)[1])
        length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        if length:
            outcome.body = await reader.readexactly(int(length[1]))
        else:
            await self._read_chunks(reader, outcome)
        outcome.complete = True
        if header(head, "Connection").lower() == "close":
            self.leave()

    async def _read_chunks(
        self, reader: asyncio.StreamReader, outcome: Outcome
    ) -> None:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            outcome.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
