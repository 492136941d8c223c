"""Read the response to one attempt of a request."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.http.event_stream import EventSplitter
from shallotfold._gateway.http.event_stream import StreamEvent
from shallotfold._gateway.http.messages import BodyFraming
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import response_framing
from shallotfold._gateway.http.upstream_connection import UpstreamConnection
from shallotfold._gateway.http.upstream_pool import SendHandle

# Responses that aren't streams are buffered until complete, up to this size.
MAX_BUFFERED_RESPONSE_BYTES = 8_388_608


class AttemptHandler(Protocol):
    """Callbacks of the request that an attempt belongs to."""

    @property
    def expects_stream(self) -> bool:
        """Whether a successful response is an event stream."""
        ...

    @property
    def head_only(self) -> bool:
        """Whether the response consists of its head."""
        ...

    def is_current(self, attempt: Attempt) -> bool:
        """Whether the attempt is the current one."""
        ...

    def drop_if_caller_left(self) -> bool:
        """Stop all work on the request if its caller has left.

        Returns:
            Whether the caller has left.
        """
        ...

    def matches_response(
        self, status: int, headers: Headers, connection: UpstreamConnection
    ) -> bool:
        """Whether a response belongs to the request.

        Args:
            status: Its status.
            headers: Its headers.
            connection: Connection on which it arrived.
        """
        ...

    def count_response_bytes(self, count: int) -> None:
        """Count bytes that are buffered; the attempt may be given up."""
        ...

    def release_connection(
        self, upstream: Upstream, send_handle: SendHandle
    ) -> None:
        """Return the connection of a completed attempt to the pool."""
        ...

    def on_response_head(self, attempt: Attempt) -> None:
        """Handle the head of a response that belongs to the request."""
        ...

    def on_started(self) -> None:
        """Handle the start of work at the upstream."""
        ...

    def on_progress(self) -> None:
        """Handle the arrival of a part of the response."""
        ...

    def on_stream_events(
        self, attempt: Attempt, stream_events: list[StreamEvent]
    ) -> None:
        """Handle complete events of a stream."""
        ...

    def on_stream_complete(self, attempt: Attempt) -> None:
        """Handle the proper end of a stream."""
        ...

    def on_response_complete(self, attempt: Attempt) -> None:
        """Handle a complete response that isn't a stream."""
        ...

    def on_broken(self, attempt: Attempt, reason: str) -> None:
        """Handle a response that ended early or was invalid."""
        ...

    def on_unsent(
        self, attempt: Attempt, reason: str, *, host_is_full: bool
    ) -> None:
        """Handle an attempt that reached no upstream; see `SendListener`."""
        ...


