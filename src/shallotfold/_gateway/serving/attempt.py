"""Read the answer to one send of a request."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.http.event_stream import EventCutter
from shallotfold._gateway.http.event_stream import StreamEvent
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.upstream_pool import Sending

# Answers that aren't streams are held until they are whole, up to this size.
MAX_HELD_ANSWER_BYTES = 8_388_608


class AttemptOwner(Protocol):
    """The request that attempts belong to."""

    @property
    def wants_stream(self) -> bool:
        """Whether a good answer is a stream of events."""
        ...

    def owns(self, attempt: Attempt) -> bool:
        """Whether the attempt is the one under way."""
        ...

    def expects(self, headers: Headers) -> bool:
        """Whether an answer with these headers is the request's."""
        ...

    def keep_connection(self, upstream: Upstream, sending: Sending) -> None:
        """Keep the connection of an answered attempt for others."""
        ...

    def began(self) -> None:
        """The upstream began to work on the request."""
        ...

    def progressed(self) -> None:
        """A part of the answer came."""
        ...

    def stream_events(self, attempt: Attempt, found: list[StreamEvent]) -> None:
        """Whole events of a stream came."""
        ...

    def stream_complete(self, attempt: Attempt) -> None:
        """The upstream ended its stream properly."""
        ...

    def answer_complete(self, attempt: Attempt) -> None:
        """A whole answer that isn't a stream is in."""
        ...

    def broken(self, attempt: Attempt, reason: str) -> None:
        """The answer ended early or was none."""
        ...

    def unsent(self, attempt: Attempt, reason: str) -> None:
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

    def __init__(self, owner: AttemptOwner, upstream: Upstream) -> None:
        self.upstream = upstream
        self.sending: Sending | None = None
        self.status = 0
        self.reason = b""
        self.headers: Headers = []
        self.body = bytearray()
        self.cutter = EventCutter()
        self._owner = owner
        self._is_stream = False
        self._began = False

    def cancel(self) -> None:
        """Drop the connection."""
        if self.sending is not None:
            self.sending.cancel()

    def release(self) -> None:
        """Keep the connection for further requests."""
        if self.sending is not None:
            self._owner.keep_connection(self.upstream, self.sending)

    def on_unsent(self, reason: str) -> None:
        """No connection was established."""
        if self._owner.owns(self):
            self._owner.unsent(self, reason)

    def on_head(self, status: int, reason: bytes, headers: Headers) -> bool:
        """Take the head if the answer is this request's."""
        if not self._owner.expects(headers):
            return False
        self.status = status
        self.reason = reason
        self.headers = headers
        self._is_stream = self._owner.wants_stream and status == HTTPStatus.OK
        return True

    def on_data(self, data: bytes) -> None:
        """Pass a stream's events on; hold the parts of other answers."""
        if not self._owner.owns(self):
            return
        if not self._is_stream:
            self.body += data
            if len(self.body) > MAX_HELD_ANSWER_BYTES:
                self._owner.broken(self, "answer is too large")
            return
        try:
            found = self.cutter.feed(data)
        except ValueError as error:
            self._owner.broken(self, str(error))
            return
        if found:
            if not self._began:
                self._began = True
                self._owner.began()
            self._owner.progressed()
            self._owner.stream_events(self, found)

    def on_complete(self) -> None:
        """End the answer."""
        if not self._owner.owns(self):
            return
        if self._is_stream:
            self._owner.stream_complete(self)
        else:
            self._owner.answer_complete(self)

    def on_failure(self, reason: str) -> None:
        """No whole answer will come."""
        if self._owner.owns(self):
            self._owner.broken(self, reason)
