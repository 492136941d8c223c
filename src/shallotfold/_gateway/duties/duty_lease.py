"""Hold the fleet's duties under a lease of the store."""

import asyncio
from collections.abc import Callable
import random

from shallotfold._errors import LeaseLostError
from shallotfold._errors import PlatformError
from shallotfold._errors import StoreConflictError
from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.periodic_task import PeriodicTask
from shallotfold._gateway.core.ports import WatchedStore

DUTY_KEY = "shallotfold/duties"
CHECK_INTERVAL_S = 0.3
# A holder renews when a third of its lease has passed.
RENEWALS_PER_LEASE = 3.0
# A holder that lost its lease leaves others this many leases to act, so that
# duties don't go back and forth.
LEASES_OF_ABSTENTION = 2.5


class DutyLease:
    """At most one host holds it at a time; its fencing numbers rise.

    Attributes:
        fencing: Number of this host's tenure; 0: it holds nothing.
        held_since_s: When the tenure began, on the boot clock.
    """

    def __init__(
        self,
        store: WatchedStore,
        host: str,
        lease_s: float,
        is_candidate: Callable[[], bool],
    ) -> None:
        self._store = store
        self._host = host
        self._lease_s = lease_s
        self._is_candidate = is_candidate
        self._lease_id = ""
        self._renewed_s = 0.0
        self._abstain_until_s = 0.0
        self._repeater = PeriodicTask(
            "Keeping the lease of the duties",
            self._keep,
            lambda: CHECK_INTERVAL_S * random.uniform(0.8, 1.2),
        )
        self.fencing = 0
        self.held_since_s = 0.0

    @property
    def is_held(self) -> bool:
        """Whether this host may act now."""
        return self.fencing > 0 and self._fresh()

    async def start(self) -> None:
        """Begin to seek the lease."""
        await self._repeater.start()

    async def close(self) -> None:
        """Give the lease back, so that another host need not wait."""
        await self._repeater.close()
        if self.fencing:
            self._drop("stopping")
            try:
                await self._store.revoke_lease(self._lease_id)
            except PlatformError as error:
                decision_log.record("lease_not_returned", error=str(error))

    def resign(self, reason: str) -> None:
        """Stop acting: another host was seen to hold the duties."""
        self._drop(reason)

    def _fresh(self) -> bool:
        return boot_s() - self._renewed_s < self._lease_s * 0.8

    def _drop(self, reason: str) -> None:
        if not self.fencing:
            return
        decision_log.record("duties_lost", reason=reason, fencing=self.fencing)
        self.fencing = 0
        self._abstain_until_s = boot_s() + self._lease_s * LEASES_OF_ABSTENTION

    async def _keep(self) -> None:
        try:
            if self.fencing:
                await self._renew()
            elif boot_s() >= self._abstain_until_s and self._is_candidate():
                await self._acquire()
        except LeaseLostError:
            self._lease_id = ""
            self._drop("lease has ended")
        except StoreConflictError as error:
            decision_log.record(
                "duties_held_elsewhere", revision=error.actual_revision
            )
            await asyncio.sleep(self._lease_s / 2)
        except PlatformError as error:
            decision_log.record(
                "lease_call_failed",
                error=str(error),
                fencing=self.fencing,
                age_s=round(boot_s() - self._renewed_s, 3),
            )

    async def _renew(self) -> None:
        if boot_s() - self._renewed_s < self._lease_s / RENEWALS_PER_LEASE:
            return
        if boot_s() - self._renewed_s > self._lease_s:
            self._drop("not renewed in time")
            return
        started_s = boot_s()
        await self._store.renew_lease(self._lease_id)
        self._renewed_s = started_s

    async def _acquire(self) -> None:
        started_s = boot_s()
        lease = await self._store.grant_lease(self._lease_s)
        self._lease_id = lease.lease_id
        revision = await self._store.compare_and_swap(
            DUTY_KEY, 0, self._host.encode(), lease.lease_id
        )
        self._renewed_s = started_s
        self.held_since_s = started_s
        # Revisions of the store rise with each change: no other tenure can
        # have the same one.
        self.fencing = revision
        decision_log.record("duties_taken", fencing=revision)
