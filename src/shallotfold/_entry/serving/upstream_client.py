"""Run attempts on upstreams and report whether they ran."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import json
import time
from typing import Any

import aiohttp
import attrs
from loguru import logger
import yarl

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.serving import headers
from shallotfold._entry.serving.exchange import BufferedAnswer
from shallotfold._entry.serving.exchange import CallerDisconnectedError
from shallotfold._entry.serving.exchange import Exchange
from shallotfold._entry.serving.sse import StreamError
from shallotfold._entry.serving.sse import read_usage
from shallotfold._entry.serving.stream_relay import StreamRelay
from shallotfold._errors import ShallotfoldError
from shallotfold._gateway.http.messages import FINAL_STATUSES
from shallotfold._gateway.http.messages import BodyFraming
from shallotfold._gateway.http.messages import response_framing
from shallotfold._model.requests import Outcome
from shallotfold._settings.entry import AttemptSettings

NO_CREDENTIAL = ""
# The pool owners limit the running requests. They couldn't see requests that
# wait here for a connection.
NO_CONNECTION_LIMIT = 0
# The end of the body normally follows the end marker at once; a longer wait
# for it isn't worthwhile.
BODY_END_TIMEOUT_S = 0.5
_MODEL_FAILURE_STATUSES = frozenset({401, 403, 404, 408, 429})


class InvalidAnswerError(ShallotfoldError):
    """The response is not a complete answer to this request."""


@attrs.frozen(kw_only=True)
class AttemptResult:
    """How an attempt ended, to be delivered to the reducer."""

    outcome: Outcome
    status: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    retry_after_s: float = -1.0


class UpstreamClient:
    """Send requests to upstreams.

    Idempotent requests share pooled connections. Each other request gets a
    new one: when a reused connection breaks, it is unknown whether the
    request ran.
    """

    def __init__(
        self,
        settings: AttemptSettings,
        credentials: Mapping[str, str],
        deliver: Callable[[events.Event], None],
    ) -> None:
        self._settings = settings
        self._credentials = credentials
        self._deliver = deliver
        self._pooled_session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pools."""
        self._pooled_session = self._open_session(
            aiohttp.TCPConnector(
                limit=NO_CONNECTION_LIMIT,
                keepalive_timeout=self._settings.keepalive_s,
            )
        )
        self._single_use_session = self._open_session(
            aiohttp.TCPConnector(limit=NO_CONNECTION_LIMIT, force_close=True)
        )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._pooled_session, self._single_use_session):
            if session is not None:
                await session.close()

    async def run(
        self, exchange: Exchange, effect: effects.StartAttempt
    ) -> None:
        """Run one attempt and deliver its result."""
        try:
            result = await self._try_attempt(exchange, effect)
        except CallerDisconnectedError as error:
            exchange.fail(error)
            return
        if result is not None:
            self._deliver_result(exchange, effect, result)

    async def _try_attempt(
        self, exchange: Exchange, effect: effects.StartAttempt
    ) -> AttemptResult | None:
        relay = StreamRelay(
            exchange, self._settings.max_answer_bytes, self._deliver
        )
        if relay.resuming and not exchange.resumable:
            return AttemptResult(outcome=Outcome.UNKNOWN)
        try:
            return await self._send(exchange, effect, relay)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            self._log_failure(effect, "could not connect", error)
            return AttemptResult(outcome=Outcome.NOT_RUN)
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ValueError,
            StreamError,
            InvalidAnswerError,
        ) as error:
            self._log_failure(effect, "failed, outcome unknown", error)
            return AttemptResult(
                outcome=Outcome.UNKNOWN, output_tokens=relay.received_tokens
            )

    async def _send(
        self,
        exchange: Exchange,
        effect: effects.StartAttempt,
        relay: StreamRelay,
    ) -> AttemptResult | None:
        session = (
            self._pooled_session
            if exchange.request.idempotent
            else self._single_use_session
        )
        assert session is not None
        request = exchange.request
        async with session.request(
            request.method,
            yarl.URL(effect.url.rstrip("/") + exchange.path, encoded=True),
            data=relay.make_body() or None,
            headers=self._headers(exchange, effect),
            allow_redirects=False,
        ) as response:
            try:
                return await self._read_response(
                    exchange, effect, relay, response
                )
            finally:
                if not response.content.at_eof():
                    response.close()

    async def _read_response(
        self,
        exchange: Exchange,
        effect: effects.StartAttempt,
        relay: StreamRelay,
        response: aiohttp.ClientResponse,
    ) -> AttemptResult | None:
        if response.headers.get(headers.REQUEST_ID) != effect.request_id:
            raise InvalidAnswerError(
                "the response belongs to another request; "
                "the upstream must echo X-Request-Id"
            )
        status = response.status
        if status not in FINAL_STATUSES:
            raise InvalidAnswerError(f"no response has the status {status:03}")
        if response.headers.get(headers.NOT_RUN) == "1" and status >= 400:
            return AttemptResult(
                outcome=Outcome.NOT_RUN,
                status=status,
                retry_after_s=_retry_after_s(response),
            )
        if exchange.request.model and (
            status >= 500 or status in _MODEL_FAILURE_STATUSES
        ):
            return AttemptResult(
                outcome=Outcome.UNKNOWN,
                status=status,
                retry_after_s=_retry_after_s(response),
            )
        if response.content_type == "text/event-stream" and (
            exchange.request.streaming
        ):
            await self._relay_stream(exchange, effect, relay, response)
            return None
        if relay.resuming:
            raise InvalidAnswerError("the upstream did not resume the stream")
        return await self._buffer_answer(exchange, response)

    async def _relay_stream(
        self,
        exchange: Exchange,
        effect: effects.StartAttempt,
        relay: StreamRelay,
        response: aiohttp.ClientResponse,
    ) -> None:
        async for data in response.content.iter_any():
            await relay.feed(data)
            if relay.is_complete:
                break
        if not relay.is_complete:
            raise InvalidAnswerError("the stream has no end marker")
        result = AttemptResult(
            outcome=Outcome.RAN,
            status=response.status,
            prompt_tokens=relay.prompt_tokens,
            output_tokens=relay.output_tokens,
        )
        self._deliver_result(exchange, effect, result)
        await _read_body_end(response)

    async def _buffer_answer(
        self, exchange: Exchange, response: aiohttp.ClientResponse
    ) -> AttemptResult:
        body = await self._read_body(response)
        exchange.answer = BufferedAnswer(
            status=response.status,
            headers=headers.for_caller(response.headers),
            body=body,
        )
        prompt_tokens, output_tokens = 0, -1
        if exchange.request.model:
            prompt_tokens, output_tokens = _read_body_usage(body)
        return AttemptResult(
            outcome=Outcome.RAN,
            status=response.status,
            prompt_tokens=prompt_tokens,
            output_tokens=max(0, output_tokens),
        )

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        connection_end = _get_connection_end(response)
        limit = self._settings.max_answer_bytes
        parts = []
        size = 0
        async for part in response.content.iter_any():
            size += len(part)
            if size > limit:
                raise InvalidAnswerError(
                    f"the response is larger than {limit} bytes; "
                    "raise attempts.max_answer_bytes"
                )
            parts.append(part)
        if connection_end is not None:
            await connection_end
        return b"".join(parts)

    def _headers(
        self, exchange: Exchange, effect: effects.StartAttempt
    ) -> dict[str, str]:
        request_headers = dict(exchange.upstream_headers)
        request_headers[headers.REQUEST_ID] = effect.request_id
        if exchange.request.model:
            request_headers[headers.PRIORITY] = str(effect.priority)
        if effect.credential == NO_CREDENTIAL:
            return request_headers
        secret = self._credentials.get(effect.credential)
        if secret is None:
            logger.error(
                "no credential {!r}; add it to [credentials] in the settings",
                effect.credential,
            )
            return request_headers
        request_headers["Authorization"] = f"Bearer {secret}"
        return request_headers

    def _open_session(
        self, connector: aiohttp.TCPConnector
    ) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=self._settings.connect_timeout_s,
                sock_read=self._settings.idle_timeout_s,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
            trust_env=False,
        )
        # aiohttp has no public option to disable its own retries.
        session._retry_connection = False
        return session

    def _deliver_result(
        self,
        exchange: Exchange,
        effect: effects.StartAttempt,
        result: AttemptResult,
    ) -> None:
        # The rest of the task must not be cancelled with the request.
        exchange.attempt = None
        self._deliver(
            events.AttemptEnded(
                now_s=time.monotonic(),
                request_id=effect.request_id,
                attempt=effect.attempt,
                outcome=result.outcome,
                status=result.status,
                prompt_tokens=result.prompt_tokens,
                output_tokens=result.output_tokens,
                retry_after_s=result.retry_after_s,
                answer_started=exchange.response is not None,
                resumable=exchange.resumable,
            )
        )

    def _log_failure(
        self, effect: effects.StartAttempt, problem: str, error: Exception
    ) -> None:
        logger.bind(request_id=effect.request_id).warning(
            "attempt {} on {}: {}: {}",
            effect.attempt,
            effect.upstream,
            problem,
            error if isinstance(error, ShallotfoldError) else type(error),
        )


