"""Check whom hosts ask for what the store has not told them."""

from types import SimpleNamespace
from typing import cast

from shallotfold._gateway.following.catch_up import CatchUp
from shallotfold._gateway.following.fleet_view import FleetView
from shallotfold._gateway.peers.peers import LocalState
from shallotfold._gateway.peers.peers import Peers


def test_hosts_that_start_together_don_t_all_ask_the_same_peer() -> None:
    """Found at 300 hosts: one that knew most sent everybody everything."""
    asked = set()
    for host in range(40):
        peers = Peers(f"new{host}", "life", f"10.0.1.{host}", ())
        for number in range(30):
            peer = Peers(f"h{number}", "life", f"10.0.0.{number}", ())
            word = LocalState(
                configuration_version=3, upstreams_revision=100 + number
            )
            heard, _ = peers.decode(peer.encode(word), peer.ip)
            peers.record_state(heard)
        view = SimpleNamespace(
            configuration_version=0, registry=SimpleNamespace(revision=0)
        )
        catching = CatchUp(cast(FleetView, view), peers, (), 0)
        chosen = catching._best_informed()
        assert chosen is not None
        asked.add(chosen.name)
    assert len(asked) > 10
