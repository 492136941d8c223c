"""Describe the manifest that points to the chunks of a configuration."""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs
from cattrs.preconf.json import make_converter

from shallotfold._errors import StoredValueError

MANIFEST_KEY = "config/manifest"
CHUNK_PREFIX = "config/chunks/"
HISTORY_LENGTH = 64
# A chunk is kept for this many versions after the last manifest that
# references it.
RETAINED_VERSIONS = 16
_MAX_CHANGED_PATHS = 20

_CONVERTER = make_converter()


@attrs.frozen(kw_only=True)
class Submission:
    """An accepted submission.

    Attributes:
        version: Version that it created.
        token: Unique token of the writer.
        who: Operator.
        why: Reason given by the operator.
        submitted_s: Time of submission by the operator's clock, in seconds
            since the epoch.
        changed: Paths that differ from the previous version, at most twenty.
    """

    version: int
    token: str
    who: str
    why: str
    submitted_s: float
    changed: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Manifest:
    """The newest version, stored under a single key.

    Attributes:
        version: Version number; 0 for an empty store.
        sha256: Digest of the whole document.
        chunks: Digests of the chunks, in document order.
        history: Most recent submissions; that of this version is last.
        retired_by_sha256: By digest of a chunk, the version that last stopped
            using it.
    """

    version: int = 0
    sha256: str = ""
    chunks: tuple[str, ...] = ()
    history: tuple[Submission, ...] = ()
    retired_by_sha256: Mapping[str, int] = attrs.field(factory=dict)

    def make_successor(
        self,
        *,
        sha256: str,
        chunks: Sequence[str],
        submission: Submission,
    ) -> "Manifest":
        """Return the manifest of the next version."""
        version = self.version + 1
        removed = set(self.chunks) - set(chunks)
        retired_by_sha256 = {
            **self.retired_by_sha256,
            **dict.fromkeys(removed, version),
        }
        return Manifest(
            version=version,
            sha256=sha256,
            chunks=tuple(chunks),
            history=(*self.history, submission)[-HISTORY_LENGTH:],
            retired_by_sha256={
                digest: retired_version
                for digest, retired_version in retired_by_sha256.items()
                if retired_version > version - RETAINED_VERSIONS
                and digest not in chunks
            },
        )

    def find_submission(self, token: str) -> Submission | None:
        """Return the submission with the writer token, if in the history."""
        for submission in self.history:
            if submission.token == token:
                return submission
        return None

    def history_starts_after(self, version: int) -> bool:
        """Return whether a version is older than the whole history."""
        return bool(self.history) and self.history[0].version > version

    def retained_chunks(self) -> set[str]:
        """Return the chunks that readers of recent manifests may still read."""
        return {*self.chunks, *self.retired_by_sha256}


def truncate_changed_paths(paths: Sequence[str]) -> tuple[str, ...]:
    """Limit the list of changed paths that a manifest stores."""
    if len(paths) <= _MAX_CHANGED_PATHS:
        return tuple(paths)
    listed = _MAX_CHANGED_PATHS - 1
    return (*paths[:listed], f"and {len(paths) - listed} more")


def dump_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest for the store."""
    return _CONVERTER.dumps(manifest, sort_keys=True).encode()


def load_manifest(value: bytes) -> Manifest:
    """Decode a stored manifest.

    Raises:
        StoredValueError: The value is not a manifest.
    """
    try:
        return _CONVERTER.loads(value, Manifest)
    except Exception as error:
        # cattrs and json raise several kinds of errors for malformed bytes.
        raise StoredValueError(MANIFEST_KEY, repr(error)) from error
