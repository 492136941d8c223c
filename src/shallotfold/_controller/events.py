"""Declare the events that the controller's reducer consumes.

Times are in seconds: `now_s` from the monotonic clock, `wall_s` since the
epoch. `started_s` is the monotonic time before a call was sent.
"""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs

from shallotfold._fleet.duties import DutyRecord
from shallotfold._fleet.order_journal import OrderJournal
from shallotfold._fleet.usage_flush import UsageFlush
from shallotfold._fleet.usage_ledger import FrozenWindow
from shallotfold._fleet.usage_ledger import UsageHead
from shallotfold._model.configuration import Configuration
from shallotfold._model.events import Event as Event
from shallotfold._model.events import Tick as Tick
from shallotfold._model.upstreams import HostRecord
from shallotfold._services.ports import UsageReport


@attrs.frozen(kw_only=True)
class ConfigurationRead(Event):
    """A configuration was read from the store."""

    version: int
    configuration: Configuration


@attrs.frozen(kw_only=True)
class HostsListed(Event):
    """The platform's lagging host list was read."""

    hosts: Sequence[HostRecord]


@attrs.frozen(kw_only=True)
class DutiesListed(Event):
    """The records of all held duties were read from the store."""

    records: Sequence[DutyRecord]
    started_s: float


@attrs.frozen(kw_only=True)
class DutiesListFailed(Event):
    """The duties could not be read from the store."""


@attrs.frozen(kw_only=True)
class LeaseGranted(Event):
    """The store granted a lease to this process."""

    lease_id: str
    ttl_s: float
    started_s: float


@attrs.frozen(kw_only=True)
class LeaseRenewed(Event):
    """The store renewed the lease of this process."""

    lease_id: str
    started_s: float


@attrs.frozen(kw_only=True)
class LeaseCallFailed(Event):
    """The store did not answer a grant or a renewal.

    Attributes:
        lease_id: Lease to renew; empty for a grant.
    """

    lease_id: str


@attrs.frozen(kw_only=True)
class LeaseLost(Event):
    """The lease no longer exists in the store."""

    lease_id: str


@attrs.frozen(kw_only=True)
class DutyAcquired(Event):
    """This process is recorded as the holder of a duty.

    Attributes:
        duty: Name of the duty.
        token: Token in the record, unique to process and lease.
        fencing: Fencing token.
    """

    duty: str
    token: str
    fencing: int


@attrs.frozen(kw_only=True)
class DutyNotAcquired(Event):
    """Another process acquired the duty, or the outcome is unknown."""

    duty: str


@attrs.frozen(kw_only=True)
class SendsAborted(Event):
    """Nothing sent under these duties can leave this process any more."""

    duties: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ShutdownRequested(Event):
    """A shutdown was requested; hand the duties over."""


@attrs.frozen(kw_only=True)
class OrderEvent(Event):
    """Base of the events about the orders of one data centre.

    Attributes:
        data_centre: Its name.
        fencing: Fencing token of the duty when the call was made.
    """

    data_centre: str
    fencing: int


@attrs.frozen(kw_only=True)
class JournalRead(OrderEvent):
    """The journal was read; revision 0 means that there is none yet."""

    journal: OrderJournal
    revision: int


@attrs.frozen(kw_only=True)
class JournalWritten(OrderEvent):
    """The journal was written to the store."""

    journal: OrderJournal
    revision: int


@attrs.frozen(kw_only=True)
class JournalCallFailed(OrderEvent):
    """Reading failed, or the outcome of a write is unknown or a conflict."""


@attrs.frozen(kw_only=True)
class OrderExecuted(OrderEvent):
    """The platform executed an order."""

    order_id: str


@attrs.frozen(kw_only=True)
class OrderRefused(OrderEvent):
    """The platform refused an order and did not execute it."""

    order_id: str
    code: str


@attrs.frozen(kw_only=True)
class OrderUnanswered(OrderEvent):
    """The platform did not answer an order; it may have been executed."""

    order_id: str


@attrs.frozen(kw_only=True)
class OrderLookedUp(OrderEvent):
    """The platform answered whether it has an order."""

    order_id: str
    exists: bool


@attrs.frozen(kw_only=True)
class OrderLookUpFailed(OrderEvent):
    """An order could not be looked up."""


@attrs.frozen(kw_only=True)
class PlanInputRead(OrderEvent):
    """The journals of all data centres and the flushes of all entries.

    Attributes:
        journals_by_data_centre: All journals.
        flushes: Flushes of the entries.
    """

    journals_by_data_centre: Mapping[str, OrderJournal]
    flushes: Sequence[UsageFlush]


@attrs.frozen(kw_only=True)
class PlanInputReadFailed(OrderEvent):
    """The journals or flushes could not be read from the store."""


@attrs.frozen(kw_only=True)
class UsageEvent(Event):
    """Base of the events about one usage shard.

    Attributes:
        shard: Its number.
        fencing: Fencing token of the duty when the call was made.
    """

    shard: int
    fencing: int


@attrs.frozen(kw_only=True)
class UsageHeadRead(UsageEvent):
    """The head was read; `None` with revision 0 if there is none yet."""

    head: UsageHead | None
    revision: int


@attrs.frozen(kw_only=True)
class UsageHeadWritten(UsageEvent):
    """The head of a shard was written to the store."""

    head: UsageHead
    revision: int


@attrs.frozen(kw_only=True)
class UsageCallFailed(UsageEvent):
    """A call failed, or its outcome is unknown or a conflict."""


@attrs.frozen(kw_only=True)
class FlushesRead(UsageEvent):
    """All flushes were read.

    Attributes:
        flushes: Flushes of all sources.
        revisions_by_source: Store revision of each flush.
    """

    flushes: Sequence[UsageFlush]
    revisions_by_source: Mapping[str, int]


@attrs.frozen(kw_only=True)
class WindowFrozen(UsageEvent):
    """A window's figures are in the store.

    Attributes:
        frozen: The stored figures; another holder may have frozen them.
    """

    frozen: FrozenWindow


@attrs.frozen(kw_only=True)
class ReportsSent(UsageEvent):
    """Reports of a window were sent; unanswered ones are left out.

    Attributes:
        window: The reported window.
        reports: Reports that the platform accepted.
        conflicts: Reports it refused because it has other figures.
    """

    window: int
    reports: Sequence[UsageReport]
    conflicts: Sequence[UsageReport] = ()


@attrs.frozen(kw_only=True)
class FrozenWindowDeleted(UsageEvent):
    """The frozen figures of an old window were deleted from the store."""

    window: int
