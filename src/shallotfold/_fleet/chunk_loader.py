"""Turn chunks into configurations, reading only what has changed."""

from collections.abc import Sequence

import attrs
import cattrs

from shallotfold._errors import StoredValueError
from shallotfold._fleet.manifest import CHUNK_PREFIX
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Workspace
from shallotfold._model.serialization import document_sha256
from shallotfold._model.serialization import load_configuration
from shallotfold._model.serialization import load_workspaces

# Canonical JSON holds no line break.
_SEPARATOR = b"\n"


def pack_chunks(chunks: Sequence[bytes]) -> bytes:
    """Join chunks to the document that entries pass to each other."""
    return _SEPARATOR.join(chunks)


def unpack_chunks(document: bytes) -> list[bytes]:
    """Return the chunks of a document; canonical JSON is a single one."""
    return document.split(_SEPARATOR)


class ChunkLoader:
    """Loads versions one after another.

    A change of one workspace at 8,700 must not keep the loop of an entry
    waiting for megabytes of JSON.
    """

    def __init__(self) -> None:
        self._workspaces_by_sha256: dict[str, dict[str, Workspace]] = {}

    def load(self, chunks: Sequence[bytes]) -> Configuration:
        """Return the configuration of chunks, the first without workspaces.

        Raises:
            InvalidInputError: The first chunk is no configuration.
            StoredValueError: Another chunk holds no workspaces.
        """
        configuration = load_configuration(chunks[0])
        if len(chunks) == 1:
            return configuration
        parts_by_sha256 = {
            sha256: self._load_part(sha256, chunk)
            for sha256, chunk in (
                (document_sha256(chunk), chunk) for chunk in chunks[1:]
            )
        }
        self._workspaces_by_sha256 = parts_by_sha256
        workspaces_by_name: dict[str, Workspace] = {}
        for part in parts_by_sha256.values():
            workspaces_by_name.update(part)
        return attrs.evolve(
            configuration, workspaces_by_name=workspaces_by_name
        )

    def _load_part(self, sha256: str, chunk: bytes) -> dict[str, Workspace]:
        known = self._workspaces_by_sha256.get(sha256)
        if known is not None:
            return known
        try:
            return load_workspaces(chunk)
        except (ValueError, cattrs.BaseValidationError) as error:
            raise StoredValueError(
                CHUNK_PREFIX + sha256, "malformed workspaces"
            ) from error
