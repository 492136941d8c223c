"""Test calls of a host without free descriptors."""

import asyncio
from collections.abc import Iterator
import contextlib
import os
import resource
import socket

import pytest

from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.http.expiring_call import call_before
from shallotfold._gateway.http.http_client import CallFailedError
from shallotfold._gateway.http.http_client import HttpClient
from shallotfold._gateway.http.http_client import HttpResponse
from shallotfold._gateway.http.socket_reserve import SocketReserve
from shallotfold._runtime.loop import new_event_loop
from shallotfold._settings.addresses import Address

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@contextlib.contextmanager
def _no_free_descriptors() -> Iterator[None]:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = max(map(int, os.listdir("/proc/self/fd")))
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 2, hard))
    fillers = []
    try:
        with contextlib.suppress(OSError):
            while True:
                fillers.append(os.open("/dev/null", os.O_RDONLY))
        yield
    finally:
        for filler in fillers:
            os.close(filler)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def _call(
    kind: str, listener: socket.socket, reserve: SocketReserve | None
) -> HttpResponse:
    ip, port = listener.getsockname()
    if kind == "store":
        client = HttpClient(ip, port, reserve)
        return await client.call("GET", "/", timeout_s=2.0)
    return await call_before(
        boot_s() + 2.0,
        Address(ip, port),
        b"POST",
        b"/",
        body=b"",
        headers=[],
        timeout_s=2.0,
        reserve=reserve,
    )


def _answer(listener: socket.socket) -> None:
    connection, _ = listener.accept()
    connection.recv(4096)
    connection.sendall(ANSWER)
    connection.close()


@pytest.mark.parametrize("kind", ["store", "duty"])
def test_call_takes_a_reserved_socket_when_no_descriptor_is_free(
    kind: str,
) -> None:
    """The store wasn't read while a crowd had all descriptors."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        # Both are set up before the descriptors are gone.
        await loop.run_in_executor(None, lambda: None)
        reserve = SocketReserve(1)
        reserve.start()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.settimeout(2.0)
            with _no_free_descriptors():
                call = asyncio.create_task(_call(kind, listener, reserve))
                await asyncio.sleep(0.05)
            response, _ = await asyncio.gather(
                call, loop.run_in_executor(None, _answer, listener)
            )
            assert response.body == b"ok"
        reserve.close()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(main())


@pytest.mark.parametrize("kind", ["store", "duty"])
def test_call_without_any_socket_fails_and_has_not_run(kind: str) -> None:
    async def main() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            with _no_free_descriptors(), pytest.raises(CallFailedError) as e:
                await _call(kind, listener, None)
            assert not e.value.may_have_run

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(main())


def test_reserve_is_refilled_once_descriptors_are_free() -> None:
    reserve = SocketReserve(2)
    reserve.start()
    with _no_free_descriptors():
        taken = [reserve.open_socket() for _ in range(2)]
        with pytest.raises(OSError, match="Too many open files"):
            reserve.open_socket()
        reserve.refill()
    for sock in taken:
        sock.close()
    reserve.refill()
    with _no_free_descriptors():
        reserve.open_socket().close()
    reserve.close()
