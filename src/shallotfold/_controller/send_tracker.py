"""Track the sends in flight under each duty, and abort them."""

import asyncio
from collections.abc import Awaitable
from typing import Protocol

import attrs

from shallotfold._controller import effects
from shallotfold._controller import events
from shallotfold._controller.shell import ControllerShell


class Abortable(Protocol):
    """A sender whose connections can be dropped."""

    async def abort(self) -> None:
        """Drop the connections so that nothing buffered arrives later."""
        ...


@attrs.define
class SendTracker:
    """Senders and calls in flight, by duty.

    Attributes:
        shell: Receives `SendsAborted`.
        senders_by_duty: Open senders.
    """

    shell: ControllerShell
    senders_by_duty: dict[str, Abortable] = attrs.field(factory=dict)
    _calls_by_duty: dict[str, set[asyncio.Future[None]]] = attrs.field(
        factory=dict
    )

    def register(self) -> None:
        """Register the runner."""
        self.shell.register(effects.AbortSends, self._abort)

    async def run(self, duty: str, call: Awaitable[None]) -> None:
        """Run a call that is cancelled when the duty is relinquished."""
        task = asyncio.ensure_future(call)
        calls = self._calls_by_duty.setdefault(duty, set())
        calls.add(task)
        try:
            await asyncio.wait({task})
        finally:
            calls.discard(task)
            task.cancel()
        if not task.cancelled():
            task.result()

    async def _abort(self, effect: effects.AbortSends) -> None:
        for duty in effect.duties:
            for task in self._calls_by_duty.pop(duty, set()):
                task.cancel()
            sender = self.senders_by_duty.pop(duty, None)
            if sender is not None:
                await sender.abort()
        self.shell.deliver(
            events.SendsAborted(now_s=self.shell.clock(), duties=effect.duties)
        )
