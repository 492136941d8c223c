"""Serve callers over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import time
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.requests import keys
from shallotfold._entry.serving import headers
from shallotfold._entry.serving import parsing
from shallotfold._entry.serving.exchange import CallerDisconnectedError
from shallotfold._entry.serving.exchange import Exchange
from shallotfold._entry.serving.exchange import FinalResult
from shallotfold._entry.serving.exchange import Refused
from shallotfold._entry.serving.exchange import Replayed
from shallotfold._entry.serving.exchanges import Exchanges
from shallotfold._entry.serving.refusals import error_event
from shallotfold._entry.serving.refusals import refusal_response
from shallotfold._entry.serving.request_reader import CHAT_PATH
from shallotfold._entry.serving.request_reader import COMPLETION_PATH
from shallotfold._entry.serving.request_reader import RequestReader
from shallotfold._entry.serving.request_reader import key_digest
from shallotfold._entry.serving.request_reader import new_request_id
from shallotfold._entry.serving.shell import INTERNAL_ERROR_REFUSAL
from shallotfold._entry.serving.shell import EntryShell
from shallotfold._entry.serving.sse import END_EVENT
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode
from shallotfold._settings.addresses import Address
from shallotfold._settings.entry import EntrySettings

KEEPALIVE_TIMEOUT_S = 75.0
CLOSE_TIMEOUT_S = 1.0
FINAL_REQUESTS_WAIT_S = 0.3
RequestHandler = Callable[[web.BaseRequest, str], Awaitable[web.StreamResponse]]
_HTTP_LOGGER = "shallotfold.callers"


class CallerServer:
    """The HTTP server on the port that callers connect to.

    Attributes:
        ready: Whether the load balancer may send callers here.
    """

    def __init__(
        self, settings: EntrySettings, shell: EntryShell, exchanges: Exchanges
    ) -> None:
        self.ready = False
        self._settings = settings
        self._shell = shell
        self._exchanges = exchanges
        self._request_reader = RequestReader(settings.callers, shell.state)
        self._runner: web.ServerRunner | None = None
        self._handlers_by_path = {
            CHAT_PATH: self._serve_model_request,
            COMPLETION_PATH: self._serve_model_request,
            "/v1/models": self._list_models,
            "/healthz": self._serve_health,
            "/readyz": self._serve_readiness,
        }
        shell.register(effects.SetReady, self._set_ready)

    @property
    def address(self) -> Address:
        """Address that callers connect to; valid after `start`."""
        assert self._runner is not None
        ip, port = self._runner.addresses[0][:2]
        return Address(ip, port)

    async def start(self) -> None:
        """Listen on the caller address.

        Raises:
            OSError: The address can't be used.
        """
        limits = self._settings.callers
        http_logger = logging.getLogger(_HTTP_LOGGER)
        http_logger.setLevel(logging.ERROR)
        http_logger.addFilter(_redact_request_text)
        # A single handler serves all paths, so no application or router.
        server = web.Server(
            self._serve,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            logger=http_logger,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
        )
        self._runner = web.ServerRunner(
            server, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await self._runner.setup()
        listen = self._settings.caller_address
        site = web.TCPSite(
            self._runner, listen.ip, listen.port, reuse_address=True
        )
        await site.start()

    async def close(self) -> None:
        """Stop listening and close the remaining connections."""
        if self._runner is None:
            return
        for site in list(self._runner.sites):
            await site.stop()
        if self._shell.state.draining:
            # Connections accepted last may still be sending their request.
            await asyncio.sleep(FINAL_REQUESTS_WAIT_S)
        await self._runner.cleanup()

    def _make_request(
        self,
        message: Any,
        payload: Any,
        protocol: Any,
        writer: Any,
        task: Any,
    ) -> web.BaseRequest:
        # The library reads no further requests behind an offer of another
        # protocol, so that the caller has to be told to open a connection.
        close = message.should_close or message.upgrade
        return web.BaseRequest(
            message._replace(should_close=close),
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._settings.callers.max_body_bytes,
        )

    def _set_ready(self, effect: effects.SetReady) -> None:
        self.ready = effect.ready

    async def _serve(self, web_request: web.BaseRequest) -> web.StreamResponse:
        handler = self._handlers_by_path.get(
            web_request.path, self._serve_plain_request
        )
        request_id = new_request_id()
        response = await self._respond(handler, web_request, request_id)
        if self._shell.state.draining and not response.prepared:
            response.force_close()
        return response

    async def _respond(
        self,
        handler: RequestHandler,
        web_request: web.BaseRequest,
        request_id: str,
    ) -> web.StreamResponse:
        try:
            return await handler(web_request, request_id)
        except parsing.RejectedRequestError as rejected:
            return refusal_response(rejected.refusal, request_id)
        except CallerDisconnectedError:
            # The connection is already closed; this response isn't sent.
            return refusal_response(INTERNAL_ERROR_REFUSAL, request_id)

    async def _serve_health(
        self, web_request: web.BaseRequest, request_id: str
    ) -> web.Response:
        del web_request, request_id
        return web.json_response({"alive": True})

    async def _serve_readiness(
        self, web_request: web.BaseRequest, request_id: str
    ) -> web.Response:
        del web_request, request_id
        state = self._shell.state
        ready = self.ready and not state.draining
        return web.json_response(
            {
                "ready": ready,
                "configuration_version": state.configuration.version,
            },
            status=200 if ready else 503,
        )

    async def _list_models(
        self, web_request: web.BaseRequest, request_id: str
    ) -> web.Response:
        digest = key_digest(headers.bearer_key(web_request.headers))
        state = self._shell.state
        authentication = keys.authenticate(state, digest, time.monotonic())
        if isinstance(authentication, Refusal):
            return refusal_response(authentication, request_id)
        configuration = state.configuration.current
        names = {u.model for u in configuration.upstreams_by_name.values()}
        names |= {
            offer.model for offer in configuration.offers_by_name.values()
        }
        permitted_models = (
            sorted(names - {""}) if authentication.classes else []
        )
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": ""}
            for name in permitted_models
        ]
        return web.json_response(
            {"object": "list", "data": models},
            headers={headers.REQUEST_ID: request_id},
        )

    async def _serve_model_request(
        self, web_request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        if web_request.method != "POST":
            parsing.reject("Use POST for this path.")
        self._check_configured()
        exchange = await self._request_reader.read_model_request(
            web_request, request_id
        )
        return await self._serve_exchange(exchange)

    async def _serve_plain_request(
        self, web_request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        self._check_configured()
        exchange = await self._request_reader.read_plain_request(
            web_request, request_id
        )
        return await self._serve_exchange(exchange)

    def _check_configured(self) -> None:
        if self._shell.state.configuration.version:
            return
        raise parsing.RejectedRequestError(
            Refusal(
                code=RefusalCode.NOT_READY,
                message="This entry has no configuration yet; repeat later.",
                retry_after_s=1.0,
            )
        )

    async def _serve_exchange(self, exchange: Exchange) -> web.StreamResponse:
        self._exchanges.by_id[exchange.request_id] = exchange
        try:
            self._shell.deliver(
                events.RequestArrived(
                    now_s=time.monotonic(),
                    request=exchange.request,
                    wall_s=time.time(),
                )
            )
            result = await exchange.final_result
            return await self._finish_response(exchange, result)
        except (asyncio.CancelledError, CallerDisconnectedError) as error:
            self._shell.deliver(
                events.CallerDisconnected(
                    now_s=time.monotonic(), request_id=exchange.request_id
                )
            )
            if isinstance(error, CallerDisconnectedError) and exchange.response:
                _abort_connection(exchange)
                return exchange.response
            raise
        finally:
            self._exchanges.remove(exchange)
            self._request_reader.release(exchange)

    async def _finish_response(
        self, exchange: Exchange, result: FinalResult
    ) -> web.StreamResponse:
        if isinstance(result, Refused):
            return await self._refuse(exchange, result.refusal)
        if isinstance(result, Replayed):
            return _replay(exchange, result)
        if exchange.answer is not None:
            return web.Response(
                status=exchange.answer.status,
                headers={
                    **exchange.answer.headers,
                    headers.REQUEST_ID: exchange.request_id,
                },
                body=exchange.answer.body,
            )
        await exchange.write(exchange.tail + END_EVENT)
        assert exchange.response is not None
        return exchange.response

    async def _refuse(
        self, exchange: Exchange, refusal: Refusal
    ) -> web.StreamResponse:
        attempt = exchange.attempt
        if attempt is not None:
            attempt.cancel()
            await asyncio.gather(attempt, return_exceptions=True)
        if exchange.response is None:
            return refusal_response(refusal, exchange.request_id)
        await exchange.write(error_event(refusal))
        return exchange.response


def _redact_request_text(record: logging.LogRecord) -> bool:
    """Remove the text of protocol errors; it quotes requests and keys."""
    error = record.exc_info[1] if record.exc_info else None
    if isinstance(error, HttpProcessingError):
        record.msg = f"{record.msg}: {type(error).__name__}"
        record.exc_info = None
    return True


def _abort_connection(exchange: Exchange) -> None:
    """Abort the connection, so that a partial answer can't look complete."""
    transport = exchange.web_request.transport
    if transport is not None:
        transport.abort()


def _replay(exchange: Exchange, result: Replayed) -> web.Response:
    answer = result.answer
    response_headers = {headers.REQUEST_ID: exchange.request_id}
    if answer.content_type:
        response_headers["Content-Type"] = answer.content_type
    return web.Response(
        status=answer.status, headers=response_headers, body=answer.body
    )
