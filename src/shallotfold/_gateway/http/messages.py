"""Represent and encode HTTP/1.1 messages."""

from collections.abc import Iterable
import enum
from http import HTTPStatus

import attrs

from shallotfold._gateway.http.compact_head import CompactHead

Headers = list[tuple[bytes, bytes]]

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
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
# Headers about the content, the resource or the sender (RFC 9110 and 9111), all
# of them together with the prefix of those about the content. Without them, a
# message has another meaning, so that a Connection header can't remove them.
END_TO_END_HEADERS = frozenset(
    {
        b"accept",
        b"accept-charset",
        b"accept-encoding",
        b"accept-language",
        b"accept-ranges",
        b"age",
        b"allow",
        b"authorization",
        b"cache-control",
        b"cookie",
        b"date",
        b"etag",
        b"expires",
        b"forwarded",
        b"from",
        b"host",
        b"if-match",
        b"if-modified-since",
        b"if-none-match",
        b"if-range",
        b"if-unmodified-since",
        b"last-modified",
        b"location",
        b"origin",
        b"pragma",
        b"range",
        b"referer",
        b"retry-after",
        b"server",
        b"set-cookie",
        b"user-agent",
        b"vary",
        b"via",
        b"www-authenticate",
    }
)
CONTENT_HEADER_PREFIX = b"content-"
# Around the value of a header it isn't a part of the value (RFC 9110, section
# 5.5). The parser removes it before the value only.
OPTIONAL_WHITESPACE = b" \t"
LAST_CHUNK = b"0\r\n\r\n"
# A response to this method ends with its head, whatever length it announces
# (RFC 9110, section 9.3.2).
HEAD_METHOD = b"HEAD"
# Other statuses are no responses (RFC 9110, section 15).
INTERIM_STATUSES = range(100, 200)
FINAL_STATUSES = range(200, 600)


class BodyFraming(enum.Enum):
    """What marks the end of a response's body (RFC 9112, section 6.3)."""

    NO_BODY = "no_body"
    """The status, or the method of the request, has no body."""
    LENGTH = "length"
    """Content-Length."""
    CHUNKED = "chunked"
    """The last chunk."""
    CONNECTION_CLOSE = "connection_close"
    """The end of the connection."""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; `name` is in lower case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def hop_by_hop_headers(
    headers: Headers, end_to_end: frozenset[bytes]
) -> frozenset[bytes]:
    """Return the headers of a message that apply to its connection only.

    Args:
        headers: Headers of the message, in lower case.
        end_to_end: Headers that stay, beside those of HTTP, although the
            message's Connection headers name them.
    """
    options = {
        option.strip().lower()
        for name, value in headers
        if name == b"connection"
        for option in value.split(b",")
    }
    return HOP_BY_HOP_HEADERS.union(
        option
        for option in options
        if option not in END_TO_END_HEADERS
        and option not in end_to_end
        and not option.startswith(CONTENT_HEADER_PREFIX)
    )


def response_framing(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    *,
    head_only: bool = False,
) -> BodyFraming:
    """Return how a response's body is framed.

    Args:
        status: Status of the response.
        headers: Its headers; names may have any case.
        head_only: Whether it is the response to a HEAD request.
    """
    if head_only or status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
        return BodyFraming.NO_BODY
    has_length = False
    for name, value in headers:
        lowercase_name = name.lower()
        if lowercase_name == b"transfer-encoding":
            if b"chunked" in value.lower():
                return BodyFraming.CHUNKED
        elif lowercase_name == b"content-length":
            has_length = True
    return BodyFraming.LENGTH if has_length else BodyFraming.CONNECTION_CLOSE


@attrs.define(kw_only=True)
class IncomingRequest:
    """A complete request as a caller sent it.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Header names in lower case with their values, in order.
        original_names: Header names as sent, in the order of `headers`.
        body: Complete body, without chunk framing; empty if it was refused.
        body_refused: Whether the host had no room for the body.
        has_body: Whether Content-Length or Transfer-Encoding was sent.
        keep_alive: Whether the caller wants to reuse the connection.
        accepts_chunks: Whether the response may be chunked.
        started_s: Arrival of the first byte, in event loop time.
        head_refused: Whether the host had no room for the head.
        compact_head: Header lines as bytes, from which `restore_headers` makes
            `headers` and `original_names`; `None`: they are always kept.
    """

    method: bytes
    target: bytes
    headers: Headers
    original_names: list[bytes]
    body: bytes
    has_body: bool
    keep_alive: bool
    accepts_chunks: bool
    started_s: float
    body_refused: bool = False
    head_refused: bool = False
    compact_head: "CompactHead | None" = None

    def release_headers(self) -> None:
        """Drop the header objects until they are needed again."""
        if self.compact_head is not None:
            self.headers, self.original_names = [], []

    def restore_headers(self) -> None:
        """Make the header objects unless they are there."""
        if self.compact_head is not None and not self.headers:
            self.headers, self.original_names = self.compact_head.expand()

    @property
    def head_only(self) -> bool:
        """Whether the response consists of its head."""
        return self.method == HEAD_METHOD

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")


def encode_request(
    method: bytes,
    target: bytes,
    headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Encode a request; the headers must frame the body."""
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_response_head(
    status: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Encode the status line and the headers of a response."""
    lines = [b"HTTP/1.1 %d %b" % (status, reason)]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_local_response(
    status: int,
    *,
    body: bytes = b"",
    content_type: bytes = b"text/plain; charset=utf-8",
    retry_after_s: float | None = None,
    close: bool = False,
    head_only: bool = False,
) -> bytes:
    """Encode a response that the gateway itself generates.

    Args:
        status: HTTP status.
        body: Body of the response.
        content_type: Media type of the body.
        retry_after_s: When the caller may repeat the request; `None`: not said.
        close: Whether the connection is closed after the response.
        head_only: Whether the request was HEAD, so that the body isn't sent.
    """
    headers = [(b"Content-Length", b"%d" % len(body))]
    if body:
        headers.append((b"Content-Type", content_type))
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    if close:
        headers.append((b"Connection", b"close"))
    reason = HTTPStatus(status).phrase.encode()
    head = encode_response_head(status, reason, headers)
    return head if head_only else head + body


def encode_chunk(data: bytes) -> bytes:
    """Encode data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
