"""Send requests to gateways as clients do and record their outcomes."""

import asyncio
import random
import re
import time

import attrs

from benchmarks.soak.external_services import CRASHING_BODY
from benchmarks.soak.external_services import CRASHING_PART
from benchmarks.soak.external_services import get_header

REQUEST_KINDS = ("once", "repeat", "stream")
# Streams whose prompt ends the upstream; the others share its other parts.
CRASHING_SHARE = 0.06
# Repeatable requests whose body ends the upstream; all others are equal too.
CRASHING_BODY_SHARE = 0.03
SUBJECTS = 12
CLIENT_DEADLINE_S = 4.0


@attrs.define(kw_only=True)
class Outcome:
    """Outcome of one request as its caller saw it.

    Attributes:
        request_id: Id of the request.
        kind: One of `REQUEST_KINDS`.
        key: API key that was sent.
        host: Number of the gateway that got the request.
        began_s: Time of sending, on the monotonic clock.
        took_s: Time until the response or the end of the connection.
        status: Status of the response; 0 if there was none.
        complete: Whether the response was complete.
        body: Received part of the body, without chunk framing.
        crashing: Whether its prompt or body ends upstreams.
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
    crashing: bool = False


class Caller:
    """A client that reuses its connection unless told to close it."""

    def __init__(self, rng: random.Random, addresses: list[str]) -> None:
        self._rng = rng
        self._addresses = addresses
        self._connection: (
            tuple[int, asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def call(self, key: str) -> Outcome:
        """Send one request."""
        connection = self._connection
        host = (
            connection[0]
            if connection
            else self._rng.randrange(len(self._addresses))
        )
        kind = self._rng.choice(REQUEST_KINDS)
        outcome = Outcome(
            request_id=f"{self._rng.getrandbits(64):016x}",
            kind=kind,
            key=key,
            host=host,
            began_s=time.monotonic(),
            crashing=(kind == "stream" and self._rng.random() < CRASHING_SHARE),
        )
        if kind == "repeat":
            # Drawn from the id, so that seeds keep their other draws.
            draw = random.Random(outcome.request_id).random()
            outcome.crashing = draw < CRASHING_BODY_SHARE
        try:
            async with asyncio.timeout(CLIENT_DEADLINE_S + 1.0):
                await self._exchange(outcome)
        except (OSError, TimeoutError, EOFError, ValueError):
            # The outcome keeps the part received so far for the checks.
            self.disconnect()
        outcome.took_s = time.monotonic() - outcome.began_s
        return outcome

    def disconnect(self) -> None:
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
        if outcome.kind == "stream":
            parts = ["a0:300", f"5b{self._rng.randrange(SUBJECTS):x}:200"]
            if outcome.crashing:
                parts.insert(1, f"{CRASHING_PART}:100")
            parts.append(f"{outcome.request_id}:50")
            lines.append("Token-Counts: 600,40")
            lines.append(f"Prompt-Prefix: {','.join(parts)}")
        is_plain_crash = outcome.crashing and outcome.kind == "repeat"
        body = CRASHING_BODY if is_plain_crash else b"abc"
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        outcome.status = int(head.split(b" ", 2)[1])
        length_match = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        if length_match:
            outcome.body = await reader.readexactly(int(length_match[1]))
        else:
            await self._read_chunks(reader, outcome)
        outcome.complete = True
        if get_header(head, "Connection").lower() == "close":
            self.disconnect()

    async def _read_chunks(
        self, reader: asyncio.StreamReader, outcome: Outcome
    ) -> None:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            outcome.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
