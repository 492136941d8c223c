import pytest

from shallotfold import InvalidInputError
from shallotfold._model import serialization
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import RequestClass


def test_configuration_is_unchanged_by_dump_and_load() -> None:
    configuration = Configuration(
        classes_by_name={"chat": RequestClass(name="chat", tier=1)}
    )
    document = serialization.dump_configuration(configuration)
    assert serialization.load_configuration(document) == configuration


def test_unknown_field_is_named() -> None:
    with pytest.raises(InvalidInputError, match="colour"):
        serialization.load_configuration(b'{"colour": 1}')


@pytest.mark.parametrize(
    "document", [b"{", b"[]", b"7", b"null", b"\xff", b"[" * 100_000]
)
def test_malformed_document_is_a_usage_error(document: bytes) -> None:
    """A list or a nested document raised errors that nothing handled."""
    with pytest.raises(InvalidInputError, match="JSON object"):
        serialization.load_configuration(document)


@pytest.mark.parametrize("document", [b"[]", b"[" * 100_000])
def test_malformed_workspaces_are_a_value_error(document: bytes) -> None:
    with pytest.raises(ValueError, match=r"object|nested"):
        serialization.load_workspaces(document)
