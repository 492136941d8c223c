"""Serve a host's readiness, snapshot and metrics pages."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from shallotfold._gateway.core.model import RequestLimits
from shallotfold._gateway.http.messages import IncomingRequest
from shallotfold._gateway.http.messages import encode_local_response
from shallotfold._gateway.serving.body_budget import BodyBudget
from shallotfold._gateway.serving.caller_connection import CallerConnection
from shallotfold._settings.addresses import Address


@attrs.frozen
class Page:
    """One response.

    Attributes:
        status: HTTP status.
        body: Response body.
        content_type: Media type of the body.
    """

    status: int
    body: bytes = b""
    content_type: bytes = b"text/plain; charset=utf-8"


class PageServer:
    """HTTP server that serves pages by path."""

    def __init__(
        self, page_by_path: Mapping[bytes, Callable[[], Page]]
    ) -> None:
        self._page_by_path = page_by_path
        self.body_budget = BodyBudget()
        self._connections: set[CallerConnection] = set()
        self._servers: list[asyncio.Server] = []

    async def start(self, addresses: Iterable[Address]) -> None:
        """Listen on the addresses."""
        loop = asyncio.get_running_loop()
        for address in addresses:
            server = await loop.create_server(
                lambda: CallerConnection(self, self._connections),
                address.ip,
                address.port,
            )
            self._servers.append(server)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.close()

    # The connections call these.

    def start_request(
        self, request: IncomingRequest, connection: CallerConnection
    ) -> None:
        """Respond to a request."""
        make_page = self._page_by_path.get(request.target)
        page = Page(404) if make_page is None else make_page()
        connection.write(
            encode_local_response(
                page.status,
                body=page.body,
                content_type=page.content_type,
                head_only=request.head_only,
            )
        )
        connection.finish(close=not request.keep_alive)

    def limits(self) -> RequestLimits:
        """Return the default request limits."""
        return RequestLimits()

    def is_draining(self) -> bool:
        """Whether responses should ask callers to close the connection."""
        return False
