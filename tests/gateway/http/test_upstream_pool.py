"""Test the limit of idle connections per host."""

import pytest

from shallotfold._gateway.http.upstream_pool import MAX_IDLE_CONNECTIONS
from shallotfold._gateway.http.upstream_pool import idle_limit


@pytest.mark.parametrize(
    ("connection_limit", "host_count", "expected_limit"),
    [
        (0, 67, MAX_IDLE_CONNECTIONS),
        (100_000, 67, MAX_IDLE_CONNECTIONS),
        (530, 67, 3),
        (530, 9, MAX_IDLE_CONNECTIONS),
        (100, 300, 1),
    ],
)
def test_idle_connections_leave_room_for_requests(
    connection_limit: int, host_count: int, expected_limit: int
) -> None:
    assert idle_limit(connection_limit, host_count) == expected_limit
