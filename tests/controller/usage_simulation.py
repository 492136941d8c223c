"""Simulate entries that count usage and controllers that report it."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.reducing import reducer
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.store.usage_flusher import UsageFlusher
from shallotfold._entry.usage import usage
from tests.controller.simulation import LOOP_ITERATIONS_PER_STEP
from tests.controller.simulation import STEP_S
from tests.controller.simulation import CrashableStore
from tests.controller.simulation import CrashInjector
from tests.controller.simulation import Simulation

WORKSPACES = ("north", "south", "east")
MESSAGE_ROUNDS_PER_STEP = 4
PROMPT_TOKENS = 5
OUTPUT_TOKENS = 7


@attrs.define
class Entry:
    """One entry process, reduced to its usage counting.

    Attributes:
        finished: Complete answers delivered to callers, by workspace.
        exposed: Number of them that ended before a peer held their usage.
    """

    fleet: "UsageSimulation"
    state: EntryState
    crash_injector: CrashInjector
    paused: bool = False
    finished: Counter[str] = attrs.field(factory=Counter)
    exposed: int = 0
    workspaces_by_request: dict[str, str] = attrs.field(factory=dict)
    runners: dict[type, Callable[[Any], None]] = attrs.field(factory=dict)
    flusher: UsageFlusher = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.flusher = UsageFlusher(
            self,
            CrashableStore(self.fleet.store, self.crash_injector),
            self.fleet.clock,
        )

    def register(
        self, effect_type: type, runner: Callable[[Any], None]
    ) -> None:
        self.runners[effect_type] = runner

    def deliver(self, event: events.Event) -> None:
        if not self.crash_injector.dead:
            self.run(reducer.reduce(self.state, event))

    def answer(self, request_id: str, workspace: str) -> None:
        self.workspaces_by_request[request_id] = workspace
        self.run(
            usage.count_answer(
                self.state,
                request_id,
                workspace,
                PROMPT_TOKENS,
                OUTPUT_TOKENS,
                now_s=self.fleet.now_s,
                wall_s=self.fleet.now_s - 3,
            )
        )

    def run(self, new_effects: list[effects.Effect]) -> None:
        for effect in new_effects:
            if isinstance(effect, effects.FinishAnswer):
                workspace = self.workspaces_by_request.pop(effect.request_id)
                self.finished[workspace] += 1
            elif isinstance(effect, effects.SendToPeer):
                self.fleet.queue_message(self.state.host, effect)
            elif (
                isinstance(effect, effects.CountMetric)
                and effect.name == "usage.exposed"
            ):
                self.exposed += effect.value
            elif type(effect) in self.runners:
                self.runners[type(effect)](effect)


@attrs.define
class UsageSimulation(Simulation):
    """Run entries besides the controllers."""

    entries: dict[str, Entry] = attrs.field(factory=dict)
    replaced_entries: list[Entry] = attrs.field(factory=list)
    queued_messages: list[tuple[str, effects.SendToPeer]] = attrs.field(
        factory=list
    )
    counted: Counter[str] = attrs.field(factory=Counter)
    _answer_count: int = 0

    async def start_entry(self, name: str) -> None:
        self._start_count += 1
        previous = self.entries.get(name)
        if previous is not None:
            self.replaced_entries.append(previous)
        state = EntryState(
            host=name,
            data_centre="east" if name < "e2" else "west",
            incarnation=self._start_count * 1_000_000,
        )
        entry = Entry(self, state, CrashInjector())
        entry.deliver(
            events.ConfigurationRead(
                now_s=self.now_s,
                version=1,
                configuration=self.configuration,
                document=b"",
                sha256="",
            )
        )
        await entry.flusher.start()
        self.entries[name] = entry
        for other in self.entries.values():
            if other is not entry and not other.crash_injector.dead:
                self._connect(other, name)
                self._connect(entry, other.state.host)

    def kill_entry(self, name: str) -> None:
        self.entries[name].crash_injector.dead = True
        for other in self.entries.values():
            other.deliver(events.PeerDisconnected(now_s=self.now_s, host=name))

    def answer(self, name: str, workspace: str) -> None:
        entry = self.entries[name]
        if entry.crash_injector.dead or entry.paused:
            return
        self._answer_count += 1
        self.counted[workspace] += 1
        entry.answer(f"r{self._answer_count}", workspace)

    def queue_message(self, sender: str, effect: effects.SendToPeer) -> None:
        self.queued_messages.append((sender, effect))

    async def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            await Simulation.run(self, STEP_S)
            for _ in range(MESSAGE_ROUNDS_PER_STEP):
                self._deliver_messages()
            for entry in self.entries.values():
                if not entry.paused:
                    entry.deliver(
                        events.Tick(
                            now_s=self.now_s, wall_s=self.now_s, random=0.5
                        )
                    )
            for _ in range(LOOP_ITERATIONS_PER_STEP):
                await asyncio.sleep(0)
            assert self.usage.conflict_count == 0
            assert not self.reported() - self.counted

    def reported(self) -> Counter[str]:
        """Return the requests reported to the platform, by workspace."""
        requests_by_workspace: Counter[str] = Counter()
        for (workspace, _), report in self.usage.reports_by_window.items():
            requests_by_workspace[workspace] += report.figures.requests
        return requests_by_workspace

    def finished(self) -> Counter[str]:
        """Return the complete answers delivered to callers, by workspace."""
        finished_by_workspace: Counter[str] = Counter()
        for entry in (*self.entries.values(), *self.replaced_entries):
            finished_by_workspace += entry.finished
        return finished_by_workspace

    def exposed(self) -> int:
        all_entries = (*self.entries.values(), *self.replaced_entries)
        return sum(entry.exposed for entry in all_entries)

    def _connect(self, entry: Entry, host: str) -> None:
        entry.deliver(events.PeerConnected(now_s=self.now_s, host=host))

    def _deliver_messages(self) -> None:
        queued_messages, self.queued_messages = self.queued_messages, []
        for sender, effect in queued_messages:
            receiver = self.entries.get(effect.host)
            if receiver is None or receiver.crash_injector.dead:
                continue
            if receiver.paused:
                self.queued_messages.append((sender, effect))
                continue
            receiver.deliver(
                events.PeerMessageReceived(
                    now_s=self.now_s, host=sender, message=effect.message
                )
            )
