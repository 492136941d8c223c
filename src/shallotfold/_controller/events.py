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
    """The store gave no answer about the duties."""


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
    """The store gave no answer to a grant or a renewal.

    Attributes:
        lease_id: Lease to renew; empty for a grant.
    """

    lease_id: str


@attrs.frozen(kw_only=True)
class LeaseLost(Event):
    """The store does not know the lease any more."""

    lease_id: str


@attrs.frozen(kw_only=True)
class DutyAcquired(Event):
    """A duty is recorded for this process.

    Attributes:
        duty: Name of the duty.
        token: Token that the record was written with.
        fencing: Fencing number.
    """

    duty: str
    token: str
    fencing: int


@attrs.frozen(kw_only=True)
class DutyNotAcquired(Event):
    """A duty went to another process, or the outcome is unknown."""

    duty: str


@attrs.frozen(kw_only=True)
class SendsAborted(Event):
    """Nothing sent under the given duties can leave this process any more."""

    duties: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ShutdownRequested(Event):
    """The process was asked to stop; hand the duties over."""


@attrs.frozen(kw_only=True)
class OrderEvent(Event):
    """Base of the events about the orders of one data centre.

    Attributes:
        data_centre: Its name.
        fencing: Fencing number under which the call was made.
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
    """The journal is in the store as given."""

    journal: OrderJournal
    revision: int


@attrs.frozen(kw_only=True)
class JournalUnknown(OrderEvent):
    """Reading failed, or the outcome of a write is unknown or a conflict."""


@attrs.frozen(kw_only=True)
class OrderTaken(OrderEvent):
    """The platform carried an order out."""

    order_id: str


@attrs.frozen(kw_only=True)
class OrderRefused(OrderEvent):
    """The platform refused an order and did not carry it out."""

    order_id: str
    code: str


@attrs.frozen(kw_only=True)
class OrderUnanswered(OrderEvent):
    """No answer to an order; it may be carried out."""

    order_id: str


@attrs.frozen(kw_only=True)
class OrderLookedUp(OrderEvent):
    """The platform said whether it has an order."""

    order_id: str
    found: bool


@attrs.frozen(kw_only=True)
class OrderLookUpFailed(OrderEvent):
    """The platform gave no answer about an order."""


@attrs.frozen(kw_only=True)
class FleetRead(OrderEvent):
    """What all data centres have ordered, and what all entries saw.

    Attributes:
        journals_by_data_centre: All journals.
        flushes: What the entries flushed.
    """

    journals_by_data_centre: Mapping[str, OrderJournal]
    flushes: Sequence[UsageFlush]


@attrs.frozen(kw_only=True)
class FleetReadFailed(OrderEvent):
    """The store gave no answer about the fleet."""


@attrs.frozen(kw_only=True)
class UsageEvent(Event):
    """Base of the events about one usage shard.

    Attributes:
        shard: Its number.
        fencing: Fencing number under which the call was made.
    """

    shard: int
    fencing: int


@attrs.frozen(kw_only=True)
class UsageHeadRead(UsageEvent):
    """The head of a shard was read; `None` with revision 0 if absent."""

    head: UsageHead | None
    revision: int


@attrs.frozen(kw_only=True)
class UsageHeadWritten(UsageEvent):
    """The head of a shard is in the store as given."""

    head: UsageHead
    revision: int


@attrs.frozen(kw_only=True)
class UsageCallFailed(UsageEvent):
    """A call failed, or its outcome is unknown or a conflict."""


@attrs.frozen(kw_only=True)
class FlushesRead(UsageEvent):
    """All flushes were read.

    Attributes:
        flushes: What the store holds of each source.
        revisions_by_source: Store revision of each.
    """

    flushes: Sequence[UsageFlush]
    revisions_by_source: Mapping[str, int]


@attrs.frozen(kw_only=True)
class WindowFrozen(UsageEvent):
    """A window's figures are in the store.

    Attributes:
        frozen: The figures there; another holder may have frozen them.
    """

    frozen: FrozenWindow


@attrs.frozen(kw_only=True)
class ReportsSent(UsageEvent):
    """The platform has some reports.

    Attributes:
        window: Window reported.
        reports: Reports taken by the platform.
        conflicts: Reports it refused because it has other figures.
    """

    window: int
    reports: Sequence[UsageReport]
    conflicts: Sequence[UsageReport] = ()


@attrs.frozen(kw_only=True)
class FrozenDeleted(UsageEvent):
    """The frozen figures of an old window are gone."""

    window: int
