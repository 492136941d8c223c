"""Run the controller's reducer: effects become calls, results events."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import time
from typing import Any

from loguru import logger

from shallotfold._controller import effects
from shallotfold._controller import events
from shallotfold._controller import reducer
from shallotfold._controller.lease_fence import LeaseFence
from shallotfold._controller.state import ControllerState

TICK_INTERVAL_S = 0.1
EXIT_TIMEOUT_S = 3.0

# A runner accepts the effect type that it is registered for.
Runner = Callable[[Any], Awaitable[None] | None]


class ControllerShell:
    """Own the state of a controller and run its effects.

    Effects run in the order in which the reducer returned them. Runners that
    return an awaitable continue in the background; those that arm or disarm
    the lease fence are synchronous.
    """

    def __init__(
        self,
        state: ControllerState,
        fence: LeaseFence,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.state = state
        self.clock = clock
        self.stopped = asyncio.Event()
        self._fence = fence
        self._runners_by_effect: dict[type, Runner] = {
            effects.ArmFence: self._arm,
            effects.DisarmFence: self._disarm,
            effects.ExitProcess: self._exit,
        }
        self._tasks: set[asyncio.Future[None]] = set()
        self._ticker: asyncio.Task[None] | None = None

    def register(self, effect: type, runner: Runner) -> None:
        """Set the runner of an effect type."""
        self._runners_by_effect[effect] = runner

    async def start(self) -> None:
        """Start ticking."""
        self._ticker = asyncio.create_task(self._tick())

    async def close(self) -> None:
        """Stop ticking and cancel the calls in flight."""
        tasks = [*self._tasks, *([self._ticker] if self._ticker else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def deliver(self, event: events.Event) -> None:
        """Reduce an event and run its effects."""
        for effect in reducer.reduce(self.state, event):
            self._run(effect)

    def request_shutdown(self) -> None:
        """Hand the duties over, then stop."""
        self.deliver(events.ShutdownRequested(now_s=self.clock()))

    def _run(self, effect: effects.Effect) -> None:
        runner = self._runners_by_effect.get(type(effect))
        if runner is None:
            logger.debug("No runner for {}", effect)
            return
        awaitable = runner(effect)
        if awaitable is None:
            return
        task = asyncio.ensure_future(awaitable)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Future[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # The failed call never delivers its result, which would stall a duty
        # for ever. So the process stops and a successor takes over.
        logger.opt(exception=task.exception()).error(
            "A call failed unexpectedly; the process stops"
        )
        self.stopped.set()

    async def _tick(self) -> None:
        while True:
            self.deliver(
                events.Tick(
                    now_s=self.clock(),
                    wall_s=time.time(),
                    random=random.random(),
                )
            )
            await asyncio.sleep(TICK_INTERVAL_S)

    def _arm(self, effect: effects.ArmFence) -> None:
        self._fence.arm(effect.deadline_s)

    def _disarm(self, effect: effects.DisarmFence) -> None:
        del effect
        self._fence.disarm()

    def _exit(self, effect: effects.ExitProcess) -> Awaitable[None]:
        del effect
        return self._stop_after_calls()

    async def _stop_after_calls(self) -> None:
        pending = self._tasks - {asyncio.current_task()}
        if pending:
            await asyncio.wait(pending, timeout=EXIT_TIMEOUT_S)
        self.stopped.set()
