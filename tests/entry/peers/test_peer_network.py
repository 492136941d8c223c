import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import attrs
from loguru import logger
import pytest

from shallotfold._entry import events
from shallotfold._entry.peers import peer_network
from shallotfold._entry.peers import peer_stream
from shallotfold._entry.peers.peer_network import PeerNetwork
from shallotfold._entry.peers.peer_network import PeerNetworkSettings
from shallotfold._errors import HandshakeError
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState
from shallotfold._settings.addresses import Address
from shallotfold._wire.control_messages import ConfigurationPart
from shallotfold._wire.control_messages import ConfigurationRequest
from shallotfold._wire.control_messages import Heartbeat
from tests.entry.faulty_tcp_proxy import FaultyTcpProxy

MESSAGE = ConfigurationRequest(newer_than=7)
HEARTBEAT = Heartbeat(
    incarnation=1, config_version=1, store_confirmed_age_s=0.0
)


@attrs.define
class Node:
    network: PeerNetwork
    seen: list[events.Event] = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @classmethod
    async def start(
        cls, host: str, secret: str = "fleet", incarnation: int = 1
    ) -> "Node":
        settings = PeerNetworkSettings(
            host=host,
            incarnation=incarnation,
            listen=Address("127.0.0.1", 0),
            fleet_secret=secret,
        )
        seen: list[events.Event] = []
        changed = asyncio.Event()

        def deliver(event: events.Event) -> None:
            seen.append(event)
            changed.set()

        node = cls(PeerNetwork(settings, deliver), seen, changed)
        await node.network.start()
        return node

    async def until(self, condition: Callable[["Node"], bool]) -> None:
        while not condition(self):
            self.changed.clear()
            await self.changed.wait()

    def hosts_seen(self, event_type: type[events.Event]) -> list[str]:
        return [
            getattr(e, "host", "") for e in self.seen if type(e) is event_type
        ]

    def connected_to(self, host: str) -> bool:
        return host in self.network.streams_by_host


@contextlib.asynccontextmanager
async def nodes(*hosts: str) -> AsyncIterator[list[Node]]:
    started = [await Node.start(host) for host in hosts]
    try:
        yield started
    finally:
        for node in started:
            await node.network.close()


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    async def main() -> None:
        await asyncio.wait_for(scenario(), 30)

    asyncio.run(main())


def make_record(host: str, address: Address) -> HostRecord:
    return HostRecord(
        name=host,
        role=HostRole.ENTRY,
        state=HostState.LIVE,
        data_centre="a",
        address=str(address),
    )


def list_hosts(addresses_by_host: dict[str, Address], *receivers: Node) -> None:
    records = [
        make_record(host, address)
        for host, address in addresses_by_host.items()
    ]
    for node in receivers:
        node.network.set_hosts(records)


def test_neighbours_connect_once_and_exchange_messages() -> None:
    async def scenario() -> None:
        async with nodes("a", "b", "c") as (a, b, c):
            addresses_by_host = {
                "a": a.network.address,
                "b": b.network.address,
                "c": c.network.address,
            }
            list_hosts(addresses_by_host, a, b, c)
            for node in (a, b, c):
                await node.until(lambda n: len(n.network.streams_by_host) == 2)
            a.network.send("b", MESSAGE)
            await b.until(
                lambda n: "a" in n.hosts_seen(events.PeerMessageReceived)
            )
            assert sorted(a.hosts_seen(events.PeerConnected)) == ["b", "c"]

    run(scenario)


def test_hosts_connect_if_only_one_has_the_other_s_address() -> None:
    async def scenario() -> None:
        async with nodes("a", "b") as (a, b):
            list_hosts({"a": a.network.address}, b)
            await a.until(lambda n: n.connected_to("b"))
            await b.until(lambda n: n.connected_to("a"))

    run(scenario)


def test_stopped_peer_is_reported_at_once_and_reconnected() -> None:
    async def scenario() -> None:
        async with nodes("a") as (a,):
            b = await Node.start("b")
            address = b.network.address
            list_hosts({"b": address}, a)
            await a.until(lambda n: n.connected_to("b"))
            await b.network.close()
            await a.until(lambda n: not n.connected_to("b"))
            settings = PeerNetworkSettings(
                host="b", incarnation=2, listen=address, fleet_secret="fleet"
            )
            restarted = PeerNetwork(settings, lambda event: None)
            await restarted.start()
            await a.until(lambda n: n.connected_to("b"))
            assert a.network.streams_by_host["b"].incarnation == 2
            await restarted.close()

    run(scenario)


def test_wrong_secret_never_connects(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peer_network, "MAX_BACKOFF_S", 0.01)

    async def scenario() -> None:
        lines: list[str] = []
        handler = logger.add(
            lambda message: lines.append(str(message)), level="WARNING"
        )
        outsider = await Node.start("b", secret="other")
        async with nodes("a") as (a,):
            logged_enough = asyncio.Event()
            original_log = a.network._refusals.log

            def log_until_enough(source: str, error: HandshakeError) -> None:
                original_log(source, error)
                if a.network._refusals._suppressed >= 5:
                    logged_enough.set()

            a.network._refusals.log = log_until_enough  # type: ignore[method-assign]
            list_hosts({"a": a.network.address}, outsider)
            await logged_enough.wait()
            assert a.seen == []
            assert outsider.seen == []
            # One line for each end.
            assert len(lines) == 2
        await outsider.network.close()
        logger.remove(handler)

    run(scenario)


