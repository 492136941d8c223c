"""Relay requests with aiohttp only, as a baseline for the latency of an entry.

It checks nothing, decides nothing and parses no stream, so that the latency
that it adds is the cost of one more process in the path.
"""

import argparse
import asyncio
import pathlib
import sys
import tomllib

import aiohttp
from aiohttp import web

from shallotfold._runtime.loop import new_event_loop

READY_PATH = "/readyz"
_FORWARDED_HEADERS = ("Authorization", "Content-Type", "X-Request-Id")


class BareRelay:
    """Relay everything to one upstream."""

    def __init__(self, upstream: str, client: aiohttp.ClientSession) -> None:
        self._upstream = upstream
        self._client = client

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Relay one request and stream its response."""
        if request.path == READY_PATH:
            return web.Response()
        headers = {
            name: request.headers[name]
            for name in _FORWARDED_HEADERS
            if name in request.headers
        }
        async with self._client.request(
            request.method,
            self._upstream + request.path_qs,
            data=await request.read(),
            headers=headers,
        ) as upstream_response:
            response = web.StreamResponse(
                status=upstream_response.status,
                headers={
                    "Content-Type": upstream_response.headers["Content-Type"]
                },
            )
            await response.prepare(request)
            async for data in upstream_response.content.iter_any():
                await response.write(data)
            return response


async def serve(address: str, upstream: str) -> None:
    """Serve until the process is terminated."""
    ip, _, port = address.rpartition(":")
    async with aiohttp.ClientSession() as client:
        app = web.Application()
        app.router.add_route(
            "*", "/{path:.*}", BareRelay(upstream, client).serve
        )
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, ip, int(port)).start()
        await asyncio.Event().wait()


def main() -> int:
    """Read the settings and serve."""
    parser = argparse.ArgumentParser(prog="benchmarks.bare_relay")
    parser.add_argument("--settings", type=pathlib.Path, required=True)
    options = parser.parse_args()
    settings = tomllib.loads(options.settings.read_text(encoding="utf-8"))
    loop = new_event_loop()
    loop.run_until_complete(serve(settings["address"], settings["upstream"]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
