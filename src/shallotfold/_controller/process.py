"""Assemble a controller from its settings."""

import time
import uuid

from loguru import logger

from shallotfold._controller import effects
from shallotfold._controller.duty_calls import DutyCalls
from shallotfold._controller.fleet_view_calls import FleetViewCalls
from shallotfold._controller.lease_fence import LeaseFence
from shallotfold._controller.order_calls import OrderCalls
from shallotfold._controller.send_tracker import SendTracker
from shallotfold._controller.shell import ControllerShell
from shallotfold._controller.state import ControllerState
from shallotfold._controller.usage_calls import UsageCalls
from shallotfold._runtime.metrics import Metrics
from shallotfold._services.http_hosts import HttpHostList
from shallotfold._services.http_orders import HttpUpstreamOrders
from shallotfold._services.http_store import HttpStore
from shallotfold._services.http_usage import HttpUsageReports
from shallotfold._settings.controller import ControllerSettings

EXIT_ORDERLY = 0
EXIT_FAILURE = 1


class ControllerProcess:
    """A whole controller process; see `Process` for its lifecycle.

    Attributes:
        shell: Runs the reducer.
    """

    def __init__(self, settings: ControllerSettings) -> None:
        self._settings = settings
        self._store = HttpStore(settings.platform.store_url)
        self._hosts = HttpHostList(settings.platform.hosts_url)
        self._metrics = Metrics(settings.statsd)
        self.shell = ControllerShell(
            ControllerState(
                host=settings.host,
                data_centre=settings.data_centre,
                process_token=uuid.uuid4().hex,
                lease_ttl_s=settings.lease_ttl_s,
                takeover_wait_s=settings.takeover_wait_s,
                order_timeout_s=settings.order_timeout_s,
            ),
            LeaseFence(),
        )

    async def start(self) -> None:
        """Connect to the platform and become a candidate for duties."""
        await self._metrics.start()
        await self._store.start()
        await self._hosts.start()
        self._register()
        await self.shell.start()
        logger.info("started as a candidate for duties")

    async def close(self) -> None:
        """Close all connections."""
        await self.shell.close()
        await self._hosts.close()
        await self._store.close()
        await self._metrics.close()

    def request_shutdown(self) -> None:
        """Hand the duties over, then stop."""
        self.shell.request_shutdown()

    async def wait_stopped(self) -> int:
        """Wait until all duties are handed over or a call has failed."""
        await self.shell.stopped.wait()
        return EXIT_ORDERLY if self.shell.state.draining else EXIT_FAILURE

    def _register(self) -> None:
        shell = self.shell
        urls = self._settings.platform
        sends = SendTracker(shell)
        sends.register()
        DutyCalls(shell, self._store, time.time).register()
        FleetViewCalls(shell, self._store, self._hosts).register()
        OrderCalls(
            shell,
            self._store,
            sends,
            lambda: HttpUpstreamOrders(urls.orders_url),
        ).register()
        UsageCalls(
            shell,
            self._store,
            sends,
            lambda: HttpUsageReports(urls.usage_url),
        ).register()
        shell.register(
            effects.CountMetric,
            lambda effect: self._metrics.count(effect.name, effect.value),
        )
