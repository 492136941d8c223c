"""Check how many hosts of a large fleet watch the store, and which take over.

In a fleet of 195 hosts each change of an upstream cost 195 calls to the store.
"""

from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.following.store_followers import FOLLOWERS
from shallotfold._gateway.following.store_followers import MAX_TRYING
from shallotfold._gateway.following.store_followers import StoreFollowers
from shallotfold._gateway.peers.peers import PeerState
from shallotfold._gateway.peers.peers import StoreAccess


class Fleet:
    """Hosts that decide for themselves by the peers that are alive."""

    def __init__(self, size: int) -> None:
        self.followers_by_name = {
            f"frontend-{n % 6}-{n}": StoreFollowers(f"frontend-{n % 6}-{n}")
            for n in range(size)
        }
        self.dead: set[str] = set()
        self.without_store: set[str] = set()

    def watching(self) -> set[str]:
        """Let all hosts decide twice; return those that watch."""
        watching = set(self.followers_by_name) - self.dead
        for _ in range(3):
            watching = {
                name
                for name, followers in self.followers_by_name.items()
                if name not in self.dead
                and followers.update(self._alive(name, watching))
            }
        return watching

    def _alive(self, observer: str, watching: set[str]) -> list[PeerState]:
        return [
            make_state(name, self._access(name, watching))
            for name in self.followers_by_name
            if name not in self.dead and name != observer
        ]

    def _access(self, name: str, watching: set[str]) -> StoreAccess:
        if name not in watching:
            return StoreAccess.UNKNOWN
        if name in self.without_store:
            return StoreAccess.FAILING
        return StoreAccess.WORKING


def make_state(name: str, access: StoreAccess) -> PeerState:
    return PeerState(
        name=name,
        incarnation="life",
        ip="10.0.0.1",
        received_s=boot_s(),
        clock_offset_s=0.0,
        agreed_offset_s=None,
        configuration_version=1,
        upstreams_revision=1,
        fencing_token=0,
        may_hold_duties=False,
        loads_by_upstream={},
        counts_by_window={},
        counts_received_s=0.0,
        ended_counts={},
        prefixes_sent=(),
        store_access=access,
    )


def test_all_hosts_of_a_small_fleet_watch() -> None:
    assert len(Fleet(12).watching()) == 12


def test_few_hosts_of_a_large_fleet_watch() -> None:
    """They are in several data centres, which may be lost as a whole."""
    watching = Fleet(195).watching()
    assert 5 <= len(watching) <= 9
    assert len({name.split("-")[1] for name in watching}) >= 3


def test_others_take_over_from_hosts_that_end() -> None:
    fleet = Fleet(60)
    ended = fleet.watching()
    fleet.dead |= ended
    assert 5 <= len(fleet.watching()) <= 9
    # Those that return don't make the number grow for good.
    fleet.dead.clear()
    assert 5 <= len(fleet.watching()) <= 16


def test_others_take_over_from_hosts_that_the_store_refuses() -> None:
    fleet = Fleet(60)
    fleet.without_store = fleet.watching()
    working = fleet.watching() - fleet.without_store
    assert working


def test_a_store_that_is_down_is_not_tried_by_the_whole_fleet() -> None:
    fleet = Fleet(195)
    fleet.without_store = set(fleet.followers_by_name)
    assert len(fleet.watching()) <= MAX_TRYING


def test_a_host_that_knows_no_peer_watches() -> None:
    assert StoreFollowers("h1").update([])


def test_hosts_that_watch_have_different_turns() -> None:
    """Two hosts with one turn leave a gap in which none renews its watch."""
    fleet = Fleet(9)
    fleet.watching()
    turns = [f.turn for f in fleet.followers_by_name.values()]
    assert sorted(turn.position for turn in turns) == list(range(9))
    assert {turn.count for turn in turns} == {9}
    # The store refuses three of them: their turns go to the others.
    fleet.without_store = set(list(fleet.followers_by_name)[:3])
    fleet.watching()
    turns = [
        followers.turn
        for name, followers in fleet.followers_by_name.items()
        if name not in fleet.without_store
    ]
    assert sorted(turn.position for turn in turns) == list(range(6))
    assert {turn.count for turn in turns} == {6}


def test_turns_of_a_large_fleet_are_all_taken() -> None:
    fleet = Fleet(195)
    watching = fleet.watching()
    turns = [fleet.followers_by_name[name].turn for name in watching]
    assert {turn.position for turn in turns} == set(range(FOLLOWERS))
    assert {turn.count for turn in turns} == {FOLLOWERS}
