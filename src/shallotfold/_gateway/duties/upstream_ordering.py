"""Send the scaling planner's orders while this host holds the duties."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Set

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.model import Service
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.core.periodic_task import PeriodicTask
from shallotfold._gateway.core.ports import DutyCalls
from shallotfold._gateway.core.ports import DutyOutcome
from shallotfold._gateway.duties.duty_lease import DutyLease
from shallotfold._gateway.duties.scaling import ScalingPlanner

CHECK_INTERVAL_S = 0.5


class UpstreamOrdering:
    """Sends the due orders of the planner periodically."""

    def __init__(
        self,
        calls: DutyCalls,
        lease: DutyLease,
        services: Callable[[], Iterable[Service]],
        upstreams: Callable[[], Iterable[Upstream]],
        evacuated: Callable[[], Set[str]],
    ) -> None:
        """Make an instance.

        Args:
            calls: The platform's interface for duties.
            lease: The lease of the duties.
            services: Returns the configured services.
            upstreams: Returns the registered upstreams.
            evacuated: Returns the data centres where nothing is ordered.
        """
        self._calls = calls
        self._lease = lease
        self._services = services
        self._upstreams = upstreams
        self._evacuated = evacuated
        self._planner = ScalingPlanner()
        self._last_fencing_token = 0
        self._periodic_task = PeriodicTask(
            "Ordering upstreams",
            self._send_due_orders,
            lambda: CHECK_INTERVAL_S,
        )

    async def start(self) -> None:
        """Start ordering."""
        await self._periodic_task.start()

    async def close(self) -> None:
        """Stop ordering."""
        await self._periodic_task.close()

    async def _send_due_orders(self) -> None:
        if not self._lease.is_held:
            return
        fencing = self._lease.fencing_token
        if fencing != self._last_fencing_token:
            self._last_fencing_token = fencing
            self._planner.forget_orders()
        for service in self._services():
            orders = self._planner.plan(
                service, self._upstreams(), boot_s(), self._evacuated()
            )
            for order in orders:
                term = self._lease.term
                if term is None or term.fencing_token != fencing:
                    return
                outcome = await self._calls.order_upstreams(order, term)
                self._planner.record_outcome(order, outcome, boot_s())
                decision_log.record(
                    "upstreams_ordered",
                    service=order.service,
                    at=order.data_centre,
                    spot=order.spot,
                    count=order.count,
                    outcome=outcome.value,
                    fencing=fencing,
                )
                if outcome is DutyOutcome.FENCED:
                    self._lease.resign("a higher fencing number was seen")
                    return
