"""Serve operators the status of this entry and the steps of requests."""

import collections
import datetime
import hashlib
import hmac
import time
from typing import Any

from aiohttp import web
from loguru import logger

from shallotfold._entry.membership import membership
from shallotfold._entry.operators import status_page
from shallotfold._entry.operators.attainment import Attainment
from shallotfold._entry.operators.explanations import Explanations
from shallotfold._entry.operators.explanations import Step
from shallotfold._entry.serving.callers import CallerServer
from shallotfold._entry.serving.headers import basic_password
from shallotfold._entry.serving.headers import bearer_key
from shallotfold._entry.serving.shell import EntryShell
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._settings.addresses import Address
from shallotfold._settings.entry import OperatorPortSettings

PAGE_PATH = "/operator/"
STATUS_PATH = "/operator/status"
EXPLAIN_PATH = "/operator/explain/{request_id}"
CHALLENGE = 'Basic realm="shallotfold operators", charset="UTF-8"'
CLOSE_TIMEOUT_S = 1.0


class OperatorServer:
    """HTTP server for operators; listens only if an operator key is set."""

    def __init__(
        self,
        settings: OperatorPortSettings,
        shell: EntryShell,
        callers: CallerServer,
        explanations: Explanations,
        attainment: Attainment,
    ) -> None:
        self._settings = settings
        self._shell = shell
        self._callers = callers
        self._explanations = explanations
        self._attainment = attainment
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> Address:
        """Address of the port; valid after `start` with an operator key."""
        assert self._runner is not None
        ip, port = self._runner.addresses[0][:2]
        return Address(ip, port)

    async def start(self) -> None:
        """Listen if an operator key is set.

        Raises:
            OSError: The address can't be used.
        """
        if not self._settings.key_sha256:
            logger.info(
                "operator.key_sha256 is not set: the operator port is closed"
            )
            return
        app = web.Application(middlewares=[self._authenticate])
        app.router.add_get(PAGE_PATH, self._serve_page)
        app.router.add_get(STATUS_PATH, self._serve_status)
        app.router.add_get(EXPLAIN_PATH, self._serve_explanation)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await self._runner.setup()
        listen = self._settings.address
        await web.TCPSite(self._runner, listen.ip, listen.port).start()
        logger.info("serving operators at {}", self.address)

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _authenticate(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        # Browsers can't send a bearer key, but prompt for a password.
        key = bearer_key(request.headers) or basic_password(request.headers)
        digest = hashlib.sha256(
            key.encode("utf-8", "surrogateescape")
        ).hexdigest()
        expected_digest = self._settings.key_sha256.lower()
        if not hmac.compare_digest(digest.encode(), expected_digest.encode()):
            return web.json_response(
                {"error": "unauthenticated", "remedy": "send the operator key"},
                status=401,
                headers={"WWW-Authenticate": CHALLENGE},
            )
        response: web.StreamResponse = await handler(request)
        if "Upgrade" in request.headers:
            # The library reads no further requests behind such a one.
            response.force_close()
        return response

    async def _serve_page(self, request: web.Request) -> web.Response:
        del request
        state = self._shell.state
        page = status_page.render_page(
            state,
            self._attainment,
            time.monotonic(),
            ready=self._ready,
        )
        return web.Response(
            text=page,
            content_type="text/html",
            charset="utf-8",
            headers=status_page.PAGE_HEADERS,
        )

    @property
    def _ready(self) -> bool:
        return self._callers.ready and not self._shell.state.draining

    async def _serve_status(self, request: web.Request) -> web.Response:
        del request
        state = self._shell.state
        open_requests = state.requests.open_by_id.values()
        return web.json_response(
            {
                "host": state.host,
                "data_centre": state.data_centre,
                "incarnation": state.incarnation,
                "configuration_version": state.configuration.version,
                "configuration_sha256": state.configuration.sha256,
                "ready": self._ready,
                "draining": state.draining,
                "peers": [
                    host
                    for host in membership.live_entries(state)
                    if host != state.host
                ],
                "upstreams": _describe_upstreams(state, time.monotonic()),
                "open_requests": len(open_requests),
                "open_requests_by_class": collections.Counter(
                    request.class_name for request in open_requests
                ),
            }
        )

    async def _serve_explanation(self, request: web.Request) -> web.Response:
        request_id = request.match_info["request_id"]
        steps = self._explanations.get_steps(request_id)
        return web.json_response(
            {
                "request_id": request_id,
                "host": self._shell.state.host,
                "steps": [_render_step(step) for step in steps],
            },
            status=200 if steps else 404,
        )


def _describe_upstreams(
    state: EntryState, now_s: float
) -> list[dict[str, str]]:
    upstreams_by_name = state.pools.catalog.upstreams_by_name
    return [
        {
            "name": name,
            "data_centre": upstream.data_centre,
            "serves": upstream.model or upstream.service,
            "state": status_page.upstream_state(state, name, now_s),
        }
        for name, upstream in sorted(upstreams_by_name.items())
    ]


def _render_step(step: Step) -> dict[str, str]:
    at = datetime.datetime.fromtimestamp(step.at_s, datetime.UTC)
    return {"at": at.isoformat(), "step": step.step, "detail": step.detail}
