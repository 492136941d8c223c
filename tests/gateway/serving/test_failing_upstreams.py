"""Check what callers see when upstreams fail."""

import asyncio

from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.gateway.backends import sse_event
from tests.gateway.backends import stream_response
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import signed_response
from tests.gateway.serving.harness import status_of


def test_a_silent_upstream_gets_the_caller_a_504_at_the_time_out() -> None:
    backend = Backend(lambda _: b"")

    async def scenario(harness: GatewayHarness) -> None:
        begin_s = asyncio.get_running_loop().time()
        answer = await harness.send(
            request("/book/1", method="POST", body=b"x")
        )
        took_s = asyncio.get_running_loop().time() - begin_s
        assert status_of(answer) == 504
        assert 0.55 <= took_s <= 0.9

    run_scenario([backend], scenario)
    assert len(backend.requests) == 1


def test_a_break_is_unknown_and_is_not_called_unrun() -> None:
    async def scenario(harness: GatewayHarness) -> None:
        answer = await harness.send(
            request("/book/1", method="POST", body=b"x")
        )
        assert status_of(answer) == 502
        assert b"Retry-After" not in answer

    run_scenario([Backend(lambda _: b"", close=True)], scenario)


def test_an_unrun_request_is_refused_with_a_time_to_return() -> None:
    full = complete_response(
        b"", b"Not-Executed: 1", status=b"503 Service Unavailable"
    )

    async def scenario(harness: GatewayHarness) -> None:
        answer = await harness.send(
            request("/chat/1", method="POST", body=b"x")
        )
        assert status_of(answer) == 503
        assert b"Retry-After: " in answer

    harness = run_scenario([Backend(lambda _: full)], scenario)
    assert harness.counts.total(0) == {}


def test_an_upstream_that_was_replaced_is_not_asked_again() -> None:
    moved = complete_response(
        b"", b"Instance-Id: z", status=b"421 Misdirected Request"
    )
    wrong, right = (
        Backend(lambda _: moved),
        Backend(lambda _: signed_response()),
    )

    async def scenario(harness: GatewayHarness) -> None:
        for _ in range(6):
            assert status_of(await harness.send(request())) == 200

    run_scenario([wrong, right], scenario)
    assert len(wrong.requests) <= 1


def test_a_broken_stream_goes_on_at_another_upstream() -> None:
    def first(sent: bytes) -> bytes:
        if b"last-event-id: 2" in sent:
            return stream_response(sse_event(3), sse_event(4))
        # The last event breaks off in its middle.
        return stream_response(
            sse_event(1), sse_event(2), sse_event(3)[:9], ended=False
        )

    backends = [Backend(first, close=True) for _ in range(2)]

    async def scenario(harness: GatewayHarness) -> None:
        answer = await harness.send(
            request("/talk/1", method="POST", body=b"x")
        )
        body = answer.split(b"\r\n\r\n", 1)[1]
        for number in range(1, 5):
            assert body.count(sse_event(number)) == 1
        assert body.endswith(b"0\r\n\r\n")

    harness = run_scenario(backends, scenario)
    # Usage counts requests, however many upstreams worked on one.
    assert harness.counts.total(0) == {"north": 1}


def test_a_stream_whose_resumption_fails_gets_no_second_answer() -> None:
    """A failure that is held for the caller comes too late for a stream."""
    bad = signed_response(b"sorry", b"500 Internal Server Error")

    def answer(sent: bytes) -> bytes:
        if b"last-event-id: 1" in sent:
            return bad
        return stream_response(sse_event(1), ended=False)

    backends = [Backend(answer, close=True) for _ in range(2)]

    async def scenario(harness: GatewayHarness) -> None:
        found = await harness.send(request("/talk/1", method="POST", body=b"x"))
        assert found.count(b"HTTP/1.1") == 1
        assert b"sorry" not in found
        assert not found.endswith(b"0\r\n\r\n")

    run_scenario(backends, scenario)


def test_a_broken_stream_that_can_t_go_on_does_not_look_complete() -> None:
    broken = stream_response(sse_event(1), ended=False)

    async def scenario(harness: GatewayHarness) -> None:
        answer = await harness.send(
            request("/chat/1", method="POST", body=b"x")
        )
        assert sse_event(1) in answer
        assert not answer.endswith(b"0\r\n\r\n")

    run_scenario([Backend(lambda _: broken, close=True)], scenario)


def test_a_stream_that_breaks_before_its_first_event_is_a_502() -> None:
    broken = stream_response(ended=False)

    async def scenario(harness: GatewayHarness) -> None:
        answer = await harness.send(
            request("/chat/1", method="POST", body=b"x")
        )
        assert status_of(answer) == 502

    run_scenario([Backend(lambda _: broken, close=True)], scenario)


def test_a_failure_of_the_upstream_is_repeated_or_passed_on() -> None:
    bad = signed_response(b"sorry", b"500 Internal Server Error")

    async def scenario(harness: GatewayHarness) -> None:
        answer = await harness.send(request())
        assert status_of(answer) == 500
        assert answer.endswith(b"sorry")

    backends = [Backend(lambda _: bad), Backend(lambda _: bad)]
    run_scenario(backends, scenario)
    assert [len(backend.requests) for backend in backends] == [1, 1]
