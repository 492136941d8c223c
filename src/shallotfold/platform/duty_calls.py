"""Make the platform calls that only the duty holder makes."""

from http import HTTPStatus
import json
from typing import Any

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.ports import CapacityOrder
from shallotfold._gateway.core.ports import DutyOutcome
from shallotfold._gateway.http.http_client import CallFailedError
from shallotfold._gateway.http.http_client import HttpClient
from shallotfold._settings.addresses import Address
from shallotfold.platform import names

CALL_TIMEOUT_S = 1.5


class PlatformDutyCalls:
    """The platform's interface for duties, as the gateway's `DutyCalls`."""

    def __init__(self, address: Address) -> None:
        self._client = HttpClient(address.ip, address.port)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def report_usage(
        self, window: int, counts: dict[str, int], *, holder: str, fencing: int
    ) -> DutyOutcome:
        """Report usage; see `DutyCalls`."""
        body = {"WindowNumber": window, "Counts": counts}
        return await self._post(
            names.USAGE_PATH, body, holder, fencing, DutyOutcome.FENCED
        )

    async def order_upstreams(
        self, order: CapacityOrder, *, holder: str, fencing: int
    ) -> DutyOutcome:
        """Order upstreams; see `DutyCalls`."""
        body: dict[str, Any] = {
            "Service": order.service,
            "Zone": order.data_centre,
            "DesiredCount": order.count,
        }
        if order.spot:
            body["SpotCapacity"] = True
        # The platform responds with 409 both to a stale fencing token and to an
        # order of spot upstreams where none are available.
        conflict_outcome = (
            DutyOutcome.UNAVAILABLE if order.spot else DutyOutcome.FENCED
        )
        return await self._post(
            names.SCALING_PATH, body, holder, fencing, conflict_outcome
        )

    async def _post(
        self,
        path: str,
        body: Any,
        holder: str,
        fencing: int,
        conflict_outcome: DutyOutcome,
    ) -> DutyOutcome:
        try:
            response = await self._client.call(
                "POST",
                path,
                body=json.dumps(body).encode(),
                headers=(
                    (b"Content-Type", b"application/json"),
                    (names.DUTY_HOLDER_HEADER, holder.encode()),
                    (names.FENCING_TOKEN_HEADER, b"%d" % fencing),
                ),
                timeout_s=CALL_TIMEOUT_S,
            )
        except CallFailedError as error:
            decision_log.record("duty_call_failed", path=path, error=str(error))
            return DutyOutcome.UNKNOWN
        if response.status == HTTPStatus.OK:
            return DutyOutcome.DONE
        decision_log.record(
            "duty_call_refused",
            path=path,
            status=response.status,
            answer=response.body[:200].decode("latin-1"),
        )
        if response.status == HTTPStatus.CONFLICT:
            return conflict_outcome
        return DutyOutcome.UNKNOWN
