"""Make the platform calls that only the duty holder makes."""

from http import HTTPStatus
import json
from typing import Any

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.ports import CapacityOrder
from shallotfold._gateway.core.ports import DutyOutcome
from shallotfold._gateway.core.ports import DutyTerm
from shallotfold._gateway.http.expiring_call import call_before
from shallotfold._gateway.http.http_client import CallFailedError
from shallotfold._gateway.http.socket_reserve import SocketReserve
from shallotfold._settings.addresses import Address
from shallotfold.platform import names

CALL_TIMEOUT_S = 1.5


class PlatformDutyCalls:
    """The platform's interface for duties, as the gateway's `DutyCalls`."""

    def __init__(
        self, address: Address, reserve: SocketReserve | None = None
    ) -> None:
        """Make a client of the platform.

        Args:
            address: Address of the platform.
            reserve: Sockets for when no descriptor is free.
        """
        self._address = address
        self._reserve = reserve

    async def report_usage(
        self, window: int, counts: dict[str, int], term: DutyTerm
    ) -> DutyOutcome:
        """Report usage; see `DutyCalls`."""
        body = {"WindowNumber": window, "Counts": counts}
        return await self._post(
            names.USAGE_PATH, body, term, DutyOutcome.FENCED
        )

    async def order_upstreams(
        self, order: CapacityOrder, term: DutyTerm
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
            names.SCALING_PATH, body, term, conflict_outcome
        )

    async def _post(
        self,
        path: str,
        body: Any,
        term: DutyTerm,
        conflict_outcome: DutyOutcome,
    ) -> DutyOutcome:
        try:
            response = await call_before(
                term.expires_s,
                self._address,
                b"POST",
                path.encode(),
                body=json.dumps(body).encode(),
                headers=[
                    (b"Content-Type", b"application/json"),
                    (names.DUTY_HOLDER_HEADER, term.holder.encode()),
                    (names.FENCING_TOKEN_HEADER, b"%d" % term.fencing_token),
                ],
                timeout_s=CALL_TIMEOUT_S,
                reserve=self._reserve,
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
