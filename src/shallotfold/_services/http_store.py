"""Call the platform's key-value service over HTTP."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any
from typing import TypeVar

import attrs
import cattrs

from shallotfold._errors import LeaseLostError
from shallotfold._errors import PlatformError
from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._errors import ValueTooLargeError
from shallotfold._services import store_messages
from shallotfold._services.http_json import JsonClient
from shallotfold._services.http_json import JsonResponse
from shallotfold._services.ports import Lease
from shallotfold._services.ports import StoreChanges
from shallotfold._services.ports import StoredValue

CALL_TIMEOUT_S = 2.0

T = TypeVar("T")


@attrs.define
class HttpStore:
    """The `Store` port over HTTP; it never retries a call.

    Attributes:
        url: Base URL of the service, `http://IP:PORT`.
        timeout_s: Maximum time to wait for a response; a watch adds its own
            timeout.
    """

    url: str
    timeout_s: float = CALL_TIMEOUT_S
    _client: JsonClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the client; it connects on the first call."""
        self._client = JsonClient(self.url, StoreUnavailableError)

    async def start(self) -> None:
        """Open the connection pool."""
        await self._client.start()

    async def close(self) -> None:
        """Close the connection pool."""
        await self._client.close()

    async def get(self, key: str) -> StoredValue | None:
        """Read one key; see `Store`."""
        response = await self._call(store_messages.Get(key))
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return _parse(response, StoredValue, key)

    async def list(self, prefix: str) -> Sequence[StoredValue]:
        """Read all keys under a prefix; see `Store`."""
        response = await self._call(store_messages.List(prefix))
        return _parse(response, store_messages.Listing, prefix).items

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: str = "",
    ) -> int:
        """Write a key if it is at the expected revision; see `Store`.

        Raises:
            ValueTooLargeError: The value is over one megabyte.
        """
        response = await self._call(
            store_messages.CompareAndSwap(
                key, expected_revision, value, lease_id
            )
        )
        return _parse(response, store_messages.Written, key).revision

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key if it is at the expected revision; see `Store`."""
        response = await self._call(
            store_messages.Delete(key, expected_revision)
        )
        _check_status(response, key)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a new lease; see `Store`."""
        response = await self._call(store_messages.GrantLease(ttl_s))
        return _parse(response, Lease, "lease")

    async def renew_lease(self, lease_id: str) -> None:
        """Renew a lease; see `Store`."""
        response = await self._call(store_messages.RenewLease(lease_id))
        _check_status(response, lease_id)

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease; see `Store`."""
        response = await self._call(store_messages.RevokeLease(lease_id))
        _check_status(response, lease_id)

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> StoreChanges:
        """Wait for changes under a prefix; see `Store`."""
        request = store_messages.Watch(prefix, after_revision, timeout_s)
        response = await self._call(request, extra_timeout_s=timeout_s)
        return _parse(response, StoreChanges, prefix)

    async def _call(
        self, request: store_messages.StoreRequest, extra_timeout_s: float = 0.0
    ) -> JsonResponse:
        return await self._client.call(
            "POST",
            store_messages.PATHS_BY_REQUEST[type(request)],
            store_messages.CONVERTER.unstructure(request),
            self.timeout_s + extra_timeout_s,
        )


def _parse(response: JsonResponse, content_type: type[T], key: str) -> T:
    _check_status(response, key)
    try:
        return store_messages.CONVERTER.structure(
            response.content, content_type
        )
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        raise StoreUnavailableError(
            f"{key}: malformed response from the key-value service; "
            "check that store_url points to it"
        ) from error


def _check_status(response: JsonResponse, key: str) -> None:
    if response.status == HTTPStatus.OK:
        return
    raise _make_error(response, key)


def _make_error(response: JsonResponse, key: str) -> PlatformError:
    fields: dict[str, Any] = (
        response.content if isinstance(response.content, dict) else {}
    )
    if response.status == HTTPStatus.CONFLICT:
        return StoreConflictError(key, int(fields.get("actual_revision", 0)))
    if response.status == HTTPStatus.GONE:
        return LeaseLostError(
            f"{key}: the lease no longer exists; acquire a new one"
        )
    if response.status == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        return ValueTooLargeError(
            f"{key}: the value is over one megabyte; split it into chunks"
        )
    return StoreUnavailableError(
        f"{key}: the key-value service returned status {response.status}; "
        "check that store_url points to it"
    )
