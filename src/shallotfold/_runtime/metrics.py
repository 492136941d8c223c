"""Send counters and timings to statsd over UDP without waiting."""

import statsd

from shallotfold._settings.common import StatsdSettings

_MS_PER_S = 1000.0


class Metrics:
    """A statsd client; lost datagrams are not repeated."""

    def __init__(self, settings: StatsdSettings) -> None:
        self._client = statsd.StatsClient(
            settings.address.ip, settings.address.port, prefix=settings.prefix
        )

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, value)

    def time(self, name: str, value_s: float) -> None:
        """Record a timing; `value_s` is in seconds, statsd gets ms."""
        self._client.timing(name, value_s * _MS_PER_S)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def close(self) -> None:
        """Close the socket."""
        self._client.close()
