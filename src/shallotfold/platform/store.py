"""Access the platform's key-value store."""

import base64
from collections.abc import Sequence
from http import HTTPStatus
import json
from typing import Any
from urllib.parse import urlencode

from shallotfold._errors import HistoryLostError
from shallotfold._errors import LeaseLostError
from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._errors import WatchInterruptedError
from shallotfold._gateway.http.http_client import CallFailedError
from shallotfold._gateway.http.http_client import CallInterruptedError
from shallotfold._gateway.http.http_client import HttpClient
from shallotfold._gateway.http.http_client import HttpResponse
from shallotfold._gateway.http.socket_reserve import SocketReserve
from shallotfold._services.ports import Lease
from shallotfold._services.ports import StoreChanges
from shallotfold._services.ports import StoredValue
from shallotfold._services.revisions import era_of
from shallotfold._services.revisions import make_revision
from shallotfold._services.revisions import number_of
from shallotfold._settings.addresses import Address
from shallotfold.platform import names

# The store usually responds within 4 ms.
CALL_TIMEOUT_S = 1.0
# How long after its timeout the response of a watch may still arrive.
WATCH_MARGIN_S = 0.6
_MS_PER_S = 1000.0
_JSON = ((b"Content-Type", b"application/json"),)


class PlatformStore:
    """The platform's store as a `WatchedStore`; never retries a call.

    Attributes:
        era: Newest era in a response; 0 before the first one, and for stores
            that don't tell it.
    """

    def __init__(
        self, address: Address, reserve: SocketReserve | None = None
    ) -> None:
        """Make a client of the store.

        Args:
            address: Address of the store.
            reserve: Sockets for when no descriptor is free.
        """
        self.era = 0
        self._client = HttpClient(address.ip, address.port, reserve)

    @property
    def calls(self) -> int:
        """Number of calls made so far; each has a price."""
        return self._client.call_count

    async def get(self, key: str) -> StoredValue | None:
        """Read one key; see `Store`."""
        response = await self._call("GET", names.STORE_GET_PATH, {"Key": key})
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode_value(_decode_json(response), self._era_of(response))

    async def list(self, prefix: str) -> Sequence[StoredValue]:
        """Read all keys under a prefix; see `Store`."""
        return (await self.snapshot(prefix)).changed

    async def snapshot(self, prefix: str) -> StoreChanges:
        """Read a prefix page by page; see `WatchedStore`."""
        values: list[StoredValue] = []
        revision = None
        era = 0
        query = {"PathPrefix": prefix}
        while True:
            response = await self._call("GET", names.STORE_RANGE_PATH, query)
            page = _decode_json(response)
            # Later pages may be newer, so a watch starts at the first one's
            # revision.
            if revision is None:
                era = self._era_of(response)
                revision = make_revision(era, page["At"])
            elif self._era_of(response) != era:
                raise HistoryLostError(f"{prefix}: restored between two pages")
            values += [_decode_value(entry, era) for entry in page["Entries"]]
            if not page["HasMore"] or not page["Entries"]:
                return StoreChanges(revision, tuple(values), ())
            query = {"PathPrefix": prefix, "After": page["Entries"][-1]["Key"]}

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> StoreChanges:
        """Wait for changes; see `WatchedStore`."""
        era = era_of(after_revision)
        if era < self.era:
            raise HistoryLostError(f"{prefix} after era {era}")
        query = {
            "PathPrefix": prefix,
            "After": str(number_of(after_revision)),
            "WaitTimeoutMs": str(int(timeout_s * _MS_PER_S)),
        }
        try:
            response = await self._call(
                "GET",
                names.STORE_WATCH_PATH,
                query,
                timeout_s=timeout_s + WATCH_MARGIN_S,
            )
        except StoreUnavailableError as error:
            if isinstance(error.__cause__, CallInterruptedError):
                raise WatchInterruptedError(str(error)) from error
            raise
        if response.status == HTTPStatus.GONE or self._era_of(response) != era:
            raise HistoryLostError(f"{prefix} after revision {after_revision}")
        content = _decode_json(response)
        newest_by_key = {event["Key"]: event for event in content["events"]}
        return StoreChanges(
            make_revision(era, content["At"]),
            tuple(
                _decode_value(event, era)
                for event in newest_by_key.values()
                if not event.get("Deleted")
            ),
            tuple(
                key
                for key, event in newest_by_key.items()
                if event.get("Deleted")
            ),
            max(
                (
                    make_revision(era, event["Revision"])
                    for event in content["events"]
                ),
                default=0,
            ),
        )

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: str = "",
    ) -> int:
        """Write a key at an expected revision; see `Store`."""
        write = {
            "Key": key,
            "ValueData": base64.b64encode(value).decode(),
            "LeaseId": int(lease_id or 0),
        }
        return await self._transact(key, expected_revision, [write], [])

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key at an expected revision; see `Store`."""
        await self._transact(key, expected_revision, [], [key])

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a lease; see `Store`."""
        body = {"LifetimeMs": int(ttl_s * _MS_PER_S)}
        content = _decode_json(
            await self._call("POST", names.STORE_GRANT_LEASE_PATH, {}, body)
        )
        return Lease(str(content["LeaseId"]), content["LifetimeMs"] / _MS_PER_S)

    async def renew_lease(self, lease_id: str) -> None:
        """Renew a lease; see `Store`."""
        path = f"{names.STORE_RENEW_LEASE_PATH}/{lease_id}"
        response = await self._call("POST", path, {})
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseLostError(lease_id)
        _decode_json(response)

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease; see `Store`."""
        response = await self._call(
            "DELETE", f"{names.STORE_REVOKE_LEASE_PATH}/{lease_id}", {}
        )
        # A lease that is gone has ended by itself.
        if response.status not in (HTTPStatus.OK, HTTPStatus.NOT_FOUND):
            raise StoreUnavailableError(
                f"the store responded with status {response.status}"
            )

    async def _transact(
        self,
        key: str,
        expected_revision: int,
        write: "Sequence[Any]",
        removals: "Sequence[str]",
    ) -> int:
        if expected_revision and era_of(expected_revision) < self.era:
            # The store may have given the number out again.
            raise StoreConflictError(key, 0)
        body = {
            "Expected": [
                {"Key": key, "Revision": number_of(expected_revision)}
            ],
            "Write": write,
            "Removals": removals,
        }
        response = await self._call(
            "POST", names.STORE_TRANSACTION_PATH, {}, body
        )
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            raise StoreConflictError(
                key, _actual_revision(response, key, self._era_of(response))
            )
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseLostError(key)
        number = int(_decode_json(response)["Revision"])
        return make_revision(self._era_of(response), number)

    def _era_of(self, response: HttpResponse) -> int:
        value = response.header(names.STORE_ERA_HEADER) or b""
        return int(value) if value.isdigit() else self.era

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: Any = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpResponse:
        target = f"{path}?{urlencode(query)}" if query else path
        try:
            response = await self._client.call(
                method,
                target,
                body=b"" if body is None else json.dumps(body).encode(),
                headers=() if body is None else _JSON,
                timeout_s=timeout_s,
            )
        except CallFailedError as error:
            raise StoreUnavailableError(str(error)) from error
        self.era = max(self.era, self._era_of(response))
        return response


def _decode_json(response: HttpResponse) -> Any:
    if response.status != HTTPStatus.OK:
        raise StoreUnavailableError(
            f"the store responded with status {response.status}"
        )
    try:
        return json.loads(response.body)
    except ValueError as error:
        raise StoreUnavailableError(
            "the store's response isn't valid JSON"
        ) from error


def _decode_value(entry: Any, era: int) -> StoredValue:
    data = base64.b64decode(entry["ValueData"])
    revision = make_revision(era, entry["Revision"])
    return StoredValue(entry["Key"], data, revision)


def _actual_revision(response: HttpResponse, key: str, era: int) -> int:
    try:
        entries = json.loads(response.body).get("Entries", ())
    except (ValueError, AttributeError):
        # The status alone says that the condition doesn't hold.
        return 0
    revisions = [e.get("Revision", 0) for e in entries if e.get("Key") == key]
    number = int(revisions[0]) if revisions else 0
    return make_revision(era, number) if number else 0
