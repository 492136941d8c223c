"""Check the whole path of a request over real connections."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from shallotfold._gateway.core.figures import Figures
from shallotfold._gateway.core.model import GatewayConfiguration
from shallotfold._gateway.core.model import RequestLimits
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.deciding.dispatcher import Dispatcher
from shallotfold._gateway.deciding.placement import Placement
from shallotfold._gateway.deciding.retry_budget import FleetRetryBudget
from shallotfold._gateway.duties.usage_counts import UsageCounts
from shallotfold._gateway.http import upstream_pool
from shallotfold._gateway.serving.route_table import RouteTable
from shallotfold._gateway.serving.serving import Gateway
from shallotfold._runtime.loop import new_event_loop
from shallotfold.platform.names import HEADERS
from tests.gateway.backends import Backend
from tests.gateway.backends import event
from tests.gateway.backends import stream
from tests.gateway.backends import whole
from tests.gateway.making import make_configuration
from tests.gateway.making import make_route
from tests.gateway.making import make_upstream

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
FRAGILE = make_route(
    RouteKind.STREAM, name="chat", path_prefix="/chat/", max_attempts=1
)
PUBLIC = make_route(name="open", path_prefix="/open/", public=True)
ROUTES = (LOOKUP, ONCE, STREAM, FRAGILE, PUBLIC)


class Site:
    """A gateway in front of some backends."""

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
            Figures(),
            lambda: 0.0,
        )
        self.gateway.table = RouteTable(configuration)
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

    async def ask(self, data: bytes, *, until: float = 2.0) -> bytes:
        """Send bytes and read until the connection ends or is silent."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        found = b""
        try:
            async with asyncio.timeout(until):
                while part := await reader.read(65536):
                    found += part
        except (TimeoutError, ConnectionError):
            pass
        writer.close()
        return found


def play(
    backends: list[Backend],
    scene: Callable[[Site], Awaitable[None]],
    limits: RequestLimits | None = None,
) -> Site:
    site = Site(backends, make_configuration(*ROUTES, limits=limits))

    async def run() -> None:
        await site.start()
        try:
            await scene(site)
        finally:
            await site.close()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run())
    return site


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


def signed(body: bytes = b"ok", status: bytes = b"200 OK") -> bytes:
    return whole(
        body, b"Attempt-Id: 77", b"Response-Signature: s", status=status
    )


def status_of(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1]) if answer else 0


def test_a_request_is_passed_on_unchanged_and_its_answer_returned() -> None:
    backend = Backend(lambda _: signed(b"\x00\xffbody"))

    async def scene(site: Site) -> None:
        answer = await site.ask(
            request("/book/a%2Fb?q=1", "X-Mine: 5", method="POST", body=b"abc")
        )
        assert answer.endswith(b"\r\n\r\n\x00\xffbody")
        assert b"Response-Signature: s\r\n" in answer

    play([backend], scene)
    (sent,) = backend.requests
    assert sent.startswith(b"POST /book/a%2Fb?q=1 HTTP/1.1\r\n")
    assert sent.endswith(b"\r\n\r\nabc")
    assert b"X-Mine: 5\r\n" in sent
    assert b"Attempt-Id: 77\r\n" in sent


@pytest.mark.parametrize("path", ["/lookup/1", "/open/1"])
def test_headers_of_the_system_are_never_the_caller_s(path: str) -> None:
    backend = Backend(lambda _: signed())
    forged = (
        "Tenant-Name: south",
        "Request-Priority: 0",
        "Expected-Instance: other",
        "Expected-Version: 3",
        "Cache-Retention: x",
        "Cache-Pin-Duration: 9",
        "Kv-Fetch: 10.0.0.1:1",
        "Kv-From: 10.0.0.1:1/3",
        "Kv-Cache-Replica: 10.0.0.1:1",
    )

    async def scene(site: Site) -> None:
        assert status_of(await site.ask(request(path, *forged))) == 200

    play([backend], scene)
    (sent,) = backend.requests
    assert b"expected-instance: u0\r\n" in sent
    assert b"secret" not in sent
    for value in (b"south", b"other", b"Cache-", b"Kv-", b"Expected-Version"):
        assert value not in sent
    assert (b"tenant-name: north" in sent) == (path == "/lookup/1")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (request("/nowhere/1"), 404),
        (request(key="wrong"), 401),
        (request(key=""), 401),
        (request("/open/1", key=""), 200),
        (b"NONSENSE\r\n\r\n", 400),
        (request("/lookup/1", "Transfer-Encoding: chunked", body=b"x"), 400),
    ],
)
def test_what_isn_t_allowed_is_answered_here(data: bytes, status: int) -> None:
    async def scene(site: Site) -> None:
        assert status_of(await site.ask(data)) == status

    play([Backend(lambda _: signed())], scene)


