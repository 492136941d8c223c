"""Check what callers see when upstreams fail."""

import asyncio

from tests.gateway.backends import Backend
from tests.gateway.backends import event
from tests.gateway.backends import stream
from tests.gateway.backends import whole
from tests.gateway.serving.site import Site
from tests.gateway.serving.site import play
from tests.gateway.serving.site import request
from tests.gateway.serving.site import signed
from tests.gateway.serving.site import status_of


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
    def first(sent: bytes) -> bytes:
        if b"last-event-id: 2" in sent:
            return stream(event(3), event(4))
        # The last event breaks off in its middle.
        return stream(event(1), event(2), event(3)[:9], ended=False)

    backends = [Backend(first, close=True) for _ in range(2)]

    async def scene(site: Site) -> None:
        answer = await site.ask(request("/talk/1", method="POST", body=b"x"))
        body = answer.split(b"\r\n\r\n", 1)[1]
        for number in range(1, 5):
            assert body.count(event(number)) == 1
        assert body.endswith(b"0\r\n\r\n")

    site = play(backends, scene)
    # Usage counts requests, however many upstreams worked on one.
    assert site.counts.total(0) == {"north": 1}


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
