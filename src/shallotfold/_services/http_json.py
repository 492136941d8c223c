"""Call a JSON interface of the platform over HTTP."""

from http import HTTPStatus
import io
import json
from typing import Any

import aiohttp
import attrs

from shallotfold._errors import PlatformError


@attrs.frozen
class JsonAnswer:
    """An answer that is not a server error.

    Attributes:
        status: HTTP status below 500.
        content: Parsed body; `None` when it is as the caller has it.
        etag: Tag of this state of the resource; empty if none was given.
    """

    status: int
    content: Any
    etag: str = ""


@attrs.define
class JsonClient:
    """Send one JSON request at a time per call and never repeat one.

    Attributes:
        base_url: Base URL of the interface, `http://IP:PORT`.
        error_class: Raised when no usable answer comes in time.
    """

    base_url: str
    error_class: type[PlatformError] = PlatformError
    _session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the connection pool."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None),
            trust_env=False,
        )

    async def close(self) -> None:
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def call(
        self,
        method: str,
        path: str,
        body: Any,
        timeout_s: float,
        etag: str = "",
    ) -> JsonAnswer:
        """Send a request and parse its answer.

        Args:
            method: HTTP method.
            path: Path below the base URL.
            body: JSON value to send; `None` for no body.
            timeout_s: Longest wait for the answer.
            etag: Tag of the state that the caller has; the answer then comes
                without content if nothing changed.

        Raises:
            PlatformError: No usable answer came in time (`error_class`).
        """
        if self._session is None:
            raise self.error_class(f"{self.base_url}: call start() first")
        try:
            return await self._exchange(
                self._session, method, path, body, timeout_s, etag
            )
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as e:
            raise self.error_class(
                f"{method} {self.base_url}{path}: no usable answer "
                f"({type(e).__name__}: {e}); the effect is unknown, read it "
                "back before a repeat"
            ) from e

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        body: Any,
        timeout_s: float,
        etag: str,
    ) -> JsonAnswer:
        headers = {"Content-Type": "application/json"}
        if etag:
            headers["If-None-Match"] = etag
        async with session.request(
            method,
            self.base_url + path,
            data=None if body is None else io.BytesIO(_encode(body)),
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
            allow_redirects=False,
        ) as response:
            if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
                raise ValueError(f"status {response.status}")
            if response.status == HTTPStatus.NOT_MODIFIED:
                return JsonAnswer(response.status, None, etag)
            return JsonAnswer(
                response.status,
                await response.json(content_type=None),
                response.headers.get("ETag", ""),
            )


def _encode(body: Any) -> bytes:
    return json.dumps(body, separators=(",", ":")).encode()