def _get_connection_end(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    """Return the end of the connection if nothing else ends the body.

    It raises `aiohttp.ClientError` after a reset, which `response.content`
    reports like an orderly end.
    """
    framing = response_framing(response.status, response.raw_headers)
    if response.method == "HEAD" or framing is not BodyFraming.CONNECTION_CLOSE:
        return None
    connection = response.connection
    protocol = None if connection is None else connection.protocol
    connection_end = None if protocol is None else protocol.closed
    if connection_end is None:
        raise InvalidAnswerError(
            "the connection ended before the response was read; whether it "
            "was reset is unknown"
        )
    return connection_end


async def _read_body_end(response: aiohttp.ClientResponse) -> None:
    """Read the end of a body, so that its connection can be reused."""
    try:
        async with asyncio.timeout(BODY_END_TIMEOUT_S):
            rest = await response.content.readany()
    except (TimeoutError, aiohttp.ClientError):
        response.close()
        return
    if rest:
        response.close()


def _retry_after_s(response: aiohttp.ClientResponse) -> float:
    try:
        retry_after_s = float(response.headers.get("Retry-After", ""))
    except ValueError:
        return -1.0
    return retry_after_s if 0.0 <= retry_after_s < 86_400.0 else -1.0


def _read_body_usage(body: bytes) -> tuple[int, int]:
    try:
        content: Any = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidAnswerError("the engine's response is not JSON") from error
    if not isinstance(content, dict):
        raise InvalidAnswerError("the engine's response is not a JSON object")
    return read_usage(content)
