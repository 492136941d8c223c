"""Check what hosts believe of each other."""

import pytest

from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.deciding.events import PeerLoad
from shallotfold._gateway.peers import peers as peers_module
from shallotfold._gateway.peers.peers import OwnWord
from shallotfold._gateway.peers.peers import Peers
from shallotfold._gateway.peers.peers import PeerWord


def make_peers(number: int, seeds: tuple[str, ...] = ()) -> Peers:
    return Peers(f"h{number}", f"life-{number}", f"10.0.0.{number}", seeds)


def tell(sender: Peers, listener: Peers, word: OwnWord) -> PeerWord:
    heard, _ = listener.decode(sender.encode(word), sender.ip)
    listener.hear(heard)
    return heard


def test_a_word_arrives_as_it_was_told() -> None:
    word = OwnWord(
        configuration=7,
        upstreams_at=12,
        duty=3,
        may_hold_duties=True,
        loads_by_upstream={"a": PeerLoad(2, 900)},
        counts_by_window={200: {"north": 4}},
        ended_counts={"h9/1": {200: {"north": 2}}},
    )
    heard = tell(make_peers(1), make_peers(2), word)
    assert (heard.name, heard.incarnation, heard.ip) == (
        "h1",
        "life-1",
        "10.0.0.1",
    )
    assert (heard.configuration, heard.upstreams_at) == (7, 12)
    assert (heard.duty, heard.may_hold_duties) == (3, True)
    assert heard.loads_by_upstream == {"a": PeerLoad(2, 900)}
    assert heard.counts_by_window == {200: {"north": 4}}
    assert heard.ended_counts == {"h9/1": {200: {"north": 2}}}


def test_a_host_doesn_t_count_its_own_word() -> None:
    """Found by usage that was a tenth too high: own counts came back."""
    own = make_peers(1)
    word, _ = own.decode(own.encode(OwnWord()), own.ip)
    assert not own.hear(word)
    assert own.word_by_name == {}
    own.hear(make_word("h2", "10.0.0.1"))
    assert "10.0.0.1" not in own.addresses(with_seeds=True)


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x01", b"\x91\x09", b"\x90"])
def test_junk_is_refused(data: bytes) -> None:
    with pytest.raises((ValueError, TypeError, LookupError)):
        make_peers(1).decode(data, "10.0.0.9")


def make_word(
    name: str,
    ip: str,
    *,
    wall_s: float = 0.0,
    agreed_s: float | None = None,
) -> PeerWord:
    return PeerWord(
        name=name,
        incarnation=name,
        ip=ip,
        heard_s=boot_s(),
        clock_offset_s=wall_s - boot_s(),
        agreed_offset_s=None if agreed_s is None else agreed_s - boot_s(),
        configuration=1,
        upstreams_at=1,
        duty=0,
        may_hold_duties=True,
        loads_by_upstream={},
        counts_by_window={},
        counts_heard_s=0.0,
        ended_counts={},
        prefixes_sent=(),
    )


