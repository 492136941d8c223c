"""Write structured lines to standard output, bounded and without waiting."""

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

# Lines that a process writes in a second at most; further ones are counted.
LINES_PER_S = 400
# Bytes kept for a reader that is slow; further lines are counted, not kept.
MAX_WAITING_BYTES = 262_144


class LineWriter:
    """Gathers lines and writes them when the descriptor takes them."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._identity: dict[str, str] = {}
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._second = 0
        self._written = 0
        self._dropped = 0

    def bind(self, **identity: str) -> None:
        """Set what every line of this process carries."""
        self._identity.update(identity)

    def add(self, fields: dict[str, Any]) -> None:
        """Queue a line unless too many were queued in this second."""
        if not self._admits():
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
        self._waiting.append(data)
        self._waiting_bytes += len(data)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        if not self._waiting:
            return
        data = b"".join(self._waiting)
        self._waiting.clear()
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # Nobody to tell: the log itself is what can't be written.
            written = 0
        if written < len(data):
            self._waiting.append(data[written:])
        self._waiting_bytes = len(data) - written

    def _admits(self) -> bool:
        second = int(boot_s())
        if second != self._second:
            self._second, self._written = second, 0
        self._written += 1
        return (
            self._written <= LINES_PER_S
            and self._waiting_bytes < MAX_WAITING_BYTES
        )


_writer = LineWriter(1)


def configure(*, host: str, data_centre: str, incarnation: str) -> None:
    """Log everything of this process to standard output from now on."""
    os.set_blocking(sys.stdout.fileno(), False)
    _writer.bind(host=host, data_centre=data_centre, incarnation=incarnation)
    logger.remove()
    logger.add(_write_message, level="INFO", format="{message}", catch=True)


def record(decision: str, **inputs: Any) -> None:
    """Log a decision with its inputs; `None` means that one is unknown."""
    fields = {k: v for k, v in inputs.items() if v is not None}
    _writer.add({"decision": decision, **fields})


def flush() -> None:
    """Write what is waiting; called from the loop, also before an exit."""
    _writer.flush()


def _write_message(message: "Message") -> None:
    entry = message.record
    fields = {"level": entry["level"].name, "message": entry["message"]}
    if entry["exception"] is not None:
        fields["exception"] = repr(entry["exception"].value)
    _writer.add(fields)
