"""Read the platform's lagging host list over HTTP."""

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
    """Answer of the host list.

    Attributes:
        hosts: All records, in no order.
    """

    hosts: tuple[HostRecord, ...]


@attrs.define
class HttpHostList:
    """The `HostList` port over HTTP.

    An unchanged list is not transferred again if the platform tags it.

    Attributes:
        url: Base URL of the service, `http://IP:PORT`.
        timeout_s: Longest wait for an answer.
    """

    url: str
    timeout_s: float = CALL_TIMEOUT_S
    _client: JsonClient = attrs.field(init=False)
    _etag: str = attrs.field(default="", init=False)
    _hosts: tuple[HostRecord, ...] = attrs.field(default=(), init=False)

    def __attrs_post_init__(self) -> None:
        """Make the client; it connects on the first call."""
        self._client = JsonClient(self.url)

    async def start(self) -> None:
        """Open the connection pool."""
        await self._client.start()

    async def close(self) -> None:
        """Close the connection pool."""
        await self._client.close()

    async def fetch(self) -> Sequence[HostRecord]:
        """Read the whole list; see `HostList`."""
        answer = await self._client.call(
            "GET", "/v1/hosts", None, self.timeout_s, self._etag
        )
        if answer.status == HTTPStatus.NOT_MODIFIED:
            return self._hosts
        try:
            hosts = cattrs.structure(answer.content, HostListing).hosts
        except (cattrs.BaseValidationError, ValueError, TypeError) as error:
            raise PlatformError(
                f"{self.url}: the host list gave an answer of another shape "
                f"(status {answer.status}); check that hosts_url points to it"
            ) from error
        self._hosts = hosts
        self._etag = answer.etag
        return hosts
