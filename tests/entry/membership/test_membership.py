import pytest

from shallotfold._entry import events
from shallotfold._entry.membership import membership
from shallotfold._entry.reducing import reducer
from shallotfold._entry.state import liveness_ages
from shallotfold._entry.state.neighbours import choose_neighbours
from shallotfold._wire.control_messages import Heartbeat
from tests.entry.fleet import Fleet
from tests.entry.fleet import make_fleet


def live(fleet: Fleet, host: str) -> tuple[str, ...]:
    return membership.live_entries(fleet.states[host])


def test_all_entries_see_each_other() -> None:
    fleet = make_fleet(9)
    for host in fleet.hosts:
        assert live(fleet, host) == tuple(fleet.hosts)


def test_killed_entry_is_dropped_at_once() -> None:
    fleet = make_fleet(3)
    fleet.kill("e2")
    assert live(fleet, "e0") == ("e0", "e1")


def test_silent_entry_is_dropped_within_two_seconds() -> None:
    fleet = make_fleet(3)
    fleet.paused = {"e2"}
    fleet.run(2.0)
    assert live(fleet, "e0") == ("e0", "e1")


def test_suspected_entry_is_live_again_without_a_restart() -> None:
    fleet = make_fleet(3)
    fleet.paused = {"e2"}
    fleet.run(2.0)
    fleet.resume("e2")
    fleet.run(1.0)
    assert live(fleet, "e0") == ("e0", "e1", "e2")


def test_paused_entry_does_not_drop_the_others_when_it_resumes() -> None:
    fleet = make_fleet(3)
    fleet.paused = {"e2"}
    fleet.run(3.0)
    fleet.resume("e2")
    fleet.run(0.1)
    assert live(fleet, "e2") == ("e0", "e1", "e2")


@pytest.mark.parametrize("direction", [("e0", "e2"), ("e2", "e0")])
def test_one_way_link_drops_both_ends(direction: tuple[str, str]) -> None:
    fleet = make_fleet(3)
    fleet.cut_links = {direction}
    fleet.run(3.5)
    assert live(fleet, "e0") == ("e0", "e1")
    assert live(fleet, "e2") == ("e1", "e2")
    assert live(fleet, "e1") == ("e0", "e1", "e2")


def test_leaving_entry_is_dropped_and_still_sees_itself() -> None:
    fleet = make_fleet(3)
    fleet.reduce("e2", events.ShutdownRequested(now_s=fleet.now_s))
    fleet.run(1.0)
    assert live(fleet, "e0") == ("e0", "e1")
    assert "e2" in live(fleet, "e2")


def test_entry_listed_as_leaving_is_dropped() -> None:
    fleet = make_fleet(3)
    fleet.list_hosts("e0", leaving=["e1"])
    assert live(fleet, "e0") == ("e0", "e2")


def test_restarted_entry_is_live_again_after_a_delay() -> None:
    """A crash loop must not move ownership back and forth."""
    fleet = make_fleet(3)
    fleet.kill("e2")
    fleet.run(0.2)
    fleet.start("e2")
    fleet.run(0.2)
    assert live(fleet, "e0") == ("e0", "e1")
    fleet.run(1.5)
    assert live(fleet, "e0") == ("e0", "e1", "e2")


def test_heartbeat_of_an_older_incarnation_is_ignored() -> None:
    fleet = make_fleet(2)
    peer = fleet.states["e0"].membership.peers_by_name["e1"]
    last_heartbeat_s = peer.last_heartbeat_s
    late = Heartbeat(
        incarnation=peer.incarnation - 1,
        config_version=99,
        store_confirmed_age_s=0.0,
        leaving=True,
    )
    reducer.reduce(
        fleet.states["e0"],
        events.PeerMessageReceived(
            now_s=fleet.now_s + 1, host="e1", message=late
        ),
    )
    assert peer.last_heartbeat_s == last_heartbeat_s
    assert peer.config_version == 1
    assert not peer.leaving


def test_liveness_ages_are_never_rounded_down() -> None:
    ages_s = [0.0, 0.3, 0.5, 3.2, 11.9, 12.0, 12.1, float("inf"), 1.0]
    decoded_s = list(
        liveness_ages.decode_ages(liveness_ages.encode_ages(ages_s))
    )[:9]
    assert all(b >= a for a, b in zip(ages_s, decoded_s, strict=True))
    assert decoded_s[:4] == [0.0, 0.5, 0.5, 4.0]
    assert decoded_s[6] == float("inf")


def test_neighbours_are_symmetric_and_connect_the_whole_fleet() -> None:
    names = [f"entry-{number}" for number in range(350)]
    chosen = {name: choose_neighbours(name, names) for name in names}
    assert max(map(len, chosen.values())) <= 6
    assert all(a in chosen[b] for a in names for b in chosen[a])
    reached = {names[0]}
    steps = 0
    while len(reached) < len(names):
        reached |= {b for a in reached for b in chosen[a]}
        steps += 1
    assert steps <= 6


def test_new_entry_changes_few_neighbours() -> None:
    names = [f"entry-{number}" for number in range(350)]
    more = [*names, "entry-new"]
    changed = sum(
        choose_neighbours(name, names) != choose_neighbours(name, more)
        for name in names
    )
    assert changed <= 6


def test_large_fleet_knows_entries_without_streams_to_them() -> None:
    fleet = make_fleet(40)
    fleet.run(4.0)
    assert len(fleet.states["e0"].membership.connected) <= 6
    assert len(live(fleet, "e0")) == 40
    fleet.kill("e7")
    fleet.run(9.0)
    assert all("e7" not in live(fleet, host) for host in fleet.states)


def test_only_the_majority_of_a_large_fleet_serves_in_an_outage() -> None:
    fleet = make_fleet(40)
    fleet.run(4.0)
    fleet.hosts_without_store = set(fleet.hosts)
    rack = fleet.hosts[:8]
    fleet.partition(rack, fleet.hosts[8:])
    fleet.run(9.0)
    assert all(fleet.request(h, h) == "NOT_READY" for h in rack)
    assert all(fleet.request(h, h) == "open" for h in fleet.hosts[8:])
