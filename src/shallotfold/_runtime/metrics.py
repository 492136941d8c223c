"""Send counters and timings to statsd over UDP without waiting."""

import asyncio
from typing import Any

import statsd

from shallotfold._settings.common import StatsdSettings

SEND_INTERVAL_S = 0.25
_MS_PER_S = 1000.0


class Metrics:
    """A statsd client; lost datagrams are not repeated.

    Lines are gathered and sent as few datagrams every `SEND_INTERVAL_S`.
    """

    def __init__(self, settings: StatsdSettings) -> None:
        self._settings = settings
        self._client: statsd.StatsClient | None = None
        self._gathered: Any = None
        self._sender: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the socket; what is recorded before is dropped."""
        address = self._settings.address
        self._client = statsd.StatsClient(
            address.ip, address.port, prefix=self._settings.prefix
        )
        self._gathered = self._client.pipeline()
        self._sender = asyncio.create_task(self._send())

    async def close(self) -> None:
        """Send what is left and close the socket."""
        if self._client is None or self._sender is None:
            return
        self._sender.cancel()
        await asyncio.gather(self._sender, return_exceptions=True)
        self._gathered.send()
        self._client.close()
        self._client = None

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._gathered.incr(name, value)

    def time(self, name: str, value_s: float) -> None:
        """Record a timing; `value_s` is in seconds, statsd gets ms."""
        if self._client is not None:
            self._gathered.timing(name, value_s * _MS_PER_S)

    async def _send(self) -> None:
        while True:
            await asyncio.sleep(SEND_INTERVAL_S)
            self._gathered.send()
