"""Declare the events that the controller's reducer consumes.

Times are in seconds: `now_s` from the monotonic clock, `wall_s` since the
epoch. `started_s` is the monotonic time before a call was sent.
"""

from collections.abc import Sequence

import attrs

from shallotfold._fleet.duties import DutyRecord
from shallotfold._model.configuration import Configuration
from shallotfold._model.upstreams import HostRecord


@attrs.frozen(kw_only=True)
class Event:
    """Base of all events.

    Attributes:
        now_s: Monotonic time at which the event was observed.
    """

    now_s: float


@attrs.frozen(kw_only=True)
class Tick(Event):
    """Time has passed.

    Attributes:
        wall_s: Seconds since the epoch.
        random: Uniform random number in [0, 1).
    """

    wall_s: float
    random: float


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
