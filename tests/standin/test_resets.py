"""Test that the stand-ins reset connections instead of closing them."""

import asyncio
import contextlib

import pytest

from shallotfold._settings.addresses import Address
from shallotfold._settings.standin import ServiceSettings
from shallotfold._settings.standin import ServiceStandinSettings
from shallotfold._standin.process import make_service_process

REQUEST = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"


async def read_to_end(address: Address, data: bytes) -> bytes:
    """Send bytes and read until the connection ends.

    Raises:
        ConnectionResetError: It was reset.
    """
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    try:
        writer.write(data)
        return await reader.read()
    finally:
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()


def test_crashing_service_resets_the_connection() -> None:
    """An orderly end looks like the end of an answer without a length."""

    async def main() -> None:
        settings = ServiceSettings(
            name="upstream", address=Address("127.0.0.1", 0)
        )
        process = make_service_process(
            ServiceStandinSettings(services=(settings,))
        )
        await process.start()
        try:
            address = process.addresses_by_name["upstream"]
            faults = b'{"crash_before": 1}'
            await read_to_end(
                address,
                b"POST /faults HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (len(faults), faults),
            )
            with pytest.raises(ConnectionResetError):
                await read_to_end(address, REQUEST)
        finally:
            await process.close()

    asyncio.run(main())