def test_true_time_is_what_most_clocks_say(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found by a day of clock steps: usage fell into other windows."""
    own = make_peers(1)
    monkeypatch.setattr("time.time", lambda: 5000.0)
    for number, wall_s in enumerate((5000.1, 4999.9, 5006.0), start=2):
        own.hear(make_word(f"h{number}", f"10.0.0.{number}", wall_s=wall_s))
    own.agree_on_time()
    assert own.true_s() == pytest.approx(5000.05, abs=0.1)
    # This host's own clock jumps: nothing changes, before and after a word.
    monkeypatch.setattr("time.time", lambda: 9000.0)
    assert own.true_s() == pytest.approx(5000.05, abs=0.1)
    own.hear(make_word("h5", "10.0.0.5", wall_s=5000.0))
    own.agree_on_time()
    assert own.true_s() == pytest.approx(5000.05, abs=0.2)


def hear_clocks(
    own: Peers, walls_s: list[float], agreed_s: float | None = None
) -> None:
    for number, wall_s in enumerate(walls_s, start=2):
        own.hear(
            make_word(
                f"h{number}",
                f"10.0.0.{number}",
                wall_s=wall_s,
                agreed_s=agreed_s,
            )
        )
    own.agree_on_time()


def test_true_time_is_kept_while_half_of_the_clocks_are_stepped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found by a day of clock steps: four of eight hosts were 6 s ahead."""
    monkeypatch.setattr("time.time", lambda: 5000.0)
    own = make_peers(1)
    hear_clocks(own, [5000.0] * 7)
    hear_clocks(own, [5000.0] * 3 + [5006.0] * 4)
    assert own.true_s() == pytest.approx(5000.0, abs=0.2)
    # Its own one, too.
    monkeypatch.setattr("time.time", lambda: 5006.0)
    hear_clocks(own, [5000.0] * 3 + [5006.0] * 4)
    assert own.true_s() == pytest.approx(5000.0, abs=0.2)


def test_a_host_that_starts_among_stepped_clocks_asks_what_was_agreed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("time.time", lambda: 5006.0)
    own = make_peers(1)
    hear_clocks(own, [5000.0] * 3 + [5006.0] * 4, agreed_s=5000.0)
    assert own.true_s() == pytest.approx(5000.0, abs=0.2)


def test_a_wrong_first_agreement_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("time.time", lambda: 5006.0)
    own = make_peers(1)
    hear_clocks(own, [5006.0])
    hear_clocks(own, [5006.0] + [5000.0] * 6)
    assert own.true_s() == pytest.approx(5000.0, abs=0.2)


def test_seeds_are_asked_while_nobody_is_known() -> None:
    own = make_peers(1, ("10.0.0.1", "10.0.0.5"))
    assert own.addresses(with_seeds=False) == {"10.0.0.5"}
    own.hear(make_word("h2", "10.0.0.2"))
    assert own.addresses(with_seeds=False) == {"10.0.0.2"}
    assert own.addresses(with_seeds=True) == {"10.0.0.2", "10.0.0.5"}


def test_silent_peers_are_not_alive_and_later_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    own = make_peers(1)
    own.hear(make_word("h2", "10.0.0.2"))
    now_s = boot_s()
    assert len(own.alive()) == 1
    monkeypatch.setattr(peers_module, "boot_s", lambda: now_s + 5)
    assert own.alive() == []
    own.forget_and_report()
    assert len(own.word_by_name) == 1
    monkeypatch.setattr(peers_module, "boot_s", lambda: now_s + 90)
    own.forget_and_report()
    assert own.word_by_name == {}


class TestManyHosts:
    """Datagrams of all hosts meet at the few that keep the counts."""

    def test_only_keepers_pass_on_counts_of_ended_hosts(self) -> None:
        """Found on the grown site: they filled the keepers' links."""
        word = OwnWord(
            counts_by_window={200: {"north": 1}},
            ended_counts={"h9/1": {200: {"north": 2}}},
        )
        listener = make_peers(30)
        for number, keeps in ((1, True), (40, False)):
            sender = Peers(f"h{number:02}", "life", f"10.0.0.{number}", ())
            for peer in range(10, 20):
                sender.hear(make_word(f"h{peer}", f"10.0.0.{peer}"))
            heard = tell(sender, listener, word)
            assert heard.counts_by_window == {200: {"north": 1}}
            assert bool(heard.ended_counts) == keeps

    def test_counts_go_to_few_hosts(self) -> None:
        own = make_peers(1)
        for number in range(10, 74):
            own.hear(make_word(f"h{number}", f"10.0.0.{number}"))
        assert len(own.count_keepers()) == peers_module.DEPUTIES

    def test_an_ended_life_is_told_for_a_while(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        own = make_peers(1)
        own.hear(make_word("h2", "10.0.0.2"))
        assert own.ended_origins() == set()
        now_s = boot_s()
        monkeypatch.setattr(peers_module, "boot_s", lambda: now_s + 4)
        assert own.ended_origins() == {"h2/h2"}
        monkeypatch.setattr(peers_module, "boot_s", lambda: now_s + 30)
        assert own.ended_origins() == set()


@pytest.mark.parametrize("hosts", [2, 67, 300, 1000])
def test_peers_of_a_large_fleet_are_heard_while_they_live(hosts: int) -> None:
    """Two words in a row may be lost before a host takes a peer for silent."""
    peers = make_peers(0)
    for number in range(1, hosts):
        word = tell(make_peers(number), make_peers(0), OwnWord())
        peers.word_by_name[str(number)] = word
    longest_s = peers.interval_s() * 1.2
    assert 2 * longest_s < peers_module.ALIVE_S


def test_counts_are_complete_when_every_peer_told_them_in_time() -> None:
    listener, near, far = (make_peers(number) for number in range(3))
    counted = OwnWord(counts_by_window={1: {"north": 2}})
    tell(near, listener, counted)
    assert listener.counted_share_since(listener.true_s() - 1.0) == 1.0
    assert listener.counted_share_since(listener.true_s() + 1.0) == 0.5
    brief, _ = listener.decode(far.encode(counted, with_counts=False), far.ip)
    listener.hear(brief)
    assert listener.counted_share_since(listener.true_s() - 1.0) == 2 / 3
    tell(far, listener, OwnWord())
    assert listener.counted_share_since(listener.true_s() - 1.0) == 1.0


def test_a_peer_that_was_silent_for_long_is_not_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    listener, gone = make_peers(0), make_peers(1)
    tell(gone, listener, OwnWord())
    now_s = boot_s() + peers_module.MAY_RUN_S + 1.0
    monkeypatch.setattr(peers_module, "boot_s", lambda: now_s)
    assert listener.counted_share_since(listener.true_s() - 1.0) == 1.0
