"""Entries that count, controllers that report, in virtual time."""

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
from tests.controller.simulation import STEP_S
from tests.controller.simulation import TURNS_PER_STEP
from tests.controller.simulation import Lifeline
from tests.controller.simulation import MortalStore
from tests.controller.simulation import Simulation

WORKSPACES = ("north", "south", "east")
MESSAGE_ROUNDS_PER_STEP = 4
PROMPT_TOKENS = 5
OUTPUT_TOKENS = 7


@attrs.define
class Entry:
    """One entry process, reduced to its usage.

    Attributes:
        finished: Answers that the caller has whole, by workspace.
        exposed: How many of all finished ones no peer held.
    """

    fleet: "UsageSimulation"
    state: EntryState
    line: Lifeline
    frozen: bool = False
    finished: Counter[str] = attrs.field(factory=Counter)
    exposed: int = 0
    workspaces_by_request: dict[str, str] = attrs.field(factory=dict)
    runners: dict[type, Callable[[Any], None]] = attrs.field(factory=dict)
    flusher: UsageFlusher = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.flusher = UsageFlusher(
            self, MortalStore(self.fleet.store, self.line), self.fleet.clock
        )

    def register(
        self, effect_type: type, runner: Callable[[Any], None]
    ) -> None:
        self.runners[effect_type] = runner

    def deliver(self, event: events.Event) -> None:
        if not self.line.dead:
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

    def run(self, given: list[effects.Effect]) -> None:
        for effect in given:
            if isinstance(effect, effects.FinishAnswer):
                workspace = self.workspaces_by_request.pop(effect.request_id)
                self.finished[workspace] += 1
            elif isinstance(effect, effects.SendToPeer):
                self.fleet.post(self.state.host, effect)
            elif (
                isinstance(effect, effects.CountMetric)
                and effect.name == "usage.exposed"
            ):
                self.exposed += effect.value
            elif type(effect) in self.runners:
                self.runners[type(effect)](effect)


@attrs.define
class UsageSimulation(Simulation):
    """Entries besides the controllers."""

    entries: dict[str, Entry] = attrs.field(factory=dict)
    gone: list[Entry] = attrs.field(factory=list)
    posted: list[tuple[str, effects.SendToPeer]] = attrs.field(factory=list)
    counted: Counter[str] = attrs.field(factory=Counter)
    _answers: int = 0

    async def start_entry(self, name: str) -> None:
        self._starts += 1
        old = self.entries.get(name)
        if old is not None:
            self.gone.append(old)
        state = EntryState(
            host=name,
            data_centre="east" if name < "e2" else "west",
            incarnation=self._starts * 1_000_000,
        )
        entry = Entry(self, state, Lifeline())
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
            if other is not entry and not other.line.dead:
                self._connect(other, name)
                self._connect(entry, other.state.host)

    def kill_entry(self, name: str) -> None:
        self.entries[name].line.dead = True
        for other in self.entries.values():
            other.deliver(events.PeerDisconnected(now_s=self.now_s, host=name))

    def answer(self, name: str, workspace: str) -> None:
        entry = self.entries[name]
        if entry.line.dead or entry.frozen:
            return
        self._answers += 1
        self.counted[workspace] += 1
        entry.answer(f"r{self._answers}", workspace)

    def post(self, sender: str, effect: effects.SendToPeer) -> None:
        self.posted.append((sender, effect))

    async def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            await Simulation.run(self, STEP_S)
            for _ in range(MESSAGE_ROUNDS_PER_STEP):
                self._pass_messages()
            for entry in self.entries.values():
                if not entry.frozen:
                    entry.deliver(
                        events.Tick(
                            now_s=self.now_s, wall_s=self.now_s, random=0.5
                        )
                    )
            for _ in range(TURNS_PER_STEP):
                await asyncio.sleep(0)
            assert self.usage.conflict_count == 0
            assert not self.reported() - self.counted

    def reported(self) -> Counter[str]:
        """Return the requests that the platform was told of."""
        told: Counter[str] = Counter()
        for (workspace, _), report in self.usage.reports_by_window.items():
            told[workspace] += report.figures.requests
        return told

    def finished(self) -> Counter[str]:
        """Return the answers that callers have whole."""
        done: Counter[str] = Counter()
        for entry in (*self.entries.values(), *self.gone):
            done += entry.finished
        return done

    def exposed(self) -> int:
        everyone = (*self.entries.values(), *self.gone)
        return sum(entry.exposed for entry in everyone)

    def _connect(self, entry: Entry, host: str) -> None:
        entry.deliver(events.PeerConnected(now_s=self.now_s, host=host))

    def _pass_messages(self) -> None:
        posted, self.posted = self.posted, []
        for sender, effect in posted:
            receiver = self.entries.get(effect.host)
            if receiver is None or receiver.line.dead:
                continue
            if receiver.frozen:
                self.posted.append((sender, effect))
                continue
            receiver.deliver(
                events.PeerMessageReceived(
                    now_s=self.now_s, host=sender, message=effect.message
                )
            )
