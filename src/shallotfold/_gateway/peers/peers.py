"""Exchange heartbeats with all other hosts over UDP.

Each host periodically sends the others the state that only it has: its
address, its clock, its loads, its usage counts and its configuration version.
The next heartbeat makes up for a lost one.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import math
import random
import statistics
import time
from typing import Any
from typing import cast

import attrs
from loguru import logger
import msgpack

from shallotfold._gateway.core import decision_log
from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.periodic_task import PeriodicTask
from shallotfold._gateway.deciding.crash_knowledge import CrashKnowledge
from shallotfold._gateway.deciding.events import RequestLoad
from shallotfold._gateway.deciding.limit_shares import FORGET_AFTER_S
from shallotfold._gateway.deciding.named_limits import LimitStatement
from shallotfold._gateway.deciding.partition_shares import PromptLoad
from shallotfold._gateway.deciding.upstream_speeds import SpeedSample
from shallotfold._gateway.peers.change_messages import MAX_MESSAGE_BYTES
from shallotfold._gateway.peers.change_messages import UpstreamChanges
from shallotfold._gateway.peers.change_messages import decode_changes
from shallotfold._gateway.peers.crash_messages import decode_knowledge
from shallotfold._gateway.peers.crash_messages import encode_knowledge
from shallotfold._gateway.peers.crash_messages import knowledge_fields
from shallotfold._gateway.peers.crash_messages import read_knowledge
from shallotfold._gateway.peers.crash_news import CrashNews
from shallotfold._gateway.peers.limit_messages import decode_statements
from shallotfold._gateway.peers.limit_messages import encode_statements
from shallotfold._gateway.peers.limit_messages import read_demand
from shallotfold._gateway.peers.limit_messages import read_statements
from shallotfold._gateway.peers.limit_messages import statement_fields
from shallotfold._gateway.peers.peer_traffic import HEARTBEAT
from shallotfold._gateway.peers.peer_traffic import PeerTraffic
from shallotfold._gateway.peers.prompt_loads import read_prompt_loads
from shallotfold._gateway.peers.speed_messages import read_samples
from shallotfold._gateway.peers.speed_messages import sample_fields

PROTOCOL_VERSION = 5
_NUMBER = (int, float)
# Types of a heartbeat's fields, in order; earlier builds don't send the last
# ones.
FIELD_TYPES: tuple[type | tuple[type, ...], ...] = (
    int,
    str,
    str,
    _NUMBER,
    (int, float, type(None)),
    int,
    int,
    int,
    bool,
    dict,
    (dict, type(None)),
    dict,
    list,
    list,
    dict,
    int,
    _NUMBER,
    list,
    list,
    dict,
    dict,
    list,
    int,
    list,
)
MIN_HEARTBEAT_INTERVAL_S = 0.4
# The datagrams of all hosts grow with the square of their number, so each
# host sends less often the more hosts there are.
HEARTBEAT_INTERVAL_S_PER_HOST = 0.0125
MAX_HEARTBEAT_INTERVAL_S = 1.0
# In a fleet of more hosts than this, those that don't watch the store send
# heartbeats less often: each goes to all others.
LARGE_FLEET = 100
ORDINARY_HEARTBEAT_INTERVAL_S = 2.0
# A peer without a heartbeat for this many of its intervals doesn't count as
# alive: two in a row may be lost.
ALIVE_TIMEOUT_INTERVALS = 2.5
MIN_ALIVE_TIMEOUT_S = 2.5
# Clocks that differ by no more than this agree; it exceeds the network delay
# of a heartbeat.
CLOCK_TOLERANCE_S = 0.5
# The agreed time is kept while at least this share of the clocks agrees with
# it: the others were stepped, even if they are the majority.
MIN_AGREEING_SHARE = 1 / 3
# Intervals of peers are trusted up to this.
MAX_PEER_INTERVAL_S = 5.0
# A peer that was silent for longer than this has ended, or its counts come too
# late for a report.
PRESUMED_ENDED_AFTER_S = 20.0
# Seeds get heartbeats this often even when peers are known, so that the two
# sides of a healed partition find each other.
SEED_INTERVAL_S = 2.0
# The usage counts go to the holder of the duties and to this many hosts that
# are next in line for them.
STANDBY_HOSTS = 4
# These hosts pass on the counts of an ended incarnation for this long; by then
# its last usage window has been frozen.
RELAY_ENDED_COUNTS_S = 12.0
# Addresses of other peers in one datagram.
ADDRESSES_PER_DATAGRAM = 6
# An upstream that ends breaks several requests off; peers are told of all of
# them in one message.
CRASH_BATCH_DELAY_S = 0.01
# An upstream may name another limit in each response; peers are told at most
# this often besides the heartbeats.
LIMIT_ANNOUNCEMENT_INTERVAL_S = 0.2


class StoreAccess(enum.IntEnum):
    """Whether a host can reach the store."""

    UNKNOWN = 0
    """It doesn't watch the store."""
    WORKING = 1
    FAILING = 2


