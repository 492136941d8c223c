"""Test parsing what upstreams say about themselves."""

import pytest

from shallotfold._gateway.serving.response_parsing import MAX_PAUSE_S
from shallotfold._gateway.serving.response_parsing import parse_retry_after_s


@pytest.mark.parametrize(
    ("value", "pause_s"),
    [
        (b"2", 2.0),
        (b" 0.25 ", 0.25),
        (b"0", 0.0),
        (b"1e9", MAX_PAUSE_S),
    ],
)
def test_retry_after_is_a_bounded_number_of_seconds(
    value: bytes, pause_s: float
) -> None:
    assert parse_retry_after_s(value) == pause_s


@pytest.mark.parametrize(
    "value",
    [b"", b"-1", b"nan", b"inf", b"soon", b"Fri, 04 Dec 2026 08:00:00 GMT"],
)
def test_other_values_are_rejected(value: bytes) -> None:
    with pytest.raises(ValueError, match="isn't a number of seconds"):
        parse_retry_after_s(value)
