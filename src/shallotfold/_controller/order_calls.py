"""Run the effects on orders against the store and the platform."""

from collections.abc import Callable

import attrs
from loguru import logger

from shallotfold._controller import effects
from shallotfold._controller import events
from shallotfold._controller.send_tracker import SendTracker
from shallotfold._controller.shell import ControllerShell
from shallotfold._errors import OrderOutcomeUnknownError
from shallotfold._errors import OrderRefusedError
from shallotfold._errors import PlatformError
from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._fleet import order_journal
from shallotfold._fleet.duties import ORDERS_PREFIX
from shallotfold._fleet.usage_flush import FLUSH_PREFIX
from shallotfold._fleet.usage_flush import UsageFlush
from shallotfold._fleet.usage_flush import decode_flush
from shallotfold._fleet.verified_write import write_verified
from shallotfold._services.ports import Store
from shallotfold._services.ports import UpstreamOrders


@attrs.define
class OrderCalls:
    """Calls about journals and orders.

    Attributes:
        shell: Receives the results as events.
        store: Key-value service.
        sends: Tracks the sends in flight.
        make_sender: Creates a sender for one data centre.
    """

    shell: ControllerShell
    store: Store
    sends: SendTracker
    make_sender: Callable[[], UpstreamOrders]
    _senders_by_duty: dict[str, UpstreamOrders] = attrs.field(factory=dict)

    def register(self) -> None:
        """Register all runners."""
        self.shell.register(effects.ReadJournal, self._read)
        self.shell.register(effects.WriteJournal, self._write)
        self.shell.register(effects.PlaceOrder, self._place)
        self.shell.register(effects.LookUpOrder, self._look_up)
        self.shell.register(effects.ReadPlanInput, self._read_plan_input)

    async def _read(self, effect: effects.ReadJournal) -> None:
        try:
            stored = await self.store.get(
                order_journal.journal_key(effect.data_centre)
            )
        except StoreUnavailableError:
            self._deliver_failure(effect.data_centre, effect.fencing)
            return
        journal = order_journal.OrderJournal()
        if stored is not None:
            journal = order_journal.decode_journal(stored.value)
        self.shell.deliver(
            events.JournalRead(
                now_s=self.shell.clock(),
                data_centre=effect.data_centre,
                fencing=effect.fencing,
                journal=journal,
                revision=stored.revision if stored else 0,
            )
        )

    async def _write(self, effect: effects.WriteJournal) -> None:
        try:
            revision = await write_verified(
                self.store,
                order_journal.journal_key(effect.data_centre),
                effect.expected_revision,
                order_journal.encode_journal(effect.journal),
            )
        except (StoreConflictError, StoreUnavailableError):
            self._deliver_failure(effect.data_centre, effect.fencing)
            return
        self.shell.deliver(
            events.JournalWritten(
                now_s=self.shell.clock(),
                data_centre=effect.data_centre,
                fencing=effect.fencing,
                journal=effect.journal,
                revision=revision,
            )
        )

    def _deliver_failure(self, data_centre: str, fencing: int) -> None:
        self.shell.deliver(
            events.JournalCallFailed(
                now_s=self.shell.clock(),
                data_centre=data_centre,
                fencing=fencing,
            )
        )

    async def _place(self, effect: effects.PlaceOrder) -> None:
        duty = ORDERS_PREFIX + effect.order.data_centre
        await self.sends.run(duty, self._call_place(duty, effect))

    async def _call_place(self, duty: str, effect: effects.PlaceOrder) -> None:
        order = effect.order
        sender = self._sender(duty)
        event_type: type[events.OrderEvent]
        details: dict[str, str] = {}
        try:
            await sender.place(order, effect.timeout_s)
        except OrderRefusedError as error:
            event_type = events.OrderRefused
            details = {"code": error.code}
        except OrderOutcomeUnknownError as error:
            logger.warning(
                "Order {} has an unknown outcome: {}", order.order_id, error
            )
            await sender.abort()
            event_type = events.OrderUnanswered
        else:
            event_type = events.OrderExecuted
        self.shell.deliver(
            event_type(
                now_s=self.shell.clock(),
                data_centre=order.data_centre,
                fencing=order.fencing,
                order_id=order.order_id,
                **details,
            )
        )

    async def _look_up(self, effect: effects.LookUpOrder) -> None:
        duty = ORDERS_PREFIX + effect.data_centre
        await self.sends.run(duty, self._call_look_up(duty, effect))

    async def _call_look_up(
        self, duty: str, effect: effects.LookUpOrder
    ) -> None:
        event: events.Event
        try:
            order = await self._sender(duty).look_up(
                effect.data_centre, effect.order_id
            )
        except PlatformError as error:
            logger.warning(
                "Order {} could not be looked up: {}", effect.order_id, error
            )
            event = events.OrderLookUpFailed(
                now_s=self.shell.clock(),
                data_centre=effect.data_centre,
                fencing=effect.fencing,
            )
        else:
            event = events.OrderLookedUp(
                now_s=self.shell.clock(),
                data_centre=effect.data_centre,
                fencing=effect.fencing,
                order_id=effect.order_id,
                exists=order is not None,
            )
        self.shell.deliver(event)

    async def _read_plan_input(self, effect: effects.ReadPlanInput) -> None:
        event: events.Event
        try:
            journals = await self.store.list(ORDERS_PREFIX)
            flushes = await read_flushes(self.store)
        except StoreUnavailableError:
            event = events.PlanInputReadFailed(
                now_s=self.shell.clock(),
                data_centre=effect.data_centre,
                fencing=effect.fencing,
            )
        else:
            event = events.PlanInputRead(
                now_s=self.shell.clock(),
                data_centre=effect.data_centre,
                fencing=effect.fencing,
                journals_by_data_centre={
                    stored.key.removeprefix(
                        ORDERS_PREFIX
                    ): order_journal.decode_journal(stored.value)
                    for stored in journals
                },
                flushes=[flush for flush, _ in flushes],
            )
        self.shell.deliver(event)

    def _sender(self, duty: str) -> UpstreamOrders:
        # An aborted sender is never reused.
        if duty not in self.sends.senders_by_duty:
            sender = self.make_sender()
            self._senders_by_duty[duty] = sender
            self.sends.senders_by_duty[duty] = sender
        return self._senders_by_duty[duty]


async def read_flushes(store: Store) -> list[tuple[UsageFlush, int]]:
    """Return all flushes with their revisions; malformed ones are skipped.

    Raises:
        StoreUnavailableError: No answer in time.
    """
    flushes = []
    for stored in await store.list(FLUSH_PREFIX):
        try:
            flushes.append((decode_flush(stored), stored.revision))
        except PlatformError as error:
            logger.error("{}", error)
    return flushes
