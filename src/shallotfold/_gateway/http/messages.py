"""Hold HTTP/1.1 messages as they travel and write them as bytes."""

from collections.abc import Iterable
from http import HTTPStatus

import attrs

Headers = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1: these concern one connection only.
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
LAST_CHUNK = b"0\r\n\r\n"


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; `name` is in lower case."""
    for found, value in headers:
        if found == name:
            return value
    return None


def named_by_connection(headers: Headers) -> frozenset[bytes]:
    """Return headers that the Connection header declares as hop-by-hop."""
    value = find_header(headers, b"connection")
    if value is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(b","))


@attrs.define(kw_only=True)
class IncomingRequest:
    """A whole request as a caller sent it.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Names in lower case, in order.
        spelled_names: Names as sent, in the order of `headers`.
        body: Whole body, without any chunk framing.
        has_length: Whether the body was announced by length or chunks.
        keep_alive: Whether the caller keeps the connection.
        started_s: When the first byte arrived.
    """

    method: bytes
    target: bytes
    headers: Headers
    spelled_names: list[bytes]
    body: bytes
    has_length: bool
    keep_alive: bool
    started_s: float

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


def request_bytes(
    method: bytes,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Write a request; the headers must announce the body's length."""
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def head_bytes(
    status: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Write the head of an answer."""
    lines = [b"HTTP/1.1 %d %b" % (status, reason)]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def plain_answer(
    status: int,
    *,
    body: bytes = b"",
    content_type: bytes = b"text/plain; charset=utf-8",
    retry_after_s: float | None = None,
    close: bool = False,
) -> bytes:
    """Write a whole answer of the gateway itself."""
    headers = [(b"Content-Length", b"%d" % len(body))]
    if body:
        headers.append((b"Content-Type", content_type))
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    if close:
        headers.append((b"Connection", b"close"))
    reason = HTTPStatus(status).phrase.encode()
    return head_bytes(status, reason, headers) + body


def chunk(data: bytes) -> bytes:
    """Frame data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
