"""Measure the latency that an entry adds, and its throughput per core.

Sends the same streams in turn to an engine stand-in directly, through a bare
aiohttp relay and through one entry. Each token carries the time at which the
engine sent it, so that its transit time is known. Then sends small requests
from many callers at once and divides their number by the processor time of the
entry. Prints one JSON object.
"""

import argparse
import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import json
import pathlib
import statistics
import sys
import tempfile
import time
from typing import Any

import aiohttp
import attrs

from benchmarks.bare_relay import READY_PATH
from benchmarks.declaration import MODEL
from benchmarks.fleet import Fleet
from benchmarks.proc_usage import read_usage
from benchmarks.processes import Command
from benchmarks.processes import Processes
from benchmarks.topology import CREDENTIAL
from benchmarks.topology import Topology

ENTRY = "entry-1"
TOKENS_PER_STREAM = 20
ENGINE_SLOTS = 256
ENGINE_TOKENS_PER_S = 25_600.0
WARM_UP_STREAMS = 20
RELAY_PORT = 8090


@attrs.frozen
class Target:
    """Base URL that requests are sent to, and the bearer token for it."""

    url: str
    token: str


@attrs.define
class Samples:
    """Times measured for one target, in seconds.

    Attributes:
        first_token_s: From the request to the first token.
        token_transit_s: From the engine to the caller, for later tokens.
        total_s: From the request to the end of an unstreamed answer.
    """

    first_token_s: list[float] = attrs.field(factory=list)
    token_transit_s: list[float] = attrs.field(factory=list)
    total_s: list[float] = attrs.field(factory=list)

    def medians_ms(self) -> dict[str, float]:
        """Return medians in milliseconds."""
        return {
            "first_token_ms": _median_ms(self.first_token_s),
            "later_token_ms": _median_ms(self.token_transit_s),
            "whole_ms": _median_ms(self.total_s),
        }


async def send_stream(
    session: aiohttp.ClientSession,
    target: Target,
    number: int,
    samples: Samples,
) -> None:
    """Send one streamed request and record its times."""
    started_s = time.monotonic()
    async with _post(session, target, number, streaming=True) as response:
        response.raise_for_status()
        saw_first_token = False
        async for line in response.content:
            if not line.startswith(b'data: {"'):
                continue
            arrived_s = time.monotonic()
            chunk = json.loads(line[len(b"data: ") :])
            if saw_first_token and "sent_monotonic_s" in chunk:
                samples.token_transit_s.append(
                    arrived_s - chunk["sent_monotonic_s"]
                )
            if not saw_first_token:
                samples.first_token_s.append(arrived_s - started_s)
                saw_first_token = True


async def send_unstreamed(
    session: aiohttp.ClientSession,
    target: Target,
    number: int,
    samples: Samples,
) -> None:
    """Send one request for an unstreamed answer and record its time."""
    started_s = time.monotonic()
    async with _post(session, target, number, streaming=False) as response:
        response.raise_for_status()
        await response.read()
    samples.total_s.append(time.monotonic() - started_s)


def _post(
    session: aiohttp.ClientSession,
    target: Target,
    number: int,
    *,
    streaming: bool,
    tokens: int = TOKENS_PER_STREAM,
) -> Any:
    content = f"[tokens={tokens}] {number}"
    return session.post(
        f"{target.url}/v1/chat/completions",
        headers={"Authorization": f"Bearer {target.token}"},
        json={
            "model": MODEL,
            "messages": [{"role": "user", "content": content}],
            "stream": streaming,
        },
    )


async def measure_latency(
    session: aiohttp.ClientSession,
    targets_by_name: Mapping[str, Target],
    rounds: int,
) -> dict[str, Any]:
    """Send the same requests to all targets in turn; one must be `direct`."""
    for number in range(WARM_UP_STREAMS):
        for target in targets_by_name.values():
            await send_stream(session, target, number, Samples())
    samples_by_name = {name: Samples() for name in targets_by_name}
    for number in range(rounds):
        for name, target in targets_by_name.items():
            await send_stream(session, target, number, samples_by_name[name])
            await send_unstreamed(
                session, target, number, samples_by_name[name]
            )
    medians_by_name = {
        name: samples.medians_ms() for name, samples in samples_by_name.items()
    }
    direct_ms = medians_by_name["direct"]
    added_by_name = {
        name: {k: round(ms[k] - direct_ms[k], 3) for k in ms}
        for name, ms in medians_by_name.items()
        if name != "direct"
    }
    return {"medians": medians_by_name, "added": added_by_name}


