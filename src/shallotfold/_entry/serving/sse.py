"""Split a server-sent event stream into events and parse model chunks."""

from collections.abc import Iterator
import json
from typing import Any

import attrs

from shallotfold._errors import ShallotfoldError

END_DATA = b"[DONE]"
END_EVENT = b"data: [DONE]\n\n"
_EVENT_END = b"\n\n"
# `json.loads` would detect the encoding again for each token.
_decode = json.JSONDecoder().decode
_PLAIN_DELTA_KEYS = frozenset({"role", "content", "refusal"})


class StreamError(ShallotfoldError):
    """An upstream's stream violates the protocol; correct the upstream."""


class EventSplitter:
    """Split bytes into events; a partial event is buffered."""

    def __init__(self, max_event_bytes: int) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = bytearray()
        # The first half of a line end that may be CR LF.
        self._carriage_return = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether a partial event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data of all events that `data` completes.

        Raises:
            StreamError: An incomplete event is larger than the limit.
        """
        if self._carriage_return or b"\r" in data:
            data = self._normalize_line_ends(data)
        buffer = self._buffer
        # What is buffered has no end of an event, except its first half.
        search_start = len(buffer) - 1 if buffer else 0
        buffer += data
        end = buffer.rfind(_EVENT_END, search_start)
        if end < 0:
            self._check_size()
            return []
        blocks = bytes(buffer[:end]).split(_EVENT_END)
        del buffer[: end + len(_EVENT_END)]
        self._check_size()
        return [d for block in blocks for d in _read_event_data(block)]

    def _normalize_line_ends(self, data: bytes) -> bytes:
        data = self._carriage_return + data
        self._carriage_return = b"\r" if data.endswith(b"\r") else b""
        if self._carriage_return:
            data = data[:-1]
        return data.replace(b"\r\n", b"\n")

    def _check_size(self) -> None:
        if len(self._buffer) > self._max_event_bytes:
            raise StreamError("an event of the stream is too large")


def _read_event_data(block: bytes) -> Iterator[bytes]:
    if block.startswith(b"data: ") and b"\n" not in block:
        yield block[6:]
        return
    lines = [
        line[5:].removeprefix(b" ")
        for line in block.split(b"\n")
        if line.startswith(b"data:")
    ]
    if lines:
        yield b"\n".join(lines)


@attrs.frozen
class Chunk:
    """One parsed chunk of a model's stream.

    Attributes:
        text: Text that the chunk adds to the answer.
        has_token: Whether the chunk counts as a token: it adds text, or
            something that text can't resume, such as a tool call.
        finished: Whether the chunk has a `finish_reason`.
        resumable: Whether `text` is enough to resume after the chunk.
        prompt_tokens: Input tokens from `usage`; 0 when missing.
        completion_tokens: Output tokens from `usage`; -1 when missing.
        content: The parsed chunk.
    """

    text: str
    has_token: bool
    finished: bool
    resumable: bool
    prompt_tokens: int
    completion_tokens: int
    content: dict[str, Any]


def read_chunk(data: bytes) -> Chunk:
    """Parse one chunk.

    Raises:
        StreamError: The data is not a chunk, or is an error of the engine.
    """
    try:
        content = _decode(data.decode())
    except (ValueError, RecursionError) as error:
        raise StreamError("a chunk of the stream is not JSON") from error
    if not isinstance(content, dict) or "error" in content:
        raise StreamError("the engine sent an error in its stream")
    choices = content.get("choices") or []
    if not isinstance(choices, list):
        raise StreamError("a chunk has no list of choices")
    text = ""
    finished = False
    resumable = True
    for choice in choices:
        if not isinstance(choice, dict):
            raise StreamError("a choice is not an object")
        added_text, is_plain_text = _read_choice_text(choice)
        text += added_text
        resumable = resumable and is_plain_text and not choice.get("index")
        finished = finished or choice.get("finish_reason") is not None
    prompt_tokens, completion_tokens = read_usage(content)
    return Chunk(
        text=text,
        has_token=bool(text) or not resumable,
        finished=finished,
        resumable=resumable,
        prompt_tokens=prompt_tokens,
        completion_tokens=completion_tokens,
        content=content,
    )


def read_usage(content: dict[str, Any]) -> tuple[int, int]:
    """Return input tokens (0: missing) and output tokens (-1: missing)."""
    usage = content.get("usage")
    if not isinstance(usage, dict):
        return 0, -1
    prompt = usage.get("prompt_tokens")
    completion = usage.get("completion_tokens")
    return (
        prompt if type(prompt) is int and prompt >= 0 else 0,
        completion if type(completion) is int and completion >= 0 else -1,
    )


def _read_choice_text(choice: dict[str, Any]) -> tuple[str, bool]:
    delta = choice.get("delta")
    if not isinstance(delta, dict):
        text = choice.get("text")
        return (text, True) if isinstance(text, str) else ("", True)
    text = delta.get("content")
    is_plain_text = all(
        key in _PLAIN_DELTA_KEYS or not value for key, value in delta.items()
    )
    return (text if isinstance(text, str) else ""), is_plain_text
