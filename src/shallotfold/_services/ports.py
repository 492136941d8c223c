"""Declare what shallotfold needs from the platform.

Reducers never call a port. Shells run effects through these protocols, so
that a new platform adapter touches no reducer.
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
        key: Its key.
        value: Its bytes, at most one megabyte.
        revision: Store-wide revision of its last change, from 1 upwards.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class StoreChanges:
    """Changes under a watched prefix.

    Attributes:
        revision: Store revision up to which the changes are complete.
        changed: Values that were written, newest state only.
        deleted: Keys that were deleted.
        newest_change: Revision of the newest of these changes; 0: unsaid.
    """

    revision: int
    changed: tuple[StoredValue, ...]
    deleted: tuple[str, ...]
    newest_change: int = 0


@attrs.frozen
class Lease:
    """A lease granted by the key-value service.

    Attributes:
        lease_id: Its id.
        ttl_s: Time to live in seconds, from the grant or the last renewal.
    """

    lease_id: str
    ttl_s: float


class Store(Protocol):
    """The platform's key-value service; each call counts against its rates."""

    async def get(self, key: str) -> StoredValue | None:
        """Read one key.

        Raises:
            StoreUnavailableError: No answer in time.
        """
        ...

    async def list(self, prefix: str) -> Sequence[StoredValue]:
        """Read all keys under a prefix, in the order of their keys.

        Raises:
            StoreUnavailableError: No answer in time.
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

        A key written with a lease is deleted when the lease lapses.

        Returns:
            The new revision.

        Raises:
            StoreConflictError: The key is at another revision.
            LeaseLostError: The lease does not exist any more.
            StoreUnavailableError: No answer; the write may have happened.
        """
        ...

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key if it is at `expected_revision`.

        Raises:
            StoreConflictError: The key is at another revision.
            StoreUnavailableError: No answer; the delete may have happened.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a new lease.

        Raises:
            StoreUnavailableError: No answer; an unused lease may exist.
        """
        ...

    async def renew_lease(self, lease_id: str) -> None:
        """Renew a lease for its full time to live.

        Raises:
            LeaseLostError: The lease does not exist any more.
            StoreUnavailableError: No answer; it may have been renewed.
        """
        ...

    async def revoke_lease(self, lease_id: str) -> None:
        """End a lease and delete its keys; unknown leases are ignored.

        Raises:
            StoreUnavailableError: No answer; it may have been revoked.
        """
        ...

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> StoreChanges:
        """Wait for changes under a prefix after a revision.

        Returns:
            The changes; none when `timeout_s` passed without one.

        Raises:
            StoreUnavailableError: No answer in time.
        """
        ...


class HostList(Protocol):
    """The platform's lagging list of live and leaving hosts."""

    async def fetch(self) -> Sequence[HostRecord]:
        """Read the whole list.

        Raises:
            PlatformError: No answer in time.
        """
        ...


@attrs.frozen(kw_only=True)
class UpstreamOrder:
    """An order to start or release one upstream in one data centre.

    Attributes:
        order_id: Idempotent id; a repeat with the same id changes nothing.
        data_centre: Where the order applies.
        action: `start` or `release`.
        offer: Name of the offer to start from.
        upstream: Name of the upstream to start or release.
        fencing: Fencing number of the duty; higher is newer.
    """

    order_id: str
    data_centre: str
    action: str
    offer: str
    upstream: str
    fencing: int


class UpstreamOrders(Protocol):
    """The platform's interface for ordering upstreams by data centre."""

    async def place(self, order: UpstreamOrder, timeout_s: float) -> None:
        """Place an order.

        Raises:
            OrderRefusedError: The order was refused and not carried out.
            OrderOutcomeUnknownError: No answer; look the order up.
        """
        ...

    async def look_up(
        self, data_centre: str, order_id: str
    ) -> UpstreamOrder | None:
        """Return the order if the platform has taken it.

        Raises:
            PlatformError: No answer in time.
        """
        ...

    async def abort(self) -> None:
        """Drop the connection so that no buffered order arrives later."""
        ...


@attrs.frozen(kw_only=True)
class UsageFigures:
    """Usage of one workspace in one window."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0


@attrs.frozen(kw_only=True)
class UsageReport:
    """A report that the platform takes once per workspace per window.

    Attributes:
        workspace: Name of the workspace.
        window: Start of the window, in seconds since the epoch.
        figures: The frozen figures.
        fencing: Fencing number of the duty.
    """

    workspace: str
    window: int
    figures: UsageFigures
    fencing: int


class UsageReports(Protocol):
    """The platform's interface that takes usage reports."""

    async def send(self, report: UsageReport, timeout_s: float) -> None:
        """Send a report; a repeat with the same figures is accepted.

        Raises:
            ReportConflictError: Other figures were taken before.
            PlatformError: No answer; the report may have been taken.
        """
        ...

    async def abort(self) -> None:
        """Drop the connection so that no buffered report arrives later."""
        ...


class LoadReports(Protocol):
    """Load reports of upstreams, lagging."""

    async def fetch(self, url: str) -> UpstreamLoad:
        """Read the load report of the upstream at `url`.

        Raises:
            PlatformError: No answer in time.
        """
        ...
