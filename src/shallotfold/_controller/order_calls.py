"""Run the effects about orders against the store and the platform."""

from collections.abc import Callable

import attrs
from loguru import logger

from shallotfold._controller import effects
from shallotfold._controller import events
from shallotfold._controller.sends import Sends
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
        shell: Receives the answers as events.
        store: Key-value service.
        sends: Knows what is being sent.
        connect: Makes a sender for one data centre.
    """

    shell: ControllerShell
    store: Store
    sends: Sends
    connect: Callable[[], UpstreamOrders]
    _senders_by_duty: dict[str, UpstreamOrders] = attrs.field(factory=dict)

    def register(self) -> None:
        """Register all runners."""
        self.shell.register(effects.ReadJournal, self._read)
        self.shell.register(effects.WriteJournal, self._write)
        self.shell.register(effects.PlaceOrder, self._place)
        self.shell.register(effects.LookUpOrder, self._look_up)
        self.shell.register(effects.ReadFleet, self._read_fleet)

    async def _read(self, effect: effects.ReadJournal) -> None:
        try:
            stored = await self.store.get(
                order_journal.key_of(effect.data_centre)
            )
        except StoreUnavailableError:
            self._unknown(effect.data_centre, effect.fencing)
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
                order_journal.key_of(effect.data_centre),
                effect.expected_revision,
                order_journal.encode_journal(effect.journal),
            )
        except (StoreConflictError, StoreUnavailableError):
            self._unknown(effect.data_centre, effect.fencing)
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

    def _unknown(self, data_centre: str, fencing: int) -> None:
        self.shell.deliver(
            events.JournalUnknown(
                now_s=self.shell.clock(),
                data_centre=data_centre,
                fencing=fencing,
            )
        )

    async def _place(self, effect: effects.PlaceOrder) -> None:
        duty = ORDERS_PREFIX + effect.order.data_centre
        await self.sends.run(duty, self._send(duty, effect))

    async def _send(self, duty: str, effect: effects.PlaceOrder) -> None:
        order = effect.order
        sender = self._sender(duty)
        answer: type[events.OrderEvent]
        more: dict[str, str] = {}
        try:
            await sender.place(order, effect.timeout_s)
        except OrderRefusedError as error:
            answer = events.OrderRefused
            more = {"code": error.code}
        except OrderOutcomeUnknownError as error:
            logger.warning("Order {}: {}", order.order_id, error)
            await sender.abort()
            answer = events.OrderUnanswered
        else:
            answer = events.OrderTaken
        self.shell.deliver(
            answer(
                now_s=self.shell.clock(),
                data_centre=order.data_centre,
                fencing=order.fencing,
                order_id=order.order_id,
                **more,
            )
        )

    async def _look_up(self, effect: effects.LookUpOrder) -> None:
        duty = ORDERS_PREFIX + effect.data_centre
        await self.sends.run(duty, self._ask(duty, effect))

    async def _ask(self, duty: str, effect: effects.LookUpOrder) -> None:
        answer: events.Event
        try:
            found = await self._sender(duty).look_up(
                effect.data_centre, effect.order_id
            )
        except PlatformError as error:
            logger.warning("Order {}: {}", effect.order_id, error)
            answer = events.OrderLookUpFailed(
                now_s=self.shell.clock(),
                data_centre=effect.data_centre,
                fencing=effect.fencing,
            )
        else:
            answer = events.OrderLookedUp(
                now_s=self.shell.clock(),
                data_centre=effect.data_centre,
                fencing=effect.fencing,
                order_id=effect.order_id,
                found=found is not None,
            )
        self.shell.deliver(answer)

    async def _read_fleet(self, effect: effects.ReadFleet) -> None:
        answer: events.Event
        try:
            journals = await self.store.list(ORDERS_PREFIX)
            flushes = await read_flushes(self.store)
        except StoreUnavailableError:
            answer = events.FleetReadFailed(
                now_s=self.shell.clock(),
                data_centre=effect.data_centre,
                fencing=effect.fencing,
            )
        else:
            answer = events.FleetRead(
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
        self.shell.deliver(answer)

    def _sender(self, duty: str) -> UpstreamOrders:
        # A sender that was aborted is not used again.
        if duty not in self.sends.senders_by_duty:
            sender = self.connect()
            self._senders_by_duty[duty] = sender
            self.sends.senders_by_duty[duty] = sender
        return self._senders_by_duty[duty]


async def read_flushes(store: Store) -> list[tuple[UsageFlush, int]]:
    """Return all flushes with their revisions; malformed ones are left out.

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