@attrs.define(kw_only=True)
class PeerState:
    """State of a peer as of its latest heartbeat.

    Attributes:
        name: Name of its host.
        incarnation: Random id of its process, new after each start.
        ip: Its address.
        received_s: When the heartbeat arrived, on the boot clock.
        clock_offset_s: Its time of day minus this host's boot clock.
        agreed_offset_s: Its agreed time minus this host's boot clock; `None`:
            it hasn't agreed with its peers yet.
        configuration_version: Version of its configuration; 0: none.
        upstreams_revision: Store revision of the newest change of upstreams
            that it knows.
        fencing_token: Its fencing token if it holds the duties; 0: it doesn't.
        may_hold_duties: Whether it serves callers and can reach the store.
        loads_by_upstream: Its load at each upstream.
        counts_by_window: Its own usage counts.
        counts_received_s: When its counts last arrived, on the boot clock.
        ended_counts: Usage counts of incarnations that have ended, by origin
            and window.
        prefixes_sent: Shared prompt prefixes that it sent since its last
            heartbeat, each with the upstream that got it.
        leaving_started_ms_by_id: Upstreams that lately said in a response to it
            that they are leaving, with their starts in Unix milliseconds.
        store_access: Whether it reaches the store.
        interval_s: Time between its heartbeats.
        crash_knowledge: What it knows of requests under which upstreams end.
        limit_statements: What responses to it said about limits of upstreams.
        demand_by_service: Requests a second of its callers.
        prompts_by_service: Its requests at engines, by length of the prompt.
        evacuated: Evacuated data centres that it knows.
        evacuations_revision: Store revision as of which it knows them; 0: it
            knows none.
        speed_samples: How long responses to it took since its last heartbeat.
    """

    name: str
    incarnation: str
    ip: str
    received_s: float
    clock_offset_s: float
    agreed_offset_s: float | None
    configuration_version: int
    upstreams_revision: int
    fencing_token: int
    may_hold_duties: bool
    loads_by_upstream: Mapping[str, RequestLoad]
    counts_by_window: Mapping[int, dict[str, int]]
    counts_received_s: float
    ended_counts: Mapping[str, Mapping[int, dict[str, int]]]
    prefixes_sent: Sequence[tuple[str, str]]
    leaving_started_ms_by_id: Mapping[str, int] = attrs.field(factory=dict)
    store_access: StoreAccess = StoreAccess.UNKNOWN
    interval_s: float = MAX_HEARTBEAT_INTERVAL_S
    crash_knowledge: CrashKnowledge = attrs.field(factory=CrashKnowledge)
    limit_statements: Sequence[LimitStatement] = ()
    demand_by_service: Mapping[str, float] = attrs.field(factory=dict)
    prompts_by_service: Mapping[str, PromptLoad] = attrs.field(factory=dict)
    evacuated: Sequence[str] = ()
    evacuations_revision: int = 0
    speed_samples: Sequence[SpeedSample] = ()

    @property
    def origin(self) -> str:
        """Name of the host and incarnation of its process."""
        return f"{self.name}/{self.incarnation}"

    @property
    def alive_until_s(self) -> float:
        """When it no longer counts as alive, on the boot clock."""
        timeout_s = ALIVE_TIMEOUT_INTERVALS * self.interval_s
        return self.received_s + max(MIN_ALIVE_TIMEOUT_S, timeout_s)


