"""Test the encoding of limits and demand."""

import math

import msgpack
import pytest

from shallotfold._gateway.deciding.named_limits import LimitStatement
from shallotfold._gateway.peers.limit_messages import decode_statements
from shallotfold._gateway.peers.limit_messages import encode_statements
from shallotfold._gateway.peers.limit_messages import read_demand
from shallotfold._gateway.peers.limit_messages import statement_fields

STATEMENT = LimitStatement(
    upstream="u0", started_ms=7, rate=1.5, sent_s=9.0, received_s=9.5
)
ENDED = LimitStatement(
    upstream="u1", started_ms=0, rate=math.inf, sent_s=8.0, received_s=8.5
)


def test_statements_arrive_with_their_ages() -> None:
    data = encode_statements("host1", [STATEMENT, ENDED], 10.0)
    decoded = decode_statements(data, 110.0)
    assert decoded is not None
    sender, statements = decoded
    assert sender == "host1"
    assert statements[0] == LimitStatement(
        upstream="u0", started_ms=7, rate=1.5, sent_s=109.0, received_s=109.5
    )
    assert statements[1].rate == math.inf


def test_other_datagrams_are_left_to_others() -> None:
    assert decode_statements(msgpack.packb([5, "host1"]), 0.0) is None


@pytest.mark.parametrize(
    "fields",
    [
        [["u0", 7, -1.0, 1.0, 0.5]],
        [["u0", 7, math.nan, 1.0, 0.5]],
        [["u0", 7, 1e300, 1.0, 0.5]],
        [["u0", 7, 1.0, math.inf, 0.5]],
        [["u0", "x", 1.0, 1.0, 0.5]],
        [["u0"]],
        [7],
        7,
    ],
)
def test_damaged_statements_are_refused(fields: object) -> None:
    data = msgpack.packb(["upstream_limits", "host1", fields])
    with pytest.raises(ValueError, match="not a message of limits"):
        decode_statements(data, 0.0)


def test_age_in_the_future_counts_as_now() -> None:
    fields = statement_fields([STATEMENT], 9.2)
    data = msgpack.packb(["upstream_limits", "host1", fields])
    decoded = decode_statements(data, 50.0)
    assert decoded is not None
    assert decoded[1][0].received_s == 50.0


@pytest.mark.parametrize(
    "fields", [[1], {"writers": "many"}, {"writers": -1.0}, {"a": math.nan}]
)
def test_damaged_demand_is_refused(fields: object) -> None:
    with pytest.raises(ValueError, match="not a demand"):
        read_demand(fields)


@pytest.mark.parametrize("rate", [10**400, float("nan"), -1, "x", None])
def test_demand_that_is_no_rate_is_refused(rate: object) -> None:
    with pytest.raises(ValueError, match="not a demand"):
        read_demand({"writers": rate})
