"""Check what hosts know of each other from heartbeats."""

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.metrics import Metrics
from shallotfold._gateway.deciding.events import RequestLoad
from shallotfold._gateway.peers import peers as peers_module
from shallotfold._gateway.peers.peer_traffic import PeerTraffic
from shallotfold._gateway.peers.peers import LocalState
from shallotfold._gateway.peers.peers import PeerLink
from shallotfold._gateway.peers.peers import Peers
from shallotfold._gateway.peers.peers import PeerState


def make_peers(number: int, seeds: tuple[str, ...] = ()) -> Peers:
    return Peers(f"h{number}", f"life-{number}", f"10.0.0.{number}", seeds)


def send_heartbeat(
    sender: Peers, receiver: Peers, local: LocalState
) -> PeerState:
    received, _ = receiver.decode(sender.encode(local), sender.ip)
    receiver.record_state(received)
    return received


def test_a_heartbeat_is_decoded_as_it_was_encoded() -> None:
    local = LocalState(
        configuration_version=7,
        upstreams_revision=12,
        fencing_token=3,
        may_hold_duties=True,
        loads_by_upstream={"a": RequestLoad(2, 900)},
        counts_by_window={200: {"north": 4}},
        ended_counts={"h9/1": {200: {"north": 2}}},
        leaving_started_ms_by_id={"a": 1000},
    )
    received = send_heartbeat(make_peers(1), make_peers(2), local)
    assert received.leaving_started_ms_by_id == {"a": 1000}
    assert (received.name, received.incarnation, received.ip) == (
        "h1",
        "life-1",
        "10.0.0.1",
    )
    assert (received.configuration_version, received.upstreams_revision) == (
        7,
        12,
    )
    assert (received.fencing_token, received.may_hold_duties) == (3, True)
    assert received.loads_by_upstream == {"a": RequestLoad(2, 900)}
    assert received.counts_by_window == {200: {"north": 4}}
    assert received.ended_counts == {"h9/1": {200: {"north": 2}}}


def test_a_host_ignores_its_own_heartbeat() -> None:
    """Guards against counting the host's own usage again, as a peer's.

    Usage reports were a tenth too high because of it.
    """
    peers = make_peers(1)
    state, _ = peers.decode(peers.encode(LocalState()), peers.ip)
    assert not peers.record_state(state)
    assert peers.state_by_name == {}
    peers.record_state(make_state("h2", "10.0.0.1"))
    assert "10.0.0.1" not in peers.recipients(with_seeds=True)


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x01", b"\x91\x09", b"\x90"])
def test_junk_is_rejected(data: bytes) -> None:
    with pytest.raises((ValueError, TypeError, LookupError)):
        make_peers(1).decode(data, "10.0.0.9")


def make_state(
    name: str,
    ip: str,
    *,
    wall_s: float = 0.0,
    agreed_s: float | None = None,
) -> PeerState:
    return PeerState(
        name=name,
        incarnation=name,
        ip=ip,
        received_s=boot_s(),
        clock_offset_s=wall_s - boot_s(),
        agreed_offset_s=None if agreed_s is None else agreed_s - boot_s(),
        configuration_version=1,
        upstreams_revision=1,
        fencing_token=0,
        may_hold_duties=True,
        loads_by_upstream={},
        counts_by_window={},
        counts_received_s=0.0,
        ended_counts={},
        prefixes_sent=(),
    )


def test_the_agreed_time_follows_the_majority_of_clocks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Clock steps on some hosts moved usage into other windows."""
    peers = make_peers(1)
    monkeypatch.setattr("time.time", lambda: 5000.0)
    for number, wall_s in enumerate((5000.1, 4999.9, 5006.0), start=2):
        peers.record_state(
            make_state(f"h{number}", f"10.0.0.{number}", wall_s=wall_s)
        )
    peers.update_agreed_time()
    assert peers.agreed_time_s() == pytest.approx(5000.05, abs=0.1)
    # A step of this host's clock changes nothing, before or after an update.
    monkeypatch.setattr("time.time", lambda: 9000.0)
    assert peers.agreed_time_s() == pytest.approx(5000.05, abs=0.1)
    peers.record_state(make_state("h5", "10.0.0.5", wall_s=5000.0))
    peers.update_agreed_time()
    assert peers.agreed_time_s() == pytest.approx(5000.05, abs=0.2)


def receive_clocks(
    peers: Peers, clocks_s: list[float], agreed_s: float | None = None
) -> None:
    for number, wall_s in enumerate(clocks_s, start=2):
        peers.record_state(
            make_state(
                f"h{number}",
                f"10.0.0.{number}",
                wall_s=wall_s,
                agreed_s=agreed_s,
            )
        )
    peers.update_agreed_time()


def test_the_agreed_time_is_kept_while_half_of_the_clocks_are_stepped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Clock steps put four of eight hosts 6 s ahead."""
    monkeypatch.setattr("time.time", lambda: 5000.0)
    peers = make_peers(1)
    receive_clocks(peers, [5000.0] * 7)
    receive_clocks(peers, [5000.0] * 3 + [5006.0] * 4)
    assert peers.agreed_time_s() == pytest.approx(5000.0, abs=0.2)
    # This host's own clock is stepped, too.
    monkeypatch.setattr("time.time", lambda: 5006.0)
    receive_clocks(peers, [5000.0] * 3 + [5006.0] * 4)
    assert peers.agreed_time_s() == pytest.approx(5000.0, abs=0.2)


