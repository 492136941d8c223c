"""Relay a request to upstreams and its response back, byte for byte."""

from http import HTTPStatus
import math
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
from shallotfold._gateway.http.messages import BodyFraming
from shallotfold._gateway.http.messages import Headers
from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.http.messages import encode_local_response
from shallotfold._gateway.http.messages import encode_response_head
from shallotfold._gateway.http.messages import find_header
from shallotfold._gateway.http.upstream_connection import UpstreamConnection
from shallotfold._gateway.http.upstream_pool import SendHandle
from shallotfold._gateway.http.upstream_pool import UpstreamPool
from shallotfold._gateway.serving.attempt import Attempt
from shallotfold._gateway.serving.caller_connection import CallerConnection
from shallotfold._gateway.serving.forwarding import GatewayHeaders
from shallotfold._gateway.serving.forwarding import forwarded_request
from shallotfold._gateway.serving.forwarding import forwarded_response_headers
from shallotfold._gateway.serving.request_parsing import parse_whole_number
from shallotfold._gateway.serving.response_parsing import parse_load
from shallotfold._gateway.serving.response_parsing import parse_named_rate
from shallotfold._gateway.serving.response_parsing import parse_retry_after_s
from shallotfold._gateway.serving.stream_response import StreamResponse
from shallotfold._model.events import Event

