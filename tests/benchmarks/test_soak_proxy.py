"""Test the faults of the proxy in front of the soak's services."""

import asyncio

import pytest

from benchmarks.soak.proxy import Fault
from benchmarks.soak.proxy import FaultyTcpProxy
from shallotfold._runtime.sockets import reset_connection
from tests.gateway.backends import Backend


async def call_through_proxy(
    backend: Backend, fault: Fault = Fault.NONE
) -> bytes:
    """Return all bytes that a caller receives through the proxy."""
    await backend.start()
    proxy = FaultyTcpProxy(("127.0.0.1", backend.port))
    await proxy.start()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        proxy.set_fault(fault)
        writer.write(b"GET /x HTTP/1.1\r\n\r\n")
        try:
            return await asyncio.wait_for(reader.read(), 0.5)
        finally:
            writer.close()
    finally:
        await proxy.close()
        await backend.stop()


def test_proxy_passes_a_reset_on() -> None:
    """A reset that becomes an orderly end hides that an answer was cut off."""
    backend = Backend(lambda _: b"HTTP/1.1 200 OK\r\n\r\nhalf", reset=True)
    with pytest.raises(ConnectionResetError):
        asyncio.run(call_through_proxy(backend))


def test_proxy_that_resets_does_not_close_in_an_orderly_way() -> None:
    with pytest.raises(ConnectionResetError):
        asyncio.run(call_through_proxy(Backend(lambda _: b""), Fault.RESET))


def test_proxy_that_drops_data_holds_the_end_back() -> None:
    """The end of an answer would arrive although its data was dropped."""
    backend = Backend(lambda _: b"HTTP/1.1 200 OK\r\n\r\nhalf", close=True)
    with pytest.raises(TimeoutError):
        asyncio.run(call_through_proxy(backend, Fault.ONE_WAY))


@pytest.mark.parametrize("is_reset", [False, True])
def test_proxy_that_holds_data_delivers_it_unless_reset(
    *, is_reset: bool
) -> None:
    """A cut link delivers late what its sender has not withdrawn."""

    async def scenario(backend: Backend) -> None:
        await backend.start()
        proxy = FaultyTcpProxy(("127.0.0.1", backend.port))
        await proxy.start()
        _, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        proxy.set_fault(Fault.HOLD)
        writer.write(b"GET /x HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.1)
        assert not backend.requests
        if is_reset:
            reset_connection(writer.transport)
            await asyncio.sleep(0.05)
        proxy.set_fault(Fault.NONE)
        await asyncio.sleep(0.1)
        assert len(backend.requests) == (0 if is_reset else 1)
        writer.close()
        await proxy.close()
        await backend.stop()

    asyncio.run(scenario(Backend(lambda _: b"")))
