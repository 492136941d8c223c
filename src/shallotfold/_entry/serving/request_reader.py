"""Read a caller's HTTP request into an exchange, or reject it."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from typing import NoReturn
import urllib.parse

from aiohttp import web
import attrs

from shallotfold._entry.serving import headers
from shallotfold._entry.serving import parsing
from shallotfold._entry.serving.exchange import Exchange
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._model.configuration import Route
from shallotfold._model.requests import CallerRequest
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode
from shallotfold._settings.entry import CallerSettings

BODY_TIMEOUT_S = 30.0
MEMORY_FULL_RETRY_AFTER_S = 1.0
REQUEST_ID_BYTES = 12
CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"


def new_request_id() -> str:
    """Return a new unique request id."""
    return secrets.token_hex(REQUEST_ID_BYTES)


def key_digest(key: str) -> str:
    """Return the hexadecimal digest of a key; empty without a key."""
    if not key:
        return ""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


class RequestReader:
    """Read and validate requests in bounded memory.

    The caller's key is only kept in local variables; exchanges hold its
    digest.
    """

    def __init__(self, settings: CallerSettings, state: EntryState) -> None:
        self._settings = settings
        self._state = state
        self._buffered_bytes = 0

    async def read_model_request(
        self, web_request: web.BaseRequest, request_id: str
    ) -> Exchange:
        """Read a chat completion or text completion request.

        Raises:
            RejectedRequestError: The request is invalid.
        """
        key = headers.bearer_key(web_request.headers)
        _check_content_type(web_request)
        body = await self._read_body(web_request)
        parsed = parsing.parse_model_body(
            body,
            chat=web_request.path == CHAT_PATH,
            key=key,
            max_nesting=self._settings.max_nesting,
        )
        request = self._make_caller_request(web_request, request_id, key, body)
        request = attrs.evolve(
            request,
            model=parsed.model,
            prompt_tokens=parsed.prompt_tokens,
            max_output_tokens=parsed.max_output_tokens,
            prefix_digests=parsed.prefix_digests,
            streaming=parsed.streaming,
        )
        accepted_type = (
            "text/event-stream" if parsed.streaming else "application/json"
        )
        return self._make_exchange(
            web_request,
            request,
            path=web_request.path,
            upstream_headers={
                "Accept": accepted_type,
                "Content-Type": "application/json",
            },
            body=parsed.normalized,
        )

    async def read_plain_request(
        self, web_request: web.BaseRequest, request_id: str
    ) -> Exchange:
        """Read a request to a plain service.

        Raises:
            RejectedRequestError: The request is invalid or has no route.
        """
        key = headers.bearer_key(web_request.headers)
        path, _, query = web_request.raw_path.partition("?")
        _check_path(path, key)
        route = self._find_route(path)
        if "Content-Encoding" in web_request.headers:
            parsing.reject("Send the body without Content-Encoding.")
        body = await self._read_body(web_request)
        if headers.contains_key(body.decode("latin-1"), key):
            parsing.reject("The body holds the key of the request; remove it.")
        request = self._make_caller_request(web_request, request_id, key, body)
        request = attrs.evolve(
            request,
            route_prefix=route.prefix,
            idempotent=web_request.method in route.idempotent_methods,
        )
        query = headers.strip_query(query, key)
        return self._make_exchange(
            web_request,
            request,
            path=f"{path}?{query}" if query else path,
            upstream_headers=headers.for_upstream(web_request.headers, key),
            body=body,
        )

    def release(self, exchange: Exchange) -> None:
        """Stop counting the body of an exchange as buffered."""
        self._buffered_bytes -= len(exchange.body)

    def _make_caller_request(
        self,
        web_request: web.BaseRequest,
        request_id: str,
        key: str,
        body: bytes,
    ) -> CallerRequest:
        return CallerRequest(
            request_id=request_id,
            key_sha256=key_digest(key),
            method=web_request.method,
            class_name=parsing.check_short_header(
                headers.REQUEST_CLASS,
                web_request.headers.get(headers.REQUEST_CLASS, ""),
                parsing.MAX_CLASS_CHARACTERS,
                key,
            ),
            idempotency_key=parsing.check_short_header(
                headers.IDEMPOTENCY_KEY,
                web_request.headers.get(headers.IDEMPOTENCY_KEY, ""),
                parsing.MAX_IDEMPOTENCY_KEY_CHARACTERS,
                key,
            ),
            body_sha256=hashlib.sha256(
                f"{web_request.method} {web_request.raw_path}\n".encode(
                    "utf-8", "surrogateescape"
                )
                + body
            ).hexdigest(),
        )

    def _make_exchange(
        self,
        web_request: web.BaseRequest,
        request: CallerRequest,
        *,
        path: str,
        upstream_headers: dict[str, str],
        body: bytes,
    ) -> Exchange:
        self._buffered_bytes += len(body)
        return Exchange(
            request=request,
            web_request=web_request,
            path=path,
            upstream_headers=upstream_headers,
            body=body,
            write_timeout_s=self._settings.write_timeout_s,
            final_result=asyncio.get_running_loop().create_future(),
        )

    def _find_route(self, path: str) -> Route:
        routes = self._state.configuration.current.routes_by_prefix
        prefixes = [prefix for prefix in routes if path.startswith(prefix)]
        if not prefixes:
            parsing.reject(
                "No route has this path; ask your operator for the routes.",
                RefusalCode.UNKNOWN_ROUTE,
            )
        return routes[max(prefixes, key=len)]

    async def _read_body(self, web_request: web.BaseRequest) -> bytes:
        if not web_request.body_exists:
            return b""
        declared_bytes = web_request.content_length or 0
        if declared_bytes > self._settings.max_body_bytes:
            self._reject_size()
        if (
            self._buffered_bytes + declared_bytes
            > self._settings.max_held_bytes
        ):
            raise parsing.RejectedRequestError(
                Refusal(
                    code=RefusalCode.OVERLOADED,
                    message="Too many bodies are held; repeat later.",
                    retry_after_s=MEMORY_FULL_RETRY_AFTER_S,
                )
            )
        # Reserve the declared size while the body is being received.
        self._buffered_bytes += declared_bytes
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await web_request.read()
        except web.HTTPRequestEntityTooLarge:
            self._reject_size()
        except TimeoutError:
            parsing.reject("The body did not arrive in time; repeat.")
        except web.RequestPayloadError:
            parsing.reject("The body is broken; repeat.")
        finally:
            self._buffered_bytes -= declared_bytes

    def _reject_size(self) -> NoReturn:
        limit = self._settings.max_body_bytes
        parsing.reject(
            f"The body may have {limit} bytes at most.", RefusalCode.TOO_LARGE
        )


def _check_content_type(web_request: web.BaseRequest) -> None:
    encoding = web_request.headers.get("Content-Encoding", "identity")
    if encoding != "identity":
        parsing.reject("Send the body without Content-Encoding.")
    charset = web_request.charset
    if charset is not None and charset.lower() not in ("utf-8", "utf8"):
        parsing.reject("Send the body as JSON in UTF-8.")


def _check_path(path: str, key: str) -> None:
    decoded = urllib.parse.unquote(path)
    if ".." in decoded.split("/") or "\\" in decoded:
        parsing.reject("The path may not climb up; write it without '..'.")
    if headers.contains_key(path, key):
        parsing.reject("The path holds the key of the request; remove it.")
