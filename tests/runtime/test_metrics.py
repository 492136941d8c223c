import asyncio
import socket

from shallotfold._runtime.metrics import Metrics
from shallotfold._settings.addresses import Address
from shallotfold._settings.common import StatsdSettings


def test_counters_and_timings_arrive_as_statsd_lines() -> None:
    async def record(metrics: Metrics) -> None:
        metrics.count("before.start")
        await metrics.start()
        metrics.count("a.b", 2)
        metrics.time("c", 0.25)
        await metrics.close()

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(10)
        address = Address("127.0.0.1", server.getsockname()[1])
        asyncio.run(
            record(Metrics(StatsdSettings(address=address, prefix="p")))
        )
        received = server.recv(1000).decode()
    assert received == "p.a.b:2|c\np.c:250.000000|ms"
