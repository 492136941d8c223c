"""Serve the stand-in of the whole platform over HTTP."""

from aiohttp import web

from shallotfold._standin.store import StoreFault
from shallotfold._standin.store import StoreStandin
from shallotfold._standin.store_http import add_store_routes

MAX_BODY_BYTES = 2 * 1024 * 1024


def make_platform_app(store: StoreStandin) -> web.Application:
    """Return the web application of the platform stand-in."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    add_store_routes(app, store)

    async def set_faults(request: web.Request) -> web.Response:
        faults = await request.json()
        if "store" in faults:
            store.set_fault(
                StoreFault(faults["store"]),
                faults.get("delay_s", 0.0),
                faults.get("count"),
            )
        return web.json_response({})

    async def show_stats(_: web.Request) -> web.Response:
        return web.json_response({"store_calls": dict(store.calls_by_name)})

    app.router.add_post("/faults", set_faults)
    app.router.add_get("/stats", show_stats)
    return app
