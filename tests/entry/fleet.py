"""Several entry reducers with simulated links and a simulated store."""

from collections.abc import Sequence
import heapq
import itertools
import random
from typing import Any

import attrs

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.reducing import reducer
from shallotfold._entry.state.configuration_parts import decompress_document
from shallotfold._entry.state.configuration_parts import split_into_parts
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.state.neighbours import choose_neighbours
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import KeyDigest
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Upstream
from shallotfold._model.configuration import Workspace
from shallotfold._model.requests import CallerRequest
from shallotfold._model.requests import RefusalCode
from shallotfold._model.serialization import document_sha256
from shallotfold._model.serialization import dump_configuration
from shallotfold._model.serialization import load_configuration
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState

STEP_S = 0.05
LINK_DELAY_S = 0.002
WATCH_S = 1.0
RECEIVE_TIMEOUT_S = 4.0
KEY = "a" * 64


def make_configuration(*keys: str) -> Configuration:
    """Return a configuration with one workspace that has the keys."""
    return Configuration(
        classes_by_name={"chat": RequestClass(name="chat", tier=1)},
        workspaces_by_name={
            "north": Workspace(
                name="north",
                keys=tuple(
                    KeyDigest(key_id=f"k{index}", sha256=key)
                    for index, key in enumerate(keys)
                ),
                classes=("chat",),
                default_class="chat",
            )
        },
        upstreams_by_name={
            "m1": Upstream(
                name="m1",
                url="http://127.0.0.1:1",
                data_centre="a",
                model="small",
            )
        },
        data_centres=("a",),
    )


