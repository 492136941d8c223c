"""Run a gateway in front of backends, over real connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from shallotfold._gateway.core.metrics import Metrics
from shallotfold._gateway.core.model import GatewayConfiguration
from shallotfold._gateway.core.model import RequestLimits
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.deciding.dispatcher import Dispatcher
from shallotfold._gateway.deciding.placement import Placement
from shallotfold._gateway.deciding.retry_budget import FleetRetryBudget
from shallotfold._gateway.duties.usage_counts import UsageCounts
from shallotfold._gateway.serving.gateway import Gateway
from shallotfold._gateway.serving.route_table import RouteTable
from shallotfold._runtime.loop import new_event_loop
from shallotfold.platform.names import HEADERS
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.gateway.factories import make_configuration
from tests.gateway.factories import make_route
from tests.gateway.factories import make_upstream

LOOKUP = make_route(timeout_s=0.6, target_s=0.2)
ONCE = make_route(
    RouteKind.ONCE, name="book", path_prefix="/book/", timeout_s=0.6
)
STREAM = make_route(
    RouteKind.STREAM,
    name="talk",
    path_prefix="/talk/",
    reads_prompt=True,
    resumable=True,
)
SINGLE_ATTEMPT_STREAM = make_route(
    RouteKind.STREAM, name="chat", path_prefix="/chat/", max_attempts=1
)
PUBLIC = make_route(name="open", path_prefix="/open/", public=True)
ROUTES = (LOOKUP, ONCE, STREAM, SINGLE_ATTEMPT_STREAM, PUBLIC)


class GatewayHarness:
    """A gateway in front of scripted backends."""

    def __init__(
        self, backends: list[Backend], configuration: GatewayConfiguration
    ) -> None:
        self.backends = backends
        self.counts = UsageCounts(window_s=1e9)
        self.gateway = Gateway(
            HEADERS,
            Dispatcher(
                Placement(data_centre="a"), FleetRetryBudget(extra=100.0)
            ),
            self.counts,
            Metrics(),
            lambda: 0.0,
        )
        self.gateway.route_table = RouteTable(configuration)
        self.port = 0

    async def start(self) -> None:
        for backend in self.backends:
            await backend.start()
        self.gateway.set_upstreams(
            {
                f"u{n}": make_upstream(f"u{n}", port=backend.port)
                for n, backend in enumerate(self.backends)
            }
        )
        await self.gateway.start("127.0.0.1", 0)
        assert self.gateway._server is not None
        self.port = self.gateway._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        await self.gateway.close()
        for backend in self.backends:
            await backend.stop()

    async def send(self, data: bytes, *, timeout_s: float = 2.0) -> bytes:
        """Send bytes and read until the connection closes or time runs out."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        received = b""
        try:
            async with asyncio.timeout(timeout_s):
                while part := await reader.read(65536):
                    received += part
        except (TimeoutError, ConnectionError):
            pass
        writer.close()
        return received


def run_scenario(
    backends: list[Backend],
    scenario: Callable[[GatewayHarness], Awaitable[None]],
    limits: RequestLimits | None = None,
) -> GatewayHarness:
    harness = GatewayHarness(
        backends, make_configuration(*ROUTES, limits=limits)
    )

    async def run() -> None:
        await harness.start()
        try:
            await scenario(harness)
        finally:
            await harness.close()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run())
    return harness


def request(
    path: str = "/lookup/1",
    *headers: str,
    method: str = "GET",
    key: str = "secret",
    body: bytes = b"",
) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: shop.example",
        "Attempt-Id: 77",
        "Deadline-Remaining: 5000",
        "Connection: close",
        *headers,
    ]
    if key:
        lines.append(f"X-Api-Key: {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def signed_response(body: bytes = b"ok", status: bytes = b"200 OK") -> bytes:
    return complete_response(
        body, b"Attempt-Id: 77", b"Response-Signature: s", status=status
    )


def status_of(response: bytes) -> int:
    return int(response.split(b" ", 2)[1]) if response else 0
