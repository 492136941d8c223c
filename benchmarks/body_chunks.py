"""Measure how fast an upstream's body is read, by the size of its chunks."""

import argparse
import asyncio
from collections.abc import Sequence
import time

from shallotfold._gateway.http.event_stream import EventSplitter
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.upstream_connection import UpstreamConnection

CHUNK_SIZES = (1, 16, 256, 16_384)
READ_BYTES = 65_536
# The incomplete event of a stream stays below its limit.
MAX_BODY_BYTES = 900_000
MAX_SECONDS = 8.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class NullTransport(asyncio.Transport):
    """A transport without a peer."""

    def write(self, data: bytes) -> None:  # type: ignore[override]
        """Drop the data."""

    def is_closing(self) -> bool:
        """Return `False`."""
        return False

    def is_reading(self) -> bool:
        """Return `False`, so that reading is never paused."""
        return False


class BodyReader:
    """Reads a body as the gateway does.

    Attributes:
        body: Body so far, unless it is a stream.
    """

    def __init__(self, *, is_stream: bool) -> None:
        self.body = bytearray()
        self._splitter = EventSplitter() if is_stream else None

    def on_head_part(self, count: int) -> None:
        """Ignore parts of a head."""
        del count

    def on_head(self, status: int, reason: bytes, headers: Headers) -> bool:
        """Accept the response."""
        del status, reason, headers
        return True

    def on_data(self, data: bytes) -> None:
        """Split a stream or collect another body."""
        if self._splitter is None:
            self.body += data
        else:
            self._splitter.feed(data)

    def on_complete(self) -> None:
        """Nothing ends here."""

    def on_failure(self, reason: str) -> None:
        """Stop the measurement.

        Raises:
            RuntimeError: Always.
        """
        raise RuntimeError(reason)


def bytes_per_s(chunk_bytes: int, *, is_stream: bool) -> float:
    """Return how many bytes of the connection are read in a second."""
    connection = UpstreamConnection()
    connection.connection_made(NullTransport())
    connection.send(b"", BodyReader(is_stream=is_stream))
    connection.data_received(HEAD)
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"a" * chunk_bytes)
    chunks = max(1, READ_BYTES // len(chunk))
    read = chunk * chunks
    read_count = 0
    started_s = time.process_time()
    while (read_count + 1) * chunks * chunk_bytes < MAX_BODY_BYTES:
        connection.data_received(read)
        read_count += 1
        if time.process_time() - started_s > MAX_SECONDS:
            break
    return read_count * len(read) / (time.process_time() - started_s)


async def measure() -> None:
    """Print a table of all chunk sizes."""
    print("| bytes in a chunk | streams, MB/s | other bodies, MB/s |")
    print("| --- | --- | --- |")
    for chunk_bytes in CHUNK_SIZES:
        stream = bytes_per_s(chunk_bytes, is_stream=True) / 1e6
        other = bytes_per_s(chunk_bytes, is_stream=False) / 1e6
        print(f"| {chunk_bytes} | {stream:.2f} | {other:.2f} |")


def main(argv: Sequence[str] | None = None) -> None:
    """Run the benchmark."""
    argparse.ArgumentParser(description=__doc__).parse_args(argv)
    asyncio.run(measure())


if __name__ == "__main__":
    main()
