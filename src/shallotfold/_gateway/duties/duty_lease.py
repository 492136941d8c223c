"""Elect the host that performs the fleet's duties, by a store lease."""

import asyncio
from collections.abc import Callable
import random

from shallotfold._errors import LeaseLostError
from shallotfold._errors import PlatformError
from shallotfold._errors import StoreConflictError
from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.periodic_task import PeriodicTask
from shallotfold._gateway.core.ports import DutyTerm
from shallotfold._gateway.core.ports import WatchedStore

DUTY_KEY = "shallotfold/duties"
CHECK_INTERVAL_S = 0.3
# The holder renews when a third of its lease has passed.
RENEWALS_PER_LEASE = 3.0
# The holder sends nothing in the last part of its lease: what it has sent just
# before must arrive earlier than the calls of the next holder, also from a host
# that is busy or whose link is.
SEND_MARGIN_S = 0.6
MIN_SEND_MARGIN_LEASES = 0.2
# Of a lease that is short compared to the margin, half remains.
MAX_SEND_MARGIN_LEASES = 0.5
# A process that starts doesn't know whether its host has held the duties within
# the last lease duration, and two hosts mustn't hold them by turns in it.
START_COOLDOWN_LEASES = 1.0
# A host that lost the duties doesn't try to acquire them for this many lease
# durations, so that another host does and the duties don't flap between hosts.
ACQUIRE_COOLDOWN_LEASES = 2.5


class DutyLease:
    """Lease that at most one host holds; fencing tokens rise with each term.

    Attributes:
        fencing_token: Token of this host's term; 0: not the holder.
        held_since_s: Start of the term on the boot clock.
    """

    def __init__(
        self,
        store: WatchedStore,
        host: str,
        lease_s: float,
        is_candidate: Callable[[], bool],
        *,
        is_first_start: bool = False,
    ) -> None:
        """Make a lease that isn't held yet.

        Args:
            store: Keeps the lease.
            host: Name of this host.
            lease_s: Length of the lease.
            is_candidate: Returns whether this host should acquire the duties.
            is_first_start: Whether no host can have held the duties before.
        """
        self._store = store
        self._host = host
        self._lease_s = lease_s
        self._is_candidate = is_candidate
        self._lease_id = ""
        self._renewed_s = 0.0
        self._send_margin_s = min(
            max(SEND_MARGIN_S, lease_s * MIN_SEND_MARGIN_LEASES),
            lease_s * MAX_SEND_MARGIN_LEASES,
        )
        self._cooldown_until_s = boot_s()
        if not is_first_start:
            self._cooldown_until_s += lease_s * START_COOLDOWN_LEASES
        self._periodic_task = PeriodicTask(
            "Renewing or acquiring the duty lease",
            self._renew_or_acquire,
            lambda: CHECK_INTERVAL_S * random.uniform(0.8, 1.2),
        )
        self.fencing_token = 0
        self.held_since_s = 0.0

    @property
    def is_held(self) -> bool:
        """Whether this host may perform the duties now."""
        return self.fencing_token > 0 and boot_s() < self._expires_s

    @property
    def is_cooling_down(self) -> bool:
        """Whether this host leaves the duties to others for now."""
        return boot_s() < self._cooldown_until_s

    @property
    def term(self) -> DutyTerm | None:
        """The term in which this host may perform the duties now."""
        if not self.is_held:
            return None
        return DutyTerm(
            holder=self._host,
            fencing_token=self.fencing_token,
            expires_s=self._expires_s,
        )

    @property
    def _expires_s(self) -> float:
        return self._renewed_s + self._lease_s - self._send_margin_s

    async def start(self) -> None:
        """Start to acquire and renew the lease."""
        await self._periodic_task.start()

    async def close(self) -> None:
        """Revoke the lease, so that another host needn't wait until it ends."""
        await self._periodic_task.close()
        self._end_term("stopping")
        if self._lease_id:
            try:
                await self._store.revoke_lease(self._lease_id)
            except PlatformError as error:
                decision_log.record("lease_not_returned", error=str(error))

    def record_store_restored(self) -> None:
        """End the term, since a restored store may have lost its lease.

        Another host may still act on a lease of before that was renewed just
        before the restore, so none is acquired until that one has ended.
        """
        self._end_term("the store was restored")
        self._cooldown_until_s = max(
            self._cooldown_until_s, boot_s() + self._lease_s
        )

    def record_peer_token(self, token: int) -> None:
        """End the term if a peer holds the duties in a later one."""
        if token > self.fencing_token:
            self._end_term("a peer has a higher fencing token")

    def resign(self, reason: str) -> None:
        """End the term because another host holds the duties."""
        self._end_term(reason)

    def _end_term(self, reason: str) -> None:
        if not self.fencing_token:
            return
        decision_log.record(
            "duties_lost", reason=reason, fencing=self.fencing_token
        )
        self.fencing_token = 0
        self._cooldown_until_s = (
            boot_s() + self._lease_s * ACQUIRE_COOLDOWN_LEASES
        )

    async def _renew_or_acquire(self) -> None:
        try:
            if self.fencing_token:
                await self._renew()
            elif not self.is_cooling_down and self._is_candidate():
                await self._acquire()
        except LeaseLostError:
            self._lease_id = ""
            self._end_term("lease has ended")
        except StoreConflictError as error:
            self._lease_id = ""
            decision_log.record(
                "duties_held_elsewhere", revision=error.actual_revision
            )
            await asyncio.sleep(self._lease_s / 2)
        except PlatformError as error:
            decision_log.record(
                "lease_call_failed",
                error=str(error),
                fencing=self.fencing_token,
                age_s=round(boot_s() - self._renewed_s, 3),
            )

    async def _renew(self) -> None:
        if boot_s() - self._renewed_s < self._lease_s / RENEWALS_PER_LEASE:
            return
        if boot_s() - self._renewed_s > self._lease_s:
            self._end_term("not renewed in time")
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
        if self.is_cooling_down:
            # The store was restored meanwhile.
            decision_log.record("duties_declined", fencing=revision)
            await self._store.revoke_lease(lease.lease_id)
            self._lease_id = ""
            return
        self._renewed_s = started_s
        self.held_since_s = started_s
        # Store revisions rise with each change, so they are unique and
        # increasing as fencing tokens.
        self.fencing_token = revision
        decision_log.record("duties_taken", fencing=revision)
