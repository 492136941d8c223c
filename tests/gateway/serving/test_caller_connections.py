"""Check how connections are kept, shared and ended."""

import asyncio

import attrs
import pytest

from shallotfold._gateway.http import upstream_pool
from tests.gateway.backends import Backend
from tests.gateway.serving.site import Site
from tests.gateway.serving.site import play
from tests.gateway.serving.site import request
from tests.gateway.serving.site import signed
from tests.gateway.serving.site import status_of


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


def test_a_host_keeps_no_more_connections_than_its_share() -> None:
    """Upstreams reset connections beyond those that they accept of all."""
    backend = Backend(lambda _: signed())

    async def scene(site: Site) -> None:
        assert site.gateway.table is not None
        services = site.gateway.table.configuration.services_by_name
        assert isinstance(services, dict)
        for name, service in services.items():
            services[name] = attrs.evolve(service, connection_limit=4)
        site.gateway.hosts = 2
        await asyncio.gather(*(site.ask(request()) for _ in range(6)))
        assert site.gateway.pool.connections_made > 1
        # A half of 4 connections, shared by two hosts.
        (idle,) = site.gateway.pool._idle_by_upstream.values()
        assert len(idle) == 1

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
