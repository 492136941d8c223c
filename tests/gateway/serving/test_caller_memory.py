"""Unusual callers can't take the memory that ordinary callers need."""

import asyncio

import attrs
import pytest

from shallotfold._gateway.http.compact_head import CompactHead
from shallotfold._gateway.serving.caller_connection import MAX_QUEUED_REQUESTS
from shallotfold._gateway.serving.caller_memory import CallerMemory
from shallotfold._gateway.serving.caller_memory import Holding
from shallotfold._gateway.serving.caller_memory import choose_largest
from shallotfold._gateway.serving.request_parsing import parse_prompt
from tests.gateway.backends import Backend
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import signed_response
from tests.gateway.serving.harness import status_of
from tests.gateway.serving.test_request_parsing import NAMES
from tests.gateway.serving.test_request_parsing import make_request


def silent(received: bytes) -> bytes:
    return signed_response() if b"/lookup/" in received else b""


def test_request_of_4000_short_lines_is_served_in_calm() -> None:
    """Four bytes were counted for the three that separate such lines."""
    backend = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        head = request()[:-2] + b"a:\r\n" * 4_000 + b"\r\n"
        assert status_of(await harness.send(head)) == 200

    run_scenario([backend], scenario)
    assert backend.requests[0].count(b"a: \r\n") == 4_000


def test_largest_unfinished_heads_are_ended_and_small_ones_stay() -> None:
    """A crowd of 40 large unfinished heads beside an ordinary slow caller."""

    async def scenario(harness: GatewayHarness) -> None:
        memory = harness.gateway.caller_memory
        memory.max_head_bytes = 100_000
        port = harness.port
        ordinary = await asyncio.open_connection("127.0.0.1", port)
        ordinary[1].write(request()[:-2])
        crowd = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(40)
        ]
        for _, writer in crowd:
            writer.write(request()[:-2] + b"ab:cd\r\n" * 1_500)
        await asyncio.sleep(0.3)
        assert memory.head_bytes <= memory.max_head_bytes
        (ended, *_), (_, kept_writer) = crowd[0], crowd[-1]
        assert (await ended.readline()).startswith(b"HTTP/1.1 431 ")
        kept_writer.close()
        ordinary[1].write(b"\r\n")
        assert (await ordinary[0].readline()).startswith(b"HTTP/1.1 200 ")
        for _, writer in [ordinary, *crowd]:
            writer.close()
        await asyncio.sleep(0.1)
        assert (memory.head_bytes, memory.served_head_bytes) == (0, 0)
        assert not memory.connections

    run_scenario([Backend(silent)], scenario)


def test_parsing_stops_while_the_queue_is_full() -> None:
    """One read held thousands of tiny requests, which all became objects."""

    async def scenario(harness: GatewayHarness) -> None:
        first = request("/chat/1").replace(b"Connection: close\r\n", b"")
        tiny = b"GET / HTTP/1.1\r\n\r\n"
        _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
        writer.write(first + tiny * 3_000)
        await asyncio.sleep(0.2)
        (connection,) = harness.gateway._connections
        queued = len(connection._queued_requests)
        assert MAX_QUEUED_REQUESTS <= queued < 30
        assert connection.waiting_head_bytes > 20_000
        writer.close()

    run_scenario([Backend(silent)], scenario)


def test_all_tiny_pipelined_requests_are_answered_in_turn() -> None:
    """Raw input that waits is parsed once requests before it have ended."""

    async def scenario(harness: GatewayHarness) -> None:
        tiny = request("/nowhere/").replace(b"Connection: close\r\n", b"")
        response = await harness.send(tiny * 500 + request("/lookup/1"))
        assert response.count(b"HTTP/1.1 404 ") == 500
        assert response.count(b"HTTP/1.1 200 ") == 1

    run_scenario([Backend(silent)], scenario)


