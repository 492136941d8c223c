"""A worker's body without end, in small chunks, stops a whole gateway."""

import asyncio
import itertools
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import Deployment  # noqa: E402
from standins import Gateway  # noqa: E402
from standins import Record  # noqa: E402
from standins import Request  # noqa: E402
from standins import Worker  # noqa: E402
from standins import encode_chunk  # noqa: E402
from standins import encode_client_request  # noqa: E402
from standins import new_attempt_id  # noqa: E402
from standins import run_case  # noqa: E402
from standins import send_request  # noqa: E402
from standins import with_trouble  # noqa: E402

CALM_S = 4.0
TROUBLE_S = 20.0
REQUESTS_PER_S = 8.0
# Of the route that the sound worker serves.
TIMEOUT_S = 1.5
# CONFIG counts requests that have no final answer this long after it.
ANSWER_SLACK_S = 0.5
MIN_UNANSWERED = 8
MAX_UNANSWERED_SHARE = 0.25
# About what an event of a sound worker takes.
CHUNK_BYTES = int(os.environ.get("CHUNK_BYTES", "16"))
CHUNK = os.environ.get("BYTE", "x").encode()[:1] * CHUNK_BYTES
GATEWAYS = 2
# What the worker hands to its connection at a time.
CHUNKS_PER_WRITE = 256


class EndlessWorker(Worker):
    """Answers a stream with bytes that are no answer, until it is closed."""

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Send a head and then small chunks without end."""
        self.begin(request)
        head = [
            "HTTP/1.1 200 S",
            *self.answer_headers(request),
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        event = b"id: 1\ndata: a\n\n"
        writer.write(encode_chunk(event))
        if not with_trouble():
            writer.write(encode_chunk(b""))
            return True
        self.record.write(f"{self.worker_id} begins to send without an end")
        sent_bytes = 0
        try:
            while True:
                writer.write(encode_chunk(CHUNK) * CHUNKS_PER_WRITE)
                await writer.drain()
                sent_bytes += len(CHUNK) * CHUNKS_PER_WRITE
        finally:
            self.record.write(
                f"{self.worker_id}: the gateway has closed the connection "
                f"after {sent_bytes} bytes of body"
            )


class Callers:
    """Send requests that the sound worker runs, at a steady rate."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._gateways = itertools.cycle(deployment.gateways)
        self._record = record
        self._tasks: list[asyncio.Task[None]] = []
        self.answered = 0
        self.unanswered = 0

    async def send_for(self, duration_s: float) -> None:
        """Send for some time, then wait for the outcomes."""
        ends_s = time.monotonic() + duration_s
        while time.monotonic() < ends_s:
            self._tasks.append(asyncio.create_task(self._send()))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*self._tasks)

    async def _send(self) -> None:
        attempt_id = new_attempt_id()
        data = encode_client_request("GET", "/lookup/a", attempt_id, 1500)
        sent_s = time.monotonic()
        gateway = next(self._gateways)
        self._record.write(f"client sends {attempt_id} to {gateway.name}")
        try:
            answer = await send_request(
                gateway.ip,
                gateway.port,
                data,
                TIMEOUT_S + ANSWER_SLACK_S,
            )
        except (ConnectionError, TimeoutError):
            self.unanswered += 1
            self._record.write(
                f"client has no answer to {attempt_id}, "
                f"{time.monotonic() - sent_s:.2f} s after it was sent"
            )
            return
        self.answered += 1
        self._record.write(
            f"client gets {answer.status} to {attempt_id} "
            f"after {time.monotonic() - sent_s:.2f} s"
        )


async def stream(deployment: Deployment, gateway: Gateway) -> None:
    """Send a request that the worker in trouble gets."""
    attempt_id = new_attempt_id()
    data = encode_client_request("POST", "/chat/a", attempt_id, 15000)
    deployment.record.write(
        f"client sends {attempt_id} to {gateway.name}: POST /chat/a"
    )
    try:
        answer = await send_request(gateway.ip, gateway.port, data, 15.5)
    except (ConnectionError, TimeoutError) as error:
        deployment.record.write(f"no answer to {attempt_id}: {error!r}")
        return
    deployment.record.write(
        f"client gets {answer.status} to {attempt_id}, "
        f"complete: {answer.complete}"
    )


async def probe(deployment: Deployment, gateway: Gateway) -> None:
    """Ask for readiness once a second, as the platform does."""
    while True:
        ready = await gateway.is_ready()
        deployment.record.write(
            f"readiness of {gateway.name}: {'200' if ready else 'no answer'}"
        )
        await asyncio.sleep(1.0)


async def play(deployment: Deployment) -> bool:
    """Serve lookups beside one stream; return whether CONFIG held."""
    record = deployment.record
    sound = Worker(
        deployment.ip, "i-00000001", "desk", deployment.store, record
    )
    troubled = EndlessWorker(
        deployment.ip, "i-00000002", "writers", deployment.store, record
    )
    await deployment.start([sound, troubled])
    probers = [
        asyncio.create_task(probe(deployment, gateway))
        for gateway in deployment.gateways
    ]
    calm = Callers(deployment, record)
    await calm.send_for(CALM_S)
    streaming = [
        asyncio.create_task(stream(deployment, gateway))
        for gateway in deployment.gateways
    ]
    await asyncio.sleep(0.5)
    callers = Callers(deployment, record)
    await callers.send_for(TROUBLE_S)
    await asyncio.gather(*streaming)
    for prober in probers:
        prober.cancel()
    for name, group in (("before", calm), ("beside the stream", callers)):
        record.write(
            f"{name}: {group.answered} answered, {group.unanswered} without "
            f"an answer {ANSWER_SLACK_S} s after TimeoutMs"
        )
    sent = callers.answered + callers.unanswered
    return (
        callers.unanswered < MIN_UNANSWERED
        or callers.unanswered <= MAX_UNANSWERED_SHARE * sent
    )


sys.exit(run_case(FOLDER, play, GATEWAYS))