@attrs.define(kw_only=True)
class LocalState:
    """State that this host sends to its peers; fields as in `PeerState`."""

    configuration_version: int = 0
    upstreams_revision: int = 0
    fencing_token: int = 0
    may_hold_duties: bool = False
    loads_by_upstream: Mapping[str, RequestLoad] = attrs.field(factory=dict)
    counts_by_window: Mapping[int, dict[str, int]] = attrs.field(factory=dict)
    ended_counts: Mapping[str, Mapping[int, dict[str, int]]] = attrs.field(
        factory=dict
    )
    prefixes_sent: Sequence[tuple[str, str]] = ()
    leaving_started_ms_by_id: Mapping[str, int] = attrs.field(factory=dict)
    store_access: StoreAccess = StoreAccess.UNKNOWN
    crash_knowledge: CrashKnowledge = attrs.field(factory=CrashKnowledge)
    limit_statements: Sequence[LimitStatement] = ()
    demand_by_service: Mapping[str, float] = attrs.field(factory=dict)
    prompts_by_service: Mapping[str, PromptLoad] = attrs.field(factory=dict)
    evacuated: Sequence[str] = ()
    evacuations_revision: int = 0
    speed_samples: Sequence[SpeedSample] = ()


def heartbeat_interval_s(host_count: int) -> float:
    """Return the time between heartbeats of a host in a fleet of this size."""
    scaled_s = host_count * HEARTBEAT_INTERVAL_S_PER_HOST
    return min(
        MAX_HEARTBEAT_INTERVAL_S, max(MIN_HEARTBEAT_INTERVAL_S, scaled_s)
    )


def _within_tolerance(
    offsets_s: Sequence[float], offset_s: float
) -> list[float]:
    return [o for o in offsets_s if abs(o - offset_s) <= CLOCK_TOLERANCE_S]


