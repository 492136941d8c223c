"""Read versions of the configuration from the key-value service."""

import asyncio
from collections.abc import Sequence

import attrs

from shallotfold._errors import StoredValueError
from shallotfold._fleet import chunking
from shallotfold._fleet.manifest import CHUNK_PREFIX
from shallotfold._fleet.manifest import MANIFEST_KEY
from shallotfold._fleet.manifest import Manifest
from shallotfold._fleet.manifest import Submission
from shallotfold._fleet.manifest import load_manifest
from shallotfold._model.configuration import Configuration
from shallotfold._model.serialization import document_sha256
from shallotfold._model.serialization import dump_configuration
from shallotfold._model.serialization import load_configuration
from shallotfold._services.ports import Store

_MAX_READ_ATTEMPTS = 3
_MAX_PARALLEL_READS = 8


@attrs.frozen(kw_only=True)
class StoredConfiguration:
    """One stored version.

    Attributes:
        version: Version number; 0 when nothing was ever submitted.
        configuration: The parsed configuration.
        document: The configuration as canonical JSON.
        sha256: Digest of the document.
        history: Most recent submissions; that of this version is last.
    """

    version: int
    configuration: Configuration
    document: bytes
    sha256: str
    history: tuple[Submission, ...] = ()


class ConfigurationReader:
    """Read the configuration, caching the chunks of the last version read."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._chunks_by_sha256: dict[str, bytes] = {}

    async def read_manifest(self) -> tuple[Manifest, int]:
        """Read the newest manifest and its revision.

        Without a manifest, version and revision are 0.

        Raises:
            StoreUnavailableError: No response in time.
            StoredValueError: The manifest is malformed.
        """
        stored = await self._store.get(MANIFEST_KEY)
        if stored is None:
            return Manifest(), 0
        return load_manifest(stored.value), stored.revision

    async def read(self) -> StoredConfiguration:
        """Read the newest version.

        Raises:
            StoreUnavailableError: No response in time.
            StoredValueError: A chunk is missing or damaged.
        """
        for _ in range(_MAX_READ_ATTEMPTS - 1):
            manifest, _ = await self.read_manifest()
            try:
                return await self.read_version(manifest)
            except StoredValueError:
                # Chunks of a version that was replaced long ago may have been
                # deleted since this reader fetched its manifest.
                continue
        manifest, _ = await self.read_manifest()
        return await self.read_version(manifest)

    async def read_version(self, manifest: Manifest) -> StoredConfiguration:
        """Read the version that a manifest points to.

        Raises:
            StoreUnavailableError: No response in time.
            StoredValueError: A chunk is missing or damaged.
        """
        if manifest.version == 0:
            configuration = Configuration()
            document = dump_configuration(configuration)
        else:
            chunks = await self._read_chunks(manifest.chunks)
            configuration, document = await asyncio.to_thread(
                _assemble, chunks, manifest.sha256
            )
        return StoredConfiguration(
            version=manifest.version,
            configuration=configuration,
            document=document,
            sha256=document_sha256(document),
            history=manifest.history,
        )

    async def read_chunks(self, manifest: Manifest) -> list[bytes]:
        """Read the chunks that a manifest of version 1 or later points to.

        Raises:
            StoreUnavailableError: No response in time.
            StoredValueError: A chunk is missing or damaged.
        """
        return await self._read_chunks(manifest.chunks)

    async def _read_chunks(self, digests: Sequence[str]) -> list[bytes]:
        read_slots = asyncio.Semaphore(_MAX_PARALLEL_READS)

        async def read_one(sha256: str) -> bytes:
            async with read_slots:
                return await self._read_chunk(sha256)

        chunks = await asyncio.gather(*map(read_one, digests))
        self._chunks_by_sha256 = dict(zip(digests, chunks, strict=True))
        return chunks

    async def _read_chunk(self, sha256: str) -> bytes:
        cached = self._chunks_by_sha256.get(sha256)
        if cached is not None:
            return cached
        stored = await self._store.get(CHUNK_PREFIX + sha256)
        if stored is None:
            raise StoredValueError(CHUNK_PREFIX + sha256, "no value")
        if document_sha256(stored.value) != sha256:
            raise StoredValueError(stored.key, "bytes with another digest")
        return stored.value


def _assemble(
    chunks: Sequence[bytes], sha256: str
) -> tuple[Configuration, bytes]:
    document = chunking.join_chunks(chunks)
    if document_sha256(document) != sha256:
        raise StoredValueError(MANIFEST_KEY, "chunks of another document")
    return load_configuration(document), document
