"""Carry one request to upstreams and its answer back, byte for byte."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import attrs

from shallotfold._gateway import decision_log
from shallotfold._gateway import effects
from shallotfold._gateway import events
from shallotfold._gateway.caller_connection import CallerConnection
from shallotfold._gateway.clocks import boot_s
from shallotfold._gateway.event_stream import EventCutter
from shallotfold._gateway.event_stream import StreamEvent
from shallotfold._gateway.messages import HOP_HEADERS
from shallotfold._gateway.messages import LAST_CHUNK
from shallotfold._gateway.messages import Headers
from shallotfold._gateway.messages import IncomingRequest
from shallotfold._gateway.messages import chunk
from shallotfold._gateway.messages import find_header
from shallotfold._gateway.messages import head_bytes
from shallotfold._gateway.messages import named_by_connection
from shallotfold._gateway.messages import plain_answer
from shallotfold._gateway.messages import request_bytes
from shallotfold._gateway.model import Route
from shallotfold._gateway.model import RouteKind
from shallotfold._gateway.model import Upstream
from shallotfold._gateway.model import Workspace
from shallotfold._gateway.upstream_pool import Sending

if TYPE_CHECKING:
    from shallotfold._gateway.serving import Gateway

_MS_PER_S = 1000.0
# Answers that aren't streams are held until they are whole, up to this size.
MAX_HELD_ANSWER_BYTES = 8_388_608


@attrs.frozen
class Admission:
    """What the configuration says of a request.

    Attributes:
        route: Its route.
        workspace: Whose key it carries; `None` on routes without keys.
        rank: How urgent it is inside an engine, 0 first.
    """

    route: Route
    workspace: Workspace | None
    rank: int


class Relay:
    """The work on one request, from its arrival to its final answer."""

    def __init__(
        self,
        gateway: Gateway,
        number: int,
        request: IncomingRequest,
        connection: CallerConnection,
        admission: Admission,
    ) -> None:
        self.number = number
        self.workspace = admission.workspace
        self._gateway = gateway
        self._request = request
        self._connection = connection
        self._route = admission.route
        self._rank = admission.rank
        self._arrived_s = boot_s()
        names = gateway.names
        self._request_id = find_header(request.headers, names.request_id) or b""
        last_event = find_header(request.headers, names.last_event) or b""
        self._last_event = int(last_event) if last_event.isdigit() else None
        self._first_event_s: float | None = None
        self._head_sent = False
        self._attempt: _Attempt | None = None
        self._held_failure: _Attempt | None = None

    # The gateway calls these.

    def send(self, effect: effects.SendAttempt) -> None:
        """Send an attempt to an upstream."""
        self._log(
            "send",
            upstream=effect.upstream.upstream_id,
            attempt=effect.number,
            allowed_ms=round(effect.allowed_s * _MS_PER_S),
            reason=effect.reason,
        )
        attempt = _Attempt(self, effect.upstream)
        self._attempt = attempt
        attempt.sending = self._gateway.pool.send(
            effect.upstream, self._bytes_for(effect), attempt
        )

    def cancel(self) -> None:
        """Drop the attempt under way."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            self._gateway.figures.count_attempt("cancelled")
            self._log("cancel", upstream=attempt.upstream.upstream_id)
            attempt.cancel()

    def answer(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        """Give the final answer of this host itself."""
        self._log(
            "refuse" if retry_after_s is not None else "fail",
            status=status,
            reason=reason,
            begun=self._head_sent,
            retry_after_s=retry_after_s,
        )
        self._finish_log(status)
        if self._head_sent:
            self._connection.abort()
            return
        close = self._connection.must_close
        self._connection.write(
            plain_answer(
                status,
                body=reason.encode(),
                retry_after_s=retry_after_s,
                close=close,
            )
        )
        self._connection.finish(close=close)

    def deliver_held(self) -> None:
        """Pass the upstream's own failure on."""
        held = self._held_failure
        if held is None:
            self.answer(HTTPStatus.BAD_GATEWAY, "upstream failed", None)
            return
        self._write_whole(held)

    # The connection calls this.

    def caller_left(self) -> None:
        """Stop all work: nobody waits for it."""
        self._log("caller_left", begun=self._head_sent)
        self._gateway.deliver(
            events.CallerLeft(now_s=boot_s(), request=self.number)
        )
        self.cancel()
        self._gateway.ended(self)

    # The attempt calls these.

    @property
    def wants_stream(self) -> bool:
        """Whether a good answer is a stream of events."""
        return self._route.kind is RouteKind.STREAM

    def keep_connection(self, upstream: Upstream, sending: Sending) -> None:
        """Keep the connection of an answered attempt for others."""
        self._gateway.pool.release(upstream, sending)

    def owns(self, attempt: _Attempt) -> bool:
        """Whether the attempt is the one under way."""
        return self._attempt is attempt

    def expects(self, headers: Headers) -> bool:
        """Whether an answer carries this request's id, or none."""
        names = self._gateway.names
        lowered = [(name.lower(), value) for name, value in headers]
        found = find_header(lowered, names.request_id)
        return found is None or found == self._request_id

    def progressed(self) -> None:
        """Note that the upstream works on the request."""
        self._gateway.deliver(
            events.AttemptProgressed(now_s=boot_s(), request=self.number)
        )

    def began(self) -> None:
        """Count the run of the attempt."""
        self._gateway.count_run(self)

    def unsent(self, attempt: _Attempt, reason: str) -> None:
        """The attempt reached no upstream."""
        self._gateway.figures.count_attempt("unsent")
        self._log(
            "unsent", upstream=attempt.upstream.upstream_id, reason=reason
        )
        self._attempt = None
        self._gateway.deliver(
            events.AttemptUnsent(now_s=boot_s(), request=self.number)
        )

    def broken(self, attempt: _Attempt, reason: str) -> None:
        """The answer ended early or was none."""
        self._gateway.figures.count_attempt("broken")
        self._log(
            "broken",
            upstream=attempt.upstream.upstream_id,
            reason=reason,
            last_event=self._last_event,
        )
        self._attempt = None
        attempt.cancel()
        self._gateway.deliver(
            events.AttemptBroken(
                now_s=boot_s(), request=self.number, answered=self._head_sent
            )
        )

    def stream_events(
        self, attempt: _Attempt, found: list[StreamEvent]
    ) -> None:
        """Pass whole events on, each once and in order."""
        fresh = []
        for event in found:
            if event.event_id is not None:
                if self._last_event is not None:
                    if event.event_id <= self._last_event:
                        continue
                    if self._head_sent and (
                        event.event_id != self._last_event + 1
                    ):
                        self.broken(attempt, "events are missing")
                        return
                self._last_event = event.event_id
            fresh.append(event.data)
        if not fresh:
            return
        if not self._head_sent:
            self._write_stream_head(attempt)
        self._connection.write(chunk(b"".join(fresh)))

    def stream_complete(self, attempt: _Attempt) -> None:
        """End a stream whose upstream ended it properly."""
        self._attempt = None
        if not self._head_sent:
            self._write_stream_head(attempt)
        rest = attempt.cutter.unfinished
        self._connection.write((chunk(rest) if rest else b"") + LAST_CHUNK)
        self._succeed(attempt)

    def answer_complete(self, attempt: _Attempt) -> None:
        """Take a whole answer that isn't a stream."""
        self._attempt = None
        attempt.release()
        names = self._gateway.names
        lowered = [(name.lower(), value) for name, value in attempt.headers]
        now_s = boot_s()
        if find_header(lowered, names.upstream_load) is not None:
            self._report_load(attempt, lowered)
        misdirected = attempt.status == HTTPStatus.MISDIRECTED_REQUEST
        if misdirected or find_header(lowered, names.not_run) is not None:
            self._gateway.figures.count_attempt("not_run")
            self._log(
                "not_run",
                upstream=attempt.upstream.upstream_id,
                status=attempt.status,
            )
            self._gateway.deliver(
                events.AttemptRejected(
                    now_s=now_s,
                    request=self.number,
                    wrong_upstream=misdirected,
                )
            )
            return
        self.began()
        if attempt.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self._held_failure = attempt
            self._gateway.figures.count_attempt("upstream_failed")
            self._log(
                "upstream_failed",
                upstream=attempt.upstream.upstream_id,
                status=attempt.status,
            )
            self._gateway.deliver(
                events.AttemptFailed(now_s=now_s, request=self.number)
            )
            return
        if self._head_sent:
            # A resumed stream was answered with something else.
            self._gateway.deliver(
                events.AttemptBroken(
                    now_s=now_s, request=self.number, answered=True
                )
            )
            return
        self._gateway.deliver(
            events.AttemptSucceeded(now_s=now_s, request=self.number)
        )
        self._write_whole(attempt)

    # Helpers.

    def _report_load(self, attempt: _Attempt, lowered: Headers) -> None:
        value = find_header(lowered, self._gateway.names.upstream_load) or b""
        figures = value.split(b",")
        if len(figures) >= 2 and all(f.strip().isdigit() for f in figures):
            self._gateway.deliver(
                events.LoadReported(
                    now_s=boot_s(),
                    upstream=attempt.upstream.upstream_id,
                    running=int(figures[0]),
                    waiting=int(figures[1]),
                )
            )

    def _bytes_for(self, effect: effects.SendAttempt) -> bytes:
        names = self._gateway.names
        request = self._request
        dropped = (
            HOP_HEADERS
            | names.reserved
            | named_by_connection(request.headers)
            | {b"content-length", b"expect", names.key, names.deadline}
            | {names.expected_upstream, names.priority, names.workspace}
        )
        if self._head_sent or effect.number > 1:
            dropped |= {names.last_event}
        headers = [
            (spelled, value)
            for spelled, (name, value) in zip(
                request.spelled_names, request.headers, strict=True
            )
            if name not in dropped or name == b"host"
        ]
        allowed_ms = max(1, int(effect.allowed_s * _MS_PER_S))
        headers.append((names.deadline, b"%d" % allowed_ms))
        upstream_id = effect.upstream.upstream_id.encode()
        headers.append((names.expected_upstream, upstream_id))
        if self.workspace is not None:
            workspace = self.workspace.name.encode()
            headers.append((names.workspace, workspace))
        if self._route.reads_prompt or names.token_counts in dict(
            request.headers
        ):
            headers.append((names.priority, b"%d" % self._rank))
        if names.last_event in dropped and self._last_event is not None:
            headers.append((names.last_event, b"%d" % self._last_event))
        if request.has_length:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        return request_bytes(
            request.method, request.target, headers, request.body
        )

    def _answer_headers(self, attempt: _Attempt) -> Headers:
        lowered = [(name.lower(), value) for name, value in attempt.headers]
        dropped = HOP_HEADERS | named_by_connection(lowered)
        dropped |= {b"content-length"}
        return [h for h in attempt.headers if h[0].lower() not in dropped]

    def _write_stream_head(self, attempt: _Attempt) -> None:
        self._head_sent = True
        self._first_event_s = boot_s()
        headers = self._answer_headers(attempt)
        headers.append((b"Transfer-Encoding", b"chunked"))
        if self._connection.must_close:
            headers.append((b"Connection", b"close"))
        self._connection.write(
            head_bytes(attempt.status, attempt.reason, headers)
        )

    def _write_whole(self, attempt: _Attempt) -> None:
        close = self._connection.must_close
        headers = self._answer_headers(attempt)
        if attempt.status != HTTPStatus.NO_CONTENT:
            headers.append((b"Content-Length", b"%d" % len(attempt.body)))
        if close:
            headers.append((b"Connection", b"close"))
        head = head_bytes(attempt.status, attempt.reason, headers)
        self._finish_log(attempt.status)
        self._connection.write(head + bytes(attempt.body))
        self._connection.finish(close=close)

    def _succeed(self, attempt: _Attempt) -> None:
        attempt.release()
        self._gateway.deliver(
            events.AttemptSucceeded(now_s=boot_s(), request=self.number)
        )
        self._finish_log(attempt.status)
        self._connection.finish(close=self._connection.must_close)

    def _finish_log(self, status: int) -> None:
        now_s = boot_s()
        first_s = self._first_event_s
        self._log(
            "done",
            status=status,
            took_ms=round((now_s - self._arrived_s) * _MS_PER_S),
            first_ms=(
                None
                if first_s is None
                else round((first_s - self._arrived_s) * _MS_PER_S)
            ),
        )
        self._gateway.figures.count_answer(status)
        self._gateway.figures.time_answer(
            self._route.name, (first_s or now_s) - self._arrived_s
        )
        self._gateway.ended(self)

    def _log(self, decision: str, **inputs: object) -> None:
        decision_log.record(
            decision,
            request_id=self._request_id.decode("latin-1"),
            route=self._route.name,
            workspace=self.workspace.name if self.workspace else None,
            **inputs,
        )


class _Attempt:
    """One send of a request; reads the answer of its upstream."""

    def __init__(self, relay: Relay, upstream: Upstream) -> None:
        self.upstream = upstream
        self.sending: Sending | None = None
        self.status = 0
        self.reason = b""
        self.headers: Headers = []
        self.body = bytearray()
        self.cutter = EventCutter()
        self._relay = relay
        self._is_stream = False
        self._began = False

    def cancel(self) -> None:
        """Drop the connection."""
        if self.sending is not None:
            self.sending.cancel()

    def release(self) -> None:
        """Keep the connection for further requests."""
        if self.sending is not None:
            self._relay.keep_connection(self.upstream, self.sending)

    def on_unsent(self, reason: str) -> None:
        """No connection was established."""
        if self._relay.owns(self):
            self._relay.unsent(self, reason)

    def on_head(self, status: int, reason: bytes, headers: Headers) -> bool:
        """Take the head if the answer is this request's."""
        if not self._relay.expects(headers):
            return False
        self.status = status
        self.reason = reason
        self.headers = headers
        self._is_stream = self._relay.wants_stream and status == HTTPStatus.OK
        return True

    def on_data(self, data: bytes) -> None:
        """Pass a stream's events on; hold the parts of other answers."""
        if not self._relay.owns(self):
            return
        if not self._is_stream:
            self.body += data
            if len(self.body) > MAX_HELD_ANSWER_BYTES:
                self._relay.broken(self, "answer is too large")
            return
        try:
            found = self.cutter.feed(data)
        except ValueError as error:
            self._relay.broken(self, str(error))
            return
        if found:
            if not self._began:
                self._began = True
                self._relay.began()
            self._relay.progressed()
            self._relay.stream_events(self, found)

    def on_complete(self) -> None:
        """End the answer."""
        if not self._relay.owns(self):
            return
        if self._is_stream:
            self._relay.stream_complete(self)
        else:
            self._relay.answer_complete(self)

    def on_failure(self, reason: str) -> None:
        """No whole answer will come."""
        if self._relay.owns(self):
            self._relay.broken(self, reason)
