"""Count the datagrams between hosts, by what they carry."""

import collections

import attrs

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.metrics import Metrics

REPORT_INTERVAL_S = 5.0
HEARTBEAT = "heartbeat"


@attrs.define
class PeerTraffic:
    """Datagrams of this host since the last report.

    Attributes:
        metrics: Gets the counts of each report.
    """

    metrics: Metrics
    _sent: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _sent_bytes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _received: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _received_bytes: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _reported_s: float = 0.0

    def count_sent(self, message_type: str, size: int) -> None:
        """Count a datagram of `size` bytes that was sent."""
        self._sent[message_type] += 1
        self._sent_bytes[message_type] += size

    def count_received(self, message_type: str, size: int) -> None:
        """Count a datagram of `size` bytes that arrived."""
        self._received[message_type] += 1
        self._received_bytes[message_type] += size

    def report_if_due(self, now_s: float) -> None:
        """Log the counts and add them to the metrics, once in an interval.

        Args:
            now_s: Time on the boot clock.
        """
        if now_s < self._reported_s + REPORT_INTERVAL_S:
            return
        self._reported_s = now_s
        decision_log.record(
            "peer_traffic",
            sent=dict(self._sent),
            sent_bytes=dict(self._sent_bytes),
            received=dict(self._received),
            received_bytes=dict(self._received_bytes),
        )
        for direction, counts, sizes in (
            ("sent", self._sent, self._sent_bytes),
            ("received", self._received, self._received_bytes),
        ):
            for message_type, count in counts.items():
                self.metrics.count_peer_datagrams(
                    direction, message_type, count, sizes[message_type]
                )
            counts.clear()
            sizes.clear()
