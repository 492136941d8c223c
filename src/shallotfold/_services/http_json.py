"""Call a JSON interface of the platform over HTTP."""

from http import HTTPStatus
import io
import json
from typing import Any

import aiohttp
import attrs

from shallotfold._errors import PlatformError


@attrs.frozen
class JsonResponse:
    """A response that is not a server error.

    Attributes:
        status: HTTP status below 500.
        content: Parsed body; `None` if the caller's `ETag` is still current.
        etag: `ETag` of the content; empty if there is none.
    """

    status: int
    content: Any
    etag: str = ""


@attrs.define
class JsonClient:
    """Send JSON requests without retrying any.

    Attributes:
        base_url: Base URL of the interface, `http://IP:PORT`; empty if calls
            give absolute URLs.
        error_class: Error to raise if there is no usable response in time.
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
    ) -> JsonResponse:
        """Send a request and parse the response.

        Args:
            method: HTTP method.
            path: Path below the base URL; absolute URL if that is empty.
            body: JSON value to send; `None` for no body.
            timeout_s: Maximum time to wait for the response.
            etag: `ETag` of the content that the caller has; the response has
                no content if that is still current.

        Raises:
            PlatformError: No usable response in time (`error_class`).
        """
        if self._session is None:
            raise self.error_class(
                f"{self.base_url}: call start() before call()"
            )
        try:
            return await self._exchange(
                self._session, method, path, body, timeout_s, etag
            )
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ValueError,
            # The body is nested too deeply.
            RecursionError,
        ) as e:
            raise self.error_class(
                f"{method} {self.base_url}{path}: no usable response "
                f"({type(e).__name__}: {e}); the outcome is unknown, read it "
                "back before retrying"
            ) from e

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        body: Any,
        timeout_s: float,
        etag: str,
    ) -> JsonResponse:
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
                return JsonResponse(response.status, None, etag)
            return JsonResponse(
                response.status,
                await response.json(content_type=None),
                response.headers.get("ETag", ""),
            )


def _encode(body: Any) -> bytes:
    return json.dumps(body, separators=(",", ":")).encode()