def test_large_heads_are_refused_unrun_while_others_are_in_service() -> None:
    """30 requests with large heads wait for an upstream that is silent."""
    backend = Backend(silent)

    async def scenario(harness: GatewayHarness) -> None:
        memory = harness.gateway.caller_memory
        memory.max_head_bytes = 100_000
        large = request("/chat/1")[:-2] + b"ab:cd\r\n" * 1_000 + b"\r\n"
        responses = [
            asyncio.create_task(harness.send(large, timeout_s=0.4))
            for _ in range(30)
        ]
        await asyncio.sleep(0.2)
        assert memory.served_head_bytes <= memory.max_head_bytes // 2
        assert status_of(await harness.send(request())) == 200
        statuses = [status_of(await response) for response in responses]
        assert statuses.count(503) >= 20

    run_scenario([backend], scenario)
    assert sum(b"/chat/" in sent for sent in backend.requests) <= 10


def test_oldest_idle_connection_makes_room_for_a_new_one() -> None:
    """Idle connections took all descriptors."""

    async def scenario(harness: GatewayHarness) -> None:
        harness.gateway.caller_memory.max_connections = 5
        crowd = [
            await asyncio.open_connection("127.0.0.1", harness.port)
            for _ in range(5)
        ]
        await asyncio.sleep(0.05)
        assert status_of(await harness.send(request())) == 200
        assert await crowd[0][0].read() == b""
        for _, writer in crowd:
            writer.close()

    run_scenario([Backend(silent)], scenario)


def test_victims_are_the_largest_and_then_the_oldest() -> None:
    holdings = [
        Holding(None, size, opened_s)  # type: ignore[arg-type]
        for size, opened_s in ((10, 1.0), (90, 3.0), (90, 2.0), (0, 0.0))
    ]
    chosen = choose_largest(holdings, 95)
    assert [(h.held_bytes, h.opened_s) for h in chosen] == [
        (90, 2.0),
        (90, 3.0),
    ]
    assert len(choose_largest(holdings, 1_000)) == 3


def test_compact_head_keeps_names_and_values() -> None:
    head = CompactHead()
    head.add(b"Host", b"a:b")
    head.add(b"X-Empty", b"")
    head.add(b"X-Odd", b"a\rb\x0b\xff")
    headers, names = head.expand()
    assert headers == [
        (b"host", b"a:b"),
        (b"x-empty", b""),
        (b"x-odd", b"a\rb\x0b\xff"),
    ]
    assert names == [b"Host", b"X-Empty", b"X-Odd"]
    with pytest.raises(ValueError, match="line end"):
        head.add(b"X", b"a\nHost: b")


def test_many_parts_and_odd_numbers_in_a_prompt() -> None:
    """Numbers of over 4,300 digits, and a superscript two, ended calls."""
    entries = [b"p%d:%d" % (n, n) for n in range(3_000)]
    odd = [b"a:" + b"9" * 5_000, b"b:\xb2", b"c" * 200 + b":1"]
    parsed = parse_prompt(
        make_request(
            b"/",
            (NAMES.token_counts, b"9" * 5_000 + b",7"),
            (NAMES.prompt_parts, b",".join(entries + odd)),
        ),
        NAMES,
    )
    assert (parsed.prompt_tokens, parsed.max_output_tokens) == (0, 7)
    assert len(parsed.parts) == 3_001
    assert len(parsed.parts[-1].part_id) == 48
    assert parsed.shared_prefix_id == "p2999"
    assert parsed.shared_prefix_tokens == sum(range(3_000))
    assert parsed.shared_part_ids[:2] == ("p0", "p1")
    assert attrs.evolve(parsed, prompt_tokens=5).shared_prefix_id == "p2999"


def test_rejected_requests_give_their_body_back_to_the_budget() -> None:
    """The next request's first byte hid the hold of the one before.

    Nine such connections left no room for large bodies until a restart.
    """

    async def scenario(harness: GatewayHarness) -> None:
        large_head = request("/chat/1", method="POST")[:-2]
        large_head += b"a: " + b"x" * 17_000 + b"\r\n"
        body = b"y" * 300_000
        data = large_head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        for _ in range(3):
            _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
            writer.write(data + b"G")
            await asyncio.sleep(0.2)
            writer.close()
        await asyncio.sleep(0.1)
        assert harness.gateway.body_budget.held_bytes == 0

    run_scenario([Backend(silent)], scenario)


