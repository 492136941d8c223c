"""Fault tests of entry processes that are paused or cut off from the store."""

import asyncio
import pathlib
import signal
import time

import aiohttp

from benchmarks import declaration
from benchmarks.fleet import Fleet
from benchmarks.processes import Processes
from benchmarks.topology import Topology

# Longer than the maximum confirmation age of an entry's configuration.
PAUSE_S = 5.0
POLL_INTERVAL_S = 0.1
TEST_TIMEOUT_S = 90


async def send_request(
    session: aiohttp.ClientSession, url: str, secret: str
) -> int:
    """Send a short chat request and return the status."""
    body = {
        "model": declaration.MODEL,
        "messages": [{"role": "user", "content": "Is the shelter open?"}],
        "max_tokens": 2,
    }
    async with session.post(
        f"{url}/v1/chat/completions",
        json=body,
        headers={"Authorization": f"Bearer {secret}"},
    ) as response:
        await response.read()
        return response.status


async def wait_for_status(
    session: aiohttp.ClientSession, url: str, secret: str, expected_status: int
) -> None:
    while True:
        if await send_request(session, url, secret) == expected_status:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


def test_paused_entry_refuses_a_withdrawn_key_during_a_store_outage(
    tmp_path: pathlib.Path,
) -> None:
    processes = Processes(tmp_path)
    topology = Topology()
    first, second, third = map(topology.entry_url, topology.entry_names)
    spare_secret = topology.spare_key.secret
    granted_secret = topology.keys_by_workspace["agency"].secret

    async def scenario(session: aiohttp.ClientSession) -> None:
        fleet = Fleet(topology, processes, session, with_controllers=False)
        await fleet.start(combined_upstreams=True)
        assert await send_request(session, first, spare_secret) == 200
        entry = processes.running_by_name[topology.entry_names[0]]
        platform = processes.running_by_name["platform"]
        entry.send_signal(signal.SIGSTOP)
        paused_s = time.monotonic()
        await fleet.submit(with_spare_key=False, base_version=1)
        for url in (second, third):
            await wait_for_status(session, url, spare_secret, 401)
        platform.send_signal(signal.SIGSTOP)
        pending_request = asyncio.create_task(
            send_request(session, first, spare_secret)
        )
        await asyncio.sleep(PAUSE_S - (time.monotonic() - paused_s))
        entry.send_signal(signal.SIGCONT)
        assert await pending_request in (401, 503)
        await wait_for_status(session, first, spare_secret, 401)
        # A store outage alone does not stop callers with valid keys.
        for url in (first, second, third):
            await wait_for_status(session, url, granted_secret, 200)
        platform.send_signal(signal.SIGCONT)

    async def main() -> None:
        async with aiohttp.ClientSession() as session:
            await scenario(session)

    try:
        asyncio.run(asyncio.wait_for(main(), TEST_TIMEOUT_S))
    finally:
        for process in processes.running_by_name.values():
            process.send_signal(signal.SIGCONT)
        processes.stop_all()
