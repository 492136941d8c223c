"""An entry of another writer stops all changes of the list of workers."""

import asyncio
import itertools
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import DRAIN_TIMEOUT_S  # noqa: E402
from standins import Deployment  # noqa: E402
from standins import Gateway  # noqa: E402
from standins import Record  # noqa: E402
from standins import Request  # noqa: E402
from standins import StreamWorker  # noqa: E402
from standins import encode_client_request  # noqa: E402
from standins import new_attempt_id  # noqa: E402
from standins import run_case  # noqa: E402
from standins import send_request  # noqa: E402
from standins import with_trouble  # noqa: E402

GATEWAYS = 2
# Prompts begin with one of so many shared parts.
TOPICS = 12
REQUESTS_PER_S = 15.0
CALM_S = 3.0
# The entry is there this long before a worker begins to leave, so that the
# store has been calm for ContactWindowMs.
ENTRY_BEFORE_S = 4.0
# A leaving worker serves on for DrainTimeoutMs and "at times many seconds".
SERVES_ON_S = 8.0
AFTERWARDS_S = 4.0
ENTRIES = {
    # What json.dumps writes for a number without a bound.
    "infinity": json.dumps(
        {
            "Service": "writers",
            "Address": "127.0.0.1:9",
            "Zone": "westlands",
            "Version": "v1",
            "Slots": float("inf"),
            "State": "ready",
            "ColdRemainingMs": 0,
            "SequenceNumber": 1,
        }
    ).encode(),
    "huge": b'{"Service":"writers","Address":"127.0.0.1:9","Zone":"westlands",'
    b'"Version":"v1","Slots":1e999,"State":"ready","ColdRemainingMs":0,'
    b'"SequenceNumber":1}',
    "nested": b"[" * 2_000,
}
ENTRY = ENTRIES[os.environ.get("ENTRY", "infinity")]


class LeavingWorker(StreamWorker):
    """Notes which requests reach it after it has begun to leave."""

    left_s: float | None = None
    late: int = 0
    open_requests: int = 0

    def leave(self) -> None:
        """Report `draining`; the store accepts that at once."""
        self.state = "draining"
        self.register()
        self.left_s = time.monotonic()
        self.record.write(f"{self.worker_id} is draining; the store has it")

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Run a request."""
        since_s = 0.0 if self.left_s is None else time.monotonic() - self.left_s
        if since_s > DRAIN_TIMEOUT_S:
            self.late += 1
            self.record.write(
                f"{request.attempt_id} reached {self.worker_id} "
                f"{since_s:.2f} s after the store had its leaving  <- late"
            )
        self.open_requests += 1
        try:
            return await super().run(request, writer)
        finally:
            self.open_requests -= 1


class Callers:
    """Send requests to all gateways in turn.

    Attributes:
        count_by_outcome: Number of requests by status, or what came instead.
    """

    def __init__(self, gateways: list[Gateway], record: Record) -> None:
        self._gateways = gateways
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()
        self._topics = itertools.count()
        self.count_by_outcome: dict[str, int] = {}

    async def send_for(self, duration_s: float) -> None:
        """Send for some time, then wait for the outcomes."""
        number = 0
        ends_s = time.monotonic() + duration_s
        while time.monotonic() < ends_s:
            gateway = self._gateways[number % len(self._gateways)]
            number += 1
            task = asyncio.create_task(self._send(gateway))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*self._tasks)

    async def _send(self, gateway: Gateway) -> None:
        attempt_id = new_attempt_id()
        topic = next(self._topics) % TOPICS
        data = encode_client_request(
            "POST",
            "/chat/a",
            attempt_id,
            15000,
            "Model-Name: m",
            "Token-Counts: 11992,50",
            f"Prompt-Prefix: 5c1e07a{topic:x}:5382,{attempt_id}:6610",
        )
        self._record.write(f"client sends {attempt_id} to {gateway.name}")
        try:
            answer = await send_request(gateway.ip, gateway.port, data, 15.5)
            outcome = str(answer.status)
            if not answer.complete:
                outcome += " cut off"
        except (ConnectionError, TimeoutError) as error:
            outcome = type(error).__name__
        self._record.write(f"client gets {outcome} to {attempt_id}")
        self.count_by_outcome[outcome] = (
            self.count_by_outcome.get(outcome, 0) + 1
        )


async def play(deployment: Deployment) -> bool:
    """Let a worker leave beside the entry; return whether DRAIN held."""
    record = deployment.record
    store = deployment.store
    leaving = LeavingWorker(
        deployment.ip, "i-00000001", "writers", store, record
    )
    staying = [
        StreamWorker(deployment.ip, f"i-0000000{n}", "writers", store, record)
        for n in (2, 3)
    ]
    await deployment.start([leaving, *staying])
    callers = Callers(deployment.gateways, record)
    sending = asyncio.create_task(
        callers.send_for(CALM_S + ENTRY_BEFORE_S + SERVES_ON_S + AFTERWARDS_S)
    )
    await asyncio.sleep(CALM_S)
    if with_trouble():
        store.put("servers/i-99999999", ENTRY)
        record.write(f"another writer puts servers/i-99999999: {ENTRY[:160]!r}")
    await asyncio.sleep(ENTRY_BEFORE_S)
    leaving.leave()
    await asyncio.sleep(SERVES_ON_S)
    record.write(
        f"{leaving.worker_id} ends with {leaving.open_requests} open requests"
    )
    await leaving.close()
    await sending
    record.write(f"outcomes: {callers.count_by_outcome}")
    record.write(
        f"{leaving.late} requests reached {leaving.worker_id} later than "
        f"{DRAIN_TIMEOUT_S} s after the store had its leaving"
    )
    return not leaving.late


sys.exit(run_case(FOLDER, play, GATEWAYS))
