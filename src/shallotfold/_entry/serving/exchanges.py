"""Run the effects on callers' requests."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.serving.exchange import Exchange
from shallotfold._entry.serving.exchange import Finished
from shallotfold._entry.serving.exchange import Refused
from shallotfold._entry.serving.exchange import Replayed
from shallotfold._entry.serving.shell import EntryShell
from shallotfold._model.requests import RecordedAnswer

RunAttempt = Callable[
    [Exchange, effects.StartAttempt], Coroutine[None, None, None]
]


class Exchanges:
    """The open exchanges of an entry.

    Attributes:
        by_id: Exchanges without a final answer, by request id.
    """

    def __init__(self, shell: EntryShell, run_attempt: RunAttempt) -> None:
        self.by_id: dict[str, Exchange] = {}
        self._shell = shell
        self._run_attempt = run_attempt
        self._tasks: set[asyncio.Task[None]] = set()
        shell.register(effects.StartAttempt, self._start_attempt)
        shell.register(effects.CancelAttempt, self._cancel_attempt)
        shell.register(effects.FinishAnswer, self._finish)
        shell.register(effects.RefuseRequest, self._refuse)
        shell.register(effects.ReplayAnswer, self._replay)
        shell.before_event = self._report_tokens

    def recorded_answer(self, request_id: str) -> RecordedAnswer | None:
        """Return a request's complete answer, to record with its claim."""
        exchange = self.by_id.get(request_id)
        if exchange is None or exchange.answer is None:
            return None
        answer = exchange.answer
        return RecordedAnswer(
            status=answer.status,
            content_type=answer.headers.get("Content-Type", ""),
            body=answer.body,
        )

    def remove(self, exchange: Exchange) -> None:
        """Remove an exchange and cancel its attempt."""
        self.by_id.pop(exchange.request_id, None)
        cancel_attempt(exchange)

    async def start(self) -> None:
        """Do nothing; attempts are started by their effects."""

    async def close(self) -> None:
        """Cancel all attempts and wait for them."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_attempt(self, effect: effects.StartAttempt) -> None:
        exchange = self.by_id.get(effect.request_id)
        if exchange is None:
            return
        cancel_attempt(exchange)
        task = asyncio.create_task(self._run_attempt(exchange, effect))
        exchange.attempt = task
        exchange.attempt_number = effect.attempt
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _cancel_attempt(self, effect: effects.CancelAttempt) -> None:
        exchange = self.by_id.get(effect.request_id)
        if exchange is not None and exchange.attempt_number == effect.attempt:
            cancel_attempt(exchange)

    def _finish(self, effect: effects.FinishAnswer) -> None:
        exchange = self.by_id.get(effect.request_id)
        if exchange is not None:
            exchange.end(Finished())

    def _refuse(self, effect: effects.RefuseRequest) -> None:
        exchange = self.by_id.get(effect.request_id)
        if exchange is not None:
            exchange.end(Refused(effect.refusal))

    def _replay(self, effect: effects.ReplayAnswer) -> None:
        exchange = self.by_id.get(effect.request_id)
        if exchange is not None:
            exchange.end(Replayed(effect.answer))

    def _report_tokens(self, event: events.Event) -> None:
        """Report all tokens before the reducer decides on a request."""
        if isinstance(event, (events.TokensForwarded, events.RequestArrived)):
            return
        message = getattr(event, "message", event)
        request_id = getattr(message, "request_id", None)
        if request_id is None:
            for exchange in list(self.by_id.values()):
                exchange.report_tokens(self._shell.deliver)
        elif request_id in self.by_id:
            self.by_id[request_id].report_tokens(self._shell.deliver)


def cancel_attempt(exchange: Exchange) -> None:
    """Cancel the running attempt; its connection is closed."""
    task = exchange.attempt
    if task is not None and not task.done():
        task.cancel()
