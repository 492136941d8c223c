"""Order upstreams over HTTP, on connections that don't outlive the lease."""

from http import HTTPStatus

import attrs
import cattrs

from shallotfold._errors import OrderOutcomeUnknownError
from shallotfold._errors import OrderRefusedError
from shallotfold._errors import PlatformError
from shallotfold._services.fenced_http import FencedHttpClient
from shallotfold._services.http_json import JsonResponse
from shallotfold._services.ports import UpstreamOrder

LOOK_UP_TIMEOUT_S = 2.0


@attrs.define
class HttpUpstreamOrders:
    """The `UpstreamOrders` port over HTTP.

    Attributes:
        url: Base URL of the service, `http://IP:PORT`.
    """

    url: str
    _client: FencedHttpClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the client; each request opens its own connection."""
        self._client = FencedHttpClient(self.url)

    async def place(self, order: UpstreamOrder, timeout_s: float) -> None:
        """Place an order; see `UpstreamOrders`."""
        try:
            response = await self._client.call(
                "POST",
                f"/v1/orders/{order.data_centre}",
                attrs.asdict(order),
                timeout_s,
            )
        except PlatformError as error:
            raise OrderOutcomeUnknownError(str(error)) from error
        if response.status == HTTPStatus.OK:
            return
        raise OrderRefusedError(
            _refusal_code(response),
            f"{order.order_id} was refused with status {response.status}; "
            "choose another offer or wait",
        )

    async def look_up(
        self, data_centre: str, order_id: str
    ) -> UpstreamOrder | None:
        """Return the order if it was executed; see `UpstreamOrders`."""
        response = await self._client.call(
            "GET",
            f"/v1/orders/{data_centre}/{order_id}",
            None,
            LOOK_UP_TIMEOUT_S,
        )
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        try:
            return cattrs.structure(response.content, UpstreamOrder)
        except (cattrs.BaseValidationError, ValueError, TypeError) as error:
            raise PlatformError(
                f"{self.url}: malformed order (status {response.status}); "
                "check that orders_url points to the order service"
            ) from error

    async def abort(self) -> None:
        """Reset the connections; see `UpstreamOrders`."""
        await self._client.abort()


def _refusal_code(response: JsonResponse) -> str:
    fields = response.content if isinstance(response.content, dict) else {}
    return str(fields.get("error", response.status))
