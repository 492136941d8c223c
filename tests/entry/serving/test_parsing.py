import contextlib
import json
import time

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from shallotfold._entry.serving.parsing import RejectedRequestError
from shallotfold._entry.serving.parsing import parse_model_body
from shallotfold._entry.serving.sse import EventSplitter
from shallotfold._entry.serving.sse import StreamError
from shallotfold._entry.serving.sse import read_chunk

# The slowest links of a deployment have 5 Mbit/s.
MIN_BYTES_PER_S = 625_000
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=10,
)
FIELDS = (
    "model",
    "messages",
    "prompt",
    "stream",
    "max_tokens",
    "n",
    "choices",
    "delta",
    "usage",
    "finish_reason",
)
BODIES = st.dictionaries(st.sampled_from(FIELDS) | st.text(), JSON).map(
    lambda content: json.dumps(content).encode()
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(body=st.binary() | BODIES, chat=st.booleans())
def test_any_body_is_accepted_or_rejected(body: bytes, *, chat: bool) -> None:
    try:
        parsed = parse_model_body(body, chat=chat, key="k" * 20, max_nesting=64)
    except RejectedRequestError:
        return
    assert json.loads(parsed.normalized)["model"] == parsed.model


@settings(derandomize=True, max_examples=300, deadline=None)
@given(data=st.binary() | BODIES)
def test_any_chunk_is_read_or_rejected(data: bytes) -> None:
    with contextlib.suppress(StreamError):
        read_chunk(data)


def feed_in_parts(stream: bytes, cuts: list[int]) -> list[bytes]:
    splitter = EventSplitter(1000)
    received: list[bytes] = []
    start = 0
    for cut in [*sorted(cuts), len(stream)]:
        received.extend(splitter.feed(stream[start:cut]))
        start = max(start, cut)
    return received


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    events=st.lists(st.sampled_from([b"a", b"bc", b"[DONE]", b"{}"])),
    cuts=st.lists(st.integers(min_value=0, max_value=80)),
)
def test_events_are_the_same_however_bytes_are_cut(
    events: list[bytes], cuts: list[int]
) -> None:
    stream = b"".join(b"data: " + event + b"\r\n\r\n" for event in events)
    assert feed_in_parts(stream, cuts) == events


@pytest.mark.parametrize("part", [b"a" * 16, b"\r" * 16, b"a\r\n" * 5])
def test_time_for_an_incomplete_event_is_linear_in_its_bytes(
    part: bytes,
) -> None:
    """An engine's small parts held the entry's event loop for seconds.

    All of the incomplete event was copied and searched again for each part.
    """
    splitter = EventSplitter(1_000_000)
    total_bytes = 400_000
    started_s = time.process_time()
    for _ in range(total_bytes // len(part)):
        assert splitter.feed(part) == []
    assert time.process_time() - started_s < total_bytes / MIN_BYTES_PER_S


@given(
    parts=st.lists(
        st.sampled_from(
            [b"data: a", b"data:b", b": c", b"\n", b"\r\n", b"\r", b"id: 1"]
        )
    ),
    cuts=st.lists(st.integers(0, 80)),
)
def test_cuts_change_no_event_whatever_the_line_ends(
    parts: list[bytes], cuts: list[int]
) -> None:
    stream = b"".join(parts) + b"\n\n"
    assert feed_in_parts(stream, cuts) == EventSplitter(1000).feed(stream)


def test_normalized_body_has_each_name_once() -> None:
    body = b'{"model":"a","model":"b","prompt":"x"}'
    parsed = parse_model_body(body, chat=False, key="", max_nesting=64)
    assert parsed.normalized == b'{"model":"b","prompt":"x"}'
    assert parsed.model == "b"
