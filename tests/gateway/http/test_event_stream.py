"""Test splitting a server-sent event stream into events."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from shallotfold._gateway.http.event_stream import EventSplitter

LINE_ENDS = (b"\n", b"\r\n", b"\r")


@pytest.mark.parametrize(
    ("line_end", "blank_line"),
    [
        (line_end, blank_line)
        for line_end in LINE_ENDS
        for blank_line in LINE_ENDS
        # CR LF is one line end.
        if line_end + blank_line != b"\r\n"
    ],
)
def test_event_ends_at_a_blank_line_with_any_line_ends(
    line_end: bytes, blank_line: bytes
) -> None:
    """With CR alone, all events were held until the stream had ended."""
    splitter = EventSplitter()
    first = b"id: 1" + line_end + b"data: a" + line_end + blank_line
    second = b"id: 2" + line_end + b"data: b" + line_end + blank_line
    events = splitter.feed(first + second)
    assert [(e.data, e.event_id) for e in events] == [(first, 1), (second, 2)]
    assert splitter.incomplete_event == b""


@given(
    st.lists(st.sampled_from([b"data: a", b"id: 7", b"\n", b"\r\n", b"\r"])),
    st.lists(st.integers(0, 60)),
)
def test_split_events_are_the_bytes_of_the_stream(
    parts: list[bytes], cuts: list[int]
) -> None:
    data = b"".join(parts)
    splitter = EventSplitter()
    received = b""
    positions = [0, *sorted(min(c, len(data)) for c in cuts), len(data)]
    for start, end in itertools.pairwise(positions):
        for event in splitter.feed(data[start:end]):
            received += event.data
    assert received + splitter.incomplete_event == data


@pytest.mark.parametrize(
    ("event", "has_data"),
    [
        (b": ping\n\n", False),
        (b":\r\n: a\r\n\r\n", False),
        (b"data: a\n\n", True),
        (b": ping\nid: 3\n\n", True),
    ],
)
def test_comments_are_told_apart_from_data(
    event: bytes, has_data: bool
) -> None:
    """A stalled stream that only kept its connection alive never moved on."""
    (parsed,) = EventSplitter().feed(event)
    assert parsed.has_data is has_data