@pytest.mark.parametrize("pause_s", [0.0, 0.1])
def test_unfinished_head_behind_a_request_counts_and_is_limited(
    pause_s: float,
) -> None:
    """It was neither limited, counted nor timed: 250 kB a connection."""

    async def scenario(harness: GatewayHarness) -> None:
        first = request("/lookup/1").replace(b"Connection: close\r\n", b"")
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port
        )
        head = b"GET / HTTP/1.1\r\na: " + b"x" * 10_000
        if pause_s:
            writer.write(first)
            await asyncio.sleep(pause_s)
            writer.write(head)
        else:
            writer.write(first + head)
        await asyncio.sleep(0.2)
        (connection,) = harness.gateway._connections
        assert connection.waiting_head_bytes >= 10_000
        assert connection.request_started_s is not None
        assert not connection.idle
        writer.write(b"x" * 20_000)
        response = await asyncio.wait_for(reader.read(), 3.0)
        assert response.startswith(b"HTTP/1.1 200 ")
        assert b"HTTP/1.1 431 " in response
        writer.close()

    run_scenario([Backend(lambda _: signed_response())], scenario)


def test_body_before_a_pipelined_request_is_not_taken_for_its_head() -> None:
    async def scenario(harness: GatewayHarness) -> None:
        first = request("/lookup/1").replace(b"Connection: close\r\n", b"")
        body = b"z" * 30_000
        first = first[:-2] + b"Content-Length: %d\r\n\r\n" % len(body) + body
        second = request("/lookup/2")
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.port
        )
        writer.write(first + second[:-2])
        await asyncio.sleep(0.2)
        writer.write(second[-2:])
        response = await asyncio.wait_for(reader.read(), 3.0)
        assert response.count(b"HTTP/1.1 200 ") == 2
        writer.close()

    run_scenario([Backend(lambda _: signed_response())], scenario)


def test_unread_response_of_a_closing_connection_stays_in_the_budget() -> None:
    """Forty callers that close and don't read filled a host of 160 MB."""
    body = b"r" * 3_000_000

    async def scenario(harness: GatewayHarness) -> None:
        memory = harness.gateway.caller_memory
        memory.max_unread_bytes = 4_000_000
        writers = []
        for _ in range(4):
            _, writer = await asyncio.open_connection(
                "127.0.0.1", harness.port, limit=4_096
            )
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(request("/lookup/1"))
            writers.append(writer)
            await asyncio.sleep(0.2)
        assert memory.unread_bytes <= memory.max_unread_bytes
        assert len(memory.connections) <= 2
        for writer in writers:
            writer.close()

    run_scenario([Backend(lambda _: signed_response(body))], scenario)


class _CountedConnection:
    """A connection of a caller that counts how often it is looked at."""

    looks = 0

    def __init__(self, opened_s: float) -> None:
        self.opened_s = self.last_active_s = opened_s
        self.waiting_head_bytes = 0
        self.idle = True
        self.is_ended = False

    @property
    def serving(self) -> bool:
        type(self).looks += 1
        return False

    def refresh_unread_bytes(self) -> int:
        return 0

    def end_input(self) -> None:
        self.is_ended = True

    def disconnect(self) -> None:
        self.is_ended = True


def test_work_for_a_connection_does_not_grow_with_the_others() -> None:
    """On a full host, each new connection was compared with all others."""
    memory = CallerMemory()
    memory.max_connections = 1_000
    connections = [_CountedConnection(float(n)) for n in range(1_640)]
    _CountedConnection.looks = 0
    for connection in connections:
        assert memory.add(connection)
    added = len(connections) - memory.max_connections
    assert [c.is_ended for c in connections].index(False) == added
    assert _CountedConnection.looks < added * 20


def test_connection_that_was_active_since_a_search_is_not_ended() -> None:
    memory = CallerMemory()
    memory.max_connections = 100
    connections = [_CountedConnection(float(n)) for n in range(103)]
    for connection in connections[:101]:
        memory.add(connection)
    connections[1].last_active_s = 1_000.0
    connections[2].idle = False
    connections[2].last_active_s = 1_001.0
    for connection in connections[101:]:
        memory.add(connection)
    ended = [n for n, c in enumerate(connections) if c.is_ended]
    assert ended == [0, 3, 4]
