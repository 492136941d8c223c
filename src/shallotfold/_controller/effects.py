"""Declare the effects that the controller's reducer asks its shell to run."""

from collections.abc import Mapping

import attrs

from shallotfold._fleet.audit import AuditChange
from shallotfold._fleet.order_journal import OrderJournal
from shallotfold._fleet.usage_ledger import FrozenWindow
from shallotfold._fleet.usage_ledger import UsageHead
from shallotfold._services.ports import UpstreamOrder
from shallotfold._services.ports import UsageReport


@attrs.frozen(kw_only=True)
class FetchHosts:
    """Read the platform's host list."""


@attrs.frozen(kw_only=True)
class FetchConfiguration:
    """Read the newest configuration from the store."""

    newer_than: int


@attrs.frozen(kw_only=True)
class ListDuties:
    """Read the records of all held duties."""


@attrs.frozen(kw_only=True)
class GrantLease:
    """Request a lease from the store."""

    ttl_s: float


@attrs.frozen(kw_only=True)
class RenewLease:
    """Renew the lease."""

    lease_id: str


@attrs.frozen(kw_only=True)
class RevokeLease:
    """Revoke the lease; its duties become free."""

    lease_id: str


@attrs.frozen(kw_only=True)
class ArmFence:
    """Arm the kernel timer that kills this process at `deadline_s`."""

    deadline_s: float


@attrs.frozen(kw_only=True)
class DisarmFence:
    """Stop the kernel timer; no duty is held any more."""


@attrs.frozen(kw_only=True)
class AcquireDuty:
    """Record this process as the holder of a free duty."""

    duty: str
    lease_id: str
    token: str


@attrs.frozen(kw_only=True)
class ReleaseDuty:
    """Delete the record of a duty that this process has relinquished."""

    duty: str
    fencing: int


@attrs.frozen(kw_only=True)
class AbortSends:
    """Abort all connections used for some duties; yields `SendsAborted`."""

    duties: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ReadJournal:
    """Read the order journal of a data centre."""

    data_centre: str
    fencing: int


@attrs.frozen(kw_only=True)
class WriteJournal:
    """Write the order journal of a data centre by compare-and-swap."""

    data_centre: str
    fencing: int
    journal: OrderJournal
    expected_revision: int


@attrs.frozen(kw_only=True)
class PlaceOrder:
    """Send an order whose intent is in the journal.

    Attributes:
        order: The order.
        timeout_s: Longest wait; ends before the lease expires.
    """

    order: UpstreamOrder
    timeout_s: float


@attrs.frozen(kw_only=True)
class LookUpOrder:
    """Look up whether the platform has an order."""

    data_centre: str
    fencing: int
    order_id: str


@attrs.frozen(kw_only=True)
class ReadPlanInput:
    """Read all journals and all flushes for planning orders."""

    data_centre: str
    fencing: int


@attrs.frozen(kw_only=True)
class ReadUsageHead:
    """Read the head of a usage shard."""

    shard: int
    fencing: int


@attrs.frozen(kw_only=True)
class WriteUsageHead:
    """Write the head of a usage shard by compare-and-swap."""

    shard: int
    fencing: int
    head: UsageHead
    expected_revision: int


@attrs.frozen(kw_only=True)
class ReadFlushes:
    """Read the flushes of all entries."""

    shard: int
    fencing: int


@attrs.frozen(kw_only=True)
class FreezeWindow:
    """Store the figures of a window unless the store already has some."""

    fencing: int
    frozen: FrozenWindow


@attrs.frozen(kw_only=True)
class ReadFrozenWindow:
    """Read the frozen figures of a window."""

    shard: int
    fencing: int
    window: int


@attrs.frozen(kw_only=True)
class SendReports:
    """Send reports of one window; a repeat has the same figures.

    Attributes:
        shard: Number of the shard.
        fencing: Fencing token of the duty.
        window: The reported window.
        reports: Reports to send.
        timeout_s: Longest wait for all; ends before the lease expires.
    """

    shard: int
    fencing: int
    window: int
    reports: tuple[UsageReport, ...]
    timeout_s: float


@attrs.frozen(kw_only=True)
class DeleteFrozenWindow:
    """Delete the frozen figures of a window reported long ago."""

    shard: int
    fencing: int
    window: int


@attrs.frozen(kw_only=True)
class RetireSources:
    """Replace flushes of inactive, fully reported sources by tombstones.

    Attributes:
        revisions_by_source: Store revision at which each flush was found
            inactive; a flush that has changed since is kept.
    """

    revisions_by_source: Mapping[str, int]


@attrs.frozen(kw_only=True)
class RecordAudit:
    """Append a change to the audit trail."""

    change: AuditChange


@attrs.frozen(kw_only=True)
class CountMetric:
    """Add to a statsd counter."""

    name: str
    value: int = 1


@attrs.frozen(kw_only=True)
class ExitProcess:
    """Stop the process; all duties were handed over."""


Effect = (
    FetchHosts
    | FetchConfiguration
    | ListDuties
    | GrantLease
    | RenewLease
    | RevokeLease
    | ArmFence
    | DisarmFence
    | AcquireDuty
    | ReleaseDuty
    | AbortSends
    | ReadJournal
    | WriteJournal
    | PlaceOrder
    | LookUpOrder
    | ReadPlanInput
    | ReadUsageHead
    | WriteUsageHead
    | ReadFlushes
    | FreezeWindow
    | ReadFrozenWindow
    | SendReports
    | DeleteFrozenWindow
    | RetireSources
    | RecordAudit
    | CountMetric
    | ExitProcess
)