class Attempt:
    """One send of a request to an upstream; reads the response.

    Attributes:
        upstream: Destination of the request.
        sent_s: When the request was sent, on the boot clock.
        send_handle: Handle of the send; `None` before it starts.
        status: Status of the response.
        reason: Reason phrase of the response.
        headers: Headers of the response, with their names as sent.
        framing: What marks the end of the body; `None` before the head.
        body: Body received so far, unless the response is a stream.
        splitter: Splits a stream and buffers its incomplete event.
    """

    def __init__(self, handler: AttemptHandler, upstream: Upstream) -> None:
        self.upstream = upstream
        self.sent_s = boot_s()
        self.send_handle: SendHandle | None = None
        self.status = 0
        self.reason = b""
        self.headers: Headers = []
        self.framing: BodyFraming | None = None
        self.body = bytearray()
        self.splitter = EventSplitter()
        self._handler = handler
        self._is_stream = False
        self._started = False
        self._head_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes of the response that can't be passed on yet."""
        return (
            self._head_bytes + len(self.body) + self.splitter.incomplete_bytes
        )

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a response header; `name` in lower case."""
        for header_name, value in self.headers:
            if header_name.lower() == name:
                return value
        return None

    def header_values(self, name: bytes) -> list[bytes]:
        """Return all values of a response header; `name` in lower case."""
        return [value for n, value in self.headers if n.lower() == name]

    @property
    def is_stream(self) -> bool:
        """Whether the response is an event stream."""
        return self._is_stream

    @property
    def end_marked(self) -> bool:
        """Whether the response marks its end itself."""
        return self.framing is not BodyFraming.CONNECTION_CLOSE

    def cancel(self) -> None:
        """Drop the connection."""
        if self.send_handle is not None:
            self.send_handle.cancel()

    def release_connection(self) -> None:
        """Return the connection to the pool."""
        if self.send_handle is not None:
            self._handler.release_connection(self.upstream, self.send_handle)

    def is_wanted(self) -> bool:
        """Whether the request should still be sent."""
        return (
            self._handler.is_current(self)
            and not self._handler.drop_if_caller_left()
        )

    def on_unsent(self, reason: str, *, host_is_full: bool) -> None:
        """Report that no connection was established."""
        if self._handler.is_current(self):
            self._handler.on_unsent(self, reason, host_is_full=host_is_full)

    def on_head_part(self, count: int) -> None:
        """Count bytes of a head that isn't complete."""
        self._head_bytes += count
        self._handler.count_response_bytes(count)

    def on_head(self, status: int, reason: bytes, headers: Headers) -> bool:
        """Store the head if the response belongs to the request."""
        handle = self.send_handle
        if (
            handle is None
            or handle.connection is None
            or not self._handler.matches_response(
                status, headers, handle.connection
            )
        ):
            return False
        self.status = status
        self.reason = reason
        self.headers = headers
        self._head_bytes = sum(
            len(name) + len(value) for name, value in headers
        )
        head_only = self._handler.head_only
        self.framing = response_framing(status, headers, head_only=head_only)
        self._is_stream = (
            self._handler.expects_stream
            and status == HTTPStatus.OK
            and not head_only
        )
        self._handler.on_response_head(self)
        return True

    def on_data(self, data: bytes) -> None:
        """Pass on events of a stream; buffer any other body."""
        if not self._handler.is_current(self):
            return
        if not self._is_stream:
            self.body += data
            if len(self.body) > MAX_BUFFERED_RESPONSE_BYTES:
                self._handler.on_broken(self, "answer is too large")
            else:
                self._handler.count_response_bytes(len(data))
            return
        try:
            stream_events = self.splitter.feed(data)
        except ValueError as error:
            self._handler.on_broken(self, str(error))
            return
        if stream_events:
            if not self._started:
                self._started = True
                self._handler.on_started()
            if any(event.has_data for event in stream_events):
                self._handler.on_progress()
            self._handler.on_stream_events(self, stream_events)
        if self.splitter.incomplete_bytes:
            self._handler.count_response_bytes(
                min(len(data), self.splitter.incomplete_bytes)
            )

    def on_complete(self) -> None:
        """Report the end of the response."""
        if not self._handler.is_current(self):
            return
        if self.framing is None:
            self._handler.on_broken(self, "the response has no head")
            return
        if not self._is_stream:
            self._handler.on_response_complete(self)
            return
        truncation = self._find_truncation()
        if truncation is None:
            self._handler.on_stream_complete(self)
        else:
            self._handler.on_broken(self, truncation)

    def on_failure(self, reason: str) -> None:
        """Report that the response failed."""
        if self._handler.is_current(self):
            self._handler.on_broken(self, reason)

    def _find_truncation(self) -> str | None:
        """Return why a stream whose framing has ended isn't complete.

        An orderly end of the connection doesn't prove completeness: the
        operating system closes it when the upstream's process ends.
        """
        if self.splitter.inside_event:
            return "the stream ended inside an event"
        if not self._started and self.framing is BodyFraming.CONNECTION_CLOSE:
            return "the connection ended before the first event"
        return None
