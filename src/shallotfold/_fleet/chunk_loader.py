"""Load configurations from chunks, parsing only the chunks that changed."""

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

# Canonical JSON contains no line break.
_SEPARATOR = b"\n"


def pack_chunks(chunks: Sequence[bytes]) -> bytes:
    """Join chunks into the document that entries send to each other."""
    return _SEPARATOR.join(chunks)


def unpack_chunks(document: bytes) -> list[bytes]:
    """Return the chunks of a document; plain canonical JSON is one chunk."""
    return document.split(_SEPARATOR)


class ChunkLoader:
    """Load successive versions and cache the parsed workspaces by chunk.

    Without the cache, changing one of 8,700 workspaces would block the event
    loop of an entry while it parses megabytes of JSON.
    """

    def __init__(self) -> None:
        self._workspaces_by_sha256: dict[str, dict[str, Workspace]] = {}

    def load(self, chunks: Sequence[bytes]) -> Configuration:
        """Parse chunks, the first of which has no workspaces.

        Raises:
            InvalidInputError: The first chunk is not a configuration.
            StoredValueError: A later chunk does not contain workspaces.
        """
        configuration = load_configuration(chunks[0])
        if len(chunks) == 1:
            return configuration
        workspaces_by_sha256 = {
            sha256: self._load_chunk(sha256, chunk)
            for sha256, chunk in (
                (document_sha256(chunk), chunk) for chunk in chunks[1:]
            )
        }
        self._workspaces_by_sha256 = workspaces_by_sha256
        workspaces_by_name: dict[str, Workspace] = {}
        for workspaces in workspaces_by_sha256.values():
            workspaces_by_name.update(workspaces)
        return attrs.evolve(
            configuration, workspaces_by_name=workspaces_by_name
        )

    def _load_chunk(self, sha256: str, chunk: bytes) -> dict[str, Workspace]:
        cached = self._workspaces_by_sha256.get(sha256)
        if cached is not None:
            return cached
        try:
            return load_workspaces(chunk)
        except (ValueError, cattrs.BaseValidationError) as error:
            raise StoredValueError(
                CHUNK_PREFIX + sha256, "malformed workspaces"
            ) from error
