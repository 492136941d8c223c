"""Read the load reports of upstreams over HTTP."""

import attrs
import cattrs

from shallotfold._errors import PlatformError
from shallotfold._model.upstreams import UpstreamLoad
from shallotfold._services.http_json import JsonClient
from shallotfold._services.strict_values import make_strict_converter

CALL_TIMEOUT_S = 1.0
_CONVERTER = make_strict_converter()


@attrs.define
class HttpLoadReports:
    """The `LoadReports` port over HTTP; all upstreams share a connection pool.

    Attributes:
        timeout_s: Maximum time to wait for a response.
    """

    timeout_s: float = CALL_TIMEOUT_S
    _client: JsonClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the client; it connects on the first call."""
        self._client = JsonClient("")

    async def start(self) -> None:
        """Open the connection pool."""
        await self._client.start()

    async def close(self) -> None:
        """Close the connection pool."""
        await self._client.close()

    async def fetch(self, url: str) -> UpstreamLoad:
        """Read one load report; see `LoadReports`."""
        response = await self._client.call(
            "GET", f"{url}/load", None, self.timeout_s
        )
        try:
            return _CONVERTER.structure(response.content, UpstreamLoad)
        except (cattrs.BaseValidationError, ValueError, TypeError) as error:
            raise PlatformError(
                f"{url}: malformed load report (status {response.status}); "
                "check the upstream's url"
            ) from error
