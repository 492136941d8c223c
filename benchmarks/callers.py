"""Send requests as real callers do and check every answer token by token."""

import asyncio
from collections import Counter
import hashlib
import itertools
import json
import time
from typing import Any

import aiohttp
import attrs

from benchmarks.exchanges import Exchange
from benchmarks.exchanges import Result
from benchmarks.exchanges import Workload
from shallotfold._model.prompts import prompt_text
from shallotfold._standin.answers import Answer
from shallotfold._standin.answers import answer_to
from shallotfold._standin.answers import count_prompt_tokens

CLASS_HEADER = "X-Request-Class"
MAX_TRIES = 6
REQUEST_TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.2


class _TruncatedAnswerError(Exception):
    """The connection was lost before the answer was complete."""


@attrs.define
class Callers:
    """Send workloads to the entries and record every exchange.

    Attributes:
        entry_urls: Base URLs of the entries, used in round-robin order.
        max_tries: Maximum number of times that a request is sent.
        exchanges: All requests sent so far.
        in_flight_by_entry: Number of requests in flight at each entry.
    """

    entry_urls: list[str]
    max_tries: int = MAX_TRIES
    exchanges: list[Exchange] = attrs.field(factory=list)
    in_flight_by_entry: Counter[str] = attrs.field(factory=Counter)
    _round_robin: "itertools.count[int]" = attrs.field(factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
        )

    async def close(self) -> None:
        """Wait for all requests to end and close the connection pool."""
        await self.drain()
        if self._session:
            await self._session.close()

    async def send_for(self, workload: Workload, duration_s: float) -> None:
        """Send a workload at its rate, regardless of the responses."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        next_s = loop.time()
        while next_s < end_s:
            task = asyncio.create_task(self._send(workload))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            next_s += workload.interval_s
            await asyncio.sleep(max(0.0, next_s - loop.time()))

    async def drain(self) -> None:
        """Wait until every request has ended."""
        await asyncio.gather(*self._tasks)

    async def send_one(self, workload: Workload) -> Exchange:
        """Send one request, with retries, and return its outcome."""
        exchange = Exchange(workload=workload, number=len(self.exchanges))
        self.exchanges.append(exchange)
        body = _make_body(workload, exchange.number)
        exchange.body_sha256 = hashlib.sha256(body).hexdigest()
        exchange.started_s = time.monotonic()
        last_url = ""
        while exchange.tries < self.max_tries:
            exchange.tries += 1
            entry_url = self._next_entry(last_url)
            last_url = entry_url
            if not await self._send_to_entry(entry_url, exchange, body):
                break
            await asyncio.sleep(RETRY_DELAY_S)
        exchange.total_s = time.monotonic() - exchange.started_s
        return exchange

    async def _send(self, workload: Workload) -> None:
        await self.send_one(workload)

    def _next_entry(self, last_url: str) -> str:
        """Return the next entry, but not the last one if there is another."""
        others = [url for url in self.entry_urls if url != last_url]
        urls = others or self.entry_urls
        return urls[next(self._round_robin) % len(urls)]

    async def _send_to_entry(
        self, entry_url: str, exchange: Exchange, body: bytes
    ) -> bool:
        """Send once and return whether to retry."""
        self.in_flight_by_entry[entry_url] += 1
        try:
            return await self._post_and_check(entry_url, exchange, body)
        except aiohttp.ClientConnectorError as error:
            exchange.detail = str(error)
        except (
            _TruncatedAnswerError,
            aiohttp.ClientError,
            TimeoutError,
            OSError,
        ) as e:
            exchange.detail = f"{type(e).__name__}: {e}"
            exchange.cut_at.append(entry_url)
        finally:
            self.in_flight_by_entry[entry_url] -= 1
        return True

    async def _post_and_check(
        self, entry_url: str, exchange: Exchange, body: bytes
    ) -> bool:
        assert self._session is not None
        request_sent_s = asyncio.get_running_loop().time()
        async with self._session.post(
            entry_url + _path(exchange.workload),
            data=body,
            headers=self._headers(exchange),
        ) as response:
            if response.status != 200:
                return await _read_refusal(exchange, response)
            if exchange.workload.booking:
                _check_booking(exchange, await response.json())
            elif exchange.workload.streaming:
                await _check_stream(exchange, body, response, request_sent_s)
            else:
                _check_json_answer(exchange, body, await response.json())
        return False

    def _headers(self, exchange: Exchange) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {exchange.workload.key}",
            "Content-Type": "application/json",
        }
        if exchange.workload.booking:
            headers["Idempotency-Key"] = f"booking-{exchange.number}"
        else:
            headers[CLASS_HEADER] = exchange.workload.class_name
        return headers


def _path(workload: Workload) -> str:
    return "/booking/slots" if workload.booking else "/v1/chat/completions"


def _make_body(workload: Workload, number: int) -> bytes:
    if workload.booking:
        return json.dumps({"booking": number}).encode()
    token_count_range = workload.max_tokens - workload.min_tokens + 1
    tokens = workload.min_tokens + number * 7919 % token_count_range
    prompt = f"{workload.class_name} {number} [tokens={tokens}] "
    system_prompt = "site history " * (workload.prompt_characters // 13)
    return json.dumps(
        {
            "model": "general",
            "messages": [
                {"role": "system", "content": system_prompt},
                {"role": "user", "content": prompt},
            ],
            "stream": workload.streaming,
            "max_tokens": workload.max_tokens,
        }
    ).encode()


async def _read_refusal(
    exchange: Exchange, response: aiohttp.ClientResponse
) -> bool:
    text = await response.text()
    exchange.detail = f"{response.status} {text[:300]}"
    try:
        content = json.loads(text)
    except ValueError:
        content = {}
    error = content.get("error", {})
    if not isinstance(error, dict):
        error = {"code": str(error)}
    exchange.code = str(error.get("code", response.status))
    exchange.not_run = _is_marked_not_run(content, error)
    exchange.result = Result.REFUSED if exchange.not_run else Result.UNKNOWN
    # A booking whose first request is still in progress is retried with its
    # idempotency key. A refusal by a host that starts or stops is retried at
    # another host. Every other refusal is final for these callers.
    if exchange.code in ("shutting_down", "not_ready"):
        return exchange.not_run
    return exchange.workload.booking and exchange.code == "in_progress"


def _is_marked_not_run(content: dict[str, Any], error: dict[str, Any]) -> bool:
    for fields in (error, content):
        if fields.get("not_run") is True or fields.get("outcome") == "not_run":
            return True
    return False


def _check_booking(exchange: Exchange, content: dict[str, Any]) -> None:
    digest_matches = content.get("digest") == exchange.body_sha256
    exchange.result = Result.ANSWERED if digest_matches else Result.WRONG
    exchange.detail = (
        "" if digest_matches else f"another booking's answer: {content}"
    )


def _expected_answer(body: bytes) -> tuple[Answer, int]:
    fields = json.loads(body)
    prompt = prompt_text(fields)
    answer = answer_to(prompt, fields["max_tokens"])
    return answer, count_prompt_tokens(prompt)


def _check_json_answer(
    exchange: Exchange, body: bytes, content: dict[str, Any]
) -> None:
    text = content["choices"][0]["message"]["content"]
    _compare_answer(exchange, body, text)


async def _check_stream(
    exchange: Exchange,
    body: bytes,
    response: aiohttp.ClientResponse,
    request_sent_s: float,
) -> None:
    text = ""
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        if line.startswith(b"data: [DONE]"):
            _compare_answer(exchange, body, text)
            return
        chunk = json.loads(line[len(b"data: ") :])
        if "error" in chunk:
            _end_with_error(exchange, chunk)
            return
        token = _chunk_text(chunk)
        if token and not text:
            now_s = asyncio.get_running_loop().time()
            exchange.first_token_s = now_s - request_sent_s
        text += token
    raise _TruncatedAnswerError("the stream ended without its end marker")


def _chunk_text(chunk: dict[str, Any]) -> str:
    choices = chunk.get("choices") or [{}]
    return str(choices[0].get("delta", {}).get("content") or "")


def _end_with_error(exchange: Exchange, chunk: dict[str, Any]) -> None:
    error = chunk["error"]
    exchange.code = str(error.get("code", ""))
    exchange.not_run = _is_marked_not_run(chunk, error)
    exchange.result = Result.REFUSED if exchange.not_run else Result.UNKNOWN
    exchange.detail = str(chunk)


def _compare_answer(exchange: Exchange, body: bytes, text: str) -> None:
    answer, prompt_tokens = _expected_answer(body)
    if text != answer.text():
        exchange.result = Result.WRONG
        exchange.detail = f"got {text[-60:]!r} after {len(text)} characters"
        return
    exchange.result = Result.ANSWERED
    exchange.detail = ""
    exchange.prompt_tokens = prompt_tokens
    exchange.output_tokens = answer.token_count
