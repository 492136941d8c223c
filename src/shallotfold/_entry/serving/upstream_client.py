"""Run attempts on upstreams and tell honestly how they ended."""

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
from shallotfold._entry.serving.exchange import Answer
from shallotfold._entry.serving.exchange import CallerGoneError
from shallotfold._entry.serving.exchange import Exchange
from shallotfold._entry.serving.sse import StreamError
from shallotfold._entry.serving.sse import usage_of
from shallotfold._entry.serving.stream_relay import StreamRelay
from shallotfold._errors import ShallotfoldError
from shallotfold._model.requests import Outcome
from shallotfold._settings.entry import AttemptSettings

NO_CREDENTIAL = ""
# The owners of the pools bound what runs; a wait here would be unseen.
NO_LIMIT = 0
# The end of the body follows the end marker at once; a later one is not
# worth a wait.
BODY_END_TIMEOUT_S = 0.5
_MODEL_FAILURES = frozenset({401, 403, 404, 408, 429})


class UntrustedAnswerError(ShallotfoldError):
    """An upstream's answer is not the whole answer to this request."""


@attrs.frozen(kw_only=True)
class Ended:
    """How an attempt ended, before it is told to the reducer."""

    outcome: Outcome
    status: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    retry_after_s: float = -1.0


class UpstreamClient:
    """Send requests to upstreams.

    Idempotent requests share pooled connections; any other gets a fresh one,
    since a pooled connection that breaks does not tell whether the request
    ran.
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
        self._pooled: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pools."""
        self._pooled = self._open_session(
            aiohttp.TCPConnector(
                limit=NO_LIMIT,
                keepalive_timeout=self._settings.keepalive_s,
            )
        )
        self._fresh = self._open_session(
            aiohttp.TCPConnector(limit=NO_LIMIT, force_close=True)
        )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._pooled, self._fresh):
            if session is not None:
                await session.close()

    async def run(
        self, exchange: Exchange, start: effects.StartAttempt
    ) -> None:
        """Run one attempt and deliver how it ended."""
        try:
            ended = await self._try(exchange, start)
        except CallerGoneError as gone:
            exchange.abandon(gone)
            return
        if ended is not None:
            self._tell(exchange, start, ended)

    async def _try(
        self, exchange: Exchange, start: effects.StartAttempt
    ) -> Ended | None:
        relay = StreamRelay(
            exchange, self._settings.max_answer_bytes, self._deliver
        )
        if relay.resuming and not exchange.resumable:
            return Ended(outcome=Outcome.UNKNOWN)
        try:
            return await self._send(exchange, start, relay)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            self._log(start, "not connected", error)
            return Ended(outcome=Outcome.NOT_RUN)
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ValueError,
            StreamError,
            UntrustedAnswerError,
        ) as error:
            self._log(start, "broken", error)
            return Ended(
                outcome=Outcome.UNKNOWN, output_tokens=relay.received_tokens
            )

    async def _send(
        self,
        exchange: Exchange,
        start: effects.StartAttempt,
        relay: StreamRelay,
    ) -> Ended | None:
        session = self._pooled if exchange.request.idempotent else self._fresh
        assert session is not None
        request = exchange.request
        async with session.request(
            request.method,
            yarl.URL(start.url.rstrip("/") + exchange.path, encoded=True),
            data=relay.body() or None,
            headers=self._headers(exchange, start),
            allow_redirects=False,
        ) as response:
            try:
                return await self._read(exchange, start, relay, response)
            finally:
                if not response.content.at_eof():
                    response.close()

    async def _read(
        self,
        exchange: Exchange,
        start: effects.StartAttempt,
        relay: StreamRelay,
        response: aiohttp.ClientResponse,
    ) -> Ended | None:
        if response.headers.get(headers.REQUEST_ID) != start.request_id:
            raise UntrustedAnswerError(
                "the answer belongs to another request; "
                "the upstream must echo X-Request-Id"
            )
        status = response.status
        if response.headers.get(headers.NOT_RUN) == "1" and status >= 400:
            return Ended(
                outcome=Outcome.NOT_RUN,
                status=status,
                retry_after_s=_retry_after_s(response),
            )
        if exchange.request.model and (
            status >= 500 or status in _MODEL_FAILURES
        ):
            return Ended(
                outcome=Outcome.UNKNOWN,
                status=status,
                retry_after_s=_retry_after_s(response),
            )
        if response.content_type == "text/event-stream" and (
            exchange.request.streaming
        ):
            await self._relay(exchange, start, relay, response)
            return None
        if relay.resuming:
            raise UntrustedAnswerError("the upstream did not resume the stream")
        return await self._hold_answer(exchange, response)

    async def _relay(
        self,
        exchange: Exchange,
        start: effects.StartAttempt,
        relay: StreamRelay,
        response: aiohttp.ClientResponse,
    ) -> None:
        async for data in response.content.iter_any():
            await relay.feed(data)
            if relay.whole:
                break
        if not relay.whole:
            raise UntrustedAnswerError("the stream has no end marker")
        ended = Ended(
            outcome=Outcome.RAN,
            status=response.status,
            prompt_tokens=relay.prompt_tokens,
            output_tokens=relay.output_tokens,
        )
        self._tell(exchange, start, ended)
        await _read_body_end(response)

    async def _hold_answer(
        self, exchange: Exchange, response: aiohttp.ClientResponse
    ) -> Ended:
        body = await self._read_body(response)
        exchange.answer = Answer(
            status=response.status,
            headers=headers.for_caller(response.headers),
            body=body,
        )
        prompt_tokens, output_tokens = 0, -1
        if exchange.request.model:
            prompt_tokens, output_tokens = _usage_of_body(body)
        return Ended(
            outcome=Outcome.RAN,
            status=response.status,
            prompt_tokens=prompt_tokens,
            output_tokens=max(0, output_tokens),
        )

    async def _read_body(self, response: aiohttp.ClientResponse) -> bytes:
        limit = self._settings.max_answer_bytes
        parts = []
        size = 0
        async for part in response.content.iter_any():
            size += len(part)
            if size > limit:
                raise UntrustedAnswerError(
                    f"the answer is larger than {limit} bytes; "
                    "raise attempts.max_answer_bytes"
                )
            parts.append(part)
        return b"".join(parts)

    def _headers(
        self, exchange: Exchange, start: effects.StartAttempt
    ) -> dict[str, str]:
        chosen = dict(exchange.upstream_headers)
        chosen[headers.REQUEST_ID] = start.request_id
        if exchange.request.model:
            chosen[headers.PRIORITY] = str(start.priority)
        if start.credential == NO_CREDENTIAL:
            return chosen
        secret = self._credentials.get(start.credential)
        if secret is None:
            logger.error(
                "no credential {!r}; add it to [credentials] in the settings",
                start.credential,
            )
            return chosen
        chosen["Authorization"] = f"Bearer {secret}"
        return chosen

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
        # There is no public switch for aiohttp's own retries.
        session._retry_connection = False
        return session

    def _tell(
        self, exchange: Exchange, start: effects.StartAttempt, ended: Ended
    ) -> None:
        # What is left of the task must not be cancelled with the request.
        exchange.attempt = None
        self._deliver(
            events.AttemptEnded(
                now_s=time.monotonic(),
                request_id=start.request_id,
                attempt=start.attempt,
                outcome=ended.outcome,
                status=ended.status,
                prompt_tokens=ended.prompt_tokens,
                output_tokens=ended.output_tokens,
                retry_after_s=ended.retry_after_s,
                answer_started=exchange.response is not None,
                resumable=exchange.resumable,
            )
        )

    def _log(
        self, start: effects.StartAttempt, what: str, error: Exception
    ) -> None:
        logger.bind(request_id=start.request_id).warning(
            "attempt {} on {}: {}: {}",
            start.attempt,
            start.upstream,
            what,
            error if isinstance(error, ShallotfoldError) else type(error),
        )


async def _read_body_end(response: aiohttp.ClientResponse) -> None:
    """Let a finished stream's connection go back to the pool if it can."""
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
        wait_s = float(response.headers.get("Retry-After", ""))
    except ValueError:
        return -1.0
    return wait_s if 0.0 <= wait_s < 86_400.0 else -1.0


def _usage_of_body(body: bytes) -> tuple[int, int]:
    try:
        content: Any = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise UntrustedAnswerError("the engine's answer is no JSON") from error
    if not isinstance(content, dict):
        raise UntrustedAnswerError("the engine's answer is no JSON object")
    return usage_of(content)