async def measure_throughput(
    session: aiohttp.ClientSession,
    entry: Target,
    pid: int,
    *,
    callers: int,
    duration_s: float,
    plain: bool,
) -> dict[str, float]:
    """Send small requests from many callers at once."""
    end_s = time.monotonic() + duration_s
    answered = 0

    async def call(number: int) -> None:
        nonlocal answered
        while time.monotonic() < end_s:
            async with (
                session.get(
                    f"{entry.url}/booking/slots",
                    headers={"Authorization": f"Bearer {entry.token}"},
                )
                if plain
                else _post(session, entry, number, streaming=False, tokens=1)
            ) as response:
                await response.read()
                answered += response.status == 200

    before = read_usage(pid)
    await asyncio.gather(*(call(number) for number in range(callers)))
    cpu_s = read_usage(pid).cpu_s - before.cpu_s
    return {
        "answered": answered,
        "requests_per_s": round(answered / duration_s, 1),
        "entry_cpu_s": round(cpu_s, 2),
        "requests_per_core_s": round(answered / cpu_s, 1) if cpu_s else 0.0,
    }


async def start_relay(topology: Topology, processes: Processes) -> Target:
    """Start the bare relay in front of the first engine."""
    address = f"{topology.network}.0.2:{RELAY_PORT}"
    upstream = topology.upstream_url("engine-1")
    url = f"http://{address}"
    command = Command(
        name="relay",
        binary=("python", "-m", "benchmarks.bare_relay"),
        settings=f'address = "{address}"\nupstream = "{upstream}"\n',
        ready_url=url + READY_PATH,
    )
    await processes.start_all([command])
    return Target(url, CREDENTIAL)


async def run(
    directory: pathlib.Path, rounds: int, callers: int, duration_s: float
) -> dict[str, Any]:
    """Start one entry and measure it."""
    topology = Topology(
        entry_count=1,
        engine_slots=ENGINE_SLOTS,
        engine_tokens_per_s=ENGINE_TOKENS_PER_S,
    )
    processes = Processes(directory)
    try:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            fleet = Fleet(topology, processes, session, with_controllers=False)
            await fleet.start(combined_upstreams=True)
            key = topology.keys_by_workspace["agency"].secret
            entry = Target(topology.entry_url(ENTRY), key)
            direct = Target(topology.upstream_url("engine-1"), CREDENTIAL)
            relay = await start_relay(topology, processes)
            targets_by_name = {
                "direct": direct,
                "relay": relay,
                "entry": entry,
            }
            latency = await measure_latency(session, targets_by_name, rounds)
            pid = processes.running_by_name[ENTRY].pid
            throughput = {
                name: await measure_throughput(
                    session,
                    entry,
                    pid,
                    callers=callers,
                    duration_s=duration_s,
                    plain=name == "plain",
                )
                for name in ("plain", "model")
            }
    finally:
        processes.stop_all()
    return {"rounds": rounds, **latency, "throughput": throughput}


def _median_ms(values: Sequence[float]) -> float:
    return round(1000 * statistics.median(values), 3) if values else 0.0


def main() -> int:
    """Read the command line, measure, and return the exit code."""
    parser = argparse.ArgumentParser(
        prog="benchmarks.entry_latency",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--rounds", type=int, default=100)
    parser.add_argument("--callers", type=int, default=32)
    parser.add_argument("--seconds", type=float, default=4.0)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        result = asyncio.run(
            run(
                pathlib.Path(directory),
                options.rounds,
                options.callers,
                options.seconds,
            )
        )
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
