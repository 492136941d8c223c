"""Keep the requests that are held back in the platform's store.

Hosts tell each other of them. The store is for hosts that start when no other
host is left that knows, and for hosts that lose all others.
"""

from collections.abc import Callable
from collections.abc import Sequence
import hashlib
import json
import random

from shallotfold._errors import PlatformError
from shallotfold._errors import StoreConflictError
from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.periodic_task import PeriodicTask
from shallotfold._gateway.core.ports import WatchedStore
from shallotfold._gateway.deciding.crashing_requests import CrashingRequests
from shallotfold._gateway.deciding.request_holds import RequestHold
from shallotfold._gateway.deciding.request_traits import is_fingerprint
from shallotfold._services.ports import StoredValue

HOLDS_PREFIX = "shallotfold/held-prompts/"
# Who has let a request through as a trial of a hold on equal requests.
TRIALS_PREFIX = "shallotfold/hold-trials/"
# A trial is claimed only while such requests come.
TRIAL_WANTED_S = 2.0
CHECK_INTERVAL_S = 0.1
# After a failed call, each further one costs the store something.
RETRY_DELAY_S = 1.0
# The host that decided a hold stores it. Others do so if it hasn't for this
# long, at different times.
OTHERS_STORE_AFTER_S = (3.0, 6.0)
# A host without a peer that is alive reads the holds of others this often; one
# that doesn't hear some of its peers does so when an upstream has ended.
ISOLATED_READ_INTERVAL_S = 2.0
# The store keeps no lease that is shorter.
MIN_LEASE_S = 1.0


class StoredHolds:
    """Reads and writes the holds in the platform's store."""

    def __init__(
        self,
        store: WatchedStore,
        requests: CrashingRequests,
        on_read: Callable[[Sequence[tuple[str, ...]]], None],
        is_follower: Callable[[], bool],
        is_isolated: Callable[[], bool],
        has_silent_peers: Callable[[], bool],
        *,
        origin: str,
        is_first_start: bool,
    ) -> None:
        """Make the keeper of a host.

        Args:
            store: The platform's store.
            requests: The holds of this host.
            on_read: Called with the parts of each hold in the store.
            is_follower: Returns whether this host calls the store for others.
            is_isolated: Returns whether the host has lost all its peers.
            has_silent_peers: Returns whether it doesn't hear some of them.
            origin: Name of this host and incarnation of its process.
            is_first_start: Whether the store can't have any hold yet.
        """
        self._store = store
        self._requests = requests
        self._on_read = on_read
        self._is_follower = is_follower
        self._is_isolated = is_isolated
        self._has_silent_peers = has_silent_peers
        self._origin = origin
        self._must_read = not is_first_start
        self._read_s = 0.0
        self._others_store_after_s = random.uniform(*OTHERS_STORE_AFTER_S)
        self._retry_s = 0.0
        self._periodic_task = PeriodicTask(
            "Storing held requests", self.step, self._pause_s
        )

    async def start(self) -> None:
        """Start reading and writing."""
        await self._periodic_task.start()

    async def close(self) -> None:
        """Stop reading and writing."""
        await self._periodic_task.close()

    def record_store_restored(self) -> None:
        """Store the holds again, since the backup may lack them."""
        for hold in self._requests.holds.values():
            hold.stored = False

    async def step(self) -> None:
        """Read or write what is due."""
        now_s = boot_s()
        if now_s < self._retry_s:
            return
        if now_s - self._read_s > ISOLATED_READ_INTERVAL_S and (
            self._is_isolated()
            or (
                self._requests.crash_seen_s > self._read_s
                and self._has_silent_peers()
            )
        ):
            self._must_read = True
        try:
            if self._must_read:
                self._on_read(_read_parts(await self._store.list(HOLDS_PREFIX)))
                self._must_read = False
                self._read_s = now_s
            for hold in list(self._requests.holds.values()):
                if self._should_store(hold, now_s):
                    await self._write(hold)
                if self._should_claim_trial(hold, now_s):
                    await self._claim_trial(hold)
        except PlatformError as error:
            decision_log.record("holds_call_failed", error=str(error))
            self._retry_s = boot_s() + RETRY_DELAY_S * random.uniform(0.8, 1.2)
            # The others learn from the hosts that keep calling the store.
            self._must_read = self._must_read and self._is_follower()

    def _pause_s(self) -> float:
        # A host that starts reads the holds before its first request.
        return (
            0.0 if self._must_read and not self._retry_s else CHECK_INTERVAL_S
        )

    def _should_store(self, hold: RequestHold, now_s: float) -> bool:
        if hold.stored or hold.ends_s - now_s < MIN_LEASE_S:
            return False
        if hold.decided_here:
            return True
        age_s = now_s - hold.held_s
        return self._is_follower() and age_s > self._others_store_after_s

    async def _write(self, hold: RequestHold) -> None:
        """Store a hold for as long as it lasts."""
        traits = sorted(hold.traits)
        lease = await self._store.grant_lease(hold.ends_s - boot_s())
        try:
            await self._store.compare_and_swap(
                _key(HOLDS_PREFIX, traits),
                0,
                json.dumps({"parts": traits}).encode(),
                lease.lease_id,
            )
        except StoreConflictError:
            # Another host has stored it.
            await self._store.revoke_lease(lease.lease_id)
        hold.stored = True
        decision_log.record("hold_stored", traits=traits)

    def _should_claim_trial(self, hold: RequestHold, now_s: float) -> bool:
        return (
            hold.is_of_equal_requests
            and hold.stored
            and now_s >= self._requests.trial_due_s(hold)
            and now_s - hold.refused_s < TRIAL_WANTED_S
            and hold.ends_s - now_s > MIN_LEASE_S
        )

    async def _claim_trial(self, hold: RequestHold) -> None:
        """Claim the next trial of a hold; hosts may not hear each other."""
        number = hold.trials + 1
        key = _key(
            TRIALS_PREFIX, [*filter(is_fingerprint, hold.traits), number]
        )
        lease = await self._store.grant_lease(hold.ends_s - boot_s())
        claim = self._origin.encode()
        try:
            await self._store.compare_and_swap(key, 0, claim, lease.lease_id)
            is_own = True
        except StoreConflictError:
            # A claim whose response was lost may be this host's own.
            stored = await self._store.get(key)
            is_own = stored is not None and stored.value == claim
            await self._store.revoke_lease(lease.lease_id)
        self._requests.record_claim(hold, number, is_own=is_own)
        decision_log.record(
            "hold_trial", traits=sorted(hold.traits), number=number, own=is_own
        )


def _key(prefix: str, name: Sequence[str | int]) -> str:
    digest = hashlib.blake2b(json.dumps(name).encode(), digest_size=16)
    return prefix + digest.hexdigest()


def _read_hold(document: bytes) -> tuple[str, ...]:
    """Return the traits of a stored hold.

    Raises:
        ValueError: The document names no traits.
    """
    try:
        traits = json.loads(document)["parts"]
    except (LookupError, TypeError, RecursionError) as error:
        raise ValueError(f"the document has no traits: {error}") from error
    if not isinstance(traits, list) or not traits:
        raise ValueError("the traits aren't a list")
    if not all(isinstance(trait, str) and trait for trait in traits):
        raise ValueError("a trait isn't text")
    return tuple(traits)


def _read_parts(values: Sequence[StoredValue]) -> list[tuple[str, ...]]:
    holds = []
    for value in values:
        try:
            holds.append(_read_hold(value.value))
        except ValueError as error:
            decision_log.record(
                "stored_hold_ignored", key=value.key, error=str(error)
            )
    return holds
