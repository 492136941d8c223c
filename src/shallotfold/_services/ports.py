"""Declare what shallotfold needs from the platform.

Reducers never call a port. The I/O shells run effects through these protocols,
so supporting another platform changes no reducer.
"""

from collections.abc import Sequence
from typing import Protocol

import attrs

from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import UpstreamLoad


@attrs.frozen
class StoredValue:
    """A value of the key-value service.

    Attributes:
        key: Key of the value.
        value: Content, at most one megabyte.
        revision: Store-wide revision of the last change; see
            `_services.revisions`.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class StoreChanges:
    """Changes under a watched prefix.

    Attributes:
        revision: Store revision up to which the changes are complete.
        changed: Values that were written; only the newest of each key.
        deleted: Keys that were deleted.
        newest_change: Revision of the newest of these changes; 0 if not given.
    """

    revision: int
    changed: tuple[StoredValue, ...]
    deleted: tuple[str, ...]
    newest_change: int = 0


@attrs.frozen
class Lease:
    """A lease granted by the key-value service.

    Attributes:
        lease_id: Id of the lease.
        ttl_s: Time to live in seconds since the grant or the last renewal.
    """

    lease_id: str
    ttl_s: float


class Store(Protocol):
    """The platform's key-value service, which limits the rate of calls."""

    async def get(self, key: str) -> StoredValue | None:
        """Read one key.

        Raises:
            StoreUnavailableError: No response in time.
        """
        ...

    async def list(self, prefix: str) -> Sequence[StoredValue]:
        """Read all keys under a prefix, sorted by key.

        Raises:
            StoreUnavailableError: No response in time.
        """
        ...

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: str = "",
    ) -> int:
        """Write `value` if the key is at `expected_revision` (0: absent).

        A key written with a lease is deleted when the lease expires.

        Returns:
            The new revision.

        Raises:
            StoreConflictError: The key is at another revision.
            LeaseLostError: The lease does not exist any more.
            StoreUnavailableError: No response; the write may have happened.
        """
        ...

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key if it is at `expected_revision`.

        Raises:
            StoreConflictError: The key is at another revision.
            StoreUnavailableError: No response; the delete may have happened.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a new lease.

        Raises:
            StoreUnavailableError: No response; an unused lease may exist.
        """
        ...

    async def renew_lease(self, lease_id: str) -> None:
        """Renew a lease for its full time to live.

        Raises:
            LeaseLostError: The lease does not exist any more.
            StoreUnavailableError: No response; it may have been renewed.
        """
        ...

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease and delete its keys; unknown leases are ignored.

        Raises:
            StoreUnavailableError: No response; it may have been revoked.
        """
        ...

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> StoreChanges:
        """Wait for changes under a prefix after a revision.

        Returns:
            The changes; empty if nothing changed within `timeout_s`.

        Raises:
            StoreUnavailableError: No response in time.
        """
        ...


class HostList(Protocol):
    """The platform's list of live and leaving hosts, which is delayed."""

    async def fetch(self) -> Sequence[HostRecord]:
        """Read the whole list.

        Raises:
            PlatformError: No response in time.
        """
        ...


@attrs.frozen(kw_only=True)
class UpstreamOrder:
    """An order to start or release one upstream in one data centre.

    Attributes:
        order_id: Idempotency key; another order with this id has no effect.
        data_centre: Data centre to which the order applies.
        action: `start` or `release`.
        offer: Name of the offer of the upstream.
        upstream: Name of the upstream to start or release.
        fencing: Fencing token of the duty; higher is newer.
    """

    order_id: str
    data_centre: str
    action: str
    offer: str
    upstream: str
    fencing: int


class UpstreamOrders(Protocol):
    """The platform's interface for ordering upstreams in a data centre."""

    async def place(self, order: UpstreamOrder, timeout_s: float) -> None:
        """Place an order.

        Raises:
            OrderRefusedError: The order was refused and not executed.
            OrderOutcomeUnknownError: No response; look the order up.
        """
        ...

    async def look_up(
        self, data_centre: str, order_id: str
    ) -> UpstreamOrder | None:
        """Return the order if the platform has executed it.

        Raises:
            PlatformError: No response in time.
        """
        ...

    async def abort(self) -> None:
        """Reset the connections so that no buffered order arrives later."""
        ...


@attrs.frozen(kw_only=True)
class UsageFigures:
    """Usage of one workspace in one window."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0


@attrs.frozen(kw_only=True)
class UsageReport:
    """A report that the platform accepts once per workspace and window.

    Attributes:
        workspace: Name of the workspace.
        window: Start of the window, in seconds since the epoch.
        figures: The frozen figures.
        fencing: Fencing token of the duty.
    """

    workspace: str
    window: int
    figures: UsageFigures
    fencing: int


class UsageReports(Protocol):
    """The platform's interface that accepts usage reports."""

    async def send(self, report: UsageReport, timeout_s: float) -> None:
        """Send a report; sending the same figures again is accepted.

        Raises:
            ReportConflictError: Other figures were accepted before.
            PlatformError: No response; the report may have been accepted.
        """
        ...

    async def abort(self) -> None:
        """Reset the connections so that no buffered report arrives later."""
        ...


class LoadReports(Protocol):
    """Load reports of upstreams, which are delayed."""

    async def fetch(self, url: str) -> UpstreamLoad:
        """Read the load report of the upstream at `url`.

        Raises:
            PlatformError: No response in time.
        """
        ...
