"""What the shell stores of one caller's request until its final answer."""

import asyncio
from collections.abc import Callable
import time

from aiohttp import web
import attrs

from shallotfold._entry import events
from shallotfold._entry.serving import headers
from shallotfold._model.requests import CallerRequest
from shallotfold._model.requests import RecordedAnswer
from shallotfold._model.requests import Refusal

TOKENS_REPORT_INTERVAL_S = 0.05
# By default an asyncio transport makes a writer wait once it buffers more than
# 64 KiB.
IMMEDIATE_WRITE_BUFFER_BYTES = 32 * 1024
MAX_RESUME_CHARACTERS = 1024 * 1024


@attrs.frozen
class Finished:
    """The answer is complete and its end may be sent to the caller."""


@attrs.frozen
class Refused:
    """The request was refused."""

    refusal: Refusal


@attrs.frozen
class Replayed:
    """The request is answered with the recorded answer of an earlier run."""

    answer: RecordedAnswer


FinalResult = Finished | Refused | Replayed


@attrs.frozen(kw_only=True)
class BufferedAnswer:
    """A complete answer of an upstream, buffered until the request ends."""

    status: int
    headers: dict[str, str]
    body: bytes


class CallerDisconnectedError(Exception):
    """The caller closed its connection or stopped reading."""


@attrs.define(kw_only=True, eq=False)
class Exchange:
    """One request, from its caller to its upstreams.

    Attributes:
        request: The request as passed to the reducer.
        web_request: The caller's HTTP request.
        path: Path and query for the upstream.
        upstream_headers: Headers for the upstream.
        body: Body for the upstream.
        write_timeout_s: Longest wait for the caller to read.
        final_result: Set once; raises `CallerDisconnectedError` when awaited
            if the caller has disconnected.
        attempt: Task of the running attempt.
        response: The streamed answer; `None` before its first byte.
        answer: The buffered answer; `None` before it is complete.
        tail: Last events of a stream, buffered to go with the end marker.
        tokens: Number of tokens sent to the caller.
        shared_chunk_fields: Fields with one value in all chunks of a stream.
        resumable: Whether `text` is enough to resume the stream.
    """

    request: CallerRequest
    web_request: web.BaseRequest
    path: str
    upstream_headers: dict[str, str]
    body: bytes
    write_timeout_s: float
    final_result: asyncio.Future[FinalResult]
    attempt: asyncio.Task[None] | None = None
    attempt_number: int = 0
    response: web.StreamResponse | None = None
    answer: BufferedAnswer | None = None
    tail: bytes = b""
    tokens: int = 0
    shared_chunk_fields: dict[str, object] = attrs.field(factory=dict)
    resumable: bool = True
    _text: list[str] = attrs.field(factory=list)
    _text_characters: int = 0
    _unreported_tokens: int = 0
    _last_report_s: float = 0.0

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.request.request_id

    @property
    def text(self) -> str:
        """Text that was sent to the caller."""
        return "".join(self._text)

    def end(self, result: FinalResult) -> None:
        """Set the final result; later ones are ignored."""
        if not self.final_result.done():
            self.final_result.set_result(result)

    def fail(self, error: CallerDisconnectedError) -> None:
        """Raise the disconnection in the task that awaits the result."""
        if not self.final_result.done():
            self.final_result.set_exception(error)

    def add_text(self, text: str) -> None:
        """Record text that is about to be written to the caller."""
        self._text_characters += len(text)
        if self._text_characters > MAX_RESUME_CHARACTERS:
            self.resumable = False
            self._text.clear()
        elif self.resumable:
            self._text.append(text)

    async def write(self, data: bytes) -> None:
        """Write bytes of the stream; wait while the caller reads slowly.

        Raises:
            CallerDisconnectedError: The caller disconnected or stopped
                reading.
        """
        try:
            if self._can_write_without_waiting(len(data)):
                await self._write(data)
                return
            async with asyncio.timeout(self.write_timeout_s):
                await self._write(data)
        except (ConnectionError, TimeoutError) as error:
            raise CallerDisconnectedError from error

    def count_tokens(self, count: int) -> None:
        """Count tokens that are about to be written to the caller."""
        self.tokens += count
        self._unreported_tokens += count

    def report_tokens_if_due(
        self, deliver: Callable[[events.Event], None]
    ) -> None:
        """Report new tokens to the reducer at a limited rate."""
        if time.monotonic() - self._last_report_s >= TOKENS_REPORT_INTERVAL_S:
            self.report_tokens(deliver)

    def report_tokens(self, deliver: Callable[[events.Event], None]) -> None:
        """Report tokens to the reducer that were not reported yet."""
        count = self._unreported_tokens
        if not count:
            return
        self._unreported_tokens = 0
        self._last_report_s = time.monotonic()
        deliver(
            events.TokensForwarded(
                now_s=self._last_report_s,
                request_id=self.request_id,
                attempt=self.attempt_number,
                count=count,
                resumable=self.resumable,
            )
        )

    def _can_write_without_waiting(self, size: int) -> bool:
        """Whether a write of `size` bytes returns without waiting."""
        transport = self.web_request.transport
        if transport is None or self.response is None:
            return False
        return (
            transport.get_write_buffer_size() + size
            < IMMEDIATE_WRITE_BUFFER_BYTES
        )

    async def _write(self, data: bytes) -> None:
        if self.response is None:
            await self._start_response()
        assert self.response is not None
        await self.response.write(data)

    async def _start_response(self) -> None:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream; charset=utf-8",
                "Cache-Control": "no-cache",
                headers.REQUEST_ID: self.request_id,
            }
        )
        self.response = response
        await response.prepare(self.web_request)
