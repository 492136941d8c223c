"""A damaged sample of a peer made an upstream look slow, or ended the host."""

import math

import pytest

from shallotfold._gateway.deciding.upstream_speeds import MAX_ANNOUNCED_SAMPLES
from shallotfold._gateway.deciding.upstream_speeds import SpeedSample
from shallotfold._gateway.peers.peers import LocalState
from shallotfold._gateway.peers.speed_messages import read_samples
from tests.gateway.peers.test_peers import make_peers
from tests.gateway.peers.test_peers import send_heartbeat

SAMPLE = SpeedSample("u0", 7, 0.25, 3)


def test_heartbeat_carries_samples() -> None:
    local = LocalState(speed_samples=[SAMPLE] * 40)
    received = send_heartbeat(make_peers(1), make_peers(2), local)
    assert received.speed_samples == [SAMPLE] * MAX_ANNOUNCED_SAMPLES


@pytest.mark.parametrize(
    "fields",
    [
        ["u0", 7, math.nan, 3],
        ["u0", 7, math.inf, 3],
        ["u0", 7, "1", 3],
        ["u0", 7, True, 3],
        ["u0", 7.0, 0.1, 3],
        [7, 7, 0.1, 3],
        ["u0", 7, 0.1, -1],
        ["u0", 7, 0.1, 10**9],
        ["u0", 7, 0.1],
        7,
        None,
    ],
)
def test_damaged_samples_are_dropped(fields: object) -> None:
    assert read_samples([fields, ["u0", 7, 0.25, 3]]) == [SAMPLE]


@pytest.mark.parametrize("fields", [7, None, "abcd", {"u0": 1}])
def test_other_values_are_refused(fields: object) -> None:
    with pytest.raises(ValueError, match="aren't a list"):
        read_samples(fields)
