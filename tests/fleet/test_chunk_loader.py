import pytest

from shallotfold._errors import InvalidInputError
from shallotfold._errors import StoredValueError
from shallotfold._fleet.chunk_loader import ChunkLoader
from shallotfold._fleet.chunk_loader import pack_chunks
from shallotfold._fleet.chunk_loader import unpack_chunks
from shallotfold._fleet.chunking import split_document
from shallotfold._model.serialization import dump_configuration
from shallotfold._model.serialization import load_workspaces
from tests.fleet.test_configuration_store import make_large_configuration

CONFIGURATION = make_large_configuration(300)
DOCUMENT = dump_configuration(CONFIGURATION)


def test_packed_chunks_load_as_the_same_configuration() -> None:
    chunks = split_document(DOCUMENT)
    packed = pack_chunks(chunks)
    assert unpack_chunks(packed) == chunks
    loaded = ChunkLoader().load(unpack_chunks(packed))
    assert dump_configuration(loaded) == DOCUMENT


def test_canonical_document_is_one_chunk() -> None:
    assert ChunkLoader().load(unpack_chunks(DOCUMENT)) == CONFIGURATION


def test_only_changed_chunks_are_parsed_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    parsed: list[bytes] = []

    def load_and_record(chunk: bytes) -> object:
        parsed.append(chunk)
        return load_workspaces(chunk)

    monkeypatch.setattr(
        "shallotfold._fleet.chunk_loader.load_workspaces", load_and_record
    )
    loader = ChunkLoader()
    loader.load(split_document(DOCUMENT))
    count_before = len(parsed)
    changed = DOCUMENT.replace(b"workspace-00042", b"workspace-x0042")
    loaded = loader.load(split_document(changed))
    assert "workspace-x0042" in loaded.workspaces_by_name
    assert "workspace-00042" not in loaded.workspaces_by_name
    assert len(loaded.workspaces_by_name) == 300
    assert 1 <= len(parsed) - count_before <= 2


def test_malformed_chunks_are_refused() -> None:
    first = split_document(DOCUMENT)[0]
    for chunk in (b"{", b'{"north": {"colour": 1}}', b"[1]", b"7"):
        with pytest.raises(StoredValueError):
            ChunkLoader().load([first, chunk])
    with pytest.raises(InvalidInputError):
        ChunkLoader().load([b"{"])
