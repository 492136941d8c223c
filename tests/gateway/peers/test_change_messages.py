"""Check the messages that pass changes of upstreams on to other hosts."""

import contextlib

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from shallotfold._gateway.peers.change_messages import UpstreamChanges
from shallotfold._gateway.peers.change_messages import decode_changes
from shallotfold._services.ports import StoredValue

CHANGES = UpstreamChanges(
    after_revision=3,
    revision=9,
    in_outage=True,
    values_by_id={"u1": StoredValue("u1", b"{}", 8)},
    deleted=["u2"],
)


def test_changes_are_decoded_as_they_were_encoded() -> None:
    assert decode_changes(CHANGES.encode()) == CHANGES


def test_datagrams_of_another_type_are_left_to_others() -> None:
    assert decode_changes(msgpack.packb([5, "h1"])) is None


@hypothesis.given(
    cut=strategies.integers(0, len(CHANGES.encode()) - 1),
    junk=strategies.binary(max_size=8),
)
def test_damaged_datagram_is_refused(cut: int, junk: bytes) -> None:
    """An exception of another type would end the receiver."""
    data = CHANGES.encode()[:cut] + junk
    with contextlib.suppress(ValueError):
        decode_changes(data)


@pytest.mark.parametrize(
    "fields",
    [
        ("upstream_changes",),
        ("upstream_changes", 1, 2, False, [], []),
        ("upstream_changes", 1, None, False, {}, []),
        ("upstream_changes", 1, float("inf"), False, {}, []),
        ("upstream_changes", 1, 2, False, {"u1": 5}, []),
        ("upstream_changes", 1, 2, False, {"u1": ("text", 5)}, []),
    ],
)
def test_fields_of_a_wrong_type_are_refused(fields: tuple[object, ...]) -> None:
    with pytest.raises(ValueError, match="not a message of changes"):
        decode_changes(msgpack.packb(fields))
