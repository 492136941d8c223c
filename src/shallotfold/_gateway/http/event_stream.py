"""Split a server-sent event stream into events, byte for byte."""

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
# An event may end in the next bytes if the last ones are a line end.
_MAX_LINE_END_BYTES = 2


@attrs.frozen
class StreamEvent:
    """One event, including the blank line that ends it.

    Attributes:
        data: Raw bytes.
        event_id: Numeric id; `None` without an id or if it isn't a number.
    """

    data: bytes
    event_id: int | None

    @property
    def has_data(self) -> bool:
        """Whether it has a field, and isn't a comment that keeps alive."""
        return any(
            line and not line.startswith(b":")
            for line in self.data.splitlines()
        )


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
    def inside_event(self) -> bool:
        """Whether a stream that ended here would lack a part of an event."""
        return bool(self._buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes.

        Raises:
            ValueError: An event is larger than `MAX_EVENT_BYTES`.
        """
        self._buffer += data
        events = []
        start = 0
        while True:
            event_end = _EVENT_END.search(self._buffer, self._searched_to)
            if event_end is None:
                break
            end = event_end.end()
            event = bytes(self._buffer[start:end])
            events.append(StreamEvent(event, _event_id(event)))
            start = self._searched_to = end
        del self._buffer[:start]
        self._searched_to = max(0, len(self._buffer) - _MAX_LINE_END_BYTES)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event of the stream is too large")
        return events


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