@attrs.define
class Fleet:
    """Entries in simulated time.

    Attributes:
        hosts: Names of all entries.
        now_s: Simulated time.
        states: Reducer states by host.
        stored_configuration: Version and configuration in the store.
        hosts_without_store: Hosts that can't reach the store.
        cut_links: Pairs (sender, receiver) whose messages are lost.
        paused: Hosts whose processes are paused; their events are deferred.
        refusals: Refusals so far, as (host, request, code).
    """

    hosts: list[str]
    now_s: float = 1000.0
    states: dict[str, EntryState] = attrs.field(factory=dict)
    stored_configuration: tuple[int, Configuration] = (
        1,
        make_configuration(KEY),
    )
    hosts_without_store: set[str] = attrs.field(factory=set)
    cut_links: set[tuple[str, str]] = attrs.field(factory=set)
    paused: set[str] = attrs.field(factory=set)
    refusals: list[tuple[str, str, RefusalCode]] = attrs.field(factory=list)
    sent: list[tuple[str, str, Any]] = attrs.field(factory=list)
    link_delay_s: float = LINK_DELAY_S
    lists_hosts_at_start: bool = True
    _random: random.Random = attrs.field(factory=lambda: random.Random(1))
    _neighbours: dict[str, frozenset[str]] = attrs.field(factory=dict)
    _in_flight: list[Any] = attrs.field(factory=list)
    _sequence_numbers: Any = attrs.field(factory=itertools.count)
    _deferred_events: dict[str, list[events.Event]] = attrs.field(factory=dict)
    _received_s_by_link: dict[tuple[str, str], float] = attrs.field(
        factory=dict
    )
    _last_watch_s: dict[str, float] = attrs.field(factory=dict)
    _last_watch_version: dict[str, int] = attrs.field(factory=dict)

    def start(self, *hosts: str) -> None:
        """Start or restart processes, with empty state."""
        for host in hosts or tuple(self.hosts):
            self._close_links_of(host)
            self.states[host] = EntryState(
                host=host, data_centre="a", incarnation=int(self.now_s * 1e9)
            )
            self._last_watch_s[host] = -1.0
            self._last_watch_version[host] = 0
            if self.lists_hosts_at_start:
                self.list_hosts(host)

    def kill(self, host: str) -> None:
        """End a process; its connections close at once."""
        self._close_links_of(host)
        del self.states[host]

    def list_hosts(self, host: str, leaving: Sequence[str] = ()) -> None:
        """Deliver the platform's host list to a host."""
        records = tuple(
            HostRecord(
                name=name,
                role=HostRole.ENTRY,
                state=(
                    HostState.LEAVING if name in leaving else HostState.LIVE
                ),
                data_centre="a",
                address="127.0.0.1:1",
            )
            for name in self.hosts
        )
        self.reduce(host, events.HostsListed(now_s=self.now_s, hosts=records))

    def run(self, duration_s: float) -> None:
        """Advance the time in steps."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self._connect()
            self._deliver_due()
            self._watch_store()
            for host in self._running():
                tick = events.Tick(
                    now_s=self.now_s,
                    wall_s=self.now_s,
                    random=self._random.random(),
                )
                self.reduce(host, tick)
            self._close_idle_links()

    def resume(self, host: str) -> None:
        """Resume a paused process, starting with its deferred events."""
        self.paused.discard(host)
        for event in self._deferred_events.pop(host, []):
            self.reduce(host, attrs.evolve(event, now_s=self.now_s))

    def isolate(self, host: str) -> None:
        """Disconnect a host from all peers and from the store."""
        self.partition([host], [h for h in self.hosts if h != host])
        self.hosts_without_store.add(host)

    def partition(self, left: Sequence[str], right: Sequence[str]) -> None:
        """Cut the links between two groups."""
        for a, b in itertools.product(left, right):
            self.cut_links |= {(a, b), (b, a)}

    def restore_links(self) -> None:
        """Restore all links and the access to the store."""
        self.cut_links.clear()
        self.hosts_without_store.clear()

    def request(self, host: str, name: str, key: str = KEY) -> str:
        """Send a caller's request; return the refusal code or `open`."""
        request = CallerRequest(
            request_id=name, key_sha256=key, model="small", streaming=True
        )
        self.reduce(
            host,
            events.RequestArrived(
                now_s=self.now_s, request=request, wall_s=self.now_s
            ),
        )
        return self.outcome(name)

    def outcome(self, name: str) -> str:
        """Return how a request ended, or `open`."""
        for _, request_id, code in self.refusals:
            if request_id == name:
                return code.name
        return "open"

    def reduce(self, host: str, event: events.Event) -> None:
        """Reduce an event and run its effects."""
        if host in self.paused:
            self._deferred_events.setdefault(host, []).append(event)
            return
        for effect in reducer.reduce(self.states[host], event):
            self._run_effect(host, effect)

    def _run_effect(self, host: str, effect: Any) -> None:
        if isinstance(effect, effects.SendToPeer):
            self._send(host, effect.host, effect.message)
        elif isinstance(effect, effects.RefuseRequest):
            self.refusals.append((host, effect.request_id, effect.refusal.code))
        elif isinstance(effect, effects.FetchConfiguration):
            self._read_store(host)
        elif isinstance(effect, effects.SendConfiguration):
            for part in split_into_parts(
                effect.version, effect.document, effect.sha256
            ):
                self._send(host, effect.host, part)
        elif isinstance(effect, effects.LoadConfigurationDocument):
            document = decompress_document(effect.document, effect.sha256)
            self._deliver_configuration(host, effect.version, document)

    def _send(self, sender: str, receiver: str, message: Any) -> None:
        self.sent.append((sender, receiver, message))
        is_linked = (
            sender == receiver or (sender, receiver) in self._received_s_by_link
        )
        if not is_linked or (sender, receiver) in self.cut_links:
            return
        delay_s = 0.0 if sender == receiver else self.link_delay_s
        item = (
            self.now_s + delay_s,
            next(self._sequence_numbers),
            sender,
            receiver,
        )
        heapq.heappush(self._in_flight, (item, message))

    def _deliver_due(self) -> None:
        while self._in_flight and self._in_flight[0][0][0] <= self.now_s:
            (_, _, sender, receiver), message = heapq.heappop(self._in_flight)
            if receiver not in self.states:
                continue
            if sender != receiver:
                if (sender, receiver) not in self._received_s_by_link:
                    continue
                self._received_s_by_link[sender, receiver] = self.now_s
            self.reduce(
                receiver,
                events.PeerMessageReceived(
                    now_s=self.now_s, host=sender, message=message
                ),
            )

    def _connect(self) -> None:
        for host in self._running():
            for peer in self._neighbours_of(host):
                is_running = peer in self.states and peer not in self.paused
                is_cut = {(host, peer), (peer, host)} & self.cut_links
                if (
                    not is_running
                    or is_cut
                    or (host, peer) in self._received_s_by_link
                ):
                    continue
                self._received_s_by_link[host, peer] = self.now_s
                self._received_s_by_link[peer, host] = self.now_s
                self._notify_both(events.PeerConnected, host, peer)

    def _neighbours_of(self, host: str) -> frozenset[str]:
        if host not in self._neighbours:
            self._neighbours[host] = choose_neighbours(host, self.hosts)
        return self._neighbours[host]

    def _close_idle_links(self) -> None:
        for (sender, receiver), last_received_s in list(
            self._received_s_by_link.items()
        ):
            is_idle = self.now_s - last_received_s > RECEIVE_TIMEOUT_S
            if is_idle and (sender, receiver) in self._received_s_by_link:
                self._close_link(sender, receiver)

    def _close_links_of(self, host: str) -> None:
        for a, b in list(self._received_s_by_link):
            if host in (a, b) and (a, b) in self._received_s_by_link:
                self._close_link(a, b)

    def _close_link(self, a: str, b: str) -> None:
        del self._received_s_by_link[a, b]
        del self._received_s_by_link[b, a]
        self._notify_both(events.PeerDisconnected, a, b)

    def _notify_both(self, event_type: Any, a: str, b: str) -> None:
        for host, peer in ((a, b), (b, a)):
            if host in self.states:
                self.reduce(host, event_type(now_s=self.now_s, host=peer))

    def _watch_store(self) -> None:
        for host in self._running():
            if host in self.hosts_without_store:
                continue
            version = self.stored_configuration[0]
            due = self.now_s - self._last_watch_s[host] >= WATCH_S
            if due or version != self._last_watch_version[host]:
                self._last_watch_s[host] = self.now_s
                self._last_watch_version[host] = version
                self.reduce(
                    host,
                    events.VersionConfirmed(
                        now_s=self.now_s,
                        version=version,
                        read_started_s=self.now_s - 0.005,
                    ),
                )

    def _read_store(self, host: str) -> None:
        if host not in self.hosts_without_store:
            version, configuration = self.stored_configuration
            self._deliver_configuration(
                host, version, dump_configuration(configuration)
            )

    def _deliver_configuration(
        self, host: str, version: int, document: bytes
    ) -> None:
        self.reduce(
            host,
            events.ConfigurationRead(
                now_s=self.now_s,
                version=version,
                configuration=load_configuration(document),
                document=document,
                sha256=document_sha256(document),
            ),
        )

    def _running(self) -> list[str]:
        return [h for h in self.states if h not in self.paused]


def make_fleet(size: int) -> Fleet:
    """Return a fleet that is connected and has read its configuration."""
    fleet = Fleet([f"e{number}" for number in range(size)])
    fleet.start()
    fleet.run(3.0)
    return fleet
