"""Send counters and timings to statsd over UDP without blocking."""

import asyncio
from typing import Any

import statsd

from shallotfold._settings.common import StatsdSettings

SEND_INTERVAL_S = 0.25
_MS_PER_S = 1000.0


class Metrics:
    """A statsd client; lost datagrams are not resent.

    Lines are batched into few datagrams and sent every `SEND_INTERVAL_S`.
    """

    def __init__(self, settings: StatsdSettings) -> None:
        self._settings = settings
        self._client: statsd.StatsClient | None = None
        self._pipeline: Any = None
        self._send_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the socket; metrics recorded before are dropped."""
        address = self._settings.address
        self._client = statsd.StatsClient(
            address.ip, address.port, prefix=self._settings.prefix
        )
        self._pipeline = self._client.pipeline()
        self._send_task = asyncio.create_task(self._send_periodically())

    async def close(self) -> None:
        """Send the remaining lines and close the socket."""
        if self._client is None or self._send_task is None:
            return
        self._send_task.cancel()
        await asyncio.gather(self._send_task, return_exceptions=True)
        self._pipeline.send()
        self._client.close()
        self._client = None

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._pipeline.incr(name, value)

    def time(self, name: str, value_s: float) -> None:
        """Record a timing; `value_s` is in seconds and is sent in ms."""
        if self._client is not None:
            self._pipeline.timing(name, value_s * _MS_PER_S)

    async def _send_periodically(self) -> None:
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            self._pipeline.send()
