"""Exchange small datagrams with all other hosts.

Each host tells the others, again and again, what only it knows: its address,
its clock, its loads, its counts, and which configuration it has. A lost
datagram is made good by the next one.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
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
from shallotfold._gateway.core.repeating import Repeater
from shallotfold._gateway.deciding.events import PeerLoad

PROTOCOL_VERSION = 5
SHORTEST_INTERVAL_S = 0.4
# Datagrams of all hosts grow with the square of their number; each host
# sends less often the more there are.
INTERVAL_S_PER_HOST = 0.0125
# Two words in a row may be lost before a peer counts as silent.
LONGEST_INTERVAL_S = 1.0
# A peer that was silent for this long doesn't count as alive.
ALIVE_S = 2.5
# Clocks within this time of each other agree: more than the way of a word.
CLOCKS_AGREE_S = 0.5
# As long as this share of the clocks still agrees with the time known so far,
# the others have been stepped, even if they are more.
KEEPING_SHARE = 1 / 3
# A peer that was silent for longer has ended, or its counts come too late.
MAY_RUN_S = 20.0
# A peer that was silent for this long is forgotten: it won't come back.
FORGOTTEN_S = 60.0
# Seeds are asked this often, also when peers are known: partitions heal.
SEED_INTERVAL_S = 2.0
# Counts of runs go to the holder of the duties and to this many hosts that
# would follow it.
DEPUTIES = 4
# Counts of an incarnation that has ended are passed on among these hosts for
# this long: until its last window has been frozen.
ENDED_TOLD_S = 8.0
# Addresses of other peers that one datagram passes on.
ADDRESSES_PER_DATAGRAM = 6


@attrs.define(kw_only=True)
class PeerWord:
    """The newest word of a peer.

    Attributes:
        name: Name of its host.
        incarnation: One life of its process.
        ip: Its address.
        heard_s: When it was heard, on the boot clock.
        clock_offset_s: Its time of day less this host's boot clock.
        agreed_offset_s: The same of the time that it takes for true; `None`:
            it has not agreed on one yet.
        configuration: Version of its configuration; 0: none.
        upstreams_at: Store revision of the last change of upstreams it knows.
        duty: Fencing number if it holds the duties; 0: it doesn't.
        may_hold_duties: Whether it serves and the store answers it.
        loads_by_upstream: What it has under way.
        counts_by_window: What it counted.
        counts_heard_s: When it last told its counts, on the boot clock.
        ended_counts: What it heard from incarnations that have ended, by
            origin and window.
        prefixes_sent: Shared parts of prompts that it sent since its last
            word, each with the upstream that reads it.
    """

    name: str
    incarnation: str
    ip: str
    heard_s: float
    clock_offset_s: float
    agreed_offset_s: float | None
    configuration: int
    upstreams_at: int
    duty: int
    may_hold_duties: bool
    loads_by_upstream: Mapping[str, PeerLoad]
    counts_by_window: Mapping[int, dict[str, int]]
    counts_heard_s: float
    ended_counts: Mapping[str, Mapping[int, dict[str, int]]]
    prefixes_sent: Sequence[tuple[str, str]]

    @property
    def origin(self) -> str:
        """Name of this life of the host's process."""
        return f"{self.name}/{self.incarnation}"


@attrs.define(kw_only=True)
class OwnWord:
    """What this host tells its peers; fields as in `PeerWord`."""

    configuration: int = 0
    upstreams_at: int = 0
    duty: int = 0
    may_hold_duties: bool = False
    loads_by_upstream: Mapping[str, PeerLoad] = attrs.field(factory=dict)
    counts_by_window: Mapping[int, dict[str, int]] = attrs.field(factory=dict)
    ended_counts: Mapping[str, Mapping[int, dict[str, int]]] = attrs.field(
        factory=dict
    )
    prefixes_sent: Sequence[tuple[str, str]] = ()


def interval_s(hosts: int) -> float:
    """Return the time between two words of a host in a fleet of `hosts`."""
    wanted_s = hosts * INTERVAL_S_PER_HOST
    return min(LONGEST_INTERVAL_S, max(SHORTEST_INTERVAL_S, wanted_s))


def _near(offsets_s: Sequence[float], offset_s: float) -> list[float]:
    return [o for o in offsets_s if abs(o - offset_s) <= CLOCKS_AGREE_S]


