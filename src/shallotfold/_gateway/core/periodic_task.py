"""Run a step periodically, even if it raises exceptions."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger


class PeriodicTask:
    """Runs a step periodically, with a pause before each run."""

    def __init__(
        self,
        name: str,
        step: Callable[[], Awaitable[None]],
        pause_s: Callable[[], float],
    ) -> None:
        """Make a periodic task.

        Args:
            name: Name of the step, for the log.
            step: Called after each pause.
            pause_s: Returns the time until the next step, in seconds.
        """
        self._name = name
        self._step = step
        self._pause_s = pause_s
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start running the step."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop, cancelling a step that is running."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._pause_s())
            try:
                await self._step()
            except Exception:  # noqa: BLE001
                # An exception in one run must not end the task.
                logger.exception(
                    "{} failed; it runs again after the usual pause", self._name
                )
