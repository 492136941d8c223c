"""Check the usage counts that hosts exchange."""

from shallotfold._gateway.duties.usage_counts import UsageCounts


def test_counts_of_all_hosts_are_added_once() -> None:
    counts = UsageCounts(window_s=5.0)
    counts.add("north", 12.0)
    counts.add("north", 14.9)
    counts.add("north", 15.0)
    counts.merge_peer_counts("h2/1", {2: {"north": 1}})
    counts.merge_peer_counts("h2/1", {2: {"north": 3, "south": 1}})
    assert counts.total(2) == {"north": 5, "south": 1}
    assert counts.total(3) == {"north": 1}


def test_counts_of_a_restarted_host_are_added_to_its_earlier_ones() -> None:
    counts = UsageCounts(window_s=5.0)
    counts.merge_peer_counts("h2/1", {2: {"north": 3}})
    counts.merge_peer_counts("h2/2", {2: {"north": 2}})
    assert counts.total(2) == {"north": 5}


def test_old_windows_are_forgotten() -> None:
    counts = UsageCounts(window_s=5.0)
    for window in range(50):
        counts.add("north", window * 5.0)
        counts.merge_peer_counts("h2/1", {window: {"north": 1}})
    assert counts.total(0) == {}
    assert counts.total(49) == {"north": 2}
    assert set(counts.local_counts(49)) == {46, 47, 48, 49}


def test_counts_of_ended_hosts_reach_a_host_that_started_later() -> None:
    """Counts must survive a rolling restart that includes the holder."""
    peer, newcomer = UsageCounts(window_s=5.0), UsageCounts(window_s=5.0)
    peer.merge_peer_counts("h2/1", {200: {"north": 3}})
    peer.merge_peer_counts("h3/1", {200: {"north": 4}})
    for origin, counts in peer.peer_counts({"h2/1"}, 201).items():
        newcomer.merge_peer_counts(origin, counts)
    newcomer.merge_peer_counts("h3/1", {200: {"north": 4}})
    assert newcomer.total(200) == {"north": 7}
    # An older report that arrives by another path reduces nothing.
    newcomer.merge_peer_counts("h2/1", {200: {"north": 1}})
    assert newcomer.total(200) == {"north": 7}
