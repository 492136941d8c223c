from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import RequestClass
from shallotfold._model.differences import Change
from shallotfold._model.differences import diff_configurations


def test_changed_field_is_named_with_both_values() -> None:
    old = Configuration(
        classes_by_name={"chat": RequestClass(name="chat", tier=1)}
    )
    new = Configuration(
        classes_by_name={"chat": RequestClass(name="chat", tier=2)}
    )
    assert diff_configurations(old, new) == (
        Change(path="classes_by_name.chat.tier", before="1", after="2"),
    )


def test_added_item_has_no_old_value() -> None:
    new = Configuration(
        classes_by_name={"chat": RequestClass(name="chat", tier=2)}
    )
    changes = diff_configurations(Configuration(), new)
    assert all(not change.before for change in changes)
    assert "+ classes_by_name.chat.tier = 2" in map(str, changes)


def test_equal_configurations_have_no_changes() -> None:
    assert diff_configurations(Configuration(), Configuration()) == ()