class Peers:
    """The other hosts, as far as they were heard.

    Attributes:
        ip: Address of this host.
        seed_ips: Hosts to ask when nobody is known, maybe stale.
        word_by_name: Newest word of each host.
    """

    def __init__(
        self, name: str, incarnation: str, ip: str, seed_ips: tuple[str, ...]
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self.ip = ip
        self.seed_ips = seed_ips
        self.word_by_name: dict[str, PeerWord] = {}
        self._heard_s_by_origin: dict[str, float] = {}
        self._alive: frozenset[str] = frozenset()
        self._clock_offset_s = time.time() - boot_s()
        self._has_agreed = False

    @property
    def origin(self) -> str:
        """Name of this life of this host's process."""
        return f"{self._name}/{self._incarnation}"

    def alive(self) -> list[PeerWord]:
        """Return the peers that were heard a short time ago."""
        oldest_s = boot_s() - ALIVE_S
        return [w for w in self.word_by_name.values() if w.heard_s > oldest_s]

    def ended_origins(self) -> set[str]:
        """Return incarnations that fell silent or restarted lately."""
        now_s = boot_s()
        alive = {word.origin for word in self.alive()}
        return {
            origin
            for origin, heard_s in self._heard_s_by_origin.items()
            if origin not in alive and now_s - heard_s < ENDED_TOLD_S
        }

    def true_s(self) -> float:
        """Return the time of day that most hosts' clocks agree on.

        It goes by the boot clock between two words, so that a jump of this
        host's own time of day changes nothing.
        """
        return boot_s() + self._clock_offset_s

    def counted_share_since(self, true_s: float) -> float:
        """Return the share of hosts that told their counts after a true time.

        Of all hosts that may run, this one included. A peer that fell silent
        lately may have ended, or may be cut off and serve on.
        """
        since_s = true_s - self._clock_offset_s
        oldest_s = boot_s() - MAY_RUN_S
        running = [
            word
            for word in self.word_by_name.values()
            if word.heard_s >= oldest_s
        ]
        counted = sum(word.counts_heard_s >= since_s for word in running)
        return (1 + counted) / (1 + len(running))

    def agree_on_time(self) -> None:
        """Take as true what most clocks say, or still say.

        A host that has just started goes by what its peers agreed on before.
        Later the time known so far is kept while a fair share of the clocks
        agrees with it: clocks that were stepped may be the majority.
        """
        words = self.alive()
        agreed_s = [
            word.agreed_offset_s
            for word in words
            if word.agreed_offset_s is not None
        ]
        if not self._has_agreed and agreed_s:
            self._clock_offset_s = statistics.median_low(agreed_s)
            self._has_agreed = True
        offsets_s = [
            time.time() - boot_s(),
            *(word.clock_offset_s for word in words),
        ]
        near_s = _near(offsets_s, self._clock_offset_s)
        if not self._has_agreed or len(near_s) < KEEPING_SHARE * len(offsets_s):
            near_s = max((_near(offsets_s, o) for o in offsets_s), key=len)
        self._clock_offset_s = statistics.median(near_s)
        self._has_agreed = self._has_agreed or len(words) > 0

    def interval_s(self) -> float:
        """Return the time between two words of this host."""
        return interval_s(len(self.word_by_name) + 1)

    def count_keepers(self) -> set[str]:
        """Return the addresses of the hosts that must know all counts."""
        alive = sorted(self.alive(), key=lambda word: word.name)
        holders = [word for word in alive if word.duty]
        able = [word for word in alive if word.may_hold_duties]
        return {word.ip for word in (*holders, *able[:DEPUTIES])}

    def keeps_counts(self, word: OwnWord) -> bool:
        """Whether this host is one of those that must know all counts."""
        able = [w.name for w in self.alive() if w.may_hold_duties]
        ahead = sum(name < self._name for name in able)
        return bool(word.duty) or ahead < DEPUTIES

    def encode(self, word: OwnWord, *, with_counts: bool = True) -> bytes:
        """Write this host's word."""
        known = list(self.word_by_name.values())
        passed_on = random.sample(
            known, min(len(known), ADDRESSES_PER_DATAGRAM)
        )
        loads = {
            upstream: (load.requests, load.pending_tokens)
            for upstream, load in word.loads_by_upstream.items()
        }
        return cast(
            bytes,
            msgpack.packb(
                (
                    PROTOCOL_VERSION,
                    self._name,
                    self._incarnation,
                    time.time(),
                    self.true_s() if self._has_agreed else None,
                    word.configuration,
                    word.upstreams_at,
                    word.duty,
                    word.may_hold_duties,
                    loads,
                    word.counts_by_window if with_counts else None,
                    word.ended_counts
                    if with_counts and self.keeps_counts(word)
                    else {},
                    [w.ip for w in passed_on],
                    word.prefixes_sent,
                )
            ),
        )

    def decode(self, data: bytes, ip: str) -> tuple[PeerWord, list[str]]:
        """Read a peer's word and the addresses that it passes on.

        Raises:
            ValueError: The datagram is no word of a peer.
        """
        fields: Any = msgpack.unpackb(data, strict_map_key=False)
        if not isinstance(fields, list) or fields[0] != PROTOCOL_VERSION:
            raise ValueError("unknown version of the peers' protocol")
        now_s = boot_s()
        word = PeerWord(
            name=fields[1],
            incarnation=fields[2],
            ip=ip,
            heard_s=now_s,
            clock_offset_s=fields[3] - now_s,
            agreed_offset_s=(None if fields[4] is None else fields[4] - now_s),
            configuration=fields[5],
            upstreams_at=fields[6],
            duty=fields[7],
            may_hold_duties=fields[8],
            loads_by_upstream={
                upstream: PeerLoad(*load)
                for upstream, load in fields[9].items()
            },
            counts_by_window=fields[10] or {},
            counts_heard_s=-math.inf if fields[10] is None else now_s,
            ended_counts=fields[11],
            prefixes_sent=[(key, upstream) for key, upstream in fields[13]],
        )
        return word, fields[12]

    def hear(self, word: PeerWord) -> bool:
        """Take a peer's word; returns whether it is another host's."""
        if word.name == self._name:
            return False
        before = self.word_by_name.get(word.name)
        if before is not None and before.incarnation == word.incarnation:
            word.counts_heard_s = max(
                word.counts_heard_s, before.counts_heard_s
            )
        self.word_by_name[word.name] = word
        self._heard_s_by_origin[word.origin] = word.heard_s
        return True

    def forget_and_report(self) -> None:
        """Forget hosts that are gone and log which are alive."""
        now_s = boot_s()
        for name, word in list(self.word_by_name.items()):
            if now_s - word.heard_s > FORGOTTEN_S:
                del self.word_by_name[name]
        for origin, heard_s in list(self._heard_s_by_origin.items()):
            if now_s - heard_s > FORGOTTEN_S:
                del self._heard_s_by_origin[origin]
        alive = frozenset(word.name for word in self.alive())
        for name in alive - self._alive:
            decision_log.record("peer_heard", peer=name, alive=len(alive))
        for name in self._alive - alive:
            decision_log.record("peer_silent", peer=name, alive=len(alive))
        self._alive = alive

    def addresses(self, *, with_seeds: bool) -> set[str]:
        """Return where to send the next word."""
        addresses = {word.ip for word in self.word_by_name.values()}
        if with_seeds or not addresses:
            addresses |= set(self.seed_ips)
        addresses.discard(self.ip)
        return addresses


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives the words over UDP."""

    def __init__(
        self,
        peers: Peers,
        port: int,
        make_word: Callable[[], OwnWord],
        take_prefixes: Callable[[], Sequence[tuple[str, str]]],
        on_word: Callable[[PeerWord], None],
    ) -> None:
        self._peers = peers
        self._port = port
        self._make_word = make_word
        self._take_prefixes = take_prefixes
        self._on_word = on_word
        self._transport: asyncio.DatagramTransport | None = None
        self._seeds_asked_s = 0.0
        self._sender = Repeater(
            "Telling peers",
            self._tell,
            lambda: peers.interval_s() * random.uniform(0.8, 1.2),
        )
        self._introduced: set[str] = set()

    async def start(self, ip: str) -> None:
        """Open the socket and begin to send."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, self._port)
        )
        self._transport = transport
        self.send_now(with_seeds=True)
        await self._sender.start()

    async def close(self) -> None:
        """Send a last word and close the socket."""
        await self._sender.close()
        if self._transport is not None:
            self.send_now()
            self._transport.close()
            self._transport = None

    def send_now(self, *, with_seeds: bool = False) -> None:
        """Send the present word to all known peers."""
        word = attrs.evolve(
            self._make_word(), prefixes_sent=self._take_prefixes()
        )
        full = self._peers.encode(word)
        brief = self._peers.encode(word, with_counts=False)
        keepers = self._peers.count_keepers()
        for ip in self._peers.addresses(with_seeds=with_seeds):
            self._send(full if ip in keepers else brief, ip)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a peer's word; greet hosts that it names."""
        try:
            word, named = self._peers.decode(data, addr[0])
        except (ValueError, TypeError, LookupError) as error:
            logger.info("Datagram of {} can't be read: {}", addr[0], error)
            return
        if not self._peers.hear(word):
            return
        self._on_word(word)
        known = self._peers.addresses(with_seeds=False)
        for ip in set(named) - known - self._introduced - {self._peers.ip}:
            self._introduced.add(ip)
            self._send(self._peers.encode(self._make_word()), ip)

    def error_received(self, exc: Exception) -> None:
        """Note that a host refuses datagrams; its process may be down."""
        logger.debug("Datagram not delivered: {}", exc)

    def _send(self, data: bytes, ip: str) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (ip, self._port))

    async def _tell(self) -> None:
        now_s = boot_s()
        ask_seeds = now_s - self._seeds_asked_s > SEED_INTERVAL_S
        if ask_seeds:
            self._seeds_asked_s = now_s
            self._introduced.clear()
        self.send_now(with_seeds=ask_seeds)
        self._peers.forget_and_report()
        self._peers.agree_on_time()
