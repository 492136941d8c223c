"""Carry one request to upstreams and its answer back, byte for byte."""

from http import HTTPStatus
from typing import Protocol

import attrs

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.metrics import Metrics
from shallotfold._gateway.core.model import Route
from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.model import Workspace
from shallotfold._gateway.core.wire_names import HeaderNames
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding import events
from shallotfold._gateway.http.event_stream import StreamEvent
from shallotfold._gateway.http.messages import LAST_CHUNK
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.http.messages import chunk
from shallotfold._gateway.http.messages import find_header
from shallotfold._gateway.http.messages import head_bytes
from shallotfold._gateway.http.messages import plain_answer
from shallotfold._gateway.http.upstream_pool import Sending
from shallotfold._gateway.http.upstream_pool import UpstreamPool
from shallotfold._gateway.serving.attempt import Attempt
from shallotfold._gateway.serving.caller_connection import CallerConnection
from shallotfold._gateway.serving.forwarding import SystemHeaders
from shallotfold._gateway.serving.forwarding import forwarded_headers
from shallotfold._gateway.serving.forwarding import forwarded_request
from shallotfold._model.events import Event

_MS_PER_S = 1000.0


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


class Owner(Protocol):
    """What a relay needs of the gateway that it works for.

    Attributes:
        names: Names of the headers on the wire.
        pool: Connections to upstreams.
        figures: Counters and histograms.
    """

    names: HeaderNames
    pool: UpstreamPool
    figures: Metrics

    def deliver(self, event: Event) -> None:
        """Let the dispatcher decide on an event and run its effects."""

    def ended(self, relay: "Relay") -> None:
        """Forget a relay that gave its final answer."""

    def count_run(self, relay: "Relay") -> None:
        """Count that an upstream began to run the request."""


class Relay:
    """The work on one request, from its arrival to its final answer."""

    def __init__(
        self,
        gateway: Owner,
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
        self._counted = False
        self._attempt: Attempt | None = None
        self._held_failure: Attempt | None = None

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
        attempt = Attempt(self, effect.upstream)
        self._attempt = attempt
        attempt.sending = self._gateway.pool.send(
            effect.upstream,
            self._bytes_for(effect),
            attempt,
            repeatable=self._route.repeatable,
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
        if held is None or self._head_sent:
            self.answer(HTTPStatus.BAD_GATEWAY, "upstream failed", None)
            return
        self._write_whole(held)

    # The connection calls this.

    def caller_left(self) -> None:
        """Stop all work: nobody waits for it."""
        self._log("caller_left", begun=self._head_sent)
        self._gateway.deliver(
            events.CallerDisconnected(now_s=boot_s(), request=self.number)
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

    def owns(self, attempt: Attempt) -> bool:
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
        """Count the request once, however many attempts begin."""
        if not self._counted:
            self._counted = True
            self._gateway.count_run(self)

    def unsent(self, attempt: Attempt, reason: str) -> None:
        """The attempt reached no upstream."""
        self._gateway.figures.count_attempt("unsent")
        self._log(
            "unsent", upstream=attempt.upstream.upstream_id, reason=reason
        )
        self._attempt = None
        self._gateway.deliver(
            events.AttemptUnsent(now_s=boot_s(), request=self.number)
        )

    def broken(self, attempt: Attempt, reason: str) -> None:
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
                now_s=boot_s(),
                request=self.number,
                response_started=self._head_sent,
            )
        )

    def stream_events(self, attempt: Attempt, found: list[StreamEvent]) -> None:
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

    def stream_complete(self, attempt: Attempt) -> None:
        """End a stream whose upstream ended it properly."""
        self._attempt = None
        if not self._head_sent:
            self._write_stream_head(attempt)
        rest = attempt.cutter.unfinished
        self._connection.write((chunk(rest) if rest else b"") + LAST_CHUNK)
        self._succeed(attempt)

    def answer_complete(self, attempt: Attempt) -> None:
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
        if self._head_sent:
            self.broken(attempt, f"resumed with status {attempt.status}")
            return
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
        self._gateway.deliver(
            events.AttemptSucceeded(now_s=now_s, request=self.number)
        )
        self._write_whole(attempt)

    # Helpers.

    def _report_load(self, attempt: Attempt, lowered: Headers) -> None:
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
        resumes = self._head_sent or effect.number > 1
        return forwarded_request(
            self._request,
            self._gateway.names,
            SystemHeaders(
                allowed_ms=max(1, int(effect.allowed_s * _MS_PER_S)),
                upstream_id=effect.upstream.upstream_id,
                workspace=self.workspace.name if self.workspace else None,
                rank=self._rank if self._reads_prompt() else None,
                resume_after=self._last_event if resumes else None,
                resumes=resumes,
            ),
        )

    def _reads_prompt(self) -> bool:
        declared = find_header(
            self._request.headers, self._gateway.names.token_counts
        )
        return self._route.reads_prompt or declared is not None

    def _write_stream_head(self, attempt: Attempt) -> None:
        self._head_sent = True
        self._first_event_s = boot_s()
        headers = forwarded_headers(attempt.headers)
        headers.append((b"Transfer-Encoding", b"chunked"))
        if self._connection.must_close:
            headers.append((b"Connection", b"close"))
        self._connection.write(
            head_bytes(attempt.status, attempt.reason, headers)
        )

    def _write_whole(self, attempt: Attempt) -> None:
        close = self._connection.must_close
        headers = forwarded_headers(attempt.headers)
        if attempt.status != HTTPStatus.NO_CONTENT:
            headers.append((b"Content-Length", b"%d" % len(attempt.body)))
        if close:
            headers.append((b"Connection", b"close"))
        head = head_bytes(attempt.status, attempt.reason, headers)
        self._finish_log(attempt.status)
        self._connection.write(head + bytes(attempt.body))
        self._connection.finish(close=close)

    def _succeed(self, attempt: Attempt) -> None:
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
        self._gateway.figures.observe_first_part(
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
