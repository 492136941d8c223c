"""Test a host on which a crowd takes all descriptors that it can get."""

import asyncio
import contextlib
import pathlib

from tests.gateway.gateway_process import CALLER_PORT
from tests.gateway.gateway_process import GatewayUnderTest
from tests.gateway.gateway_process import request_head
from tests.gateway.gateway_process import run_gateway

MAX_DESCRIPTORS = 200
CROWD = 250
RETRY_S = 0.05
# A change has to be in force after this time.
APPLY_S = 2.0
# An open watch gets one change; each further one takes a new connection.
CHANGES = 4


async def _press(gateway: GatewayUnderTest) -> None:
    """Ask for responses that never come, again after each refusal."""
    while True:
        with contextlib.suppress(OSError, EOFError):
            reader, writer = await asyncio.open_connection(
                gateway.ip, CALLER_PORT
            )
            try:
                writer.write(request_head("/silent/1"))
                while await reader.read(4096):
                    await asyncio.sleep(RETRY_S)
                    writer.write(request_head("/silent/1"))
            finally:
                writer.close()
        await asyncio.sleep(RETRY_S)


async def test_crowd_does_not_keep_a_host_from_following_the_store(
    tmp_path: pathlib.Path,
) -> None:
    """Keys that were withdrawn still worked on a host without descriptors."""
    async with run_gateway(
        tmp_path, memory_limit_mib=300, max_descriptors=MAX_DESCRIPTORS
    ) as gateway:
        tasks = [asyncio.create_task(_press(gateway)) for _ in range(CROWD)]
        try:
            await asyncio.sleep(3.0)
            for version in range(2, 2 + CHANGES):
                gateway.put_configuration(version)
                async with asyncio.timeout(APPLY_S):
                    await gateway.wait_for_configuration(version)
            assert gateway.lives
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
