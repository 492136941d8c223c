"""What fills the links between hosts couldn't be told afterwards."""

from typing import Any

import pytest

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.metrics import Metrics
from shallotfold._gateway.peers.peer_traffic import PeerTraffic


def test_datagrams_are_counted_by_type(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(
        decision_log, "record", lambda decision, **fields: lines.append(fields)
    )
    metrics = Metrics()
    traffic = PeerTraffic(metrics)
    traffic.report_if_due(100.0)
    traffic.count_sent("heartbeat", 700)
    traffic.count_sent("crashes", 200)
    traffic.count_sent("crashes", 300)
    traffic.count_received("limits", 90)
    traffic.report_if_due(104.0)
    traffic.report_if_due(105.0)
    assert lines[1:] == [
        {
            "sent": {"heartbeat": 1, "crashes": 2},
            "sent_bytes": {"heartbeat": 700, "crashes": 500},
            "received": {"limits": 1},
            "received_bytes": {"limits": 90},
        }
    ]
    page = metrics.render({}).decode()
    assert 'peer_bytes_total{direction="sent",type="crashes"} 500.0' in page