def test_a_host_that_starts_among_stepped_clocks_adopts_the_agreed_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("time.time", lambda: 5006.0)
    peers = make_peers(1)
    receive_clocks(peers, [5000.0] * 3 + [5006.0] * 4, agreed_s=5000.0)
    assert peers.agreed_time_s() == pytest.approx(5000.0, abs=0.2)


def test_a_wrong_first_agreement_is_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("time.time", lambda: 5006.0)
    peers = make_peers(1)
    receive_clocks(peers, [5006.0])
    receive_clocks(peers, [5006.0] + [5000.0] * 6)
    assert peers.agreed_time_s() == pytest.approx(5000.0, abs=0.2)


def test_seeds_are_contacted_while_no_peer_is_known() -> None:
    peers = make_peers(1, ("10.0.0.1", "10.0.0.5"))
    assert peers.recipients(with_seeds=False) == {"10.0.0.5"}
    peers.record_state(make_state("h2", "10.0.0.2"))
    assert peers.recipients(with_seeds=False) == {"10.0.0.2"}
    assert peers.recipients(with_seeds=True) == {"10.0.0.2", "10.0.0.5"}


def test_silent_peers_are_not_alive_and_later_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    peers = make_peers(1)
    peers.record_state(make_state("h2", "10.0.0.2"))
    now_s = boot_s()
    assert len(peers.alive()) == 1
    monkeypatch.setattr(peers_module, "boot_s", lambda: now_s + 5)
    assert peers.alive() == []
    peers.expire_peers()
    assert len(peers.state_by_name) == 1
    monkeypatch.setattr(peers_module, "boot_s", lambda: now_s + 90)
    peers.expire_peers()
    assert peers.state_by_name == {}


