"""Parse requests, whichever protocol their senders offer to switch to."""

from typing import Protocol

import httptools

from shallotfold._gateway.http.messages import Headers

# They decide where a request ends and whether its connection stays open.
_FRAMING_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"proxy-connection",
        b"transfer-encoding",
    }
)


class RequestListener(Protocol):
    """Callbacks for the parts of requests, in the order of their bytes."""

    def on_message_begin(self) -> None:
        """Handle the first byte of a request."""
        ...

    def on_url(self, url: bytes) -> None:
        """Handle a part of the target."""
        ...

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header, or a trailer after the end of the head."""
        ...

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        ...

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body, without chunk framing."""
        ...

    def on_message_complete(self) -> None:
        """Handle the end of a request."""
        ...

    def current_headers(self) -> Headers:
        """Return the headers of the current request, in lower case."""
        ...


class RequestParser:
    """HTTP/1.1 parser that ignores offers of other protocols.

    A server may ignore an offer to switch to another protocol (RFC 9110,
    section 7.8); the request then has the body that its framing announces. The
    library's parser takes each offer for accepted, and each CONNECT request for
    a tunnel: it ends the request with its head and stops. What follows is given
    to a new parser, after a head with the same framing and without an offer.
    """

    def __init__(self, listener: RequestListener) -> None:
        """Make a parser for one connection.

        Args:
            listener: Gets the parts of the requests.
        """
        self._listener: RequestListener | None = listener
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._method = b""
        self._stops_after_head = False
        self._replays_head = False

    def close(self) -> None:
        """Drop the parser and the listener, which refer to each other."""
        self._listener = None
        self._parser = None

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises:
            httptools.HttpParserError: The bytes are no request.
        """
        while self._parser is not None:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as stop:
                data = data[stop.args[0] :]
                self._continue_after_head()
            else:
                return

    @property
    def method(self) -> bytes:
        """Method of the current request."""
        return self._method

    @property
    def http_version(self) -> str:
        """Protocol version of the current request, such as "1.1"."""
        return "" if self._parser is None else self._parser.get_http_version()

    @property
    def should_keep_alive(self) -> bool:
        """Whether the connection stays open after the current request."""
        return self._parser is not None and self._parser.should_keep_alive()

    def _continue_after_head(self) -> None:
        """Replace the parser, which stopped after the current head."""
        if self._listener is None:
            return
        lines = [f"POST / HTTP/{self.http_version}".encode()]
        lines += [
            b"%b: %b" % (name, value)
            for name, value in self._listener.current_headers()
            if name in _FRAMING_HEADERS
        ]
        self._stops_after_head = False
        self._replays_head = True
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")

    # The library's parser calls these.

    def on_message_begin(self) -> None:
        """Pass the start of a request on."""
        if self._listener is not None and not self._replays_head:
            self._listener.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Pass a part of the target on."""
        if self._listener is not None and not self._replays_head:
            self._listener.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass a header or a trailer on."""
        if self._listener is not None and not self._replays_head:
            self._listener.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass the end of a head on."""
        if self._replays_head:
            self._replays_head = False
            return
        if self._listener is not None and self._parser is not None:
            self._method = self._parser.get_method()
            self._stops_after_head = self._parser.should_upgrade()
            self._listener.on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        if self._listener is not None:
            self._listener.on_body(body)

    def on_message_complete(self) -> None:
        """Pass the end of a request on, unless only its head has ended."""
        if self._listener is not None and not self._stops_after_head:
            self._listener.on_message_complete()
