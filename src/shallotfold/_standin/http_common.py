"""Shared HTTP helpers of the simulated services."""

import asyncio
from collections.abc import Mapping
from typing import Any
from typing import Protocol

from aiohttp import web

from shallotfold._runtime.sockets import reset_connection

RETRY_AFTER_S = 1


class CredentialSettings(Protocol):
    """Settings for checking credentials and detecting leaked secrets."""

    @property
    def credential(self) -> str:
        """Credential that callers must present; empty for none."""
        ...

    @property
    def secret_marker(self) -> str:
        """Text that no request may contain; empty for none."""
        ...


def is_authorized(request: web.Request, settings: CredentialSettings) -> bool:
    """Return whether the request presents the upstream's credential."""
    presented = request.headers.get("Authorization", "")
    expected = (
        f"Bearer {settings.credential}" if settings.credential else presented
    )
    return presented == expected


def contains_marker(
    request: web.Request, body: bytes, settings: CredentialSettings
) -> bool:
    """Return whether the secret marker is anywhere in the request."""
    marker = settings.secret_marker
    if not marker:
        return False
    texts = [request.raw_path, body.decode(errors="replace")]
    texts += [f"{name}: {value}" for name, value in request.headers.items()]
    return any(marker in text for text in texts)


def echo_headers(request: web.Request) -> dict[str, str]:
    """Return the headers that echo the request id."""
    request_id = request.headers.get("X-Request-Id")
    return {"X-Request-Id": request_id} if request_id else {}


def refuse_not_run(request: web.Request, code: str) -> web.Response:
    """Refuse a request and state that it was not run."""
    headers = {
        **echo_headers(request),
        "X-Not-Run": "1",
        "Retry-After": str(RETRY_AFTER_S),
    }
    return make_error_response(503, code, headers)


def make_error_response(
    status: int, code: str, headers: Mapping[str, str] | None = None
) -> web.Response:
    """Return a response with a JSON error object."""
    content: dict[str, Any] = {"error": {"code": code, "message": code}}
    return web.json_response(content, status=status, headers=headers)


def drop_connection(request: web.Request) -> web.Response:
    """Reset the caller's connection instead of answering."""
    if request.transport is not None:
        reset_connection(request.transport)
    return web.Response()


def monotonic_s() -> float:
    """Return the time of the running loop in seconds."""
    return asyncio.get_running_loop().time()
