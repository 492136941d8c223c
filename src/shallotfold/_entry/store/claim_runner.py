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
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 5.0
SETTLE_LIMIT_S = 600.0
SWEEP_INTERVAL_S = 60.0
CLOSE_TIMEOUT_S = 5.0

T = TypeVar("T")


class ClaimRunner:
    """Run `ClaimIdempotencyKey` and `SettleClaim` against the store.

    Args:
        store: Key-value service.
        deliver: Takes the resulting events.
        answer_of: Returns the whole answer of an open request, when there is
            one, to be recorded.
    """

    def __init__(
        self,
        store: Store,
        deliver: Callable[[events.Event], None],
        answer_of: Callable[[str], RecordedAnswer | None],
    ) -> None:
        self._store = store
        self._deliver = deliver
        self._answer_of = answer_of
        self._held_by_request: dict[str, claims.HeldClaim] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to sweep claims that are past their retention."""
        self._sweeper = asyncio.create_task(self._sweep())

    async def close(self) -> None:
        """Wait a bounded time for outcomes to be recorded, then stop."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.wait_settled(), CLOSE_TIMEOUT_S)
        rest = [*self._tasks, *([self._sweeper] if self._sweeper else [])]
        for task in rest:
            task.cancel()
        await asyncio.gather(*rest, return_exceptions=True)

    @property
    def unsettled(self) -> int:
        """Number of claims whose outcome the store does not have yet."""
        return len(self._tasks)

    async def wait_settled(self) -> None:
        """Wait until the store has every outcome."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def claim(self, effect: effects.ClaimIdempotencyKey) -> None:
        """Claim a key; `ClaimSucceeded` or `ClaimFailed` follows."""
        self._spawn(self._claim(effect))

    def settle(self, effect: effects.SettleClaim) -> None:
        """Record how a claimed request ended."""
        held = self._held_by_request.pop(effect.request_id, None)
        if held is None:
            return
        answer = None
        if effect.outcome is Outcome.RAN:
            answer = self._answer_of(effect.request_id)
        settled = attrs.evolve(
            held.claim,
            status=_status_of(effect.outcome, answer),
            changed_s=time.time(),
            answer=answer,
        )
        self._spawn(self._settle(held, settled))

    def _spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _claim(self, effect: effects.ClaimIdempotencyKey) -> None:
        wanted = claims.Claim(
            status=claims.ClaimStatus.TAKEN,
            token=effect.request_id,
            body_sha256=effect.body_sha256,
            changed_s=time.time(),
        )
        key = claims.claim_key(effect.workspace, effect.idempotency_key)
        taking = self._spawn(self._take(key, wanted))
        done, _ = await asyncio.wait({taking}, timeout=CLAIM_TIMEOUT_S)
        if not done:
            self._fail(effect.request_id, RefusalCode.STORE_UNAVAILABLE)
            await self._free(await taking)
            return
        result = taking.result()
        if isinstance(result, claims.HeldClaim):
            self._held_by_request[effect.request_id] = result
            self._deliver(
                events.ClaimSucceeded(
                    now_s=time.monotonic(), request_id=effect.request_id
                )
            )
            return
        self._report_first(effect, result)

    async def _take(
        self, key: str, wanted: claims.Claim
    ) -> claims.HeldClaim | claims.Claim | None:
        """Claim a key until the outcome is certain; `None` if it never is."""
        started_s = time.monotonic()
        delay_s = RETRY_DELAY_S
        while time.monotonic() - started_s < SETTLE_LIMIT_S:
            try:
                taken = await claims.try_claim(self._store, key, wanted)
            except StoredValueError:
                logger.error("the claim {} is malformed; delete it", key)
                return None
            except PlatformError:
                taken = None
            if taken is not None:
                return taken
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
        return None

    async def _free(
        self, result: claims.HeldClaim | claims.Claim | None
    ) -> None:
        """Free a claim whose request was already refused as not run."""
        if not isinstance(result, claims.HeldClaim):
            return
        freed = attrs.evolve(
            result.claim,
            status=claims.ClaimStatus.FREE,
            changed_s=time.time(),
        )
        await self._settle(result, freed)

    async def _settle(
        self, held: claims.HeldClaim, settled: claims.Claim
    ) -> None:
        started_s = time.monotonic()
        delay_s = RETRY_DELAY_S
        while time.monotonic() - started_s < SETTLE_LIMIT_S:
            try:
                await claims.settle_claim(self._store, held, settled)
            except PlatformError:
                await asyncio.sleep(delay_s)
                delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
                continue
            return
        logger.error("gave up recording the outcome of {}", held.key)

    def _report_first(
        self,
        effect: effects.ClaimIdempotencyKey,
        first: claims.Claim | None,
    ) -> None:
        """Answer from the claim of the request that came first."""
        if first is None:
            self._fail(effect.request_id, RefusalCode.STORE_UNAVAILABLE)
        elif first.body_sha256 != effect.body_sha256:
            self._fail(effect.request_id, RefusalCode.KEY_REUSED)
        elif first.status is claims.ClaimStatus.ANSWERED:
            self._fail(effect.request_id, RefusalCode.IN_PROGRESS, first.answer)
        elif _may_be_running(first):
            self._fail(effect.request_id, RefusalCode.IN_PROGRESS)
        else:
            self._fail(effect.request_id, RefusalCode.UPSTREAM_FAILED)

    def _fail(
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

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S * random.uniform(0.5, 1.5))
            prefix = f"{claims.CLAIM_PREFIX}{random.randrange(256):02x}"
            try:
                await claims.delete_expired_claims(
                    self._store, prefix, time.time()
                )
            except PlatformError:
                continue


def _may_be_running(first: claims.Claim) -> bool:
    age_s = time.time() - first.changed_s
    return (
        first.status is claims.ClaimStatus.TAKEN
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
