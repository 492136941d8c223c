"""Pass events to the entry's reducer and run its effects in order."""

import asyncio
import collections
from collections.abc import Callable
import random
import time
from typing import Any
from typing import Protocol

from loguru import logger

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.reducing import reducer
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode

TICK_INTERVAL_S = 0.05
INTERNAL_ERROR_REFUSAL = Refusal(
    code=RefusalCode.UPSTREAM_FAILED,
    message="The entry met a fault of its own; see its log.",
    outcome=Outcome.UNKNOWN,
)

Runner = Callable[[Any], None]


class Component(Protocol):
    """A part of the entry that starts and closes with it."""

    async def start(self) -> None:
        """Start the component."""
        ...

    async def close(self) -> None:
        """Release all resources, also after a failed start."""
        ...


class EntryShell:
    """Hold the reducer's state and run effects synchronously, in order.

    Attributes:
        state: State of the reducer; only `deliver` changes it.
        components: Started in order and closed in reverse order.
        before_event: Called with each event before it is reduced, except for
            events that runners deliver.
    """

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.components: list[Component] = []
        self.before_event: Callable[[events.Event], None] | None = None
        self._runners_by_effect: dict[type, Runner] = {
            effects.ClaimIdempotencyKey: self._refuse_claim,
        }
        self._pending: collections.deque[events.Event] = collections.deque()
        self._delivering = False
        self._started: list[Component] = []
        self._ticker: asyncio.Task[None] | None = None

    def register(self, effect_type: type, runner: Runner) -> None:
        """Set the runner of an effect type; it must not block.

        The runner of `SendToPeer` gets only messages for other entries. An
        effect without a runner is dropped, except that a claim fails as if
        the store were down.
        """
        self._runners_by_effect[effect_type] = runner

    async def start(self) -> None:
        """Start the components and the periodic ticks."""
        for component in self.components:
            self._started.append(component)
            await component.start()
        self._ticker = asyncio.create_task(self._tick())

    async def close(self) -> None:
        """Stop the ticks; close the started components in reverse order."""
        if self._ticker is not None:
            self._ticker.cancel()
            await asyncio.gather(self._ticker, return_exceptions=True)
        while self._started:
            await self._started.pop().close()

    def deliver(self, event: events.Event) -> None:
        """Reduce an event and run its effects.

        An event that a runner delivers is reduced after all effects of the
        current event, before this call returns.
        """
        if self.before_event is not None and not self._delivering:
            self.before_event(event)
        self._pending.append(event)
        if self._delivering:
            return
        self._delivering = True
        try:
            while self._pending:
                self._reduce(self._pending.popleft())
        finally:
            self._delivering = False

    def _reduce(self, event: events.Event) -> None:
        try:
            new_effects = reducer.reduce(self.state, event)
        except Exception:  # noqa: BLE001
            logger.exception(
                "the reducer raised an exception on {}", type(event).__name__
            )
            new_effects = _make_error_refusal(event)
        for effect in new_effects:
            self._run(effect, event.now_s)

    def _run(self, effect: effects.Effect, now_s: float) -> None:
        if (
            isinstance(effect, effects.SendToPeer)
            and effect.host == self.state.host
        ):
            self._loop_back(effect, now_s)
            return
        runner = self._runners_by_effect.get(type(effect))
        if runner is None:
            return
        try:
            runner(effect)
        except Exception:  # noqa: BLE001
            logger.exception(
                "the runner of {} raised an exception", type(effect).__name__
            )

    def _loop_back(self, effect: effects.SendToPeer, now_s: float) -> None:
        self._pending.append(
            events.PeerMessageReceived(
                now_s=now_s, host=effect.host, message=effect.message
            )
        )

    def _refuse_claim(self, effect: effects.ClaimIdempotencyKey) -> None:
        self.deliver(
            events.ClaimFailed(
                now_s=time.monotonic(),
                request_id=effect.request_id,
                reason=RefusalCode.STORE_UNAVAILABLE.name,
            )
        )

    async def _tick(self) -> None:
        while True:
            self.deliver(
                events.Tick(
                    now_s=time.monotonic(),
                    wall_s=time.time(),
                    random=random.random(),
                )
            )
            await asyncio.sleep(TICK_INTERVAL_S)


def _make_error_refusal(event: events.Event) -> list[effects.Effect]:
    """Refuse the request of the failed event, so that it doesn't hang."""
    request_id = getattr(event, "request_id", "")
    if isinstance(event, events.RequestArrived):
        request_id = event.request.request_id
    if not request_id or isinstance(event, events.CallerDisconnected):
        return []
    return [
        effects.RefuseRequest(
            request_id=request_id, refusal=INTERNAL_ERROR_REFUSAL
        )
    ]