# To callers, each says that the request hasn't run. An upstream says so in a
# header; its statuses alone don't.
REFUSAL_STATUSES = (
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
# Callers choose the id of a request; the rest isn't logged.
MAX_LOGGED_ID_BYTES = 128
_MS_PER_S = 1000.0


@attrs.frozen
class Admission:
    """Route, workspace and rank of an admitted request.

    Attributes:
        route: Route of the request.
        workspace: Workspace of the request; `None` on routes without keys.
        rank: Scheduling rank inside an engine, 0 first.
    """

    route: Route
    workspace: Workspace | None
    rank: int


class RelayContext(Protocol):
    """The parts of a gateway that a relay uses.

    Attributes:
        names: Header names of the platform.
        pool: Pool of connections to upstreams.
        metrics: Counters and histograms.
    """

    names: HeaderNames
    pool: UpstreamPool
    metrics: Metrics

    def deliver(self, event: Event) -> None:
        """Pass an event to the dispatcher and run the resulting effects."""

    def remove_relay(self, relay: "Relay") -> None:
        """Remove a relay that has finished."""

    def report_leaving(self, upstream: Upstream) -> bool:
        """Report that an upstream is leaving; return whether that is new."""

    def report_invalid_signal(self, upstream: Upstream, signal: str) -> bool:
        """Report an unusable header; return whether it is the first."""

    def count_response_bytes(self, count: int) -> None:
        """Count bytes of unfinished responses; some may be given up."""

    def count_run(self, relay: "Relay") -> None:
        """Count a request that an upstream started to run."""


class Relay:
    """Handles one request, from its arrival to the final response."""

    def __init__(
        self,
        gateway: RelayContext,
        request_number: int,
        request: IncomingRequest,
        connection: CallerConnection,
        admission: Admission,
        fingerprint: str,
    ) -> None:
        """Make the relay of a request.

        Args:
            gateway: The gateway that it belongs to.
            request_number: Number of the request on this host.
            request: The request.
            connection: Connection of its caller.
            admission: Its route, workspace and rank.
            fingerprint: Digest that equal requests share, for the log.
        """
        self.request_number = request_number
        self.workspace = admission.workspace
        self._gateway = gateway
        self._request = request
        self._connection = connection
        self._route = admission.route
        self._rank = admission.rank
        self._fingerprint = fingerprint
        self._arrived_s = boot_s()
        names = gateway.names
        self._request_id = find_header(request.headers, names.request_id) or b""
        last_event = find_header(request.headers, names.last_event) or b""
        self._last_event_id = parse_whole_number(last_event)
        self._first_event_s: float | None = None
        self._last_event_s: float | None = None
        self._longest_gap_s = 0.0
        self._head_written = False
        self._stream_response = StreamResponse(
            connection, chunked=request.accepts_chunks
        )
        # Once the header objects are released, they aren't made again for it.
        self._has_prompt = (
            self._route.reads_prompt
            or find_header(request.headers, names.token_counts) is not None
        )
        self._run_counted = False
        self._attempt: Attempt | None = None
        self._failed_attempt: Attempt | None = None

    # The gateway calls these.

    def send(self, effect: effects.SendAttempt) -> None:
        """Send an attempt to an upstream, unless the caller has left."""
        if self.drop_if_caller_left():
            return
        self._log(
            "send",
            upstream=effect.upstream.upstream_id,
            attempt=effect.number,
            allowed_ms=round(effect.allowed_s * _MS_PER_S),
            reason=effect.reason,
            parts=effect.shared_part_ids or None,
            fingerprint=self._fingerprint,
        )
        attempt = Attempt(self, effect.upstream)
        self._attempt = attempt
        attempt.send_handle = self._gateway.pool.send(
            effect.upstream,
            self._encode_request(effect),
            attempt,
            repeatable=self._route.repeatable,
        )

    def cancel(self) -> None:
        """Cancel the current attempt."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            self._gateway.metrics.count_attempt("cancelled")
            self._log("cancel", upstream=attempt.upstream.upstream_id)
            attempt.cancel()

    def respond(
        self, status: int, reason: str, retry_after_s: float | None
    ) -> None:
        """Send a final response that the gateway itself generates."""
        self._log(
            "refuse" if retry_after_s is not None else "fail",
            status=status,
            reason=reason,
            begun=self._head_written,
            retry_after_s=retry_after_s,
        )
        self._finish_request(status)
        if self._head_written:
            self._connection.abort()
            return
        close = self._connection.must_close
        self._connection.write(
            encode_local_response(
                status,
                body=reason.encode(),
                retry_after_s=retry_after_s,
                close=close,
                head_only=self.head_only,
            )
        )
        self._connection.finish(close=close)

    def forward_failure(self) -> None:
        """Forward the upstream's failure response, which is buffered."""
        failed_attempt = self._failed_attempt
        if failed_attempt is None or self._head_written:
            self.respond(HTTPStatus.BAD_GATEWAY, "upstream failed", None)
            return
        if failed_attempt.status in REFUSAL_STATUSES:
            self.respond(
                HTTPStatus.BAD_GATEWAY,
                f"upstream failed with status {failed_attempt.status}",
                None,
            )
            return
        self._write_response(failed_attempt)

    # The connection calls this.

    def on_caller_disconnected(self) -> None:
        """Stop all work on the request."""
        self._log("caller_left", begun=self._head_written)
        self._gateway.deliver(
            events.CallerDisconnected(
                now_s=boot_s(), request=self.request_number
            )
        )
        self.cancel()
        self._gateway.remove_relay(self)

    # The budget of unfinished responses calls these.

    @property
    def held_response_bytes(self) -> int:
        """Bytes of responses that can't be passed on yet."""
        return sum(
            attempt.held_bytes
            for attempt in (self._attempt, self._failed_attempt)
            if attempt is not None
        )

    def give_up_response(self, reason: str) -> None:
        """Drop the response; the request ends or is sent again without it."""
        self._failed_attempt = None
        if self._attempt is not None and self._attempt.held_bytes:
            self.on_broken(self._attempt, reason)

    # The attempt calls these.

    @property
    def expects_stream(self) -> bool:
        """Whether a successful response is an event stream."""
        return self._route.kind is RouteKind.STREAM

    @property
    def head_only(self) -> bool:
        """Whether the response consists of its head."""
        return self._request.head_only

    def count_response_bytes(self, count: int) -> None:
        """Count bytes that are buffered; the attempt may be given up."""
        self._gateway.count_response_bytes(count)

    def release_connection(
        self, upstream: Upstream, send_handle: SendHandle
    ) -> None:
        """Return the connection of a completed attempt to the pool."""
        self._gateway.pool.release(upstream, send_handle)

    def drop_if_caller_left(self) -> bool:
        """Stop all work on the request if its caller has left.

        Returns:
            Whether the caller has left.
        """
        if not self._connection.caller_has_left():
            return False
        self._connection.abort()
        self.on_caller_disconnected()
        return True

    def is_current(self, attempt: Attempt) -> bool:
        """Whether the attempt is the current one."""
        return self._attempt is attempt

    def matches_response(
        self, status: int, headers: Headers, connection: UpstreamConnection
    ) -> bool:
        """Whether a response belongs to this request; see `AttemptHandler`.

        A response without an id may belong to an earlier request on the
        connection, or to none. It isn't taken from an upstream that echoes
        ids, nor if it is a refusal: that promises that a request hasn't run.
        """
        names = self._gateway.names
        lowercase_headers = [(name.lower(), value) for name, value in headers]
        response_id = find_header(lowercase_headers, names.request_id)
        if response_id is not None:
            connection.echoes_ids = True
            return response_id == self._request_id
        if connection.response_count == 0 or not self._request_id:
            return True
        is_refusal = (
            status in REFUSAL_STATUSES
            or find_header(lowercase_headers, names.not_run) is not None
        )
        return not is_refusal and not connection.echoes_ids

    def on_response_head(self, attempt: Attempt) -> None:
        """Note what the upstream says about itself."""
        if attempt.status == HTTPStatus.MISDIRECTED_REQUEST:
            # Another upstream answers at the address.
            return
        leaving = attempt.header(self._gateway.names.upstream_leaving)
        if leaving == b"1" and self._gateway.report_leaving(attempt.upstream):
            self._log(
                "upstream_leaving",
                upstream=attempt.upstream.upstream_id,
                status=attempt.status,
            )
        self._handle_limit(attempt)
        if attempt.is_stream:
            self._report_load(attempt, at_head=True)
        if attempt.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._handle_retry_after(attempt)

    def on_progress(self) -> None:
        """Report progress to the dispatcher."""
        self._gateway.deliver(
            events.AttemptProgressed(
                now_s=boot_s(), request=self.request_number
            )
        )

    def on_started(self) -> None:
        """Count the request, only once for all its attempts."""
        if not self._run_counted:
            self._run_counted = True
            self._gateway.count_run(self)

    def on_unsent(
        self, attempt: Attempt, reason: str, *, host_is_full: bool
    ) -> None:
        """Report an attempt that reached no upstream."""
        self._gateway.metrics.count_attempt("unsent")
        self._log(
            "unsent", upstream=attempt.upstream.upstream_id, reason=reason
        )
        self._attempt = None
        self._gateway.deliver(
            events.AttemptUnsent(
                now_s=boot_s(),
                request=self.request_number,
                host_is_full=host_is_full,
            )
        )

    def on_broken(self, attempt: Attempt, reason: str) -> None:
        """Report a response that ended early or was invalid."""
        self._gateway.metrics.count_attempt("broken")
        self._log(
            "broken",
            upstream=attempt.upstream.upstream_id,
            reason=reason,
            **self._stream_position(attempt),
        )
        self._attempt = None
        attempt.cancel()
        self._gateway.deliver(
            events.AttemptBroken(
                now_s=boot_s(),
                request=self.request_number,
                response_started=self._head_written,
            )
        )

    def on_stream_events(
        self, attempt: Attempt, stream_events: list[StreamEvent]
    ) -> None:
        """Forward complete events, each once and in order."""
        new_events = []
        for event in stream_events:
            if event.event_id is not None:
                if self._last_event_id is not None:
                    if event.event_id <= self._last_event_id:
                        continue
                    if self._head_written and (
                        event.event_id != self._last_event_id + 1
                    ):
                        self.on_broken(attempt, "events are missing")
                        return
                self._last_event_id = event.event_id
            new_events.append(event.data)
        if not new_events:
            return
        now_s = boot_s()
        if self._last_event_s is not None:
            self._longest_gap_s = max(
                self._longest_gap_s, now_s - self._last_event_s
            )
        self._last_event_s = now_s
        if not self._head_written:
            self._write_stream_head(attempt)
        self._stream_response.write(b"".join(new_events))

    def on_stream_complete(self, attempt: Attempt) -> None:
        """End the response after a proper end of the upstream's stream."""
        self._attempt = None
        if not self._head_written:
            self._write_stream_head(attempt)
        line_ends = attempt.splitter.incomplete_event
        if line_ends:
            self._stream_response.write(line_ends)
        self._finish_stream(attempt)

    def on_response_complete(self, attempt: Attempt) -> None:
        """Handle a complete response that isn't a stream."""
        self._attempt = None
        attempt.release_connection()
        names = self._gateway.names
        lowercase_headers = [
            (name.lower(), value) for name, value in attempt.headers
        ]
        now_s = boot_s()
        self._report_load(attempt, at_head=False)
        wrong_upstream = attempt.status == HTTPStatus.MISDIRECTED_REQUEST
        if (
            wrong_upstream
            or find_header(lowercase_headers, names.not_run) is not None
        ):
            self._gateway.metrics.count_attempt("not_run")
            self._log(
                "not_run",
                upstream=attempt.upstream.upstream_id,
                status=attempt.status,
            )
            self._gateway.deliver(
                events.AttemptRejected(
                    now_s=now_s,
                    request=self.request_number,
                    wrong_upstream=wrong_upstream,
                )
            )
            return
        self.on_started()
        if self._head_written:
            self.on_broken(attempt, f"resumed with status {attempt.status}")
            return
        if (
            attempt.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            or attempt.status in REFUSAL_STATUSES
        ):
            self._failed_attempt = attempt
            self._gateway.metrics.count_attempt("upstream_failed")
            self._log(
                "upstream_failed",
                upstream=attempt.upstream.upstream_id,
                status=attempt.status,
            )
            self._gateway.deliver(
                events.AttemptFailed(now_s=now_s, request=self.request_number)
            )
            return
        self._gateway.deliver(
            events.AttemptSucceeded(
                now_s=now_s,
                request=self.request_number,
                end_marked=attempt.end_marked,
            )
        )
        self._write_response(attempt)

    # Helpers.

    def _handle_limit(self, attempt: Attempt) -> None:
        try:
            rate = parse_named_rate(
                attempt.header_values(self._gateway.names.upstream_limit)
            )
        except ValueError as error:
            if self._gateway.report_invalid_signal(attempt.upstream, "limit"):
                self._log(
                    "limit_ignored",
                    upstream=attempt.upstream.upstream_id,
                    reason=str(error),
                )
            return
        if rate is None and attempt.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            # What failed may stand in front of the upstream.
            return
        if rate is not None:
            self._gateway.metrics.count_upstream_signal("limit")
        self._gateway.deliver(
            events.LimitStated(
                now_s=boot_s(),
                upstream=attempt.upstream,
                rate=math.inf if rate is None else rate,
                sent_s=attempt.sent_s,
            )
        )

    def _handle_retry_after(self, attempt: Attempt) -> None:
        value = attempt.header(b"retry-after")
        if value is None:
            return
        try:
            pause_s = parse_retry_after_s(value)
        except ValueError as error:
            if self._gateway.report_invalid_signal(attempt.upstream, "pause"):
                self._log(
                    "pause_ignored",
                    upstream=attempt.upstream.upstream_id,
                    reason=str(error),
                )
            return
        if not pause_s:
            return
        self._gateway.metrics.count_upstream_signal("pause")
        self._log(
            "upstream_paused",
            upstream=attempt.upstream.upstream_id,
            asked=value.decode("latin-1"),
            pause_s=pause_s,
        )
        self._gateway.deliver(
            events.PauseRequested(
                now_s=boot_s(),
                upstream=attempt.upstream.upstream_id,
                pause_s=pause_s,
            )
        )

    def _report_load(self, attempt: Attempt, *, at_head: bool) -> None:
        value = attempt.header(self._gateway.names.upstream_load)
        load = None if value is None else parse_load(value)
        if load is None or (at_head and load.percent is None):
            return
        self._gateway.deliver(
            events.LoadReported(
                now_s=boot_s(),
                upstream=attempt.upstream.upstream_id,
                running=load.running,
                waiting=load.waiting,
                started_ms=attempt.upstream.started_ms,
                percent=load.percent,
                at_head=at_head,
            )
        )

    def _encode_request(self, effect: effects.SendAttempt) -> bytes:
        replaces_last_event = self._head_written or effect.number > 1
        self._request.restore_headers()
        encoded = forwarded_request(
            self._request,
            self._gateway.names,
            GatewayHeaders(
                allowed_ms=max(1, int(effect.allowed_s * _MS_PER_S)),
                upstream_id=effect.upstream.upstream_id,
                workspace=self.workspace.name if self.workspace else None,
                rank=self._rank if self._has_prompt else None,
                resume_after=(
                    self._last_event_id if replaces_last_event else None
                ),
                replaces_last_event=replaces_last_event,
            ),
        )
        self._request.release_headers()
        return encoded

    def _write_stream_head(self, attempt: Attempt) -> None:
        self._head_written = True
        self._first_event_s = boot_s()
        self._stream_response.start(
            attempt.status,
            attempt.reason,
            forwarded_response_headers(attempt.headers, self._gateway.names),
        )

    def _write_response(self, attempt: Attempt) -> None:
        close = self._connection.must_close
        headers = forwarded_response_headers(
            attempt.headers, self._gateway.names
        )
        if attempt.framing is BodyFraming.NO_BODY:
            # The length that a response to GET has, as the upstream says.
            length = attempt.header(b"content-length")
        else:
            length = b"%d" % len(attempt.body)
        if length is not None and attempt.status != HTTPStatus.NO_CONTENT:
            headers.append((b"Content-Length", length))
        if close:
            headers.append((b"Connection", b"close"))
        head = encode_response_head(attempt.status, attempt.reason, headers)
        self._finish_request(attempt.status)
        self._connection.write(head + bytes(attempt.body))
        self._connection.finish(close=close)

    def _finish_stream(self, attempt: Attempt) -> None:
        attempt.release_connection()
        self._gateway.deliver(
            events.AttemptSucceeded(
                now_s=boot_s(),
                request=self.request_number,
                end_marked=attempt.end_marked,
            )
        )
        self._finish_request(attempt.status, **self._stream_position(attempt))
        self._stream_response.finish()

    def _stream_position(self, attempt: Attempt) -> dict[str, object]:
        """Return where a response ended, as fields of a log line."""
        return {
            "framing": attempt.framing.value if attempt.framing else None,
            "last_event": self._last_event_id,
            "longest_gap_ms": round(self._longest_gap_s * _MS_PER_S),
            "incomplete_event_bytes": attempt.splitter.incomplete_bytes,
        }

    def _finish_request(self, status: int, **details: object) -> None:
        now_s = boot_s()
        first_event_s = self._first_event_s
        self._log(
            "done",
            status=status,
            took_ms=round((now_s - self._arrived_s) * _MS_PER_S),
            first_ms=(
                None
                if first_event_s is None
                else round((first_event_s - self._arrived_s) * _MS_PER_S)
            ),
            **details,
        )
        self._gateway.metrics.count_response(status)
        self._gateway.metrics.observe_first_part(
            self._route.name, (first_event_s or now_s) - self._arrived_s
        )
        self._gateway.remove_relay(self)

    def _log(self, decision: str, **inputs: object) -> None:
        decision_log.record(
            decision,
            request_id=self._request_id[:MAX_LOGGED_ID_BYTES].decode("latin-1"),
            route=self._route.name,
            workspace=self.workspace.name if self.workspace else None,
            **inputs,
        )
