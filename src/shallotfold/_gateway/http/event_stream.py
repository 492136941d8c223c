"""Cut an event stream into whole events without changing a byte."""

import attrs

# An event larger than this is passed on as a broken stream.
MAX_EVENT_BYTES = 1_048_576


@attrs.frozen
class StreamEvent:
    """One event with its blank line.

    Attributes:
        data: Its bytes as sent.
        event_id: Its id; `None` when it has none that is a number.
    """

    data: bytes
    event_id: int | None


class EventCutter:
    """Collects bytes until events are whole."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def unfinished(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that `data` completes.

        Raises:
            ValueError: An event is larger than `MAX_EVENT_BYTES`.
        """
        data = self._rest + data
        found = []
        start = 0
        while True:
            end = _event_end(data, start)
            if end < 0:
                break
            found.append(
                StreamEvent(data[start:end], _event_id(data[start:end]))
            )
            start = end
        self._rest = data[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("an event of the stream is too large")
        return found


def _event_end(data: bytes, start: int) -> int:
    plain = data.find(b"\n\n", start)
    if b"\r" not in data:
        return plain + 2 if plain >= 0 else -1
    crossed = data.find(b"\r\n\r\n", start)
    ends = [plain + 2] if plain >= 0 else []
    if crossed >= 0:
        ends.append(crossed + 4)
    return min(ends, default=-1)


def _event_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
