"""Decide which hosts watch the store for the fleet.

Each change costs one call for each host that watches. In a large fleet a few
hosts watch and pass changes on to the others. Every host decides for itself by
the peers that it knows to be alive, so that no agreement is needed: while views
differ, a few hosts more or less watch.
"""

from collections.abc import Sequence
import hashlib

import attrs

from shallotfold._gateway.peers.peers import PeerState
from shallotfold._gateway.peers.peers import StoreAccess

# In a fleet of up to this size all hosts watch: that costs little, and a change
# must be in force sooner there than a peer's silence shows.
SMALL_FLEET = 12
# Enough that some remain when many hosts end at the same moment.
FOLLOWERS = 7
# A host that watches stops only when this many hosts before it do. With one
# limit for both it would open a watch each time one of them restarts.
MAX_FOLLOWERS = 9
# While the store fails for all, no more hosts than this try to reach it.
MAX_TRYING = 12


@attrs.frozen(kw_only=True)
class WatchTurn:
    """Place of a host among those that watch the store.

    Attributes:
        position: Number of these hosts before it.
        count: Number of these hosts, itself included.
    """

    position: int = 0
    count: int = 1


class StoreFollowers:
    """Decides whether this host watches the store.

    Attributes:
        turn: This host's place among those that watch, if it does.
    """

    def __init__(self, host: str) -> None:
        self._order_key = _order_key(host)
        self._is_follower = True
        self.turn = WatchTurn()

    @property
    def is_follower(self) -> bool:
        """Whether this host watches the store."""
        return self._is_follower

    def update(self, alive: Sequence[PeerState]) -> bool:
        """Decide anew; return whether this host watches the store.

        Hosts are ordered by a hash of their names, which spreads those that
        watch over the data centres. A host whose calls to the store fail
        doesn't count, so that a host that still reaches the store takes over.

        Args:
            alive: Peers that are alive.
        """
        ahead = [
            peer.store_access
            for peer in alive
            if _order_key(peer.name) < self._order_key
        ]
        working = sum(access is not StoreAccess.FAILING for access in ahead)
        limit = MAX_FOLLOWERS if self._is_follower else FOLLOWERS
        is_small = len(alive) < SMALL_FLEET
        self._is_follower = is_small or (
            working < limit and len(ahead) < MAX_TRYING
        )
        if is_small:
            count = 1 + sum(
                peer.store_access is not StoreAccess.FAILING for peer in alive
            )
        else:
            count = FOLLOWERS
        self.turn = WatchTurn(position=working % count, count=count)
        return self._is_follower


def _order_key(host: str) -> bytes:
    return hashlib.blake2b(host.encode(), digest_size=8).digest()