class TestManyHosts:
    """The datagrams of all hosts arrive at the few that replicate counts."""

    def test_only_replicas_pass_on_counts_of_ended_hosts(self) -> None:
        """Sent by all hosts, they saturated the links of the replicas."""
        local = LocalState(
            counts_by_window={200: {"north": 1}},
            ended_counts={"h9/1": {200: {"north": 2}}},
        )
        receiver = make_peers(30)
        for number, is_replica in ((1, True), (40, False)):
            sender = Peers(f"h{number:02}", "life", f"10.0.0.{number}", ())
            for peer in range(10, 20):
                sender.record_state(make_state(f"h{peer}", f"10.0.0.{peer}"))
            received = send_heartbeat(sender, receiver, local)
            assert received.counts_by_window == {200: {"north": 1}}
            assert bool(received.ended_counts) == is_replica

    def test_counts_go_to_few_hosts(self) -> None:
        peers = make_peers(1)
        for number in range(10, 74):
            peers.record_state(make_state(f"h{number}", f"10.0.0.{number}"))
        assert len(peers.usage_replica_ips()) == peers_module.STANDBY_HOSTS

    def test_an_ended_incarnation_is_reported_for_a_while(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        peers = make_peers(1)
        peers.record_state(make_state("h2", "10.0.0.2"))
        assert peers.ended_origins() == set()
        now_s = boot_s()
        monkeypatch.setattr(peers_module, "boot_s", lambda: now_s + 4)
        assert peers.ended_origins() == {"h2/h2"}
        monkeypatch.setattr(peers_module, "boot_s", lambda: now_s + 30)
        assert peers.ended_origins() == set()


@pytest.mark.parametrize("acts_for_fleet", [True, False])
@pytest.mark.parametrize("hosts", [2, 67, 195, 300, 1000])
def test_peers_of_a_large_fleet_stay_alive(
    hosts: int, *, acts_for_fleet: bool
) -> None:
    """Two heartbeats in a row may be lost before a peer counts as silent."""
    peers = make_peers(0)
    peers.acts_for_fleet = acts_for_fleet
    for number in range(1, hosts):
        state = send_heartbeat(make_peers(number), make_peers(0), LocalState())
        peers.state_by_name[str(number)] = state
    longest_s = peers.heartbeat_interval_s() * 1.2
    at_peer = send_heartbeat(peers, make_peers(1), LocalState())
    assert at_peer.received_s + 2 * longest_s < at_peer.alive_until_s
    # The end of a host that others rely on shows within three seconds.
    if acts_for_fleet:
        assert at_peer.alive_until_s - at_peer.received_s <= 3.0


def test_hosts_of_a_large_fleet_send_each_other_few_bytes() -> None:
    """At 195 hosts most bytes between data centres were heartbeats."""
    peers = make_peers(0)
    for number in range(1, 195):
        state = send_heartbeat(make_peers(number), make_peers(0), LocalState())
        peers.state_by_name[str(number)] = state
    often_s = peers.heartbeat_interval_s()
    peers.acts_for_fleet = False
    assert peers.heartbeat_interval_s() >= 2 * often_s


def test_interval_of_a_peer_is_bounded() -> None:
    """A damaged one would keep a host that has ended alive for ever."""
    fields = msgpack.unpackb(
        make_peers(1).encode(LocalState()), strict_map_key=False
    )
    fields[16] = 1e9
    state, _ = make_peers(0).decode(msgpack.packb(fields), "10.0.0.1")
    assert state.alive_until_s - state.received_s < 15.0


def test_counts_are_complete_when_every_peer_sent_them_in_time() -> None:
    receiver, first, second = (make_peers(number) for number in range(3))
    local = LocalState(counts_by_window={1: {"north": 2}})
    send_heartbeat(first, receiver, local)
    assert receiver.counted_share_since(receiver.agreed_time_s() - 1.0) == 1.0
    assert receiver.counted_share_since(receiver.agreed_time_s() + 1.0) == 0.5
    without_counts, _ = receiver.decode(
        second.encode(local, with_counts=False), second.ip
    )
    receiver.record_state(without_counts)
    assert receiver.counted_share_since(receiver.agreed_time_s() - 1.0) == 2 / 3
    send_heartbeat(second, receiver, LocalState())
    assert receiver.counted_share_since(receiver.agreed_time_s() - 1.0) == 1.0


def test_a_peer_that_was_silent_for_long_is_not_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    receiver, ended = make_peers(0), make_peers(1)
    send_heartbeat(ended, receiver, LocalState())
    now_s = boot_s() + peers_module.PRESUMED_ENDED_AFTER_S + 1.0
    monkeypatch.setattr(peers_module, "boot_s", lambda: now_s)
    assert receiver.counted_share_since(receiver.agreed_time_s() - 1.0) == 1.0


def test_heartbeat_of_an_earlier_build_is_decoded() -> None:
    """During a release, hosts that don't announce leaving upstreams run too."""
    fields = msgpack.unpackb(
        make_peers(1).encode(LocalState()), strict_map_key=False
    )
    state, _ = make_peers(2).decode(msgpack.packb(fields[:14]), "10.0.0.1")
    assert state.leaving_started_ms_by_id == {}


# Others can't be part of a datagram.
SENDABLE_INTEGERS = strategies.integers(-(2**63), 2**64 - 1)


@hypothesis.given(
    field=strategies.integers(0, 17),
    value=strategies.one_of(
        strategies.none(),
        strategies.integers(-5, 5),
        strategies.text(max_size=3),
        strategies.lists(SENDABLE_INTEGERS, max_size=2),
    ),
)
def test_damaged_heartbeat_does_not_end_the_receiver(
    field: int, value: object
) -> None:
    """An exception that wasn't foreseen passed the receiver's handling."""
    fields = msgpack.unpackb(
        make_peers(1).encode(LocalState()), strict_map_key=False
    )
    fields[field] = value
    link = PeerLink(
        make_peers(0),
        1,
        LocalState,
        list,
        lambda state: None,
        lambda changes: None,
        lambda peer, knowledge: None,
        lambda peer, statements: None,
        PeerTraffic(Metrics()),
    )
    link.datagram_received(msgpack.packb(fields), ("10.0.0.9", 1))
