"""Catch up with peers that have newer state than this host."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random

from loguru import logger

from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.following.fleet_view import FleetView
from shallotfold._gateway.following.prefix_watcher import PrefixWatcher
from shallotfold._gateway.http.http_client import CallFailedError
from shallotfold._gateway.http.http_client import HttpClient
from shallotfold._gateway.http.socket_reserve import SocketReserve
from shallotfold._gateway.peers.peers import Peers
from shallotfold._gateway.peers.peers import PeerState

SNAPSHOT_PATH = "/peer/snapshot"
# A host that is behind a peer first restarts its watches of the store. It
# fetches the peer's snapshot if it is still behind later, or if the store can't
# be reached.
RESTART_WATCHES_AFTER_S = 0.2
PEER_FETCH_AFTER_S = 1.0
# Hosts that don't watch the store fetch at different times, so that the later
# ones find more peers to fetch from.
MAX_FETCH_DELAY_S = 0.4
PEER_FETCH_TIMEOUT_S = 1.0
# A peer that has just lost power counts as alive, and nothing refuses a
# connection to it. If a fetch takes this long, another peer is asked as well.
NEXT_FETCH_AFTER_S = 0.25
MAX_PARALLEL_FETCHES = 4


class CatchUp:
    """Compares the versions in peers' heartbeats with this host's view."""

    def __init__(
        self,
        view: FleetView,
        peers: Peers,
        watchers: Sequence[PrefixWatcher],
        peer_port: int,
        is_follower: Callable[[], bool],
        reserve: SocketReserve | None = None,
    ) -> None:
        """Set up the catch-up of this host.

        Args:
            view: This host's view.
            peers: The peers and their latest states.
            watchers: Watches of the store; restarted first.
            peer_port: TCP port on which peers serve their snapshot.
            is_follower: Returns whether this host watches the store.
            reserve: Sockets for when no descriptor is free.
        """
        self._view = view
        self._peers = peers
        self._watchers = watchers
        self._peer_port = peer_port
        self._is_follower = is_follower
        self._reserve = reserve
        self._fetch_delay_s = 0.0
        self._behind_since_s: float | None = None
        self._watches_restarted = False
        self._fetch_started_s = 0.0
        self._fetch_task_by_peer: dict[str, asyncio.Task[None]] = {}
        # Peers asked since this host is behind whose fetch failed.
        self._failed_peers: set[str] = set()

    async def close(self) -> None:
        """Cancel the fetches that are in progress."""
        tasks = list(self._fetch_task_by_peer.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def check(self) -> None:
        """If this host is behind, query the store again and then a peer."""
        fresher = self._fresher_peers()
        now_s = boot_s()
        if not fresher:
            self._behind_since_s = None
            self._watches_restarted = False
            self._failed_peers.clear()
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s
            self._fetch_delay_s = random.uniform(0.0, MAX_FETCH_DELAY_S)
        behind_s = now_s - self._behind_since_s
        if behind_s < self._fetch_delay_s:
            return
        if self._is_follower() and behind_s < RESTART_WATCHES_AFTER_S:
            return
        if not self._watches_restarted:
            # The response of an open watch may have been lost.
            self._watches_restarted = True
            for watcher in self._watchers:
                watcher.restart_watch()
        reachable = all(watcher.reachable for watcher in self._watchers)
        if behind_s < PEER_FETCH_AFTER_S and reachable:
            return
        pending = self._fetch_task_by_peer
        if len(pending) >= MAX_PARALLEL_FETCHES or (
            pending and now_s - self._fetch_started_s < NEXT_FETCH_AFTER_S
        ):
            return
        peer = self._choose_peer(fresher)
        if peer is not None:
            self._fetch_started_s = now_s
            pending[peer.name] = asyncio.create_task(self._fetch_from(peer))

    def _choose_peer(self, fresher: Sequence[PeerState]) -> PeerState | None:
        """Return the peer to fetch from next; `None`: all are being asked.

        The first is chosen at random, because all hosts fetching from the same
        peer would overload it. If it doesn't respond, several peers may have
        ended together, and the one heard last is the likeliest to be alive.
        """
        idle = [p for p in fresher if p.name not in self._fetch_task_by_peer]
        untried = [p for p in idle if p.name not in self._failed_peers]
        if not untried:
            self._failed_peers.clear()
            untried = idle
        if not untried:
            return None
        if not self._fetch_task_by_peer and not self._failed_peers:
            return random.choice(untried)
        return max(untried, key=lambda peer: peer.received_s)

    def _fresher_peers(self) -> list[PeerState]:
        """Return the peers whose state is newer than this host's view."""
        alive = self._peers.alive()
        version = self._view.configuration_version
        fresher = [
            peer for peer in alive if peer.configuration_version > version
        ]
        if not fresher:
            revision = self._view.registry.revision
            fresher = [
                peer for peer in alive if peer.upstreams_revision > revision
            ]
        return fresher

    async def _fetch_from(self, peer: PeerState) -> None:
        try:
            await self._fetch(peer)
        finally:
            del self._fetch_task_by_peer[peer.name]
        if peer.name not in self._failed_peers:
            # If the snapshot didn't help, the next one is fetched later.
            self._behind_since_s = boot_s()

    async def _fetch(self, peer: PeerState) -> None:
        client = HttpClient(peer.ip, self._peer_port, self._reserve)
        try:
            response = await client.call(
                "GET", SNAPSHOT_PATH, timeout_s=PEER_FETCH_TIMEOUT_S
            )
            self._view.apply_peer_snapshot(peer.name, response.body)
        except (
            CallFailedError,
            ValueError,
            TypeError,
            LookupError,
            AttributeError,
        ) as error:
            self._failed_peers.add(peer.name)
            logger.info(
                "Fetching the snapshot of peer {} failed: {}", peer.name, error
            )