def test_limits_of_requests_hold() -> None:
    limits = RequestLimits(
        max_header_bytes=500,
        max_body_bytes=10,
        header_timeout_s=0.3,
        idle_timeout_s=0.6,
    )

    async def scene(site: Site) -> None:
        big = await site.ask(request("/lookup/1", "X-Big: " + "x" * 900))
        assert status_of(big) == 431
        long = await site.ask(request("/book/1", method="POST", body=b"x" * 11))
        assert status_of(long) == 413
        slow = await site.ask(b"GET /lookup/1 HTTP/1.1\r\nHost: sh")
        assert status_of(slow) == 408
        stalled = request("/book/1", method="POST", body=b"x" * 9)[:-3]
        assert status_of(await site.ask(stalled)) == 408

    play([Backend(lambda _: signed())], scene, limits)


def test_a_silent_upstream_gets_the_caller_a_504_at_the_time_out() -> None:
    backend = Backend(lambda _: b"")

    async def scene(site: Site) -> None:
        begin_s = asyncio.get_running_loop().time()
        answer = await site.ask(request("/book/1", method="POST", body=b"x"))
        took_s = asyncio.get_running_loop().time() - begin_s
        assert status_of(answer) == 504
        assert 0.55 <= took_s <= 0.9

    play([backend], scene)
    assert len(backend.requests) == 1


def test_a_break_is_unknown_and_is_not_called_unrun() -> None:
    async def scene(site: Site) -> None:
        answer = await site.ask(request("/book/1", method="POST", body=b"x"))
        assert status_of(answer) == 502
        assert b"Retry-After" not in answer

    play([Backend(lambda _: b"", close=True)], scene)


def test_an_unrun_request_is_refused_with_a_time_to_return() -> None:
    full = whole(b"", b"Not-Executed: 1", status=b"503 Service Unavailable")

    async def scene(site: Site) -> None:
        answer = await site.ask(request("/chat/1", method="POST", body=b"x"))
        assert status_of(answer) == 503
        assert b"Retry-After: " in answer

    site = play([Backend(lambda _: full)], scene)
    assert site.counts.total(0) == {}


def test_an_upstream_that_was_replaced_is_not_asked_again() -> None:
    moved = whole(b"", b"Instance-Id: z", status=b"421 Misdirected Request")
    wrong, right = Backend(lambda _: moved), Backend(lambda _: signed())

    async def scene(site: Site) -> None:
        for _ in range(6):
            assert status_of(await site.ask(request())) == 200

    play([wrong, right], scene)
    assert len(wrong.requests) <= 1


def test_a_broken_stream_goes_on_at_another_upstream() -> None:
    head = b"Attempt-Id: 77\r\n"

    def first(sent: bytes) -> bytes:
        if b"last-event-id: 2" in sent:
            return stream(event(3), event(4))
        # The last event breaks off in its middle.
        return stream(event(1), event(2), event(3)[:9], ended=False)

    backends = [Backend(first, close=True) for _ in range(2)]
    del head

    async def scene(site: Site) -> None:
        answer = await site.ask(request("/talk/1", method="POST", body=b"x"))
        body = answer.split(b"\r\n\r\n", 1)[1]
        for number in range(1, 5):
            assert body.count(event(number)) == 1
        assert body.endswith(b"0\r\n\r\n")

    play(backends, scene)


def test_a_stream_whose_resumption_fails_gets_no_second_answer() -> None:
    """A failure that is held for the caller comes too late for a stream."""
    bad = signed(b"sorry", b"500 Internal Server Error")

    def answer(sent: bytes) -> bytes:
        if b"last-event-id: 1" in sent:
            return bad
        return stream(event(1), ended=False)

    backends = [Backend(answer, close=True) for _ in range(2)]

    async def scene(site: Site) -> None:
        found = await site.ask(request("/talk/1", method="POST", body=b"x"))
        assert found.count(b"HTTP/1.1") == 1
        assert b"sorry" not in found
        assert not found.endswith(b"0\r\n\r\n")

    play(backends, scene)


def test_a_broken_stream_that_can_t_go_on_does_not_look_complete() -> None:
    broken = stream(event(1), ended=False)

    async def scene(site: Site) -> None:
        answer = await site.ask(request("/chat/1", method="POST", body=b"x"))
        assert event(1) in answer
        assert not answer.endswith(b"0\r\n\r\n")

    play([Backend(lambda _: broken, close=True)], scene)


