"""Test responses to callers when upstreams fail."""

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


def test_silent_upstream_causes_a_504_at_the_timeout() -> None:
    backend = Backend(lambda _: b"")

    async def scenario(harness: GatewayHarness) -> None:
        started_s = asyncio.get_running_loop().time()
        response = await harness.send(
            request("/book/1", method="POST", body=b"x")
        )
        elapsed_s = asyncio.get_running_loop().time() - started_s
        assert status_of(response) == 504
        assert 0.55 <= elapsed_s <= 0.9

    run_scenario([backend], scenario)
    assert len(backend.requests) == 1


def test_connection_closed_before_response_causes_502_without_retry_after() -> (
    None
):
    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(
            request("/book/1", method="POST", body=b"x")
        )
        assert status_of(response) == 502
        assert b"Retry-After" not in response

    run_scenario([Backend(lambda _: b"", close=True)], scenario)


def test_request_that_did_not_run_is_refused_with_retry_after() -> None:
    not_run_response = complete_response(
        b"", b"Not-Executed: 1", status=b"503 Service Unavailable"
    )

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(
            request("/chat/1", method="POST", body=b"x")
        )
        assert status_of(response) == 503
        assert b"Retry-After: " in response

    harness = run_scenario([Backend(lambda _: not_run_response)], scenario)
    assert harness.counts.total(0) == {}


def test_replaced_upstream_gets_no_further_requests() -> None:
    misdirected_response = complete_response(
        b"", b"Instance-Id: z", status=b"421 Misdirected Request"
    )
    replaced_backend, current_backend = (
        Backend(lambda _: misdirected_response),
        Backend(lambda _: signed_response()),
    )

    async def scenario(harness: GatewayHarness) -> None:
        for _ in range(6):
            assert status_of(await harness.send(request())) == 200

    run_scenario([replaced_backend, current_backend], scenario)
    assert len(replaced_backend.requests) <= 1


def test_resumed_stream_delivers_each_event_once_and_is_counted_once() -> None:
    def respond(sent: bytes) -> bytes:
        if b"last-event-id: 2" in sent:
            return stream_response(sse_event(3), sse_event(4))
        # The last event is truncated.
        return stream_response(
            sse_event(1), sse_event(2), sse_event(3)[:9], ended=False
        )

    backends = [Backend(respond, close=True) for _ in range(2)]

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(
            request("/talk/1", method="POST", body=b"x")
        )
        body = response.split(b"\r\n\r\n", 1)[1]
        for number in range(1, 5):
            assert body.count(sse_event(number)) == 1
        assert body.endswith(b"0\r\n\r\n")

    harness = run_scenario(backends, scenario)
    # Usage counts requests, not attempts.
    assert harness.counts.total(0) == {"north": 1}


def test_stream_whose_resumption_fails_gets_no_second_response() -> None:
    """A buffered failure can't be sent once a stream has started."""
    failure_response = signed_response(b"sorry", b"500 Internal Server Error")

    def respond(sent: bytes) -> bytes:
        if b"last-event-id: 1" in sent:
            return failure_response
        return stream_response(sse_event(1), ended=False)

    backends = [Backend(respond, close=True) for _ in range(2)]

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(
            request("/talk/1", method="POST", body=b"x")
        )
        assert response.count(b"HTTP/1.1") == 1
        assert b"sorry" not in response
        assert not response.endswith(b"0\r\n\r\n")

    run_scenario(backends, scenario)


def test_broken_stream_that_cannot_be_resumed_has_no_terminating_chunk() -> (
    None
):
    broken_stream = stream_response(sse_event(1), ended=False)

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(
            request("/chat/1", method="POST", body=b"x")
        )
        assert sse_event(1) in response
        assert not response.endswith(b"0\r\n\r\n")

    run_scenario([Backend(lambda _: broken_stream, close=True)], scenario)


def test_stream_broken_before_its_first_event_causes_a_502() -> None:
    broken_stream = stream_response(ended=False)

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(
            request("/chat/1", method="POST", body=b"x")
        )
        assert status_of(response) == 502

    run_scenario([Backend(lambda _: broken_stream, close=True)], scenario)


def test_upstream_failure_is_retried_then_forwarded() -> None:
    failure_response = signed_response(b"sorry", b"500 Internal Server Error")

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(request())
        assert status_of(response) == 500
        assert response.endswith(b"sorry")

    backends = [
        Backend(lambda _: failure_response),
        Backend(lambda _: failure_response),
    ]
    run_scenario(backends, scenario)
    assert [len(backend.requests) for backend in backends] == [1, 1]
