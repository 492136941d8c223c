"""Check that hosts agree on the evacuated data centres, in whatever order."""

from hypothesis import given
from hypothesis import strategies as st

from shallotfold._gateway.following.evacuations import Evacuations
from shallotfold._services.ports import StoreChanges
from shallotfold._services.ports import StoredValue
from shallotfold._services.revisions import make_revision
from tests.gateway.following.test_fleet_view import DIALECT
from tests.gateway.following.test_fleet_view import Host

SETS = st.frozensets(st.sampled_from(["a", "b", "c"]))


def evacuation(name: str, revision: int) -> StoredValue:
    return StoredValue(f"{DIALECT.evacuations_prefix}{name}", b"{}", revision)


@given(st.lists(st.tuples(SETS, st.integers(1, 9)), min_size=1), st.randoms())
def test_the_set_of_the_latest_revision_holds_in_any_order(
    reports: list[tuple[frozenset[str], int]], shuffler: object
) -> None:
    """Guards against an older heartbeat that ends or begins an evacuation."""
    by_revision = {revision: names for names, revision in reports}
    messages = [*by_revision.items(), *by_revision.items()]
    shuffler.shuffle(messages)  # type: ignore[attr-defined]
    evacuations = Evacuations()
    for revision, names in messages:
        evacuations.replace(names, revision)
    assert evacuations.data_centres == by_revision[max(by_revision)]


def test_a_restored_store_replaces_what_was_known() -> None:
    evacuations = Evacuations()
    evacuations.replace({"a"}, make_revision(0, 900))
    assert evacuations.replace(set(), make_revision(1, 20))
    assert not evacuations.replace({"a"}, make_revision(0, 901))
    assert evacuations.data_centres == frozenset()


class TestFleetView:
    def test_upstreams_there_get_nothing_new_until_it_is_taken_back(
        self,
    ) -> None:
        host = Host()
        host.register("e1")
        data_centre = host.gateway.dispatcher.upstreams_by_id["e1"].data_centre
        host.view.apply_operator_changes(
            StoreChanges(7, (evacuation(data_centre, 7),), ())
        )
        assert host.draining == {"e1"}
        assert host.adopted == 1, "peers must be told at once"
        host.register("e2", revision=8)
        assert host.draining == {"e1", "e2"}
        key = evacuation(data_centre, 9).key
        host.view.apply_operator_changes(StoreChanges(9, (), (key,)))
        assert host.draining == set()

    def test_a_snapshot_without_the_key_ends_the_evacuation(self) -> None:
        """The deletion may lie in history that the store no longer keeps."""
        host = Host()
        host.view.apply_operator_snapshot(
            StoreChanges(7, (evacuation("b", 7),), ())
        )
        host.view.apply_operator_snapshot(StoreChanges(12, (), ()))
        assert host.view.evacuations.data_centres == frozenset()

    def test_an_unknown_data_centre_hides_no_other_key(self) -> None:
        host = Host()
        host.view.apply_operator_snapshot(
            StoreChanges(7, (evacuation("moon", 7), evacuation("b", 7)), ())
        )
        assert host.view.evacuations.data_centres == {"moon", "b"}

    def test_evacuated_upstreams_don_t_count_as_leaving_after_a_restore(
        self,
    ) -> None:
        """They would have got nothing after the evacuation had ended."""
        host = Host()
        host.register("e1", revision=make_revision(0, 5))
        data_centre = host.gateway.dispatcher.upstreams_by_id["e1"].data_centre
        host.view.apply_operator_snapshot(
            StoreChanges(make_revision(0, 7), (evacuation(data_centre, 7),), ())
        )
        host.view.apply_operator_snapshot(
            StoreChanges(make_revision(1, 3), (), ())
        )
        assert host.draining == set()
