"""Read the prefix cache changes that model engines publish."""

import attrs
import cattrs

from shallotfold._errors import PlatformError
from shallotfold._services.http_json import JsonClient
from shallotfold._services.strict_values import make_strict_converter

CALL_TIMEOUT_S = 1.0
_CONVERTER = make_strict_converter()


@attrs.frozen
class CacheEvent:
    """One published change of an engine's prefix cache.

    Attributes:
        sequence: Number of the event; a skipped number means lost events.
        held: Digests of prefixes added to the cache.
        dropped: Digests of prefixes evicted from the cache.
    """

    sequence: int
    held: tuple[str, ...] = ()
    dropped: tuple[str, ...] = ()


@attrs.frozen
class CacheEvents:
    """Events after a sequence number.

    Attributes:
        events: Events, ordered by number.
        newest: Number of the newest event.
    """

    events: tuple[CacheEvent, ...]
    newest: int


@attrs.define
class HttpCacheEvents:
    """Read cache events over HTTP, with one connection pool for all engines."""

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

    async def fetch(self, url: str, after: int) -> CacheEvents:
        """Read the events of the engine at `url` after a sequence number.

        Raises:
            PlatformError: No usable response in time.
        """
        response = await self._client.call(
            "GET", f"{url}/cache-events?after={after}", None, self.timeout_s
        )
        try:
            return _CONVERTER.structure(response.content, CacheEvents)
        except (cattrs.BaseValidationError, ValueError, TypeError) as error:
            raise PlatformError(
                f"{url}: malformed cache events (status {response.status}); "
                "check the upstream's url"
            ) from error
