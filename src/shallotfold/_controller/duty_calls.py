"""Run the effects about leases and duties against the store."""

from collections.abc import Callable
import uuid

import attrs

from shallotfold._controller import effects
from shallotfold._controller import events
from shallotfold._controller.shell import ControllerShell
from shallotfold._errors import LeaseLostError
from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._fleet import audit
from shallotfold._fleet import duties
from shallotfold._fleet.verified_write import write_verified
from shallotfold._services.ports import Store

AUDIT_MAX_ATTEMPTS = 20


@attrs.define
class DutyCalls:
    """Calls about leases, duties and the audit trail.

    Attributes:
        shell: Receives the results as events.
        store: Key-value service.
        wall_clock: Seconds since the epoch.
    """

    shell: ControllerShell
    store: Store
    wall_clock: Callable[[], float]

    def register(self) -> None:
        """Register all runners."""
        self.shell.register(effects.ListDuties, self._list_duties)
        self.shell.register(effects.GrantLease, self._grant)
        self.shell.register(effects.RenewLease, self._renew)
        self.shell.register(effects.RevokeLease, self._revoke)
        self.shell.register(effects.AcquireDuty, self._acquire)
        self.shell.register(effects.ReleaseDuty, self._release)
        self.shell.register(effects.RecordAudit, self._record)

    async def _list_duties(self, effect: effects.ListDuties) -> None:
        del effect
        started_s = self.shell.clock()
        try:
            stored = await self.store.list(duties.DUTIES_PREFIX)
        except StoreUnavailableError:
            self.shell.deliver(
                events.DutiesListFailed(now_s=self.shell.clock())
            )
            return
        self.shell.deliver(
            events.DutiesListed(
                now_s=self.shell.clock(),
                records=[duties.decode_duty(value) for value in stored],
                started_s=started_s,
            )
        )

    async def _grant(self, effect: effects.GrantLease) -> None:
        started_s = self.shell.clock()
        try:
            lease = await self.store.grant_lease(effect.ttl_s)
        except StoreUnavailableError:
            self.shell.deliver(
                events.LeaseCallFailed(now_s=self.shell.clock(), lease_id="")
            )
            return
        self.shell.deliver(
            events.LeaseGranted(
                now_s=self.shell.clock(),
                lease_id=lease.lease_id,
                ttl_s=min(lease.ttl_s, effect.ttl_s),
                started_s=started_s,
            )
        )

    async def _renew(self, effect: effects.RenewLease) -> None:
        started_s = self.shell.clock()
        event: events.Event
        try:
            await self.store.renew_lease(effect.lease_id)
        except LeaseLostError:
            event = events.LeaseLost(
                now_s=self.shell.clock(), lease_id=effect.lease_id
            )
        except StoreUnavailableError:
            event = events.LeaseCallFailed(
                now_s=self.shell.clock(), lease_id=effect.lease_id
            )
        else:
            event = events.LeaseRenewed(
                now_s=self.shell.clock(),
                lease_id=effect.lease_id,
                started_s=started_s,
            )
        self.shell.deliver(event)

    async def _revoke(self, effect: effects.RevokeLease) -> None:
        try:
            await self.store.revoke_lease(effect.lease_id)
        except StoreUnavailableError:
            return  # The lease expires by itself.

    async def _acquire(self, effect: effects.AcquireDuty) -> None:
        record = duties.DutyRecord(
            name=effect.duty, holder=self.shell.state.host, token=effect.token
        )
        event: events.Event
        try:
            fencing = await write_verified(
                self.store,
                duties.duty_key(effect.duty),
                0,
                duties.encode_duty(record),
                effect.lease_id,
            )
        except (LeaseLostError, StoreConflictError, StoreUnavailableError):
            event = events.DutyNotAcquired(
                now_s=self.shell.clock(), duty=effect.duty
            )
        else:
            event = events.DutyAcquired(
                now_s=self.shell.clock(),
                duty=effect.duty,
                token=effect.token,
                fencing=fencing,
            )
        self.shell.deliver(event)

    async def _release(self, effect: effects.ReleaseDuty) -> None:
        try:
            await self.store.delete(
                duties.duty_key(effect.duty), effect.fencing
            )
        except (StoreConflictError, StoreUnavailableError):
            return  # Another process holds it, or the lease will expire.

    async def _record(self, effect: effects.RecordAudit) -> None:
        record = audit.AuditRecord(
            record_id=uuid.uuid4().hex,
            at_s=self.wall_clock(),
            change=effect.change,
        )
        await audit.append_with_retries(self.store, record, AUDIT_MAX_ATTEMPTS)
