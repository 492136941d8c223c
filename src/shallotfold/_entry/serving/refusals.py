"""Render refusals as the JSON errors that clients of model APIs expect."""

import json
import math
from typing import Any

from aiohttp import web

from shallotfold._entry.serving import headers
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode

_STATUS_BY_CODE = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.UNAUTHENTICATED: 401,
    RefusalCode.FORBIDDEN: 403,
    RefusalCode.UNKNOWN_MODEL: 404,
    RefusalCode.UNKNOWN_ROUTE: 404,
    RefusalCode.RATE_LIMITED: 429,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.TARGET_MISSED: 503,
    RefusalCode.PREEMPTED: 503,
    RefusalCode.NO_UPSTREAM: 503,
    RefusalCode.UPSTREAM_FAILED: 502,
    RefusalCode.STORE_UNAVAILABLE: 503,
    RefusalCode.IN_PROGRESS: 409,
    RefusalCode.KEY_REUSED: 422,
    RefusalCode.KEY_WITHDRAWN: 401,
    RefusalCode.NOT_READY: 503,
    RefusalCode.SHUTTING_DOWN: 503,
}
_TYPE_BY_STATUS = {
    401: "authentication_error",
    403: "permission_error",
    429: "rate_limit_error",
    502: "server_error",
    503: "server_error",
}


def status_of(code: RefusalCode) -> int:
    """Return the HTTP status of a refusal."""
    return _STATUS_BY_CODE[code]


def error_object(refusal: Refusal) -> dict[str, Any]:
    """Return the error object of a refusal."""
    status = _STATUS_BY_CODE[refusal.code]
    error: dict[str, Any] = {
        "message": refusal.message,
        "type": _TYPE_BY_STATUS.get(status, "invalid_request_error"),
        "param": None,
        "code": refusal.code.value,
    }
    if refusal.outcome is Outcome.NOT_RUN:
        error["not_run"] = True
    else:
        error["unknown"] = True
    if refusal.retry_after_s is not None:
        error["retry_after_s"] = refusal.retry_after_s
    return {"error": error}


def refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return the complete HTTP response of a refusal."""
    response = web.json_response(
        error_object(refusal), status=_STATUS_BY_CODE[refusal.code]
    )
    response.headers[headers.REQUEST_ID] = request_id
    if refusal.retry_after_s is not None:
        wait_s = max(1, math.ceil(refusal.retry_after_s))
        response.headers["Retry-After"] = str(wait_s)
    if response.status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    return response


def error_event(refusal: Refusal) -> bytes:
    """Return the event that ends a started stream with an error."""
    return b"data: " + json.dumps(error_object(refusal)).encode() + b"\n\n"
