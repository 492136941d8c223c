"""Collect the Prometheus metrics of a host."""

from collections.abc import Mapping

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

# Upper bounds of the latency histograms, in seconds.
LATENCY_BOUNDS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0)
LOOP_DELAY_BOUNDS_S = (0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
PREFIX = "shallotfold"


class Metrics:
    """Counters, histograms and gauges of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._responses = Counter(
            f"{PREFIX}_answers",
            "Answers to callers by status, those of upstreams included.",
            ["status"],
            registry=self._registry,
        )
        self._attempts = Counter(
            f"{PREFIX}_attempts",
            "Attempts by how they ended.",
            ["ending"],
            registry=self._registry,
        )
        self._upstream_signals = Counter(
            f"{PREFIX}_upstream_signals",
            "Wishes of upstreams in their responses.",
            ["signal"],
            registry=self._registry,
        )
        self._invalid_documents = Counter(
            f"{PREFIX}_invalid_documents",
            "Documents in the store, or from peers, that were ignored.",
            ["kind"],
            registry=self._registry,
        )
        self._peer_datagrams = Counter(
            f"{PREFIX}_peer_datagrams",
            "Datagrams between hosts by what they carry.",
            ["direction", "type"],
            registry=self._registry,
        )
        self._peer_bytes = Counter(
            f"{PREFIX}_peer_bytes",
            "Bytes of datagrams between hosts by what they carry.",
            ["direction", "type"],
            registry=self._registry,
        )
        self._ended_connections = Counter(
            f"{PREFIX}_ended_connections",
            "Connections of callers that were ended to free resources.",
            ["reason"],
            registry=self._registry,
        )
        self._loop_delay = Histogram(
            f"{PREFIX}_loop_delay_seconds",
            "How late the event loop runs a periodic call.",
            buckets=LOOP_DELAY_BOUNDS_S,
            registry=self._registry,
        )
        self._first_part_latency = Histogram(
            f"{PREFIX}_first_part_seconds",
            "Time from a request to the first part of its answer.",
            ["route"],
            buckets=LATENCY_BOUNDS_S,
            registry=self._registry,
        )
        self._gauge_by_name: dict[str, Gauge] = {}

    def count_response(self, status: int) -> None:
        """Count a response to a caller."""
        self._responses.labels(str(status)).inc()

    def count_attempt(self, ending: str) -> None:
        """Count how an attempt ended."""
        self._attempts.labels(ending).inc()

    def count_upstream_signal(self, signal: str) -> None:
        """Count a wish that an upstream stated in a response."""
        self._upstream_signals.labels(signal).inc()

    def count_invalid_document(self, kind: str) -> None:
        """Count a document that was ignored because it is invalid."""
        self._invalid_documents.labels(kind).inc()

    def count_peer_datagrams(
        self, direction: str, message_type: str, count: int, size: int
    ) -> None:
        """Count datagrams of one type and their bytes."""
        self._peer_datagrams.labels(direction, message_type).inc(count)
        self._peer_bytes.labels(direction, message_type).inc(size)

    def count_ended_connection(self, reason: str) -> None:
        """Count a caller's connection that was ended to free resources."""
        self._ended_connections.labels(reason).inc()

    def observe_loop_delay(self, delay_s: float) -> None:
        """Record how late a periodic call of the event loop came."""
        self._loop_delay.observe(delay_s)

    def observe_first_part(self, route: str, latency_s: float) -> None:
        """Record the time to the first part of a response."""
        self._first_part_latency.labels(route).observe(latency_s)

    def render(self, gauges: Mapping[str, float]) -> bytes:
        """Return the metrics page with the current values of the gauges."""
        for name, value in gauges.items():
            gauge = self._gauge_by_name.get(name)
            if gauge is None:
                gauge = Gauge(
                    f"{PREFIX}_{name}",
                    f"Present value of {name}.",
                    registry=self._registry,
                )
                self._gauge_by_name[name] = gauge
            gauge.set(value)
        return generate_latest(self._registry)
