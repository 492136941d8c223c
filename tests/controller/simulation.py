"""Several controllers on one stand-in store in virtual time."""

import asyncio
from collections.abc import Sequence

import attrs

from shallotfold._controller import effects
from shallotfold._controller import events
from shallotfold._controller.duty_calls import DutyCalls
from shallotfold._controller.lease import may_send
from shallotfold._controller.lease_fence import LeaseFence
from shallotfold._controller.shell import ControllerShell
from shallotfold._controller.state import ControllerState
from shallotfold._model.configuration import Configuration
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState
from shallotfold._standin.store import StoreStandin

STEP_S = 0.1
TURNS_PER_STEP = 30
CONFIGURATION = Configuration(data_centres=("east", "west"))


class VirtualFence(LeaseFence):
    """Record the deadline instead of arming the kernel's timer."""

    enabled = True

    def arm(self, deadline_s: float) -> None:
        self._deadline_s = deadline_s

    def disarm(self) -> None:
        self._deadline_s = 0.0

    def has_fired(self, now_s: float) -> bool:
        return self.enabled and 0 < self._deadline_s <= now_s


@attrs.define
class Hosts:
    hosts: Sequence[HostRecord] = ()

    async def fetch(self) -> Sequence[HostRecord]:
        return self.hosts


@attrs.define
class Controller:
    shell: ControllerShell
    fence: VirtualFence
    frozen: bool = False
    dead: bool = False

    def may_send(self, duty: str, now_s: float) -> bool:
        """Tell what the process could do if it ran at this very moment."""
        if self.dead or self.fence.has_fired(now_s):
            return False
        if self.frozen:
            # A send decided before the freeze may leave at any moment.
            return duty in self.shell.state.duties.held_by_name
        return may_send(self.shell.state, duty, now_s)


@attrs.define
class Simulation:
    """Run controllers; one step is `STEP_S` of virtual time."""

    count: int = 3
    now_s: float = 1000.0
    store: StoreStandin = attrs.field(init=False)
    hosts: Hosts = attrs.field(factory=Hosts)
    controllers: dict[str, Controller] = attrs.field(factory=dict)
    _starts: int = 0

    def __attrs_post_init__(self) -> None:
        self.store = StoreStandin(clock=lambda: self.now_s)
        names = [f"host{number}" for number in range(self.count)]
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

    def restart(self, name: str) -> None:
        self._starts += 1
        state = ControllerState(
            host=name, data_centre="east", process_token=f"p{self._starts}"
        )
        fence = VirtualFence()
        shell = ControllerShell(state, fence, clock=lambda: self.now_s)
        DutyCalls(shell, self.store, self.hosts, lambda: self.now_s).register()
        shell.register(
            effects.AbortSends,
            lambda effect: shell.deliver(
                events.SendsAborted(now_s=self.now_s, duties=effect.duties)
            ),
        )
        self.controllers[name] = Controller(shell, fence)
        shell.deliver(
            events.ConfigurationRead(
                now_s=self.now_s, version=1, configuration=CONFIGURATION
            )
        )

    async def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            for controller in self.controllers.values():
                self._step(controller)
            for _ in range(TURNS_PER_STEP):
                await asyncio.sleep(0)
            self.check()

    def thaw(self, name: str) -> None:
        controller = self.controllers[name]
        controller.frozen = False
        if controller.fence.has_fired(self.now_s):
            controller.dead = True

    def _step(self, controller: Controller) -> None:
        if controller.frozen or controller.dead:
            return
        if controller.fence.has_fired(self.now_s):
            controller.dead = True
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

    def check(self) -> None:
        """Check that no duty has two processes that may send."""
        duties = self.controllers["host0"].shell.state.duty_names()
        doubled = {
            duty: self.holders(duty)
            for duty in duties
            if len(self.holders(duty)) > 1
        }
        assert not doubled