class Peers:
    """The other hosts, as known from their heartbeats.

    Attributes:
        ip: Address of this host.
        seed_ips: Hosts to contact when no peer is known, maybe stale.
        state_by_name: Latest state of each host.
        acts_for_fleet: Whether this host watches the store for others, so that
            its end must be noticed soon.
    """

    def __init__(
        self, name: str, incarnation: str, ip: str, seed_ips: tuple[str, ...]
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self.ip = ip
        self.seed_ips = seed_ips
        self.state_by_name: dict[str, PeerState] = {}
        self.acts_for_fleet = True
        self._received_s_by_origin: dict[str, float] = {}
        self._alive: frozenset[str] = frozenset()
        self._clock_offset_s = time.time() - boot_s()
        self._has_agreed = False

    @property
    def name(self) -> str:
        """Name of this host."""
        return self._name

    @property
    def origin(self) -> str:
        """Name of this host and incarnation of its process."""
        return f"{self._name}/{self._incarnation}"

    def alive(self) -> list[PeerState]:
        """Return the peers with a recent heartbeat."""
        now_s = boot_s()
        return [
            state
            for state in self.state_by_name.values()
            if state.alive_until_s > now_s
        ]

    def ended_origins(self) -> set[str]:
        """Return incarnations that recently fell silent or restarted."""
        now_s = boot_s()
        alive = {state.origin for state in self.alive()}
        return {
            origin
            for origin, received_s in self._received_s_by_origin.items()
            if origin not in alive and now_s - received_s < RELAY_ENDED_COUNTS_S
        }

    def agreed_time_s(self) -> float:
        """Return the time of day that most hosts' clocks agree on.

        Between updates it advances with the boot clock, so a step of this
        host's own time of day doesn't affect it.
        """
        return boot_s() + self._clock_offset_s

    def counted_share_since(self, agreed_s: float) -> float:
        """Return the share of hosts whose counts arrived after an agreed time.

        The share is of all hosts that may be running, including this one. A
        peer that fell silent recently may have ended, or it may be partitioned
        and still serve callers.
        """
        since_s = agreed_s - self._clock_offset_s
        oldest_s = boot_s() - PRESUMED_ENDED_AFTER_S
        running = [
            state
            for state in self.state_by_name.values()
            if state.received_s >= oldest_s
        ]
        counted = sum(state.counts_received_s >= since_s for state in running)
        return (1 + counted) / (1 + len(running))

    def update_agreed_time(self) -> None:
        """Update the agreed time from the clocks of all hosts.

        A host that has just started adopts the agreed time of its peers. After
        that, the agreed time is kept while enough of the clocks still agree
        with it, since stepped clocks may be the majority. Otherwise it moves
        to the largest group of clocks that agree.
        """
        states = self.alive()
        agreed_offsets_s = [
            state.agreed_offset_s
            for state in states
            if state.agreed_offset_s is not None
        ]
        if not self._has_agreed and agreed_offsets_s:
            self._clock_offset_s = statistics.median_low(agreed_offsets_s)
            self._has_agreed = True
        offsets_s = [
            time.time() - boot_s(),
            *(state.clock_offset_s for state in states),
        ]
        agreeing_s = _within_tolerance(offsets_s, self._clock_offset_s)
        if not self._has_agreed or len(agreeing_s) < MIN_AGREEING_SHARE * len(
            offsets_s
        ):
            agreeing_s = max(
                (_within_tolerance(offsets_s, o) for o in offsets_s), key=len
            )
        self._clock_offset_s = statistics.median(agreeing_s)
        self._has_agreed = self._has_agreed or len(states) > 0

    def heartbeat_interval_s(self) -> float:
        """Return the time between two heartbeats of this host."""
        host_count = len(self.state_by_name) + 1
        if host_count > LARGE_FLEET and not self.acts_for_fleet:
            return ORDINARY_HEARTBEAT_INTERVAL_S
        return heartbeat_interval_s(host_count)

    def usage_replica_ips(self) -> set[str]:
        """Return the addresses of the hosts that replicate all usage counts."""
        alive = sorted(self.alive(), key=lambda state: state.name)
        holders = [state for state in alive if state.fencing_token]
        eligible = [state for state in alive if state.may_hold_duties]
        # Just after all hosts have started none is eligible yet.
        standby = (eligible or alive)[:STANDBY_HOSTS]
        return {state.ip for state in (*holders, *standby)}

    def replicates_usage(self, local: LocalState) -> bool:
        """Whether this host is one of those that replicate all usage counts."""
        eligible = [peer.name for peer in self.alive() if peer.may_hold_duties]
        ahead = sum(name < self._name for name in eligible)
        return bool(local.fencing_token) or ahead < STANDBY_HOSTS

    def encode(self, local: LocalState, *, with_counts: bool = True) -> bytes:
        """Encode a heartbeat of this host."""
        known = list(self.state_by_name.values())
        passed_on = random.sample(
            known, min(len(known), ADDRESSES_PER_DATAGRAM)
        )
        loads = {
            upstream: (load.requests, load.pending_tokens)
            for upstream, load in local.loads_by_upstream.items()
        }
        return cast(
            bytes,
            msgpack.packb(
                (
                    PROTOCOL_VERSION,
                    self._name,
                    self._incarnation,
                    time.time(),
                    self.agreed_time_s() if self._has_agreed else None,
                    local.configuration_version,
                    local.upstreams_revision,
                    local.fencing_token,
                    local.may_hold_duties,
                    loads,
                    local.counts_by_window if with_counts else None,
                    local.ended_counts
                    if with_counts and self.replicates_usage(local)
                    else {},
                    [peer.ip for peer in passed_on],
                    local.prefixes_sent,
                    local.leaving_started_ms_by_id,
                    int(local.store_access),
                    self.heartbeat_interval_s(),
                    knowledge_fields(local.crash_knowledge),
                    statement_fields(local.limit_statements, boot_s()),
                    local.demand_by_service,
                    {
                        service: (load.short, load.long)
                        for service, load in local.prompts_by_service.items()
                    },
                    local.evacuated,
                    local.evacuations_revision,
                    sample_fields(local.speed_samples),
                )
            ),
        )

    def decode(self, data: bytes, ip: str) -> tuple[PeerState, list[str]]:
        """Decode a peer's heartbeat and the addresses that it passes on.

        Raises:
            ValueError: The datagram isn't a heartbeat of a peer.
        """
        fields: Any = msgpack.unpackb(data, strict_map_key=False)
        if not isinstance(fields, list) or fields[0] != PROTOCOL_VERSION:
            raise ValueError("unknown version of the peer protocol")
        _check_types(fields)
        now_s = boot_s()
        state = PeerState(
            name=fields[1],
            incarnation=fields[2],
            ip=ip,
            received_s=now_s,
            clock_offset_s=fields[3] - now_s,
            agreed_offset_s=(None if fields[4] is None else fields[4] - now_s),
            configuration_version=fields[5],
            upstreams_revision=fields[6],
            fencing_token=fields[7],
            may_hold_duties=fields[8],
            loads_by_upstream={
                upstream: RequestLoad(*load)
                for upstream, load in fields[9].items()
            },
            counts_by_window=fields[10] or {},
            counts_received_s=-math.inf if fields[10] is None else now_s,
            ended_counts=fields[11],
            prefixes_sent=[
                (prefix_id, upstream) for prefix_id, upstream in fields[13]
            ],
            # Earlier builds, which run beside this one during a release, don't
            # send it.
            leaving_started_ms_by_id=(
                dict(fields[14]) if len(fields) > 14 else {}
            ),
            store_access=(
                StoreAccess(fields[15])
                if len(fields) > 15
                else StoreAccess.UNKNOWN
            ),
            interval_s=(
                min(float(fields[16]), MAX_PEER_INTERVAL_S)
                if len(fields) > 16
                else MAX_HEARTBEAT_INTERVAL_S
            ),
            crash_knowledge=(
                read_knowledge(fields[17])
                if len(fields) > 17
                else CrashKnowledge()
            ),
            limit_statements=(
                read_statements(fields[18], now_s) if len(fields) > 18 else ()
            ),
            demand_by_service=(
                read_demand(fields[19]) if len(fields) > 19 else {}
            ),
            prompts_by_service=(
                read_prompt_loads(fields[20]) if len(fields) > 20 else {}
            ),
            evacuated=_read_names(fields[21]) if len(fields) > 22 else (),
            evacuations_revision=fields[22] if len(fields) > 22 else 0,
            speed_samples=(
                read_samples(fields[23]) if len(fields) > 23 else ()
            ),
        )
        return state, fields[12]

    def record_state(self, state: PeerState) -> bool:
        """Record a peer's state; return `False` if it is this host's own."""
        if state.name == self._name:
            return False
        previous = self.state_by_name.get(state.name)
        if previous is not None and previous.incarnation == state.incarnation:
            state.counts_received_s = max(
                state.counts_received_s, previous.counts_received_s
            )
        self.state_by_name[state.name] = state
        self._received_s_by_origin[state.origin] = state.received_s
        return True

    def expire_peers(self) -> None:
        """Forget hosts that are gone and log changes of which are alive."""
        now_s = boot_s()
        for name, state in list(self.state_by_name.items()):
            if now_s - state.received_s > FORGET_AFTER_S:
                del self.state_by_name[name]
        for origin, received_s in list(self._received_s_by_origin.items()):
            if now_s - received_s > FORGET_AFTER_S:
                del self._received_s_by_origin[origin]
        alive = frozenset(state.name for state in self.alive())
        for name in alive - self._alive:
            decision_log.record("peer_heard", peer=name, alive=len(alive))
        for name in self._alive - alive:
            decision_log.record("peer_silent", peer=name, alive=len(alive))
        self._alive = alive

    def recipients(self, *, with_seeds: bool) -> set[str]:
        """Return the addresses that get the next heartbeat."""
        addresses = {state.ip for state in self.state_by_name.values()}
        if with_seeds or not addresses:
            addresses |= set(self.seed_ips)
        addresses.discard(self.ip)
        return addresses


def _read_names(fields: list[Any]) -> list[str]:
    if not all(isinstance(name, str) for name in fields):
        raise ValueError("a data centre isn't text")
    return fields


def _check_types(fields: Sequence[Any]) -> None:
    """Check the fields that the decoder uses as they are.

    Raises:
        ValueError: A field has another type than a peer sends.
    """
    for number, (value, types) in enumerate(
        zip(fields, FIELD_TYPES, strict=False)
    ):
        if not isinstance(value, types):
            raise ValueError(f"field {number} is a {type(value).__name__}")
    if not all(isinstance(ip, str) for ip in fields[12]):
        raise ValueError("an address isn't text")


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives heartbeats over UDP."""

    def __init__(
        self,
        peers: Peers,
        port: int,
        make_state: Callable[[], LocalState],
        pop_prefixes: Callable[[], Sequence[tuple[str, str]]],
        on_state: Callable[[PeerState], None],
        on_changes: Callable[[UpstreamChanges], None],
        on_crashes: Callable[[str, CrashKnowledge], None],
        on_limits: Callable[[str, Sequence[LimitStatement]], None],
        traffic: PeerTraffic,
    ) -> None:
        self._peers = peers
        self._port = port
        self._make_state = make_state
        self._pop_prefixes = pop_prefixes
        self._on_state = on_state
        self._on_changes = on_changes
        self._on_crashes = on_crashes
        self._on_limits = on_limits
        self._traffic = traffic
        self._crash_news = CrashNews()
        self._crashes_timer: asyncio.TimerHandle | None = None
        self._limits_timer: asyncio.TimerHandle | None = None
        self._limits_sent_s = -math.inf
        self._transport: asyncio.DatagramTransport | None = None
        self._seeds_contacted_s = 0.0
        self._sender = PeriodicTask(
            "Sending heartbeats",
            self._send_heartbeat,
            lambda: peers.heartbeat_interval_s() * random.uniform(0.8, 1.2),
        )
        self._contacted_ips: set[str] = set()
        # Takes the samples that the next heartbeat carries.
        self.pop_samples: Callable[[], Sequence[SpeedSample]] = tuple

    async def start(self, ip: str) -> None:
        """Open the socket and start sending heartbeats."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, self._port)
        )
        self._transport = transport
        self.send_now(with_seeds=True)
        await self._sender.start()

    async def close(self) -> None:
        """Send a last heartbeat and close the socket."""
        await self._sender.close()
        if self._crashes_timer is not None:
            self._crashes_timer.cancel()
        if self._limits_timer is not None:
            self._limits_timer.cancel()
        if self._transport is not None:
            self.send_now()
            self._transport.close()
            self._transport = None

    def send_now(self, *, with_seeds: bool = False) -> None:
        """Send the current state to all known peers."""
        state = self._make_state()
        recipients = self._peers.recipients(with_seeds=with_seeds)
        state = attrs.evolve(
            state,
            prefixes_sent=self._pop_prefixes(),
            speed_samples=self.pop_samples(),
            crash_knowledge=self._crash_news.select_for_heartbeat(
                state.crash_knowledge, boot_s(), len(recipients)
            ),
        )
        with_counts = self._peers.encode(state)
        without_counts = self._peers.encode(state, with_counts=False)
        replicas = self._peers.usage_replica_ips()
        for ip in recipients:
            self._send(
                HEARTBEAT, with_counts if ip in replicas else without_counts, ip
            )

    def send_changes(self, changes: UpstreamChanges) -> None:
        """Send changes of the upstream list to all known peers."""
        data = changes.encode()
        if len(data) > MAX_MESSAGE_BYTES:
            decision_log.record("changes_too_large", size=len(data))
            return
        for ip in self._peers.recipients(with_seeds=False):
            self._send("changes", data, ip)

    def announce_crashes(self) -> None:
        """Soon tell all known peers what this host knows of crashes."""
        if self._crashes_timer is None:
            self._crashes_timer = asyncio.get_running_loop().call_later(
                CRASH_BATCH_DELAY_S, self._send_crashes
            )

    def _send_crashes(self) -> None:
        self._crashes_timer = None
        knowledge = self._make_state().crash_knowledge
        recipients = self._peers.recipients(with_seeds=False)
        now_s = boot_s()
        news = self._crash_news.select_news(knowledge, now_s, len(recipients))
        if news:
            data = encode_knowledge(self._peers.name, news)
            for ip in recipients:
                self._send("crashes", data, ip)
        delay_s = self._crash_news.news_delay_s(
            knowledge, now_s, len(recipients)
        )
        if recipients and delay_s is not None:
            self._crashes_timer = asyncio.get_running_loop().call_later(
                max(delay_s, CRASH_BATCH_DELAY_S), self._send_crashes
            )

    def announce_limits(self) -> None:
        """Soon tell all known peers what responses here said about limits."""
        if self._limits_timer is None:
            earliest_s = self._limits_sent_s + LIMIT_ANNOUNCEMENT_INTERVAL_S
            self._limits_timer = asyncio.get_running_loop().call_later(
                max(0.0, earliest_s - boot_s()), self._send_limits
            )

    def _send_limits(self) -> None:
        self._limits_timer = None
        self._limits_sent_s = boot_s()
        data = encode_statements(
            self._peers.name,
            self._make_state().limit_statements,
            self._limits_sent_s,
        )
        for ip in self._peers.recipients(with_seeds=False):
            self._send("limits", data, ip)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a peer's datagram; send a heartbeat to new hosts it names."""
        try:
            changes = decode_changes(data)
            if changes is not None:
                self._traffic.count_received("changes", len(data))
                self._on_changes(changes)
                return
            crashes = decode_knowledge(data)
            if crashes is not None:
                self._traffic.count_received("crashes", len(data))
                self._on_crashes(*crashes)
                return
            limits = decode_statements(data, boot_s())
            if limits is not None:
                self._traffic.count_received("limits", len(data))
                self._on_limits(*limits)
                return
            state, passed_on_ips = self._peers.decode(data, addr[0])
        except (
            ValueError,
            TypeError,
            LookupError,
            AttributeError,
        ) as error:
            logger.info("Datagram from {} can't be decoded: {}", addr[0], error)
            return
        self._traffic.count_received(HEARTBEAT, len(data))
        if not self._peers.record_state(state):
            return
        self._on_state(state)
        known = self._peers.recipients(with_seeds=False)
        for ip in (
            set(passed_on_ips) - known - self._contacted_ips - {self._peers.ip}
        ):
            self._contacted_ips.add(ip)
            self._greet(ip)

    def _greet(self, ip: str) -> None:
        """Send a heartbeat to a host that may not know of this one."""
        state = self._make_state()
        # Crashes come with later heartbeats, which go to all peers.
        knowledge = CrashKnowledge(holds=state.crash_knowledge.holds)
        state = attrs.evolve(state, crash_knowledge=knowledge)
        self._send(HEARTBEAT, self._peers.encode(state), ip)

    def error_received(self, exc: Exception) -> None:
        """Log that a host refused a datagram; its process may be down."""
        logger.debug("Datagram not delivered: {}", exc)

    def _send(self, message_type: str, data: bytes, ip: str) -> None:
        if self._transport is not None:
            self._traffic.count_sent(message_type, len(data))
            self._transport.sendto(data, (ip, self._port))

    async def _send_heartbeat(self) -> None:
        now_s = boot_s()
        contact_seeds = now_s - self._seeds_contacted_s > SEED_INTERVAL_S
        if contact_seeds:
            self._seeds_contacted_s = now_s
            self._contacted_ips.clear()
        self.send_now(with_seeds=contact_seeds)
        self._peers.expire_peers()
        self._peers.update_agreed_time()
        self._traffic.report_if_due(now_s)
