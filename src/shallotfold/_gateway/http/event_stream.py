"""Split a server-sent event stream into events, byte for byte."""

import itertools
import re

import attrs

# A stream with a larger event counts as broken.
MAX_EVENT_BYTES = 1_048_576
# A line ends with CRLF, LF or CR, and a blank line ends an event. CR LF is one
# line end, not two.
_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
# Further blank lines belong to the event before them, so that many of them
# aren't as many events.
_EVENT_END = re.compile(_LINE_END + _LINE_END + rb"+")
# Patterns instead of a list of lines: an event may have half a million.
_ID_LINE = re.compile(rb"id:(?:(?<=[\r\n]id:)|(?<=\Aid:))([^\r\n]*)")
_CONTENT = re.compile(rb"[^\r\n]")
_FIELD_LINE = re.compile(rb"(?:\A|[\r\n])[^:\r\n]")
# An event may end in the next bytes if the last ones are a line end.
_MAX_LINE_END_BYTES = 2


@attrs.frozen
class StreamEvent:
    """One event, or several in a row without ids.

    Each includes the blank line that ends it.

    Attributes:
        data: Raw bytes.
        event_id: Numeric id; `None` without an id or if it isn't a number.
    """

    data: bytes
    event_id: int | None

    @property
    def has_data(self) -> bool:
        """Whether it has a field, and isn't a comment that keeps alive."""
        return _FIELD_LINE.search(self.data) is not None


class EventSplitter:
    """Buffers stream data and returns the events that are complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        # No event ends before this position.
        self._searched_to = 0

    @property
    def incomplete_event(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def incomplete_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def inside_event(self) -> bool:
        """Whether a stream that ended here would lack a part of an event."""
        return _CONTENT.search(self._buffer) is not None

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes; see `StreamEvent`.

        Raises:
            ValueError: An event is larger than `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        event_end = _EVENT_END.search(self._buffer, self._searched_to)
        events = []
        if event_end is not None:
            events = self._remove_events(event_end.end())
        self._searched_to = max(0, len(self._buffer) - _MAX_LINE_END_BYTES)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event of the stream is too large")
        return events

    def _remove_events(self, first_end: int) -> list[StreamEvent]:
        """Remove the complete events; the first one ends at `first_end`."""
        if first_end == len(self._buffer):
            # Streams of tokens mostly come in this way.
            event = bytes(self._buffer)
            self._buffer.clear()
            return [StreamEvent(event, _event_id(event))]
        ends = [first_end]
        ends += [
            event_end.end()
            for event_end in _EVENT_END.finditer(self._buffer, first_end)
        ]
        data = bytes(self._buffer[: ends[-1]])
        del self._buffer[: ends[-1]]
        if _ID_LINE.search(data) is None:
            # Small events are made as fast as their bytes arrive.
            return [StreamEvent(data, None)]
        return [
            StreamEvent(data[start:end], _event_id(data[start:end]))
            for start, end in itertools.pairwise([0, *ends])
        ]


def _event_id(event: bytes) -> int | None:
    id_line = _ID_LINE.search(event)
    if id_line is None:
        return None
    value = id_line[1].strip()
    return int(value) if value.isdigit() else None
