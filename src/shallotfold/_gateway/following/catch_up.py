"""Learn from peers what the store has not told this host."""

import asyncio
from collections.abc import Sequence
import random

from loguru import logger

from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.following.fleet_view import FleetView
from shallotfold._gateway.following.prefix_watcher import PrefixWatcher
from shallotfold._gateway.http.http_calls import CallFailedError
from shallotfold._gateway.http.http_calls import HttpCaller
from shallotfold._gateway.peers.peers import Peers
from shallotfold._gateway.peers.peers import PeerState

SNAPSHOT_PATH = "/peer/snapshot"
# What a peer knows and this host doesn't is asked of the store again after
# this time, and of the peer if the store still hasn't said it, or can't.
ASK_STORE_AFTER_S = 0.4
PEER_FETCH_AFTER_S = 1.0
PEER_FETCH_TIMEOUT_S = 1.0


class CatchUp:
    """Compares what peers say they know with what this host believes."""

    def __init__(
        self,
        view: FleetView,
        peers: Peers,
        followers: Sequence[PrefixWatcher],
        peer_port: int,
    ) -> None:
        """Make it.

        Args:
            view: What this host believes.
            peers: What its peers say.
            followers: Follow the store; asked first.
            peer_port: TCP port on which peers tell all they know.
        """
        self._view = view
        self._peers = peers
        self._followers = followers
        self._peer_port = peer_port
        self._behind_since_s: float | None = None
        self._asked_store = False
        self._fetching: asyncio.Task[None] | None = None

    async def close(self) -> None:
        """Stop a fetch that is under way."""
        if self._fetching is not None:
            self._fetching.cancel()
            await asyncio.gather(self._fetching, return_exceptions=True)

    def check(self) -> None:
        """Ask the store, and then a peer, for what this host lacks."""
        peer = self._best_informed()
        now_s = boot_s()
        if peer is None:
            self._behind_since_s = None
            self._asked_store = False
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        behind_s = now_s - self._behind_since_s
        if behind_s < ASK_STORE_AFTER_S:
            return
        if not self._asked_store:
            # An answer of the store may have been lost.
            self._asked_store = True
            for follower in self._followers:
                follower.restart_watch()
        reachable = all(follower.reachable for follower in self._followers)
        if behind_s < PEER_FETCH_AFTER_S and reachable:
            return
        if self._fetching is None or self._fetching.done():
            self._behind_since_s = now_s
            self._fetching = asyncio.create_task(self._fetch(peer))

    def _best_informed(self) -> PeerState | None:
        """Return a peer that knows what this host lacks.

        Any of them will do: if all hosts asked the same one, that would be
        too much for it.
        """
        alive = self._peers.alive()
        version = self._view.configuration_version
        knowing = [w for w in alive if w.configuration_version > version]
        if not knowing:
            revision = self._view.registry.revision
            knowing = [w for w in alive if w.upstreams_revision > revision]
        return random.choice(knowing) if knowing else None

    async def _fetch(self, peer: PeerState) -> None:
        caller = HttpCaller(peer.ip, self._peer_port)
        try:
            answer = await caller.call(
                "GET", SNAPSHOT_PATH, timeout_s=PEER_FETCH_TIMEOUT_S
            )
            self._view.apply_peer_snapshot(peer.name, answer.body)
        except (CallFailedError, ValueError, TypeError, LookupError) as error:
            logger.info("No snapshot of peer {}: {}", peer.name, error)
        finally:
            await caller.close()
