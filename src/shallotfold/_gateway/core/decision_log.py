"""Write JSON lines to standard output, rate-limited and without blocking."""

import collections
import json
import os
import sys
import time
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger

from shallotfold._gateway.core.clocks import boot_s

if TYPE_CHECKING:
    from loguru import Message

# Rate limit of a process; further lines are dropped and counted.
MAX_LINES_PER_S = 400
# Bytes buffered for a slow reader; further lines are dropped and counted.
MAX_BUFFERED_BYTES = 262_144


class LineWriter:
    """Buffers lines and writes them as far as the descriptor accepts them."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._identity: dict[str, str] = {}
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._second = 0
        self._lines_this_second = 0
        self._dropped = 0

    def bind(self, **identity: str) -> None:
        """Set fields that every line of this process carries."""
        self._identity.update(identity)

    def add(self, fields: dict[str, Any]) -> None:
        """Buffer a line unless the rate or the buffer limit is reached."""
        if not self._admit_line():
            self._dropped += 1
            return
        line: dict[str, Any] = {
            "time": round(time.time(), 3),
            "up": round(boot_s(), 3),
        }
        line |= self._identity
        line |= fields
        if self._dropped:
            line["lines_dropped_before"] = self._dropped
            self._dropped = 0
        data = json.dumps(line, default=str).encode() + b"\n"
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def flush(self) -> None:
        """Write as much as the descriptor accepts now."""
        if not self._buffer:
            return
        data = b"".join(self._buffer)
        self._buffer.clear()
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # Can't be reported: the log itself can't be written.
            written = 0
        if written < len(data):
            self._buffer.append(data[written:])
        self._buffered_bytes = len(data) - written

    def _admit_line(self) -> bool:
        second = int(boot_s())
        if second != self._second:
            self._second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        return (
            self._lines_this_second <= MAX_LINES_PER_S
            and self._buffered_bytes < MAX_BUFFERED_BYTES
        )


_writer = LineWriter(1)


def configure(*, host: str, data_centre: str, incarnation: str) -> None:
    """Log everything of this process to standard output from now on."""
    os.set_blocking(sys.stdout.fileno(), False)
    _writer.bind(host=host, data_centre=data_centre, incarnation=incarnation)
    logger.remove()
    logger.add(_write_message, level="INFO", format="{message}", catch=True)


def record(decision: str, **inputs: Any) -> None:
    """Log a decision with its inputs; unknown ones are `None` and omitted."""
    fields = {k: v for k, v in inputs.items() if v is not None}
    _writer.add({"decision": decision, **fields})


def flush() -> None:
    """Write the buffered lines; called periodically and before an exit."""
    _writer.flush()


def _write_message(message: "Message") -> None:
    loguru_record = message.record
    fields = {
        "level": loguru_record["level"].name,
        "message": loguru_record["message"],
    }
    if loguru_record["exception"] is not None:
        fields["exception"] = repr(loguru_record["exception"].value)
    _writer.add(fields)
