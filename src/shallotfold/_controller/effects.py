"""Declare the effects that the controller's reducer asks its shell to run."""

import attrs

from shallotfold._fleet.audit import AuditChange


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
    """Ask the store for a lease."""

    ttl_s: float


@attrs.frozen(kw_only=True)
class RenewLease:
    """Renew the lease."""

    lease_id: str


@attrs.frozen(kw_only=True)
class RevokeLease:
    """End the lease; its duties become free."""

    lease_id: str


@attrs.frozen(kw_only=True)
class ArmFence:
    """Let the kernel kill this process at `deadline_s`."""

    deadline_s: float


@attrs.frozen(kw_only=True)
class DisarmFence:
    """Stop the kernel timer; nothing is held any more."""


@attrs.frozen(kw_only=True)
class AcquireDuty:
    """Record this process as the holder of a free duty."""

    duty: str
    lease_id: str
    token: str


@attrs.frozen(kw_only=True)
class ReleaseDuty:
    """Delete the record of a duty that this process has given up."""

    duty: str
    fencing: int


@attrs.frozen(kw_only=True)
class AbortSends:
    """Abort all connections used for some duties; answer `SendsAborted`."""

    duties: tuple[str, ...]


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
    """Stop the process; everything was handed over."""


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
    | RecordAudit
    | CountMetric
    | ExitProcess
)
