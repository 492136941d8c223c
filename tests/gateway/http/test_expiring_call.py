"""Test that a call whose permission has expired is never sent.

A holder's permission could end while it connected, so that its call reached
the platform after the calls of the next holder.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.http import expiring_call
from shallotfold._gateway.http.expiring_call import call_before
from shallotfold._gateway.http.http_client import CallFailedError
from shallotfold._gateway.http.http_client import HttpResponse
from shallotfold._runtime.loop import new_event_loop
from shallotfold._settings.addresses import Address
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response

Respond = Callable[[bytes], bytes]


def run_with_backend(
    respond: Respond, scenario: Callable[[Backend], Awaitable[None]]
) -> None:
    async def run() -> None:
        backend = Backend(respond)
        await backend.start()
        try:
            await scenario(backend)
        finally:
            await backend.stop()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(run())


async def call(backend: Backend, expires_s: float) -> HttpResponse:
    return await call_before(
        expires_s,
        Address("127.0.0.1", backend.port),
        b"POST",
        b"/orders",
        body=b"{}",
        headers=[(b"Fencing", b"7")],
        timeout_s=5.0,
    )


def test_call_is_sent_whole_and_its_response_returned() -> None:
    async def scenario(backend: Backend) -> None:
        response = await call(backend, boot_s() + 5.0)
        assert (response.status, response.body) == (200, b"done")
        assert len(backend.requests) == 1
        assert backend.requests[0].endswith(b"\r\n\r\n{}")
        assert b"Fencing: 7\r\n" in backend.requests[0]

    run_with_backend(lambda request: complete_response(b"done"), scenario)


@pytest.mark.parametrize("reads_before_pause", [1, 2])
def test_call_is_not_sent_if_the_process_paused_while_it_connected(
    monkeypatch: pytest.MonkeyPatch, reads_before_pause: int
) -> None:
    """The clock passes the expiry before or after the connection stands."""
    reads = 0

    def pausing_clock() -> float:
        nonlocal reads
        reads += 1
        return 100.0 if reads <= reads_before_pause else 104.0

    monkeypatch.setattr(expiring_call, "boot_s", pausing_clock)

    async def scenario(backend: Backend) -> None:
        with pytest.raises(CallFailedError) as caught:
            await call(backend, 102.0)
        assert not caught.value.may_have_run or reads_before_pause == 2
        await asyncio.sleep(0.05)
        assert len(backend.requests) == reads_before_pause - 1

    run_with_backend(lambda request: complete_response(b"done"), scenario)


def test_expired_call_does_not_even_connect() -> None:
    async def scenario(backend: Backend) -> None:
        with pytest.raises(CallFailedError) as caught:
            await call(backend, boot_s() - 0.1)
        assert not caught.value.may_have_run
        await asyncio.sleep(0.05)
        assert not backend.requests
        assert not backend.disconnects

    run_with_backend(lambda request: complete_response(b"done"), scenario)


def test_connection_is_reset_when_the_permission_expires() -> None:
    """Bytes that a cut link holds back would be delivered after the cut."""

    async def scenario(backend: Backend) -> None:
        started_s = boot_s()
        with pytest.raises(CallFailedError) as caught:
            await call(backend, started_s + 0.3)
        assert caught.value.may_have_run
        assert boot_s() - started_s < 1.0
        await asyncio.sleep(0.05)
        assert backend.resets == 1

    run_with_backend(lambda request: b"", scenario)