def test_a_stream_that_breaks_before_its_first_event_is_a_502() -> None:
    broken = stream(ended=False)

    async def scene(site: Site) -> None:
        answer = await site.ask(request("/chat/1", method="POST", body=b"x"))
        assert status_of(answer) == 502

    play([Backend(lambda _: broken, close=True)], scene)


def test_a_failure_of_the_upstream_is_repeated_or_passed_on() -> None:
    bad = signed(b"sorry", b"500 Internal Server Error")

    async def scene(site: Site) -> None:
        answer = await site.ask(request())
        assert status_of(answer) == 500
        assert answer.endswith(b"sorry")

    backends = [Backend(lambda _: bad), Backend(lambda _: bad)]
    play(backends, scene)
    assert [len(backend.requests) for backend in backends] == [1, 1]


def test_a_caller_that_leaves_ends_the_work_at_the_upstream() -> None:
    backend = Backend(lambda _: b"")

    async def scene(site: Site) -> None:
        await site.ask(request("/chat/1", method="POST", body=b"x"), until=0.2)
        await asyncio.sleep(0.2)
        assert backend.lost == 1

    play([backend], scene)


def test_kept_connections_are_used_again() -> None:
    backend = Backend(lambda _: signed())

    async def scene(site: Site) -> None:
        for _ in range(5):
            assert status_of(await site.ask(request())) == 200
        assert site.gateway.pool.connections_made == 1

    play([backend], scene)


def test_what_runs_once_avoids_connections_that_were_idle_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Upstreams may drop idle connections without notice."""
    monkeypatch.setattr(upstream_pool, "LONGEST_IDLE_ONCE_S", 0.05)
    backend = Backend(lambda _: signed())

    async def scene(site: Site) -> None:
        once = request("/book/1", method="POST", body=b"x")
        assert status_of(await site.ask(request())) == 200
        await asyncio.sleep(0.1)
        assert status_of(await site.ask(once)) == 200
        assert site.gateway.pool.connections_made == 2
        # Either connection serves what may be repeated.
        assert status_of(await site.ask(request())) == 200
        assert site.gateway.pool.connections_made == 2

    play([backend], scene)


def test_pipelined_requests_are_answered_in_order() -> None:
    backend = Backend(lambda sent: signed(sent.split(b" ")[1]))

    async def scene(site: Site) -> None:
        kept = request("/lookup/1").replace(b"Connection: close\r\n", b"")
        answer = await site.ask(kept + request("/lookup/2"))
        assert answer.index(b"/lookup/1") < answer.index(b"/lookup/2")

    play([backend], scene)


def test_nothing_is_passed_on_behind_the_last_answer() -> None:
    """Found by reading: its caller could not have heard of the outcome."""
    backend = Backend(lambda _: signed())

    async def scene(site: Site) -> None:
        once = request("/book/1", method="POST", body=b"x")
        # A kept connection to the upstream takes a request at once.
        await site.ask(once)
        site.gateway.begin_stop(5.0)
        kept = request("/nowhere/1").replace(b"Connection: close\r\n", b"")
        await site.ask(kept + once)
        await asyncio.sleep(0.1)

    play([backend], scene)
    assert len(backend.requests) == 1


def test_a_stopping_host_serves_on_and_asks_callers_to_leave() -> None:
    async def scene(site: Site) -> None:
        site.gateway.begin_stop(5.0)
        kept = request("/lookup/1").replace(b"Connection: close\r\n", b"")
        answer = await site.ask(kept)
        assert status_of(answer) == 200
        assert b"Connection: close\r\n" in answer

    play([Backend(lambda _: signed())], scene)


def test_a_stopping_host_takes_nothing_that_would_outlive_it() -> None:
    """Found by a hunt: a stream taken 3 s after SIGTERM was cut at its end."""

    async def scene(site: Site) -> None:
        site.gateway.begin_stop(5.0)
        assert site.gateway.stopping_s is not None
        site.gateway.stopping_s -= 2.9
        site.gateway.ends_s -= 2.9
        answer = await site.ask(request("/chat/1", method="POST", body=b"x"))
        assert status_of(answer) == 503
        assert b"Retry-After: " in answer
        assert status_of(await site.ask(request())) == 200

    play([Backend(lambda _: signed())], scene)


def test_runs_are_counted_for_the_workspace() -> None:
    async def scene(site: Site) -> None:
        await site.ask(request())
        await site.ask(request("/open/1"))
        await site.ask(request("/nowhere/1"))

    site = play([Backend(lambda _: signed())], scene)
    assert site.counts.total(0) == {"north": 1}
