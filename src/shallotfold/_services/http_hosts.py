"""Read the platform's delayed host list over HTTP."""

from collections.abc import Sequence
from http import HTTPStatus

import attrs
import cattrs

from shallotfold._errors import PlatformError
from shallotfold._model.upstreams import HostRecord
from shallotfold._services.http_json import JsonClient

CALL_TIMEOUT_S = 2.0


@attrs.frozen
class HostListing:
    """Response of the host list service.

    Attributes:
        hosts: All records, in no particular order.
    """

    hosts: tuple[HostRecord, ...]


@attrs.define
class HttpHostList:
    """The `HostList` port over HTTP.

    An unchanged list is not transferred again if the platform sends an `ETag`.

    Attributes:
        url: Base URL of the service, `http://IP:PORT`.
        timeout_s: Maximum time to wait for a response.
    """

    url: str
    timeout_s: float = CALL_TIMEOUT_S
    _client: JsonClient = attrs.field(init=False)
    _etag: str = attrs.field(default="", init=False)
    _hosts: tuple[HostRecord, ...] = attrs.field(default=(), init=False)

    def __attrs_post_init__(self) -> None:
        """Create the client; it connects on the first call."""
        self._client = JsonClient(self.url)

    async def start(self) -> None:
        """Open the connection pool."""
        await self._client.start()

    async def close(self) -> None:
        """Close the connection pool."""
        await self._client.close()

    async def fetch(self) -> Sequence[HostRecord]:
        """Read the whole list; see `HostList`."""
        response = await self._client.call(
            "GET", "/v1/hosts", None, self.timeout_s, self._etag
        )
        if response.status == HTTPStatus.NOT_MODIFIED:
            return self._hosts
        try:
            hosts = cattrs.structure(response.content, HostListing).hosts
        except (cattrs.BaseValidationError, ValueError, TypeError) as error:
            raise PlatformError(
                f"{self.url}: malformed host list (status {response.status}); "
                "check that hosts_url points to the host list service"
            ) from error
        self._hosts = hosts
        self._etag = response.etag
        return hosts
