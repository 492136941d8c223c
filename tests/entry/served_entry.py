"""Serve an entry and small fake upstreams in one event loop."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import hashlib
import json
import pathlib
from typing import Any

import aiohttp
from aiohttp import web
import attrs

from shallotfold._entry.process import EntryProcess
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import KeyDigest
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Route
from shallotfold._model.configuration import Targets
from shallotfold._model.configuration import Upstream
from shallotfold._model.configuration import Workspace
from shallotfold._model.serialization import dump_configuration
from shallotfold._settings.addresses import Address
from shallotfold._settings.entry import EntrySettings

KEY = "sk-north-0123456789"
HEADERS = {"Authorization": f"Bearer {KEY}"}
CHAT = {"model": "small", "messages": [{"role": "user", "content": "hi"}]}
STREAM = {**CHAT, "stream": True}
TIMEOUT_S = 20.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a test with a generous timeout."""

    async def bounded() -> None:
        await asyncio.wait_for(main, TIMEOUT_S)

    asyncio.run(bounded())


class FakeUpstream:
    """Respond with a handler and record the received requests."""

    def __init__(self, handler: Handler) -> None:
        self.requests: list[web.Request] = []
        self.bodies: list[bytes] = []
        self.url = ""
        self._handler = handler
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        server = web.Server(
            self._serve,  # type: ignore[arg-type]
            handler_cancellation=True,
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        ip, port = self._runner.addresses[0][:2]
        self.url = f"http://{ip}:{port}"

    async def close(self) -> None:
        assert self._runner is not None
        await self._runner.cleanup()

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        if request.path in ("/load", "/cache-events"):
            return web.Response(status=404)
        self.requests.append(request)
        self.bodies.append(await request.read())
        return await self._handler(request)

    def received_text(self) -> str:
        """Return all received requests as one text."""
        return "\n".join(
            f"{request.raw_path} {request.raw_headers!r} {body!r}"
            for request, body in zip(self.requests, self.bodies, strict=True)
        )


def echo_request_id(request: web.Request) -> dict[str, str]:
    return {"X-Request-Id": request.headers["X-Request-Id"]}


def token_event(text: str) -> bytes:
    chunk = {"id": "c1", "choices": [{"index": 0, "delta": {"content": text}}]}
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


FINISH_EVENT = (
    b'data: {"id":"c1","choices":[{"index":0,"delta":{},'
    b'"finish_reason":"stop"}]}\n\n'
)
END_EVENT = b"data: [DONE]\n\n"


async def start_stream(request: web.Request) -> web.StreamResponse:
    response = web.StreamResponse(
        headers={
            **echo_request_id(request),
            "Content-Type": "text/event-stream",
        }
    )
    await response.prepare(request)
    return response


async def answer_completion(request: web.Request) -> web.StreamResponse:
    return web.json_response(
        {
            "choices": [{"message": {"role": "assistant", "content": "yes"}}],
            "usage": {"prompt_tokens": 4, "completion_tokens": 1},
        },
        headers=echo_request_id(request),
    )


def abort_connection(request: web.Request) -> None:
    assert request.transport is not None
    request.transport.abort()


def make_configuration(urls_by_name: dict[str, str]) -> Configuration:
    upstreams = {
        name: Upstream(
            name=name,
            url=url,
            data_centre="a",
            model="" if name.startswith("b") else "small",
            service="booking" if name.startswith("b") else "",
            credential="engines",
        )
        for name, url in urls_by_name.items()
    }
    return Configuration(
        classes_by_name={
            "chat": RequestClass(
                name="chat", tier=1, targets=Targets(whole_answer_s=2.0)
            )
        },
        workspaces_by_name={
            "north": Workspace(
                name="north",
                keys=(
                    KeyDigest(
                        key_id="k1",
                        sha256=hashlib.sha256(KEY.encode()).hexdigest(),
                    ),
                ),
                classes=("chat",),
                default_class="chat",
                routes=("/booking/",),
            )
        },
        routes_by_prefix={
            "/booking/": Route(
                prefix="/booking/", service="booking", request_class="chat"
            )
        },
        upstreams_by_name=upstreams,
        data_centres=("a",),
    )


@attrs.frozen
class ServedEntry:
    entry: EntryProcess
    client: aiohttp.ClientSession
    url: str


@contextlib.asynccontextmanager
async def serve_entry(
    tmp_path: pathlib.Path, urls_by_name: dict[str, str], **settings: Any
) -> AsyncIterator[ServedEntry]:
    """Serve an entry with these upstreams; the client sends the key."""
    if "platform" not in settings:
        path = tmp_path / "configuration.json"
        path.write_bytes(dump_configuration(make_configuration(urls_by_name)))
        settings["configuration_file"] = str(path)
    entry = EntryProcess(
        EntrySettings(
            host="e1",
            data_centre="a",
            caller_address=Address("127.0.0.1", 0),
            credentials={"engines": "upstream-secret"},
            **{"shutdown_linger_s": 0.0, **settings},
        )
    )
    try:
        await entry.start()
        async with aiohttp.ClientSession(headers=HEADERS) as client:
            yield ServedEntry(entry, client, f"http://{entry.callers.address}")
    finally:
        await entry.close()


@contextlib.asynccontextmanager
async def start_upstreams(
    *handlers: Handler,
) -> AsyncIterator[list[FakeUpstream]]:
    fakes = [FakeUpstream(handler) for handler in handlers]
    try:
        for fake in fakes:
            await fake.start()
        yield fakes
    finally:
        for fake in fakes:
            await fake.close()
