"""Check which peer a host fetches from when it is behind."""

from types import SimpleNamespace
from typing import cast

from shallotfold._gateway.following.catch_up import CatchUp
from shallotfold._gateway.following.fleet_view import FleetView
from shallotfold._gateway.peers.peers import LocalState
from shallotfold._gateway.peers.peers import Peers


def test_hosts_that_start_together_don_t_all_ask_the_same_peer() -> None:
    """Guards against a host that sends its snapshot to the whole fleet.

    In a fleet of 300 hosts, all others fetched from the host with the newest
    state.
    """
    chosen_names = set()
    for host in range(40):
        peers = Peers(f"new{host}", "life", f"10.0.1.{host}", ())
        for number in range(30):
            peer = Peers(f"h{number}", "life", f"10.0.0.{number}", ())
            local = LocalState(
                configuration_version=3, upstreams_revision=100 + number
            )
            state, _ = peers.decode(peer.encode(local), peer.ip)
            peers.record_state(state)
        view = SimpleNamespace(
            configuration_version=0, registry=SimpleNamespace(revision=0)
        )
        catch_up = CatchUp(cast(FleetView, view), peers, (), 0, lambda: True)
        chosen = catch_up._choose_fresher_peer()
        assert chosen is not None
        chosen_names.add(chosen.name)
    assert len(chosen_names) > 10
