"""Share the event loop between connections whose bytes take long to handle."""

# Bytes that are handled before the event loop goes on to other connections.
READ_BUFFER_BYTES = 16_384
# The reads of a connection whose bytes took longer than this in one window are
# paced. A sound stream needs less: some hundred events a second, 0.1 ms each.
MAX_UNPACED_WORK_S = 0.002
WINDOW_S = 0.1
# The process may have been stopped while it handled a read.
MAX_COUNTED_WORK_S = 0.02


class ReadPacer:
    """Lets connections that send much have half of the loop's time together.

    Attributes:
        buffer: Buffer that all connections read into. Its content is valid
            until the next read of any of them.
    """

    def __init__(self) -> None:
        self.buffer = bytearray(READ_BUFFER_BYTES)
        # When the reads so far have had their share of the time.
        self._next_read_s = 0.0

    def wait_s(self, work_s: float, now_s: float) -> float:
        """Return how long a connection waits until it may read again.

        Args:
            work_s: How long its last read took to handle.
            now_s: Time at the end of that read.
        """
        work_s = min(work_s, MAX_COUNTED_WORK_S)
        read_started_s = now_s - work_s
        self._next_read_s = (
            max(self._next_read_s, read_started_s) + 2.0 * work_s
        )
        return self._next_read_s - now_s


class ReadMeter:
    """Measures how much of the loop's time the reads of a connection take."""

    def __init__(self) -> None:
        self._window_ends_s = 0.0
        self._work_s = 0.0

    def is_heavy(self, work_s: float, now_s: float) -> bool:
        """Add a read; return whether the reads in this window took long."""
        if now_s > self._window_ends_s:
            self._window_ends_s = now_s + WINDOW_S
            self._work_s = 0.0
        self._work_s += work_s
        return self._work_s > MAX_UNPACED_WORK_S
