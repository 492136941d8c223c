"""Read the answer to one send of a request."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.http.event_stream import EventSplitter
from shallotfold._gateway.http.event_stream import StreamEvent
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.upstream_pool import SendHandle

# Answers that aren't streams are held until they are whole, up to this size.
MAX_HELD_ANSWER_BYTES = 8_388_608


class AttemptHandler(Protocol):
    """The request that attempts belong to."""

    @property
    def expects_stream(self) -> bool:
        """Whether a good answer is a stream of events."""
        ...

    def is_current(self, attempt: Attempt) -> bool:
        """Whether the attempt is the one under way."""
        ...

    def matches_response(self, headers: Headers) -> bool:
        """Whether an answer with these headers is the request's."""
        ...

    def release_connection(
        self, upstream: Upstream, send_handle: SendHandle
    ) -> None:
        """Keep the connection of an answered attempt for others."""
        ...

    def on_started(self) -> None:
        """The upstream began to work on the request."""
        ...

    def on_progress(self) -> None:
        """A part of the answer came."""
        ...

    def on_stream_events(
        self, attempt: Attempt, found: list[StreamEvent]
    ) -> None:
        """Whole events of a stream came."""
        ...

    def on_stream_complete(self, attempt: Attempt) -> None:
        """The upstream ended its stream properly."""
        ...

    def on_response_complete(self, attempt: Attempt) -> None:
        """A whole answer that isn't a stream is in."""
        ...

    def on_broken(self, attempt: Attempt, reason: str) -> None:
        """The answer ended early or was none."""
        ...

    def on_unsent(self, attempt: Attempt, reason: str) -> None:
        """The attempt reached no upstream."""
        ...


class Attempt:
    """One send of a request; reads the answer of its upstream.

    Attributes:
        upstream: Where the request was sent.
        sending: Its way there, once it has begun.
        status: Status of the answer.
        reason: Reason phrase of the answer.
        headers: Headers of the answer, in the spelling of the upstream.
        body: Body of an answer that isn't a stream, so far.
        cutter: Holds the unfinished event of a stream.
    """

    def __init__(self, owner: AttemptHandler, upstream: Upstream) -> None:
        self.upstream = upstream
        self.send_handle: SendHandle | None = None
        self.status = 0
        self.reason = b""
        self.headers: Headers = []
        self.body = bytearray()
        self.splitter = EventSplitter()
        self._handler = owner
        self._is_stream = False
        self._started = False

    def cancel(self) -> None:
        """Drop the connection."""
        if self.send_handle is not None:
            self.send_handle.cancel()

    def release(self) -> None:
        """Keep the connection for further requests."""
        if self.send_handle is not None:
            self._handler.release_connection(self.upstream, self.send_handle)

    def on_unsent(self, reason: str) -> None:
        """No connection was established."""
        if self._handler.is_current(self):
            self._handler.on_unsent(self, reason)

    def on_head(self, status: int, reason: bytes, headers: Headers) -> bool:
        """Take the head if the answer is this request's."""
        if not self._handler.matches_response(headers):
            return False
        self.status = status
        self.reason = reason
        self.headers = headers
        self._is_stream = (
            self._handler.expects_stream and status == HTTPStatus.OK
        )
        return True

    def on_data(self, data: bytes) -> None:
        """Pass a stream's events on; hold the parts of other answers."""
        if not self._handler.is_current(self):
            return
        if not self._is_stream:
            self.body += data
            if len(self.body) > MAX_HELD_ANSWER_BYTES:
                self._handler.on_broken(self, "answer is too large")
            return
        try:
            found = self.splitter.feed(data)
        except ValueError as error:
            self._handler.on_broken(self, str(error))
            return
        if found:
            if not self._started:
                self._started = True
                self._handler.on_started()
            self._handler.on_progress()
            self._handler.on_stream_events(self, found)

    def on_complete(self) -> None:
        """End the answer."""
        if not self._handler.is_current(self):
            return
        if self._is_stream:
            self._handler.on_stream_complete(self)
        else:
            self._handler.on_response_complete(self)

    def on_failure(self, reason: str) -> None:
        """No whole answer will come."""
        if self._handler.is_current(self):
            self._handler.on_broken(self, reason)
