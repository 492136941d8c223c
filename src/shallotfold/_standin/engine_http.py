"""Serve one model engine stand-in over HTTP."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
import time
from typing import Any

from aiohttp import web
import attrs

from shallotfold._model.prompts import prompt_text
from shallotfold._standin import http_common
from shallotfold._standin.answers import Answer
from shallotfold._standin.answers import answer_to
from shallotfold._standin.answers import count_prompt_tokens
from shallotfold._standin.engine import EngineStandin
from shallotfold._standin.engine import Job

TICK_S = 0.004
LOWEST_PRIORITY = 5


@attrs.define
class EngineServer:
    """Answer requests from one engine; `app` serves it.

    Attributes:
        engine: The engine.
        crashed: Reset every connection instead of answering.
    """

    engine: EngineStandin
    crashed: bool = False
    _advanced_by_job: dict[Job, asyncio.Event] = attrs.field(factory=dict)
    _work_arrived: asyncio.Event = attrs.field(factory=asyncio.Event)
    _highest_fencing: int = 0
    _orders: list[dict[str, Any]] = attrs.field(factory=list)

    def make_app(self) -> web.Application:
        """Return the web application of the engine."""
        app = web.Application(client_max_size=16 * 1024 * 1024)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_get("/load", self._show_load)
        app.router.add_get("/cache-events", self._show_cache_events)
        app.router.add_get("/stats", self._show_stats)
        app.router.add_post("/orders", self._take_order)
        app.router.add_post("/faults", self._set_faults)
        app.cleanup_ctx.append(self._run_ticks)
        return app

    async def _run_ticks(self, _: web.Application) -> AsyncIterator[None]:
        task = asyncio.create_task(self._tick_forever())
        yield
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def _tick_forever(self) -> None:
        while True:
            await self._work_arrived.wait()
            await asyncio.sleep(TICK_S)
            for job in self.engine.advance(http_common.monotonic_s()):
                event = self._advanced_by_job.get(job)
                if event:
                    event.set()
            if not self.engine.busy:
                self._work_arrived.clear()

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        raw = await request.read()
        settings = self.engine.settings
        if http_common.holds_marker(request, raw, settings):
            self.engine.stats.marked_requests += 1
        if self.crashed:
            return http_common.drop_connection(request)
        if not http_common.is_authorized(request, settings):
            self.engine.stats.unauthorized += 1
            return http_common.make_error(401, "unauthorized")
        try:
            body = json.loads(raw)
            prompt = prompt_text(body)
            answer = answer_to(prompt, int(body.get("max_tokens") or 0))
            resume_at = self._resume_at(body, answer)
        except (ValueError, TypeError, AttributeError):
            return http_common.make_error(400, "bad_request")
        priority = int(request.headers.get("X-Priority", LOWEST_PRIORITY))
        job = self.engine.accept(
            prompt, answer, priority, resume_at, http_common.monotonic_s()
        )
        if job is None:
            return http_common.refuse_not_run(request, "unavailable")
        return await self._answer(request, body, job)

    def _resume_at(self, body: dict[str, Any], answer: Answer) -> int:
        resume = body.get("resume")
        if not resume:
            return 0
        tokens = int(resume["tokens"])
        if resume["text"] != answer.text(0, tokens):
            self.engine.stats.wrong_resumes += 1
            raise ValueError("the text so far is not this engine's own")
        return tokens

    async def _answer(
        self, request: web.Request, body: dict[str, Any], job: Job
    ) -> web.StreamResponse:
        event = self._advanced_by_job[job] = asyncio.Event()
        self._work_arrived.set()
        chat = request.path.endswith("chat/completions")
        try:
            if body.get("stream"):
                return await self._stream(request, job, event, chat=chat)
            while not job.done:
                await self._wait_for_tokens(request, event)
            content = _whole_answer(request, job, chat=chat)
            return web.json_response(
                content, headers=http_common.echo_headers(request)
            )
        except ConnectionError:
            return web.Response()
        finally:
            del self._advanced_by_job[job]
            self.engine.cancel(job)

    async def _wait_for_tokens(
        self, request: web.Request, event: asyncio.Event
    ) -> None:
        await event.wait()
        event.clear()
        if self.crashed:
            http_common.drop_connection(request)
            raise ConnectionResetError("the engine crashed")

    async def _stream(
        self,
        request: web.Request,
        job: Job,
        event: asyncio.Event,
        *,
        chat: bool,
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                **http_common.echo_headers(request),
                "Content-Type": "text/event-stream",
            }
        )
        await response.prepare(request)
        sent = job.started_at
        while sent < job.answer.token_count:
            if sent == job.produced:
                await self._wait_for_tokens(request, event)
            for index in range(sent, job.produced):
                text = job.answer.token(index)
                await _send_event(response, _token_chunk(job, text, chat=chat))
            sent = job.produced
        await _send_event(response, _last_chunk(job, chat=chat))
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _show_load(self, request: web.Request) -> web.Response:
        if self.crashed:
            return http_common.drop_connection(request)
        load = self.engine.report_load(http_common.monotonic_s())
        return web.json_response(attrs.asdict(load))

    async def _show_cache_events(self, request: web.Request) -> web.Response:
        if self.crashed:
            return http_common.drop_connection(request)
        after = int(request.query.get("after", 0))
        events = self.engine.cache.published_after(
            after, http_common.monotonic_s()
        )
        newest = events[-1].sequence if events else after
        return web.json_response(
            {"events": [attrs.asdict(e) for e in events], "newest": newest}
        )

    async def _show_stats(self, _: web.Request) -> web.Response:
        stats = attrs.asdict(self.engine.stats)
        return web.json_response({**stats, "orders": self._orders})

    async def _take_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        fencing = int(order.get("fencing", 0))
        checks = self.engine.settings.checks_fencing
        if checks and fencing < self._highest_fencing:
            return web.json_response({"error": "stale_fencing"}, status=409)
        self._highest_fencing = max(self._highest_fencing, fencing)
        self._orders.append(order)
        return web.json_response({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        faults = await request.json()
        self.engine.leaving = faults.get("leaving", self.engine.leaving)
        self.engine.speed = faults.get("speed", self.engine.speed)
        self.crashed = faults.get("crashed", self.crashed)
        for event in self._advanced_by_job.values() if self.crashed else ():
            event.set()
        return web.json_response({})


async def _send_event(
    response: web.StreamResponse, content: dict[str, Any]
) -> None:
    await response.write(b"data: " + json.dumps(content).encode() + b"\n\n")


def _usage(job: Job) -> dict[str, int]:
    prompt_tokens = count_prompt_tokens(job.prompt)
    output_tokens = job.answer.token_count - job.started_at
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": output_tokens,
        "total_tokens": prompt_tokens + output_tokens,
    }


def _token_chunk(job: Job, text: str, *, chat: bool) -> dict[str, Any]:
    choice: dict[str, Any] = {"index": 0, "finish_reason": None}
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    # Clocks of processes on one host agree, so that readers can tell how
    # long a token was under way.
    return {
        "id": f"job-{job.number}",
        "choices": [choice],
        "sent_monotonic_s": time.monotonic(),
    }


def _last_chunk(job: Job, *, chat: bool) -> dict[str, Any]:
    chunk = _token_chunk(job, "", chat=chat)
    if chat:
        chunk["choices"][0]["delta"] = {}
    chunk["choices"][0]["finish_reason"] = "stop"
    return {**chunk, "usage": _usage(job)}


def _whole_answer(
    request: web.Request, job: Job, *, chat: bool
) -> dict[str, Any]:
    text = job.answer.text(job.started_at)
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request.headers.get("X-Request-Id", f"job-{job.number}"),
        "choices": [choice],
        "usage": _usage(job),
    }
