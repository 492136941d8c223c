"""Run the effects on usage against the store and the platform."""

from collections.abc import Callable
from typing import Any

import attrs
from loguru import logger

from shallotfold._controller import effects
from shallotfold._controller import events
from shallotfold._controller.order_calls import read_flushes
from shallotfold._controller.send_tracker import SendTracker
from shallotfold._controller.shell import ControllerShell
from shallotfold._errors import PlatformError
from shallotfold._errors import ReportConflictError
from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._fleet import usage_ledger
from shallotfold._fleet.duties import USAGE_PREFIX
from shallotfold._fleet.duties import USAGE_SHARD_COUNT
from shallotfold._fleet.usage_flush import UsageFlush
from shallotfold._fleet.usage_flush import encode_flush
from shallotfold._fleet.usage_flush import flush_key
from shallotfold._fleet.verified_write import write_verified
from shallotfold._services.ports import Store
from shallotfold._services.ports import UsageReport
from shallotfold._services.ports import UsageReports


@attrs.define
class UsageCalls:
    """Calls about usage shards.

    Attributes:
        shell: Receives the results as events.
        store: Key-value service.
        sends: Tracks the sends in flight.
        make_sender: Creates a sender for one shard.
    """

    shell: ControllerShell
    store: Store
    sends: SendTracker
    make_sender: Callable[[], UsageReports]
    _senders_by_duty: dict[str, UsageReports] = attrs.field(factory=dict)

    def register(self) -> None:
        """Register all runners."""
        self.shell.register(effects.ReadUsageHead, self._read_head)
        self.shell.register(effects.WriteUsageHead, self._write_head)
        self.shell.register(effects.ReadFlushes, self._read_flushes)
        self.shell.register(effects.FreezeWindow, self._freeze)
        self.shell.register(effects.ReadFrozenWindow, self._read_frozen)
        self.shell.register(effects.SendReports, self._send)
        self.shell.register(effects.DeleteFrozenWindow, self._delete_frozen)
        self.shell.register(effects.RetireSources, self._retire)

    async def _read_head(self, effect: effects.ReadUsageHead) -> None:
        try:
            stored = await self.store.get(usage_ledger.head_key(effect.shard))
        except StoreUnavailableError:
            self._deliver_failure(effect.shard, effect.fencing)
            return
        self._deliver(
            events.UsageHeadRead,
            effect.shard,
            effect.fencing,
            head=usage_ledger.decode_head(stored.value) if stored else None,
            revision=stored.revision if stored else 0,
        )

    async def _write_head(self, effect: effects.WriteUsageHead) -> None:
        try:
            revision = await write_verified(
                self.store,
                usage_ledger.head_key(effect.shard),
                effect.expected_revision,
                usage_ledger.encode_head(effect.head),
            )
        except (StoreConflictError, StoreUnavailableError):
            self._deliver_failure(effect.shard, effect.fencing)
            return
        self._deliver(
            events.UsageHeadWritten,
            effect.shard,
            effect.fencing,
            head=effect.head,
            revision=revision,
        )

    async def _read_flushes(self, effect: effects.ReadFlushes) -> None:
        try:
            stored_flushes = await read_flushes(self.store)
        except StoreUnavailableError:
            self._deliver_failure(effect.shard, effect.fencing)
            return
        self._deliver(
            events.FlushesRead,
            effect.shard,
            effect.fencing,
            flushes=[flush for flush, _ in stored_flushes],
            revisions_by_source={
                flush.source: revision for flush, revision in stored_flushes
            },
        )

    async def _freeze(self, effect: effects.FreezeWindow) -> None:
        frozen = effect.frozen
        key = usage_ledger.frozen_key(frozen.shard, frozen.window)
        try:
            await write_verified(
                self.store, key, 0, usage_ledger.encode_frozen(frozen)
            )
        except StoreConflictError:
            await self._load_frozen(frozen.shard, effect.fencing, frozen.window)
        except StoreUnavailableError:
            self._deliver_failure(frozen.shard, effect.fencing)
        else:
            self._deliver(
                events.WindowFrozen,
                frozen.shard,
                effect.fencing,
                frozen=frozen,
            )

    async def _read_frozen(self, effect: effects.ReadFrozenWindow) -> None:
        await self._load_frozen(effect.shard, effect.fencing, effect.window)

    async def _load_frozen(self, shard: int, fencing: int, window: int) -> None:
        try:
            stored = await self.store.get(
                usage_ledger.frozen_key(shard, window)
            )
        except StoreUnavailableError:
            stored = None
        if stored is None:
            logger.error(
                "Frozen window {} of shard {} could not be read", window, shard
            )
            self._deliver_failure(shard, fencing)
            return
        self._deliver(
            events.WindowFrozen,
            shard,
            fencing,
            frozen=usage_ledger.decode_frozen(stored.value),
        )

    async def _send(self, effect: effects.SendReports) -> None:
        duty = f"{USAGE_PREFIX}{effect.shard}"
        await self.sends.run(duty, self._send_all(duty, effect))

    async def _send_all(self, duty: str, effect: effects.SendReports) -> None:
        sender = self._sender(duty)
        deadline_s = self.shell.clock() + effect.timeout_s
        sent: list[UsageReport] = []
        conflicts: list[UsageReport] = []
        for report in effect.reports:
            remaining_s = deadline_s - self.shell.clock()
            if remaining_s <= 0:
                break
            try:
                await sender.send(report, remaining_s)
            except ReportConflictError as error:
                logger.error("{}", error)
                conflicts.append(report)
            except PlatformError as error:
                logger.warning("{}", error)
                break
            else:
                sent.append(report)
        self._deliver(
            events.ReportsSent,
            effect.shard,
            effect.fencing,
            window=effect.window,
            reports=sent,
            conflicts=conflicts,
        )

    async def _delete_frozen(self, effect: effects.DeleteFrozenWindow) -> None:
        key = usage_ledger.frozen_key(effect.shard, effect.window)
        try:
            stored = await self.store.get(key)
            if stored is not None:
                await self.store.delete(key, stored.revision)
        except (StoreConflictError, StoreUnavailableError):
            return  # Retried when the next window is finished.
        self._deliver(
            events.FrozenWindowDeleted,
            effect.shard,
            effect.fencing,
            window=effect.window,
        )

    async def _retire(self, effect: effects.RetireSources) -> None:
        try:
            await self._retire_reported(effect)
        except (StoreConflictError, StoreUnavailableError) as error:
            logger.info("Usage sources could not be retired yet: {}", error)

    async def _retire_reported(self, effect: effects.RetireSources) -> None:
        heads = [
            await self.store.get(usage_ledger.head_key(shard))
            for shard in range(USAGE_SHARD_COUNT)
        ]
        ledgers = [
            usage_ledger.decode_head(head.value).ledger
            for head in heads
            if head is not None
        ]
        if len(ledgers) < USAGE_SHARD_COUNT:
            return
        for flush, revision in await read_flushes(self.store):
            unchanged = effect.revisions_by_source.get(flush.source) == revision
            if not unchanged:
                continue
            key = flush_key(flush.source)
            if flush.retired:
                await self.store.delete(key, revision)
            elif usage_ledger.is_fully_included(flush, ledgers):
                tombstone = UsageFlush(source=flush.source, retired=True)
                await self.store.compare_and_swap(
                    key, revision, encode_flush(tombstone)
                )

    def _sender(self, duty: str) -> UsageReports:
        # An aborted sender is never reused.
        if duty not in self.sends.senders_by_duty:
            sender = self.make_sender()
            self._senders_by_duty[duty] = sender
            self.sends.senders_by_duty[duty] = sender
        return self._senders_by_duty[duty]

    def _deliver_failure(self, shard: int, fencing: int) -> None:
        self._deliver(events.UsageCallFailed, shard, fencing)

    def _deliver(
        self,
        event_type: type[events.UsageEvent],
        shard: int,
        fencing: int,
        **fields: Any,
    ) -> None:
        self.shell.deliver(
            event_type(
                now_s=self.shell.clock(), shard=shard, fencing=fencing, **fields
            )
        )
