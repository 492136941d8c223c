"""Write a response whose length isn't known in advance."""

from shallotfold._gateway.http.messages import LAST_CHUNK
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import encode_chunk
from shallotfold._gateway.http.messages import encode_response_head
from shallotfold._gateway.serving.caller_connection import CallerConnection


class StreamResponse:
    """A response in chunks, or until the connection ends.

    Callers of HTTP/1.0 don't know chunks. For them, the end of the connection
    ends the body, and a reset shows that it isn't complete.
    """

    def __init__(self, connection: CallerConnection, *, chunked: bool) -> None:
        """Create a response that hasn't started.

        Args:
            connection: Connection of the caller.
            chunked: Whether the caller knows chunks.
        """
        self._connection = connection
        self._chunked = chunked

    def start(self, status: int, reason: bytes, headers: Headers) -> None:
        """Write the head; `headers` must not frame the body."""
        framing_headers = []
        if self._chunked:
            framing_headers.append((b"Transfer-Encoding", b"chunked"))
        else:
            self._connection.ends_response = True
        if not self._chunked or self._connection.must_close:
            framing_headers.append((b"Connection", b"close"))
        self._connection.write(
            encode_response_head(status, reason, headers + framing_headers)
        )

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        self._connection.write(encode_chunk(data) if self._chunked else data)

    def finish(self) -> None:
        """End the response, which is complete."""
        if self._chunked:
            self._connection.write(LAST_CHUNK)
        self._connection.finish(
            close=not self._chunked or self._connection.must_close
        )
