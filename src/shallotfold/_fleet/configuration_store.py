"""Read and submit versions of the configuration in the key-value service."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Set
import secrets
import time
from typing import TypeVar

from shallotfold._errors import ConfigurationRaceError
from shallotfold._errors import Fault
from shallotfold._errors import InvalidInputError
from shallotfold._errors import PlatformError
from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._errors import SubmissionUnknownError
from shallotfold._fleet import chunking
from shallotfold._fleet.configuration_reader import ConfigurationReader
from shallotfold._fleet.configuration_reader import StoredConfiguration
from shallotfold._fleet.manifest import CHUNK_PREFIX
from shallotfold._fleet.manifest import MANIFEST_KEY
from shallotfold._fleet.manifest import Manifest
from shallotfold._fleet.manifest import Submission
from shallotfold._fleet.manifest import dump_manifest
from shallotfold._fleet.manifest import truncate_changed_paths
from shallotfold._model.checking import check_configuration
from shallotfold._model.configuration import Configuration
from shallotfold._model.differences import changed_paths
from shallotfold._model.serialization import document_sha256
from shallotfold._model.serialization import dump_configuration
from shallotfold._model.serialization import load_configuration
from shallotfold._services.ports import Store

MAX_VALUE_BYTES = 1_000_000
VERSIONS_BETWEEN_SWEEPS = 64
_MAX_STORE_ATTEMPTS = 6
_FIRST_BACKOFF_S = 0.1

T = TypeVar("T")


class ConfigurationStore:
    """Read and submit versions of the configuration.

    Chunks are immutable and named by their digest. Each new version replaces
    the manifest by compare-and-swap.
    """

    def __init__(
        self, store: Store, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self._store = store
        self._wall_clock = wall_clock
        self._reader = ConfigurationReader(store)

    async def read(self) -> StoredConfiguration:
        """Read the newest version.

        Raises:
            StoreUnavailableError: No response in time.
            StoredValueError: A chunk is missing or damaged.
        """
        return await self._reader.read()

    async def submit(
        self, document: bytes, base_version: int, who: str, why: str
    ) -> int:
        """Submit a document as the next version.

        Args:
            document: Configuration as JSON.
            base_version: Version that the document was derived from.
            who: Operator who submits it.
            why: Reason, for the audit trail.

        Returns:
            The new version, which has been stored.

        Raises:
            InvalidInputError: The document is invalid; nothing was stored.
            ConfigurationRaceError: Another version was accepted first; this
                one was not.
            StoreUnavailableError: The store can't be reached; not accepted.
            SubmissionUnknownError: The store stopped answering; the document
                may have been accepted. Call `find_submission` later.
        """
        configuration = _load_validated(document, who, why)
        document = dump_configuration(configuration)
        chunks_by_sha256 = _split_into_chunks(document)
        manifest, revision = await self._retry(self._reader.read_manifest)
        _check_base_version(manifest, base_version)
        base = await self._retry(lambda: self._reader.read_version(manifest))
        submission = Submission(
            version=base_version + 1,
            token=secrets.token_hex(16),
            who=who,
            why=why,
            submitted_s=self._wall_clock(),
            changed=truncate_changed_paths(
                changed_paths(base.configuration, configuration)
            ),
        )
        new_digests = chunks_by_sha256.keys() - set(manifest.chunks)
        for sha256 in new_digests:
            await self._write_chunk(sha256, chunks_by_sha256[sha256])
        successor = manifest.make_successor(
            sha256=document_sha256(document),
            chunks=tuple(chunks_by_sha256),
            submission=submission,
        )
        try:
            await self._swap_manifest(successor, revision, submission)
        except ConfigurationRaceError:
            await self._collect_garbage(new_digests)
            raise
        await self._collect_garbage(
            manifest.retained_chunks() - successor.retained_chunks()
        )
        if successor.version % VERSIONS_BETWEEN_SWEEPS == 0:
            await self._sweep()
        return successor.version

    async def find_submission(self, token: str) -> Submission | None:
        """Return the accepted submission with the writer token.

        Returns `None` if it was not accepted or has left the history.

        Raises:
            StoreUnavailableError: No response in time.
        """
        manifest, _ = await self._reader.read_manifest()
        return manifest.find_submission(token)

    async def _write_chunk(self, sha256: str, chunk: bytes) -> None:
        """Write a chunk, also if it is stored already.

        The write gives the chunk a higher revision than the manifest that was
        read, so no garbage collection in progress deletes it.
        """
        key = CHUNK_PREFIX + sha256
        expected_revision = 0

        async def write() -> None:
            nonlocal expected_revision
            try:
                await self._store.compare_and_swap(
                    key, expected_revision, chunk
                )
            except StoreConflictError as error:
                expected_revision = error.actual_revision
                raise

        await self._retry(write, on=(StoreUnavailableError, StoreConflictError))

    async def _swap_manifest(
        self, successor: Manifest, revision: int, submission: Submission
    ) -> None:
        """Write the manifest, retrying the swap until its outcome is known.

        After a lost response, reading the manifest is not enough, because the
        write may still be in flight. Retrying the same swap either takes effect
        or conflicts with a newer manifest, whose history lists the submissions
        that were accepted.
        """
        value = dump_manifest(successor)

        async def swap() -> None:
            await self._store.compare_and_swap(MANIFEST_KEY, revision, value)

        try:
            await self._retry(swap)
        except StoreUnavailableError as error:
            raise SubmissionUnknownError(submission.token) from error
        except StoreConflictError as error:
            await self._resolve_conflict(submission, error)

    async def _resolve_conflict(
        self, submission: Submission, error: StoreConflictError
    ) -> None:
        try:
            manifest, _ = await self._retry(self._reader.read_manifest)
        except StoreUnavailableError as unavailable:
            raise SubmissionUnknownError(submission.token) from unavailable
        if manifest.find_submission(submission.token) is not None:
            return
        if manifest.history_starts_after(submission.version):
            raise SubmissionUnknownError(submission.token) from error
        raise _race_error(manifest, submission.version - 1) from error

    async def _collect_garbage(self, digests: Set[str]) -> None:
        """Delete the chunks that no current or future manifest references.

        A writer references only chunks of the manifest that it read, or chunks
        that it wrote after reading it. So a chunk that is older than the
        newest manifest and not retained by it can't be referenced again.
        """
        if not digests:
            return
        try:
            manifest, revision = await self._reader.read_manifest()
            for sha256 in digests - manifest.retained_chunks():
                chunk = await self._store.get(CHUNK_PREFIX + sha256)
                if chunk is not None and chunk.revision < revision:
                    await self._store.delete(chunk.key, chunk.revision)
        except PlatformError:
            # The next sweep deletes the rest.
            return

    async def _sweep(self) -> None:
        """Delete unreferenced chunks of writers that were killed."""
        try:
            stored = await self._store.list(CHUNK_PREFIX)
        except PlatformError:
            return
        await self._collect_garbage(
            {chunk.key.removeprefix(CHUNK_PREFIX) for chunk in stored}
        )

    async def _retry(
        self,
        call: Callable[[], Awaitable[T]],
        on: tuple[type[Exception], ...] = (StoreUnavailableError,),
    ) -> T:
        backoff_s = _FIRST_BACKOFF_S
        for _ in range(_MAX_STORE_ATTEMPTS - 1):
            try:
                return await call()
            except on:
                await asyncio.sleep(backoff_s)
                backoff_s *= 2
        return await call()


def _load_validated(document: bytes, who: str, why: str) -> Configuration:
    configuration = load_configuration(document)
    faults = list(check_configuration(configuration))
    for name, text in (("who", who), ("why", why)):
        if not text.strip():
            faults.append(
                Fault(
                    source="submission",
                    key=name,
                    found="nothing",
                    allowed="a text for the audit trail",
                    remedy=f"Give {name} with the submission.",
                )
            )
    if faults:
        raise InvalidInputError(faults)
    return configuration


def _split_into_chunks(document: bytes) -> dict[str, bytes]:
    chunks = chunking.split_document(document)
    for chunk in chunks:
        if len(chunk) > MAX_VALUE_BYTES:
            raise InvalidInputError(
                [
                    Fault(
                        source="configuration",
                        key="(one chunk)",
                        found=f"{len(chunk)} bytes",
                        allowed=f"at most {MAX_VALUE_BYTES} bytes",
                        remedy="Declare fewer upstreams or shorter values.",
                    )
                ]
            )
    # Only empty buckets give identical chunks; storing one is enough.
    return {document_sha256(chunk): chunk for chunk in chunks}


def _check_base_version(manifest: Manifest, base_version: int) -> None:
    if manifest.version != base_version:
        raise _race_error(manifest, base_version)


def _race_error(
    manifest: Manifest, base_version: int
) -> ConfigurationRaceError:
    newer = [s for s in manifest.history if s.version > base_version]
    changed = sorted({name for s in newer for name in s.changed})
    winner = manifest.history[-1] if manifest.history else None
    return ConfigurationRaceError(
        base_version=base_version,
        actual_version=manifest.version,
        who=winner.who if winner else "",
        why=winner.why if winner else "",
        changed=changed,
    )
