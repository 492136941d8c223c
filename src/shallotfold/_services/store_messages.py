"""Declare the requests and responses of the key-value service over HTTP."""

import base64
from typing import Any

import attrs
import cattrs

from shallotfold._services.ports import StoredValue

MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class Get:
    """Read one key."""

    key: str


@attrs.frozen
class List:
    """Read all keys under a prefix."""

    prefix: str


@attrs.frozen
class CompareAndSwap:
    """Write a key if it is at the expected revision."""

    key: str
    expected_revision: int
    value: bytes
    lease_id: str = ""


@attrs.frozen
class Delete:
    """Delete a key if it is at the expected revision."""

    key: str
    expected_revision: int


@attrs.frozen
class GrantLease:
    """Grant a lease."""

    ttl_s: float


@attrs.frozen
class RenewLease:
    """Renew a lease."""

    lease_id: str


@attrs.frozen
class RevokeLease:
    """Revoke a lease."""

    lease_id: str


@attrs.frozen
class Watch:
    """Wait for changes under a prefix."""

    prefix: str
    after_revision: int
    timeout_s: float


@attrs.frozen
class Listing:
    """Response to `List`."""

    items: tuple[StoredValue, ...]
    revision: int


@attrs.frozen
class Written:
    """Response to `CompareAndSwap`."""

    revision: int


StoreRequest = (
    Get
    | List
    | CompareAndSwap
    | Delete
    | GrantLease
    | RenewLease
    | RevokeLease
    | Watch
)

PATHS_BY_REQUEST: dict[type[StoreRequest], str] = {
    Get: "/v1/kv/get",
    List: "/v1/kv/list",
    CompareAndSwap: "/v1/kv/cas",
    Delete: "/v1/kv/delete",
    GrantLease: "/v1/leases/grant",
    RenewLease: "/v1/leases/renew",
    RevokeLease: "/v1/leases/revoke",
    Watch: "/v1/kv/watch",
}


def _decode_bytes(encoded: Any, _: Any) -> bytes:
    return base64.b64decode(encoded, validate=True)


def _encode_bytes(value: bytes) -> str:
    return base64.b64encode(value).decode()


CONVERTER = cattrs.Converter()
CONVERTER.register_structure_hook(bytes, _decode_bytes)
CONVERTER.register_unstructure_hook(bytes, _encode_bytes)
