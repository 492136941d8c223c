"""Simulate the platform's key-value service, without I/O."""

import asyncio
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import enum
import itertools
import time

import attrs

from shallotfold._errors import LeaseLostError
from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._errors import ValueTooLargeError
from shallotfold._services.ports import Lease
from shallotfold._services.ports import StoreChanges
from shallotfold._services.ports import StoredValue
from shallotfold._services.store_messages import MAX_VALUE_BYTES

WATCH_POLL_S = 0.1


class StoreFault(enum.Enum):
    """How calls fail while a fault is switched on."""

    OK = "ok"
    DOWN = "down"
    """Calls fail after the delay and take no effect."""
    SLOW = "slow"
    """Calls take effect and are answered after the delay."""
    LOSE_ANSWERS = "lose_answers"
    """Calls take effect, but their responses are lost."""


@attrs.define
class _LeaseRecord:
    ttl_s: float
    deadline_s: float
    keys: set[str] = attrs.field(factory=set)


@attrs.define
class StoreStandin:
    """Implement `Store` in memory, with fault injection.

    Attributes:
        clock: Returns the monotonic time in seconds, used to expire leases.
        sleep: Waits for a number of seconds.
        revision: Store-wide revision of the last change.
        calls_by_name: Number of calls of each kind, including failed ones.
    """

    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep
    revision: int = 0
    calls_by_name: Counter[str] = attrs.field(factory=Counter)
    _fault: StoreFault = StoreFault.OK
    _delay_s: float = 0.0
    _remaining_faulty_calls: int | None = None
    _values_by_key: dict[str, StoredValue] = attrs.field(factory=dict)
    _deleted_revisions_by_key: dict[str, int] = attrs.field(factory=dict)
    _leases_by_id: dict[str, _LeaseRecord] = attrs.field(factory=dict)
    _lease_numbers: "itertools.count[int]" = attrs.field(
        factory=lambda: itertools.count(1)
    )
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def set_fault(
        self,
        fault: StoreFault,
        delay_s: float = 0.0,
        count: int | None = None,
    ) -> None:
        """Switch a fault on, or off with `StoreFault.OK`.

        Args:
            fault: How calls fail from now on.
            delay_s: Delay of each call while slow, and of each failure while
                down.
            count: Number of affected calls; `None` for all until switched
                off.
        """
        self._fault = fault
        self._delay_s = delay_s
        self._remaining_faulty_calls = count
        self._wake_watches()

    async def get(self, key: str) -> StoredValue | None:
        """Read one key; see `Store`."""
        fault = await self._start_call("get")
        value = self._values_by_key.get(key)
        self._finish_call(fault)
        return value

    async def list(self, prefix: str) -> Sequence[StoredValue]:
        """Read all keys under a prefix; see `Store`."""
        fault = await self._start_call("list")
        values = self.snapshot(prefix)
        self._finish_call(fault)
        return values

    def snapshot(self, prefix: str = "") -> tuple[StoredValue, ...]:
        """Return all values under a prefix, without counting a call."""
        self.expire_leases()
        return tuple(
            self._values_by_key[key]
            for key in sorted(self._values_by_key)
            if key.startswith(prefix)
        )

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: str = "",
    ) -> int:
        """Write a key if it is at the expected revision; see `Store`."""
        fault = await self._start_call("compare_and_swap")
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLargeError(f"{key}: split the value into chunks")
        self._check_revision(key, expected_revision)
        if lease_id:
            self._find_lease(lease_id).keys.add(key)
        self._detach_from_leases(key, kept_lease_id=lease_id)
        self.revision += 1
        self._values_by_key[key] = StoredValue(key, value, self.revision)
        self._deleted_revisions_by_key.pop(key, None)
        written_revision = self.revision
        self._wake_watches()
        self._finish_call(fault)
        return written_revision

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete a key if it is at the expected revision; see `Store`."""
        fault = await self._start_call("delete")
        self._check_revision(key, expected_revision)
        if key in self._values_by_key:
            self._detach_from_leases(key, kept_lease_id="")
            self._delete_key(key)
        self._finish_call(fault)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a new lease; see `Store`."""
        fault = await self._start_call("grant_lease")
        lease_id = f"lease-{next(self._lease_numbers)}"
        self._leases_by_id[lease_id] = _LeaseRecord(ttl_s, self.clock() + ttl_s)
        self._finish_call(fault)
        return Lease(lease_id, ttl_s)

    async def renew_lease(self, lease_id: str) -> None:
        """Renew a lease; see `Store`."""
        fault = await self._start_call("renew_lease")
        lease = self._find_lease(lease_id)
        lease.deadline_s = self.clock() + lease.ttl_s
        self._finish_call(fault)

    async def revoke_lease(self, lease_id: str) -> None:
        """Revoke a lease; see `Store`."""
        fault = await self._start_call("revoke_lease")
        self._delete_lease(lease_id)
        self._finish_call(fault)

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> StoreChanges:
        """Wait for changes under a prefix; see `Store`."""
        fault = await self._start_call("watch")
        deadline_s = self.clock() + timeout_s
        changes = self._collect_changes(prefix, after_revision)
        while not (changes.changed or changes.deleted):
            remaining_s = deadline_s - self.clock()
            if remaining_s <= 0:
                break
            await self._wait_for_change(min(remaining_s, WATCH_POLL_S))
            if self._fault is StoreFault.DOWN:
                raise StoreUnavailableError("the stand-in store is down")
            changes = self._collect_changes(prefix, after_revision)
        self._finish_call(fault)
        return changes

    def expire_leases(self) -> None:
        """Delete the expired leases and their keys."""
        now_s = self.clock()
        expired = [
            lease_id
            for lease_id, lease in self._leases_by_id.items()
            if lease.deadline_s <= now_s
        ]
        for lease_id in expired:
            self._delete_lease(lease_id)

    async def _start_call(self, name: str) -> StoreFault:
        self.calls_by_name[name] += 1
        fault = self._next_fault()
        if fault in (StoreFault.SLOW, StoreFault.DOWN) and self._delay_s:
            await self.sleep(self._delay_s)
        if fault is StoreFault.DOWN:
            raise StoreUnavailableError("the stand-in store is down")
        self.expire_leases()
        return fault

    def _finish_call(self, fault: StoreFault) -> None:
        if fault is StoreFault.LOSE_ANSWERS:
            raise StoreUnavailableError("the stand-in store lost the response")

    def _next_fault(self) -> StoreFault:
        if self._remaining_faulty_calls is None:
            return self._fault
        if self._remaining_faulty_calls <= 0:
            self._fault = StoreFault.OK
            self._remaining_faulty_calls = None
            return self._fault
        self._remaining_faulty_calls -= 1
        return self._fault

    def _check_revision(self, key: str, expected_revision: int) -> None:
        value = self._values_by_key.get(key)
        actual_revision = value.revision if value else 0
        if actual_revision != expected_revision:
            raise StoreConflictError(key, actual_revision)

    def _find_lease(self, lease_id: str) -> _LeaseRecord:
        lease = self._leases_by_id.get(lease_id)
        if lease is None:
            raise LeaseLostError(
                f"{lease_id} does not exist; acquire a new lease"
            )
        return lease

    def _detach_from_leases(self, key: str, kept_lease_id: str) -> None:
        for lease_id, lease in self._leases_by_id.items():
            if lease_id != kept_lease_id:
                lease.keys.discard(key)

    def _delete_lease(self, lease_id: str) -> None:
        lease = self._leases_by_id.pop(lease_id, None)
        for key in sorted(lease.keys) if lease else ():
            self._delete_key(key)

    def _delete_key(self, key: str) -> None:
        self.revision += 1
        del self._values_by_key[key]
        self._deleted_revisions_by_key[key] = self.revision
        self._wake_watches()

    def _collect_changes(
        self, prefix: str, after_revision: int
    ) -> StoreChanges:
        values = self.snapshot(prefix)
        return StoreChanges(
            revision=self.revision,
            changed=tuple(v for v in values if v.revision > after_revision),
            deleted=tuple(
                key
                for key, revision in self._deleted_revisions_by_key.items()
                if key.startswith(prefix) and revision > after_revision
            ),
        )

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_for_change(self, timeout_s: float) -> None:
        changed = self._changed
        try:
            await asyncio.wait_for(changed.wait(), timeout_s)
        except TimeoutError:
            return
