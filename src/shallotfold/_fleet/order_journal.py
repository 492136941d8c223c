"""Define the journal of upstream orders of one data centre.

Only the holder of the duty writes it, by compare-and-swap. It is not tied to
a lease, because it must outlive its writer. Each holder first writes it with
its own fencing token; after that, every write of a former holder fails.
"""

import enum

import attrs
from cattrs.preconf.json import make_converter

from shallotfold._services.ports import UpstreamOrder

_CONVERTER = make_converter()


class OrderAction(enum.Enum):
    """Action that an order requests."""

    START = "start"
    RELEASE = "release"


@attrs.frozen(kw_only=True)
class OrderIntent:
    """An order that was decided on and whose outcome is not recorded yet.

    Attributes:
        order_id: Idempotency key; never reused.
        action: Requested action.
        offer: Name of the offer.
        upstream: Name of the upstream.
    """

    order_id: str
    action: OrderAction
    offer: str
    upstream: str


@attrs.frozen(kw_only=True)
class OrderJournal:
    """State of the orders of a data centre.

    Attributes:
        fencing: Fencing token of the last writer.
        token: Unique token of the last write.
        next_number: Number of the next order; numbers are never reused.
        intents: Orders without a recorded outcome, oldest first.
        offers_by_upstream: Offer of each upstream that was started and not
            released.
    """

    fencing: int = 0
    token: str = ""
    next_number: int = 1
    intents: tuple[OrderIntent, ...] = ()
    offers_by_upstream: dict[str, str] = attrs.field(factory=dict)

    def with_outcome(self, order_id: str, *, executed: bool) -> "OrderJournal":
        """Return the journal with the outcome of one intent recorded.

        Args:
            order_id: Id of the intent; an unknown one changes nothing.
            executed: Whether the platform executed the order.
        """
        intent = next((i for i in self.intents if i.order_id == order_id), None)
        if intent is None:
            return self
        running = dict(self.offers_by_upstream)
        if executed and intent.action is OrderAction.START:
            running[intent.upstream] = intent.offer
        if executed and intent.action is OrderAction.RELEASE:
            running.pop(intent.upstream, None)
        return attrs.evolve(
            self,
            intents=tuple(i for i in self.intents if i is not intent),
            offers_by_upstream=running,
        )

    def with_start(self, data_centre: str, offer: str) -> "OrderJournal":
        """Return the journal with the intent to start an upstream."""
        return self._with_intent(
            data_centre, OrderAction.START, offer, f"{offer}-{self.next_number}"
        )

    def with_release(self, data_centre: str, upstream: str) -> "OrderJournal":
        """Return the journal with the intent to release an upstream."""
        offer = self.offers_by_upstream[upstream]
        return self._with_intent(
            data_centre, OrderAction.RELEASE, offer, upstream
        )

    def _with_intent(
        self, data_centre: str, action: OrderAction, offer: str, upstream: str
    ) -> "OrderJournal":
        intent = OrderIntent(
            order_id=f"{data_centre}-{self.next_number}",
            action=action,
            offer=offer,
            upstream=upstream,
        )
        return attrs.evolve(
            self,
            next_number=self.next_number + 1,
            intents=(*self.intents, intent),
        )


def journal_key(data_centre: str) -> str:
    """Return the store key of a data centre's journal."""
    return f"orders/{data_centre}"


def encode_journal(journal: OrderJournal) -> bytes:
    """Encode a journal for the store."""
    return _CONVERTER.dumps(journal).encode()


def decode_journal(value: bytes) -> OrderJournal:
    """Decode a stored journal."""
    return _CONVERTER.loads(value, OrderJournal)


def make_order(
    intent: OrderIntent, data_centre: str, fencing: int
) -> UpstreamOrder:
    """Return the order to send for an intent."""
    return UpstreamOrder(
        order_id=intent.order_id,
        data_centre=data_centre,
        action=intent.action.value,
        offer=intent.offer,
        upstream=intent.upstream,
        fencing=fencing,
    )
