"""Serve the simulated key-value service over HTTP."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

from aiohttp import web
import cattrs

from shallotfold._errors import LeaseLostError
from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._errors import ValueTooLargeError
from shallotfold._services import store_messages
from shallotfold._standin.http_common import drop_connection
from shallotfold._standin.store import StoreStandin

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def add_store_routes(app: web.Application, store: StoreStandin) -> None:
    """Serve `store` under `/v1/kv` and `/v1/leases`."""
    for request_class, path in store_messages.PATHS_BY_REQUEST.items():
        app.router.add_post(path, _make_handler(store, request_class))


def _make_handler(
    store: StoreStandin, request_class: type[store_messages.StoreRequest]
) -> Handler:
    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            message = store_messages.CONVERTER.structure(
                json.loads(await request.read()), request_class
            )
        except (ValueError, TypeError, cattrs.BaseValidationError):
            return _refuse(400, "bad_request")
        try:
            return await _respond(store, message)
        except StoreConflictError as error:
            return _refuse(
                409, "conflict", actual_revision=error.actual_revision
            )
        except LeaseLostError:
            return _refuse(410, "lease_lost")
        except ValueTooLargeError:
            return _refuse(413, "too_large")
        except StoreUnavailableError:
            return drop_connection(request)

    return handle


async def _respond(
    store: StoreStandin, message: store_messages.StoreRequest
) -> web.Response:
    result = await _run(store, message)
    if result is None and isinstance(message, store_messages.Get):
        return _refuse(404, "not_found")
    return web.json_response(store_messages.CONVERTER.unstructure(result or {}))


async def _run(
    store: StoreStandin, message: store_messages.StoreRequest
) -> Any:
    match message:
        case store_messages.Get(key):
            return await store.get(key)
        case store_messages.List(prefix):
            items = tuple(await store.list(prefix))
            return store_messages.Listing(items, store.revision)
        case store_messages.CompareAndSwap(key, revision, value, lease_id):
            return store_messages.Written(
                await store.compare_and_swap(key, revision, value, lease_id)
            )
        case store_messages.Delete(key, revision):
            return await store.delete(key, revision)
        case _:
            return await _run_lease_or_watch(store, message)


async def _run_lease_or_watch(
    store: StoreStandin, message: store_messages.StoreRequest
) -> Any:
    match message:
        case store_messages.GrantLease(ttl_s):
            return await store.grant_lease(ttl_s)
        case store_messages.RenewLease(lease_id):
            return await store.renew_lease(lease_id)
        case store_messages.RevokeLease(lease_id):
            return await store.revoke_lease(lease_id)
        case store_messages.Watch(prefix, after_revision, timeout_s):
            return await store.watch(prefix, after_revision, timeout_s)
    raise TypeError(f"{message!r} is not a request of the store")


def _refuse(status: int, code: str, **fields: Any) -> web.Response:
    return web.json_response({"error": code, **fields}, status=status)
