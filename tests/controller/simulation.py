"""Simulate several controllers on one stand-in store in virtual time."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Sequence
from typing import Any
from typing import TypeVar

import attrs

from shallotfold._controller import events
from shallotfold._controller.duty_calls import DutyCalls
from shallotfold._controller.fleet_view_calls import FleetViewCalls
from shallotfold._controller.lease import may_send
from shallotfold._controller.lease_fence import LeaseFence
from shallotfold._controller.order_calls import OrderCalls
from shallotfold._controller.send_tracker import SendTracker
from shallotfold._controller.shell import ControllerShell
from shallotfold._controller.state import ControllerState
from shallotfold._controller.usage_calls import UsageCalls
from shallotfold._errors import OrderOutcomeUnknownError
from shallotfold._errors import PlatformError
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Offer
from shallotfold._model.configuration import RequestClass
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState
from shallotfold._services.ports import Lease
from shallotfold._services.ports import StoreChanges
from shallotfold._services.ports import StoredValue
from shallotfold._services.ports import UpstreamOrder
from shallotfold._services.ports import UsageReport
from shallotfold._settings.standin import SpareEngine
from shallotfold._standin.hosts import HostListStandin
from shallotfold._standin.orders import OrdersStandin
from shallotfold._standin.store import StoreStandin
from shallotfold._standin.usage import UsageStandin

T = TypeVar("T")

STEP_S = 0.1
HOLDER_WAIT_S = 15.0
LOOP_ITERATIONS_PER_STEP = 30
CONFIGURATION = Configuration(
    data_centres=("east", "west"),
    classes_by_name={"chat": RequestClass(name="chat", tier=1)},
    offers_by_name={
        f"{name}-small": Offer(
            name=f"{name}-small",
            data_centre=name,
            model="small",
            tokens_per_s=100.0,
            start_s=1.0,
        )
        for name in ("east", "west")
    },
    usage_window_s=10,
)
SPARES = tuple(
    SpareEngine(
        data_centre=name, offer=f"{name}-small", url=f"http://127.0.0.1:{n}"
    )
    for name in ("east", "west")
    for n in range(1, 9)
)


class VirtualFence(LeaseFence):
    """Record the deadline instead of arming the kernel timer."""

    enabled = True

    def arm(self, deadline_s: float) -> None:
        self._deadline_s = deadline_s

    def disarm(self) -> None:
        self._deadline_s = 0.0

    def has_fired(self, now_s: float) -> bool:
        return self.enabled and 0 < self._deadline_s <= now_s


@attrs.define
class FixedHostList:
    hosts: Sequence[HostRecord] = ()

    async def fetch(self) -> Sequence[HostRecord]:
        return self.hosts


@attrs.define
class CrashInjector:
    """Simulate that a process is killed during one of its calls.

    Attributes:
        dead: Whether the process is dead; its calls never return.
        calls_left: Calls before the last one; `None` if not planned.
        dies_after_effect: Whether the last call still takes effect.
    """

    dead: bool = False
    calls_left: int | None = None
    dies_after_effect: bool = False

    async def run(self, call: Coroutine[Any, Any, T]) -> T:
        last = self.calls_left == 0
        if self.calls_left is not None:
            self.calls_left -= 1
        self.dead = self.dead or last
        if self.dead and not (last and self.dies_after_effect):
            call.close()
            await asyncio.Event().wait()
        result = await call
        if self.dead:
            await asyncio.Event().wait()
        return result


@attrs.define
class CrashableStore:
    """The store as called by one process that may be killed."""

    store: StoreStandin
    crash_injector: CrashInjector

    async def get(self, key: str) -> StoredValue | None:
        return await self.crash_injector.run(self.store.get(key))

    async def list(self, prefix: str) -> Sequence[StoredValue]:
        return await self.crash_injector.run(self.store.list(prefix))

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: str = "",
    ) -> int:
        return await self.crash_injector.run(
            self.store.compare_and_swap(key, expected_revision, value, lease_id)
        )

    async def delete(self, key: str, expected_revision: int) -> None:
        await self.crash_injector.run(self.store.delete(key, expected_revision))

    async def grant_lease(self, ttl_s: float) -> Lease:
        return await self.crash_injector.run(self.store.grant_lease(ttl_s))

    async def renew_lease(self, lease_id: str) -> None:
        await self.crash_injector.run(self.store.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: str) -> None:
        await self.crash_injector.run(self.store.revoke_lease(lease_id))

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> StoreChanges:
        return await self.store.watch(prefix, after_revision, timeout_s)


@attrs.define
class OrdersPort:
    """Place orders with the stand-in; answers are lost on request."""

    simulation: "Simulation"
    crash_injector: CrashInjector

    async def place(self, order: UpstreamOrder, timeout_s: float) -> None:
        del timeout_s
        await self.crash_injector.run(self._place(order))

    async def _place(self, order: UpstreamOrder) -> None:
        simulation = self.simulation
        simulation.orders.execute(order, simulation.now_s)
        if simulation.lost_order_answers > 0:
            simulation.lost_order_answers -= 1
            raise OrderOutcomeUnknownError("lost")

    async def look_up(
        self, data_centre: str, order_id: str
    ) -> UpstreamOrder | None:
        return await self.crash_injector.run(
            self._look_up(data_centre, order_id)
        )

    async def _look_up(
        self, data_centre: str, order_id: str
    ) -> UpstreamOrder | None:
        executed = self.simulation.orders.look_up(data_centre, order_id)
        return executed.order if executed else None

    async def abort(self) -> None:
        """Nothing is buffered here."""


@attrs.define
class UsagePort:
    """Send reports to the stand-in; answers are lost on request."""

    simulation: "Simulation"
    crash_injector: CrashInjector

    async def send(self, report: UsageReport, timeout_s: float) -> None:
        del timeout_s
        await self.crash_injector.run(self._send(report))

    async def _send(self, report: UsageReport) -> None:
        self.simulation.usage.accept(report)
        if self.simulation.lost_report_answers > 0:
            self.simulation.lost_report_answers -= 1
            raise PlatformError("lost")

    async def abort(self) -> None:
        """Nothing is buffered here."""


@attrs.define
class Controller:
    shell: ControllerShell
    fence: VirtualFence
    crash_injector: CrashInjector
    paused: bool = False

    @property
    def dead(self) -> bool:
        return self.crash_injector.dead

    def kill(self) -> None:
        self.crash_injector.dead = True

    def may_send(self, duty: str, now_s: float) -> bool:
        """Tell whether the process could send if it ran at this moment."""
        if self.dead or self.fence.has_fired(now_s):
            return False
        if self.paused:
            # A send that was decided before the pause may still go out.
            return duty in self.shell.state.duties.held_by_name
        return may_send(self.shell.state, duty, now_s)


@attrs.define
class Simulation:
    """Run controllers in steps of `STEP_S` of virtual time."""

    host_count: int = 3
    now_s: float = 1000.0
    store: StoreStandin = attrs.field(init=False)
    hosts: FixedHostList = attrs.field(factory=FixedHostList)
    usage: UsageStandin = attrs.field(factory=UsageStandin)
    orders: OrdersStandin = attrs.field(init=False)
    configuration: Configuration = CONFIGURATION
    lost_order_answers: int = 0
    lost_report_answers: int = 0
    controllers: dict[str, Controller] = attrs.field(factory=dict)
    _start_count: int = 0

    def __attrs_post_init__(self) -> None:
        self.store = StoreStandin(clock=self.clock, sleep=self.sleep)
        self.orders = OrdersStandin(
            data_centres=self.configuration.data_centres,
            unfenced_data_centres=set(self.configuration.data_centres),
            spare_engines=SPARES,
            hosts=HostListStandin(0.0),
        )
        names = [f"host{number}" for number in range(self.host_count)]
        self.hosts.hosts = [
            HostRecord(
                name=name,
                role=HostRole.ENTRY,
                state=HostState.LIVE,
                data_centre="east",
                address="127.0.0.1:1",
            )
            for name in names
        ]
        for name in names:
            self.restart(name)

    async def sleep(self, seconds: float) -> None:
        until_s = self.now_s + seconds
        while self.now_s < until_s:  # noqa: ASYNC110
            await asyncio.sleep(0)

    def clock(self) -> float:
        return self.now_s

    def restart(self, name: str) -> None:
        self._start_count += 1
        state = ControllerState(
            host=name, data_centre="east", process_token=f"p{self._start_count}"
        )
        fence = VirtualFence()
        shell = ControllerShell(state, fence, clock=lambda: self.now_s)
        crash_injector = CrashInjector()
        store = CrashableStore(self.store, crash_injector)
        sends = SendTracker(shell)
        sends.register()
        DutyCalls(shell, store, self.clock).register()
        FleetViewCalls(shell, store, self.hosts).register()
        OrderCalls(
            shell, store, sends, lambda: OrdersPort(self, crash_injector)
        ).register()
        UsageCalls(
            shell, store, sends, lambda: UsagePort(self, crash_injector)
        ).register()
        self.controllers[name] = Controller(shell, fence, crash_injector)
        shell.deliver(
            events.ConfigurationRead(
                now_s=self.now_s, version=1, configuration=self.configuration
            )
        )

    async def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            for controller in self.controllers.values():
                self._step(controller)
            for _ in range(LOOP_ITERATIONS_PER_STEP):
                await asyncio.sleep(0)
            self.check_single_holder()

    def resume(self, name: str) -> None:
        controller = self.controllers[name]
        controller.paused = False
        if controller.fence.has_fired(self.now_s):
            controller.kill()

    def _step(self, controller: Controller) -> None:
        if controller.paused or controller.dead:
            return
        if controller.fence.has_fired(self.now_s):
            controller.kill()
            return
        controller.shell.deliver(
            events.Tick(now_s=self.now_s, wall_s=self.now_s, random=0.5)
        )

    def holders(self, duty: str) -> list[str]:
        return [
            name
            for name, controller in self.controllers.items()
            if controller.may_send(duty, self.now_s)
        ]

    def check_single_holder(self) -> None:
        """Check that at most one process may send under each duty."""
        duties = self.controllers["host0"].shell.state.duty_names()
        holders_of_shared_duties = {
            duty: self.holders(duty)
            for duty in duties
            if len(self.holders(duty)) > 1
        }
        assert not holders_of_shared_duties
