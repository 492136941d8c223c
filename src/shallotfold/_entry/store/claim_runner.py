"""Claim and settle idempotency keys in the store for the reducer."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import random
import time
from typing import Any
from typing import TypeVar

import attrs
from loguru import logger

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._errors import PlatformError
from shallotfold._errors import StoredValueError
from shallotfold._fleet import claims
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import RecordedAnswer
from shallotfold._model.requests import RefusalCode
from shallotfold._services.ports import Store

CLAIM_TIMEOUT_S = 2.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0
MAX_RETRY_TIME_S = 600.0
CLEANUP_INTERVAL_S = 60.0
CLOSE_TIMEOUT_S = 5.0

T = TypeVar("T")


class ClaimRunner:
    """Run `ClaimIdempotencyKey` and `SettleClaim` against the store.

    Args:
        store: Key-value service.
        deliver: Called with the resulting events.
        get_recorded_answer: Returns the complete answer of an open request,
            if there is one, to be recorded.
    """

    def __init__(
        self,
        store: Store,
        deliver: Callable[[events.Event], None],
        get_recorded_answer: Callable[[str], RecordedAnswer | None],
    ) -> None:
        self._store = store
        self._deliver = deliver
        self._get_recorded_answer = get_recorded_answer
        self._claims_by_request: dict[str, claims.HeldClaim] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._cleanup_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to delete claims that are past their retention."""
        self._cleanup_task = asyncio.create_task(self._delete_expired_claims())

    async def close(self) -> None:
        """Wait a limited time for outcomes to be recorded, then stop."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.wait_settled(), CLOSE_TIMEOUT_S)
        unfinished = [
            *self._tasks,
            *([self._cleanup_task] if self._cleanup_task else []),
        ]
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)

    @property
    def unsettled(self) -> int:
        """Number of tasks that claim a key or record an outcome."""
        return len(self._tasks)

    async def wait_settled(self) -> None:
        """Wait until no key is being claimed and no outcome recorded."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def claim(self, effect: effects.ClaimIdempotencyKey) -> None:
        """Claim a key; `ClaimSucceeded` or `ClaimFailed` follows."""
        self._spawn(self._claim(effect))

    def settle(self, effect: effects.SettleClaim) -> None:
        """Record how a claimed request ended."""
        held_claim = self._claims_by_request.pop(effect.request_id, None)
        if held_claim is None:
            return
        answer = None
        if effect.outcome is Outcome.RAN:
            answer = self._get_recorded_answer(effect.request_id)
        settled = attrs.evolve(
            held_claim.claim,
            status=_status_of(effect.outcome, answer),
            changed_s=time.time(),
            answer=answer,
        )
        self._spawn(self._settle(held_claim, settled))

    def _spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _claim(self, effect: effects.ClaimIdempotencyKey) -> None:
        new_claim = claims.Claim(
            status=claims.ClaimStatus.TAKEN,
            token=effect.request_id,
            body_sha256=effect.body_sha256,
            changed_s=time.time(),
        )
        key = claims.claim_key(effect.workspace, effect.idempotency_key)
        acquiring = self._spawn(self._acquire(key, new_claim))
        done, _ = await asyncio.wait({acquiring}, timeout=CLAIM_TIMEOUT_S)
        if not done:
            self._deliver_failure(
                effect.request_id, RefusalCode.STORE_UNAVAILABLE
            )
            await self._release(await acquiring)
            return
        result = acquiring.result()
        if isinstance(result, claims.HeldClaim):
            self._claims_by_request[effect.request_id] = result
            self._deliver(
                events.ClaimSucceeded(
                    now_s=time.monotonic(), request_id=effect.request_id
                )
            )
            return
        self._report_existing_claim(effect, result)

    async def _acquire(
        self, key: str, new_claim: claims.Claim
    ) -> claims.HeldClaim | claims.Claim | None:
        """Retry a claim until its outcome is known; `None` if it never is."""
        started_s = time.monotonic()
        backoff_s = INITIAL_BACKOFF_S
        while time.monotonic() - started_s < MAX_RETRY_TIME_S:
            try:
                result = await claims.try_claim(self._store, key, new_claim)
            except StoredValueError:
                logger.error(
                    "the claim {} in the store is malformed; delete it", key
                )
                return None
            except PlatformError:
                result = None
            if result is not None:
                return result
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        return None

    async def _release(
        self, result: claims.HeldClaim | claims.Claim | None
    ) -> None:
        """Release a claim whose request was already refused as not run."""
        if not isinstance(result, claims.HeldClaim):
            return
        released = attrs.evolve(
            result.claim,
            status=claims.ClaimStatus.FREE,
            changed_s=time.time(),
        )
        await self._settle(result, released)

    async def _settle(
        self, held_claim: claims.HeldClaim, settled: claims.Claim
    ) -> None:
        started_s = time.monotonic()
        backoff_s = INITIAL_BACKOFF_S
        while time.monotonic() - started_s < MAX_RETRY_TIME_S:
            try:
                await claims.settle_claim(self._store, held_claim, settled)
            except PlatformError:
                await asyncio.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            return
        logger.error(
            "couldn't record the outcome of claim {}; gave up", held_claim.key
        )

    def _report_existing_claim(
        self,
        effect: effects.ClaimIdempotencyKey,
        existing: claims.Claim | None,
    ) -> None:
        """Deliver `ClaimFailed` with the state of the existing claim."""
        if existing is None:
            self._deliver_failure(
                effect.request_id, RefusalCode.STORE_UNAVAILABLE
            )
        elif existing.body_sha256 != effect.body_sha256:
            self._deliver_failure(effect.request_id, RefusalCode.KEY_REUSED)
        elif existing.status is claims.ClaimStatus.ANSWERED:
            self._deliver_failure(
                effect.request_id, RefusalCode.IN_PROGRESS, existing.answer
            )
        elif _may_be_running(existing):
            self._deliver_failure(effect.request_id, RefusalCode.IN_PROGRESS)
        else:
            self._deliver_failure(
                effect.request_id, RefusalCode.UPSTREAM_FAILED
            )

    def _deliver_failure(
        self,
        request_id: str,
        code: RefusalCode,
        answer: RecordedAnswer | None = None,
    ) -> None:
        self._deliver(
            events.ClaimFailed(
                now_s=time.monotonic(),
                request_id=request_id,
                reason=code.name,
                answer=answer,
            )
        )

    async def _delete_expired_claims(self) -> None:
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S * random.uniform(0.5, 1.5))
            prefix = f"{claims.CLAIM_PREFIX}{random.randrange(256):02x}"
            try:
                await claims.delete_expired_claims(
                    self._store, prefix, time.time()
                )
            except PlatformError:
                continue


def _may_be_running(existing: claims.Claim) -> bool:
    age_s = time.time() - existing.changed_s
    return (
        existing.status is claims.ClaimStatus.TAKEN
        and age_s < claims.OUTCOME_TIMEOUT_S
    )


def _status_of(
    outcome: Outcome, answer: RecordedAnswer | None
) -> claims.ClaimStatus:
    if outcome is Outcome.NOT_RUN:
        return claims.ClaimStatus.FREE
    if answer is None:
        return claims.ClaimStatus.UNKNOWN
    return claims.ClaimStatus.ANSWERED