@pytest.mark.parametrize(
    "junk", [b"", b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 4096, b"\0\0\0\1x"]
)
def test_junk_connections_don_t_affect_peers(junk: bytes) -> None:
    async def scenario() -> None:
        async with nodes("a", "b") as (a, b):
            address = a.network.address
            for _ in range(80):
                _, writer = await asyncio.open_connection(
                    address.ip, address.port
                )
                writer.write(junk)
                writer.transport.abort()
            list_hosts({"a": address}, b)
            await b.until(lambda n: n.connected_to("a"))

    run(scenario)


def test_malformed_message_ends_only_the_stream() -> None:
    async def scenario() -> None:
        async with nodes("a", "b") as (a, b):
            list_hosts({"a": a.network.address}, b)
            await b.until(lambda n: n.connected_to("a"))
            first = b.network.streams_by_host["a"]
            first._writer.write(b"\0\0\0\4junk")
            await a.until(
                lambda n: "b" in n.hosts_seen(events.PeerDisconnected)
            )
            await a.until(lambda n: n.connected_to("b"))

    run(scenario)


@pytest.mark.parametrize("direction", ["to_target", "from_target", "both"])
def test_silent_connection_is_closed_by_both_ends(
    monkeypatch: pytest.MonkeyPatch, direction: str
) -> None:
    monkeypatch.setattr(peer_stream, "RECEIVE_TIMEOUT_S", 0.3)

    async def send_heartbeats(*senders: Node) -> None:
        while True:
            for node in senders:
                for host in list(node.network.streams_by_host):
                    node.network.send(host, HEARTBEAT)
            await asyncio.sleep(0.02)

    async def scenario() -> None:
        async with nodes("a", "b") as (a, b):
            proxy = FaultyTcpProxy(b.network.address)
            await proxy.start()
            heartbeat_task = asyncio.create_task(send_heartbeats(a, b))
            list_hosts({"b": proxy.address}, a)
            await a.until(lambda n: n.connected_to("b"))
            await b.until(lambda n: n.connected_to("a"))
            proxy.to_target_silent = direction in ("to_target", "both")
            proxy.from_target_silent = direction in ("from_target", "both")
            for node in (a, b):
                await node.until(
                    lambda n: bool(n.hosts_seen(events.PeerDisconnected))
                )
            proxy.to_target_silent = proxy.from_target_silent = False
            await a.until(lambda n: n.connected_to("b"))
            heartbeat_task.cancel()
            await proxy.close()

    run(scenario)


def test_full_queue_aborts_the_stream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peer_stream, "MAX_QUEUED_BYTES", 300_000)
    part = ConfigurationPart(
        version=1, index=0, count=1, sha256="", data=bytes(100_000)
    )

    async def scenario() -> None:
        async with nodes("a", "b") as (a, b):
            list_hosts({"a": a.network.address}, b)
            await b.until(lambda n: n.connected_to("a"))
            for _ in range(4):
                b.network.send("a", part)
            await b.until(
                lambda n: "a" in n.hosts_seen(events.PeerDisconnected)
            )

    run(scenario)


def test_newer_heartbeat_replaces_an_unsent_one() -> None:
    async def scenario() -> None:
        async with nodes("a", "b") as (a, b):
            list_hosts({"a": a.network.address}, b)
            await b.until(lambda n: n.connected_to("a"))
            for version in range(1000):
                b.network.send(
                    "a", attrs.evolve(HEARTBEAT, config_version=version)
                )
            await a.until(
                lambda n: n.hosts_seen(events.PeerMessageReceived) == ["b"]
            )
            (event,) = [
                e for e in a.seen if isinstance(e, events.PeerMessageReceived)
            ]
            assert isinstance(event.message, Heartbeat)
            assert event.message.config_version == 999

    run(scenario)


def test_stream_to_an_owner_is_opened_on_demand(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        peer_network, "choose_neighbours", lambda host, names: frozenset()
    )

    async def scenario() -> None:
        async with nodes("a", "b") as (a, b):
            list_hosts({"b": b.network.address}, a)
            assert not a.connected_to("b")
            a.network.send("b", MESSAGE)
            await b.until(
                lambda n: "a" in n.hosts_seen(events.PeerMessageReceived)
            )
            monkeypatch.setattr(peer_network, "IDLE_TIMEOUT_S", 0.0)
            list_hosts({"b": b.network.address}, a)
            await a.until(lambda n: not n.connected_to("b"))

    run(scenario)


def test_unreachable_owner_is_reported_as_disconnected() -> None:
    async def scenario() -> None:
        stopped = await Node.start("b")
        address = stopped.network.address
        await stopped.network.close()
        async with nodes("a") as (a,):
            a.network._addresses_by_host = {"b": address}
            a.network.send("b", MESSAGE)
            await a.until(
                lambda n: n.hosts_seen(events.PeerDisconnected) == ["b"]
            )

    run(scenario)
