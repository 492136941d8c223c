"""Forward one attempt's stream to the caller, token by token."""

from collections.abc import Callable
import json

from shallotfold._entry import events
from shallotfold._entry.serving.exchange import Exchange
from shallotfold._entry.serving.sse import END_DATA
from shallotfold._entry.serving.sse import Chunk
from shallotfold._entry.serving.sse import EventSplitter
from shallotfold._entry.serving.sse import StreamError
from shallotfold._entry.serving.sse import read_chunk

_SHARED_FIELDS = ("id", "created", "model")


class StreamRelay:
    """The stream of one attempt.

    From the chunk with the `finish_reason` on, all events are buffered until
    the end marker, so that a stream that breaks there can still be resumed.

    Attributes:
        resuming: Whether a part of the answer was already sent.
        is_complete: Whether the end marker was received.
        received_tokens: Tokens received in this attempt.
        prompt_tokens: Input tokens reported by the engine; 0 when missing.
    """

    def __init__(
        self,
        exchange: Exchange,
        max_event_bytes: int,
        deliver: Callable[[events.Event], None],
    ) -> None:
        self.resuming = exchange.response is not None
        self.is_complete = False
        self.received_tokens = 0
        self.prompt_tokens = 0
        self._exchange = exchange
        self._deliver = deliver
        self._splitter = EventSplitter(max_event_bytes)
        self._max_tail_bytes = max_event_bytes
        self._tail: list[bytes] = []
        self._tail_bytes = 0
        self._engine_output_tokens = -1
        self._tokens_before_attempt = exchange.tokens

    @property
    def output_tokens(self) -> int:
        """Output tokens of this attempt, as counted by the engine if it did."""
        if self._engine_output_tokens >= 0:
            return self._engine_output_tokens
        return self.received_tokens

    def make_body(self) -> bytes:
        """Return the request's body; a resumed one includes the text sent."""
        exchange = self._exchange
        if not exchange.tokens:
            return exchange.body
        resume = json.dumps({"text": exchange.text, "tokens": exchange.tokens})
        # The body is a JSON object without trailing space.
        return exchange.body[:-1] + b',"resume":' + resume.encode() + b"}"

    async def feed(self, data: bytes) -> None:
        """Forward the events that `data` completes.

        Raises:
            StreamError: The stream violates the protocol.
            CallerDisconnectedError: The caller has disconnected.
        """
        exchange = self._exchange
        forwarded: list[bytes] = []
        tokens = 0
        for event in self._splitter.feed(data):
            if event == END_DATA:
                self._finish()
                break
            chunk = read_chunk(event)
            self._update_token_counts(chunk)
            if chunk.finished or self._tail:
                self._buffer_tail(self._render(event, chunk))
                continue
            if self._is_redundant_start(chunk):
                continue
            forwarded.append(self._render(event, chunk))
            exchange.resumable = exchange.resumable and chunk.resumable
            exchange.add_text(chunk.text)
            tokens += chunk.has_token
        if not forwarded:
            return
        # Counted first, since a cancelled write may have sent them.
        exchange.count_tokens(tokens)
        await exchange.write(b"".join(forwarded))
        exchange.report_tokens_if_due(self._deliver)

    def _update_token_counts(self, chunk: Chunk) -> None:
        self.received_tokens += chunk.has_token
        if chunk.prompt_tokens:
            self.prompt_tokens = chunk.prompt_tokens
        if chunk.completion_tokens >= 0:
            self._engine_output_tokens = chunk.completion_tokens

    def _is_redundant_start(self, chunk: Chunk) -> bool:
        return self.resuming and not chunk.has_token

    def _buffer_tail(self, event: bytes) -> None:
        self._tail.append(event)
        self._tail_bytes += len(event)
        if self._tail_bytes > self._max_tail_bytes:
            raise StreamError("too many bytes follow the finish_reason")

    def _finish(self) -> None:
        self.is_complete = True
        self._exchange.tail = b"".join(self._tail)

    def _render(self, event: bytes, chunk: Chunk) -> bytes:
        exchange = self._exchange
        if not self.resuming:
            if not exchange.shared_chunk_fields:
                exchange.shared_chunk_fields = {
                    name: chunk.content[name]
                    for name in _SHARED_FIELDS
                    if name in chunk.content
                }
            return b"data: " + event + b"\n\n"
        content = {**chunk.content, **exchange.shared_chunk_fields}
        if chunk.completion_tokens >= 0:
            content["usage"] = self._total_usage(chunk)
        return b"data: " + json.dumps(content).encode() + b"\n\n"

    def _total_usage(self, chunk: Chunk) -> dict[str, object]:
        usage = dict(chunk.content["usage"])
        total_completion = chunk.completion_tokens + self._tokens_before_attempt
        usage["completion_tokens"] = total_completion
        usage["total_tokens"] = chunk.prompt_tokens + total_completion
        return usage
