"""Send counters and timings to statsd over UDP without waiting."""

import statsd

from shallotfold._settings.common import StatsdSettings

_MS_PER_S = 1000.0


class Metrics:
    """A statsd client; lost datagrams are not repeated."""

    def __init__(self, settings: StatsdSettings) -> None:
        self._settings = settings
        self._client: statsd.StatsClient | None = None

    async def start(self) -> None:
        """Open the socket; what is recorded before is dropped."""
        address = self._settings.address
        self._client = statsd.StatsClient(
            address.ip, address.port, prefix=self._settings.prefix
        )

    async def close(self) -> None:
        """Close the socket."""
        if self._client is not None:
            self._client.close()
            self._client = None

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, value)

    def time(self, name: str, value_s: float) -> None:
        """Record a timing; `value_s` is in seconds, statsd gets ms."""
        if self._client is not None:
            self._client.timing(name, value_s * _MS_PER_S)
