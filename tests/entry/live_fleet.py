"""Entry shells in one process, connected by real sockets."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import time
from typing import Any

import attrs

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.peers.host_sync import HostSync
from shallotfold._entry.peers.peer_network import PeerNetwork
from shallotfold._entry.peers.peer_network import PeerNetworkSettings
from shallotfold._entry.serving.shell import EntryShell
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.store.configuration_sync import ConfigurationSync
from shallotfold._errors import StoreUnavailableError
from shallotfold._model.requests import CallerRequest
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState
from shallotfold._services.ports import StoreChanges
from shallotfold._services.ports import StoredValue
from shallotfold._settings.addresses import Address
from shallotfold._standin.store import StoreStandin


@attrs.define
class HostListFake:
    """A host list with the hosts that a test adds."""

    records_by_name: dict[str, HostRecord] = attrs.field(factory=dict)

    async def fetch(self) -> Sequence[HostRecord]:
        return list(self.records_by_name.values())

    def put(self, host: str, address: Address) -> None:
        self.records_by_name[host] = HostRecord(
            name=host,
            role=HostRole.ENTRY,
            state=HostState.LIVE,
            data_centre="a",
            address=str(address),
        )


class CuttableStore(StoreStandin):
    """One entry's connection to the shared store; it can be cut."""

    def __init__(self, shared: StoreStandin) -> None:
        self._shared = shared
        self.is_cut = False

    async def get(self, key: str) -> StoredValue | None:
        self._check()
        value = await self._shared.get(key)
        self._check()
        return value

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> StoreChanges:
        self._check()
        changes = await self._shared.watch(prefix, after_revision, timeout_s)
        self._check()
        return changes

    def _check(self) -> None:
        if self.is_cut:
            raise StoreUnavailableError("the connection to the store is cut")


@attrs.define
class LiveEntry:
    """One entry without a callers' port and upstreams."""

    shell: EntryShell
    network: PeerNetwork
    store: CuttableStore
    refusals_by_id: dict[str, str] = attrs.field(factory=dict)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @classmethod
    def make(
        cls, host: str, shared: StoreStandin, host_list: HostListFake
    ) -> "LiveEntry":
        state = EntryState(
            host=host, data_centre="a", incarnation=time.time_ns()
        )
        shell = EntryShell(state)
        network = PeerNetwork(
            PeerNetworkSettings(
                host=host,
                incarnation=state.incarnation,
                listen=Address("127.0.0.1", 0),
                fleet_secret="secret",
            ),
            shell.deliver,
        )
        store = CuttableStore(shared)
        sync = ConfigurationSync(
            store,
            shell.deliver,
            network.send,
            lambda: len(state.membership.entry_names),
        )
        hosts = HostSync(host_list, shell.deliver, network.set_hosts)
        shell.components = [network, sync, hosts]
        entry = cls(shell, network, store)
        entry.register(sync)
        return entry

    def register(self, sync: ConfigurationSync) -> None:
        shell = self.shell
        shell.register(
            effects.SendToPeer, lambda e: self.network.send(e.host, e.message)
        )
        shell.register(effects.FetchConfiguration, sync.fetch)
        shell.register(effects.LoadConfigurationDocument, sync.load)
        shell.register(effects.SendConfiguration, sync.send)
        shell.register(effects.RefuseRequest, self._record_refusal)
        shell.before_event = lambda event: self.changed.set()

    def request(self, request_id: str, key: str) -> str:
        """Send a caller's request; return its refusal code or `open`."""
        now_s = time.monotonic()
        request = CallerRequest(
            request_id=request_id,
            key_sha256=key,
            model="small",
            streaming=True,
        )
        self.shell.deliver(
            events.RequestArrived(now_s=now_s, request=request, wall_s=now_s)
        )
        return self.outcome(request_id)

    def outcome(self, request_id: str) -> str:
        """Return how a request ended, or `open`."""
        return self.refusals_by_id.get(request_id, "open")

    async def until(self, condition: Callable[["LiveEntry"], bool]) -> None:
        """Wait until a condition is true after some event."""
        while not condition(self):
            self.changed.clear()
            await self.changed.wait()

    async def until_version(self, version: int) -> None:
        """Wait until a version is in force and the entry is ready."""
        configuration_state = self.shell.state.configuration
        await self.until(
            lambda _: (
                configuration_state.version >= version
                and configuration_state.ready
            )
        )

    def _record_refusal(self, effect: Any) -> None:
        code = effect.refusal.code.name
        self.refusals_by_id[effect.request_id] = code


@attrs.define
class LiveFleet:
    """Entries with one store and one host list."""

    store: StoreStandin = attrs.field(factory=StoreStandin)
    host_list: HostListFake = attrs.field(factory=HostListFake)
    entries_by_host: dict[str, LiveEntry] = attrs.field(factory=dict)

    async def start(self, *hosts: str) -> None:
        """Start entries and give all of them the host list."""
        entries = [
            LiveEntry.make(host, self.store, self.host_list) for host in hosts
        ]
        for host, entry in zip(hosts, entries, strict=True):
            self.entries_by_host[host] = entry
            await entry.shell.start()
            self.host_list.put(host, entry.network.address)
        records = await self.host_list.fetch()
        for entry in self.entries_by_host.values():
            entry.network.set_hosts(records)
            entry.shell.deliver(
                events.HostsListed(now_s=time.monotonic(), hosts=tuple(records))
            )

    async def until_linked(self) -> None:
        """Wait until each entry counts all entries as live."""
        entry_count = len(self.entries_by_host)
        for entry in self.entries_by_host.values():
            await entry.until(
                lambda e: len(e.shell.state.membership.live) == entry_count
            )

    async def close(self) -> None:
        """Stop all entries."""
        for entry in self.entries_by_host.values():
            await entry.shell.close()

    async def kill(self, host: str) -> None:
        """Stop and remove one entry."""
        await self.entries_by_host.pop(host).shell.close()
