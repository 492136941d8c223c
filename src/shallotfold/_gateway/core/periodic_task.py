"""Repeat a step for as long as a process runs, whatever it raises."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger


class PeriodicTask:
    """Runs a step again and again, a pause after each."""

    def __init__(
        self,
        name: str,
        step: Callable[[], Awaitable[None]],
        pause_s: Callable[[], float],
    ) -> None:
        """Make a repeater.

        Args:
            name: What the step does, for the log.
            step: Called first after one pause.
            pause_s: Returns the time until the next step, in seconds.
        """
        self._name = name
        self._step = step
        self._pause_s = pause_s
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to repeat."""
        self._task = asyncio.create_task(self._repeat())

    async def close(self) -> None:
        """Stop, also in the middle of a step."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _repeat(self) -> None:
        while True:
            await asyncio.sleep(self._pause_s())
            try:
                await self._step()
            except Exception:  # noqa: BLE001
                # A fault of one step must not end the work for good.
                logger.exception("{} failed; it goes on", self._name)
