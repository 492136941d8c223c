"""Check how the list of upstreams survives outages of the store."""

from shallotfold._gateway.following.upstream_registry import (
    REREGISTRATION_GRACE_S,
)
from shallotfold._gateway.following.upstream_registry import UpstreamRegistry
from shallotfold._services.ports import StoredValue

NAMES = ("a", "b", "c", "d", "e")


def values(*names: str, revision: int = 5) -> dict[str, StoredValue]:
    return {name: StoredValue(name, b"{}", revision) for name in names}


def make_registry() -> UpstreamRegistry:
    registry = UpstreamRegistry()
    registry.apply_snapshot(values(*NAMES), 5, 0.0)
    return registry


def test_a_removal_without_an_outage_counts_at_once() -> None:
    registry = make_registry()
    registry.apply_changes({}, ["a"], 6, 10.0)
    assert set(registry.documents_by_id()) == set("bcde")


def test_registration_lapsed_after_an_outage_ends_after_the_grace_period() -> (
    None
):
    registry = make_registry()
    registry.record_failure(10.0)
    registry.record_response(12.0)
    registry.apply_changes({}, ["a"], 6, 12.1)
    assert "a" in registry.documents_by_id()
    assert not registry.remove_expired_suspects(
        12.0 + REREGISTRATION_GRACE_S - 0.01
    )
    assert registry.remove_expired_suspects(12.0 + REREGISTRATION_GRACE_S) == [
        "a"
    ]
    assert "a" not in registry.documents_by_id()


def test_an_upstream_that_returns_within_the_grace_stays() -> None:
    registry = make_registry()
    registry.record_failure(10.0)
    registry.record_response(12.0)
    registry.apply_changes({}, ["a"], 6, 12.1)
    registry.apply_changes(values("a", revision=7), [], 7, 13.0)
    assert not registry.remove_expired_suspects(30.0)
    assert "a" in registry.documents_by_id()


def test_no_suspect_is_removed_while_the_store_is_away() -> None:
    registry = make_registry()
    registry.record_failure(10.0)
    registry.apply_changes({}, ["a"], 6, 10.1)
    assert not registry.remove_expired_suspects(60.0)


def test_draining_state_is_applied_during_a_store_outage() -> None:
    registry = make_registry()
    registry.record_failure(10.0)
    draining = StoredValue("a", b'{"State":"draining"}', 8)
    registry.apply_changes({"a": draining}, [], 8, 10.5)
    assert registry.documents_by_id()["a"] == (b'{"State":"draining"}', 8)


def test_upstreams_that_lapse_together_are_suspected() -> None:
    """An outage of the store may be so short that no call fails."""
    registry = make_registry()
    registry.apply_changes({}, ["a", "b", "c"], 6, 10.0)
    assert set(registry.documents_by_id()) == set(NAMES)
    assert sorted(
        registry.remove_expired_suspects(10.0 + REREGISTRATION_GRACE_S)
    ) == ["a", "b", "c"]


def test_older_data_does_not_undo_newer_data() -> None:
    registry = make_registry()
    registry.apply_changes(values("a", revision=9), [], 9, 1.0)
    registry.apply_changes(values("a", revision=7), [], 9, 1.0)
    assert registry.documents_by_id()["a"][1] == 9
    registry.apply_changes({}, ["b"], 10, 1.0)
    registry.apply_snapshot(values(*NAMES, revision=5), 8, 1.0)
    assert "b" not in registry.documents_by_id()
