"""Write an entry's usage to the store, and read which of it was reported."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random
import time
from typing import Any
from typing import Protocol
import uuid

import attrs

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._errors import PlatformError
from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._fleet.duties import USAGE_SHARD_COUNT
from shallotfold._fleet.usage_flush import UsageFlush
from shallotfold._fleet.usage_flush import decode_flush
from shallotfold._fleet.usage_flush import encode_flush
from shallotfold._fleet.usage_flush import flush_key
from shallotfold._fleet.usage_flush import merge_counts
from shallotfold._fleet.usage_flush import source_name
from shallotfold._fleet.usage_ledger import HEAD_PREFIX
from shallotfold._fleet.usage_ledger import decode_head
from shallotfold._fleet.verified_write import write_verified
from shallotfold._services.ports import Store

SETTLED_POLL_INTERVAL_S = 120.0
MAX_WRITE_ATTEMPTS = 3


class Shell(Protocol):
    """The methods of the entry's shell that the flusher uses."""

    def deliver(self, event: events.Event) -> None:
        """Reduce an event and run its effects."""
        ...

    def register(
        self, effect_type: type, runner: Callable[[Any], None]
    ) -> None:
        """Set the runner of an effect type; it must not block."""
        ...


class SourceRetiredError(PlatformError):
    """The source was retired after long inactivity; continue as a new one."""


@attrs.define
class UsageFlusher:
    """The component that flushes usage, once it is started.

    Attributes:
        shell: Shell of the entry.
        store: Key-value service.
        clock: Monotonic time in seconds.
    """

    shell: Shell
    store: Store
    clock: Callable[[], float] = time.monotonic
    _revisions_by_source: dict[str, int] = attrs.field(factory=dict)
    _source: str = ""
    _tasks: set[asyncio.Future[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        """Register the runners and start to read what was reported."""
        self.shell.register(
            effects.FlushUsage, lambda effect: self._spawn(self.flush(effect))
        )
        self.shell.register(
            effects.FlushHeldUsage,
            lambda effect: self._spawn(self.flush_held(effect)),
        )
        self._spawn(self._poll_settled())

    async def close(self) -> None:
        """Cancel the calls in progress."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def flush(self, effect: effects.FlushUsage) -> None:
        """Write this entry's counts, replacing those in the store."""
        self._source = source_name(effect.host, effect.incarnation)
        flush = UsageFlush(
            source=self._source,
            token=uuid.uuid4().hex,
            closed_before=effect.closed_before,
            counts=effect.counts,
            demand=effect.demand,
        )
        event: events.Event
        try:
            await self._write_local(flush)
        except SourceRetiredError:
            event = events.UsageFlushFailed(now_s=self.clock(), retired=True)
        except PlatformError:
            event = events.UsageFlushFailed(now_s=self.clock())
        else:
            event = events.UsageFlushed(
                now_s=self.clock(),
                sequence=effect.sequence,
                closed_before=effect.closed_before,
            )
        self.shell.deliver(event)

    async def flush_held(self, effect: effects.FlushHeldUsage) -> None:
        """Merge counts held for a peer into the peer's value."""
        stored = True
        try:
            await self._write_held(effect)
        except PlatformError:
            stored = False
        self.shell.deliver(
            events.HeldUsageFlushed(
                now_s=self.clock(),
                host=effect.host,
                incarnation=effect.incarnation,
                sequence=effect.sequence,
                stored=stored,
            )
        )

    async def read_settled(self) -> None:
        """Read once up to which time all shards reported the entry's counts."""
        if not self._source:
            return
        try:
            stored = await self.store.list(HEAD_PREFIX)
        except StoreUnavailableError:
            return
        settled = [
            decode_head(value.value).ledger.settled_before.get(self._source, 0)
            for value in stored
        ]
        if len(settled) == USAGE_SHARD_COUNT:
            self.shell.deliver(
                events.UsageSettled(now_s=self.clock(), before=min(settled))
            )

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _poll_settled(self) -> None:
        while True:
            await asyncio.sleep(
                SETTLED_POLL_INTERVAL_S * random.uniform(0.75, 1.25)
            )
            await self.read_settled()

    async def _write_local(self, flush: UsageFlush) -> None:
        """Write, replacing what a peer with a replica may have written.

        Raises:
            SourceRetiredError: The source was retired.
            StoreConflictError: Another write came first in each attempt.
            StoreUnavailableError: The outcome is unknown.
        """
        key = flush_key(flush.source)
        value = encode_flush(flush)
        for _ in range(MAX_WRITE_ATTEMPTS):
            revision = self._revisions_by_source.get(flush.source, 0)
            try:
                written = await write_verified(self.store, key, revision, value)
            except StoreConflictError:
                stored = await self.store.get(key)
                was_deleted = stored is None and revision > 0
                if was_deleted or (
                    stored is not None and decode_flush(stored).retired
                ):
                    raise SourceRetiredError(
                        f"{key} was retired; continue under a new name"
                    ) from None
                self._revisions_by_source[flush.source] = (
                    stored.revision if stored else 0
                )
                continue
            self._revisions_by_source[flush.source] = written
            return
        raise StoreConflictError(key, revision)

    async def _write_held(self, effect: effects.FlushHeldUsage) -> None:
        source = source_name(effect.host, effect.incarnation)
        key = flush_key(source)
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self.store.get(key)
            flush = (
                decode_flush(stored) if stored else UsageFlush(source=source)
            )
            merged = merge_counts(flush.counts, effect.counts)
            if flush.retired or merged == flush.counts:
                return
            merged_flush = attrs.evolve(
                flush, counts=merged, token=uuid.uuid4().hex
            )
            revision = stored.revision if stored else 0
            try:
                await write_verified(
                    self.store, key, revision, encode_flush(merged_flush)
                )
            except StoreConflictError:
                continue
            return
        raise StoreConflictError(key, 0)
