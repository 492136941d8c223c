"""Simulate a plain service that counts how often it ran each body."""

import asyncio
from collections import Counter
import hashlib

from aiohttp import web
import attrs

from shallotfold._model.upstreams import UpstreamLoad
from shallotfold._settings.standin import ServiceSettings
from shallotfold._standin import http_common

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


@attrs.define
class ServiceServer:
    """Serve any path and method of one plain service.

    Attributes:
        settings: Delay and credential.
        runs_by_digest: Number of runs of each body, by its SHA-256 digest;
            requests with a safe method are not counted.
        crash_before: Number of requests still to be reset before they run.
        crash_after: Number of requests still to be reset after they ran.
        leaving: Whether requests are refused without running them.
        marked_requests: Number of requests with the secret marker.
    """

    settings: ServiceSettings
    runs_by_digest: Counter[str] = attrs.field(factory=Counter)
    crash_before: int = 0
    crash_after: int = 0
    leaving: bool = False
    marked_requests: int = 0
    _running: int = 0

    def make_app(self) -> web.Application:
        """Return the web application of the service."""
        app = web.Application()
        app.router.add_get("/runs", self._show_runs)
        app.router.add_get("/load", self._show_load)
        app.router.add_get("/stats", self._show_stats)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _serve(self, request: web.Request) -> web.Response:
        body = await request.read()
        if http_common.contains_marker(request, body, self.settings):
            self.marked_requests += 1
        if not http_common.is_authorized(request, self.settings):
            return http_common.make_error_response(401, "unauthorized")
        if self.leaving:
            return http_common.refuse_not_run(request, "leaving")
        if self.crash_before > 0:
            self.crash_before -= 1
            return http_common.drop_connection(request)
        digest = hashlib.sha256(body).hexdigest()
        if request.method not in SAFE_METHODS:
            self.runs_by_digest[digest] += 1
        self._running += 1
        try:
            await asyncio.sleep(self.settings.delay_s)
        finally:
            self._running -= 1
        if self.crash_after > 0:
            self.crash_after -= 1
            return http_common.drop_connection(request)
        return web.json_response(
            {
                "service": self.settings.name,
                "method": request.method,
                "path": request.path,
                "digest": digest,
            },
            headers=http_common.echo_headers(request),
        )

    async def _show_runs(self, _: web.Request) -> web.Response:
        return web.json_response({"runs": dict(self.runs_by_digest)})

    async def _show_load(self, _: web.Request) -> web.Response:
        load = UpstreamLoad(
            running=self._running,
            queued=0,
            slots=self.settings.slots,
            leaving=self.leaving,
        )
        return web.json_response(attrs.asdict(load))

    async def _show_stats(self, _: web.Request) -> web.Response:
        return web.json_response({"marked_requests": self.marked_requests})

    async def _set_faults(self, request: web.Request) -> web.Response:
        faults = await request.json()
        self.crash_before = faults.get("crash_before", self.crash_before)
        self.crash_after = faults.get("crash_after", self.crash_after)
        self.leaving = faults.get("leaving", self.leaving)
        return web.json_response({})
