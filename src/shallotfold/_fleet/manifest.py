"""Describe the manifest that points to the chunks of a configuration."""

from collections.abc import Mapping
from collections.abc import Sequence

import attrs
from cattrs.preconf.json import make_converter

from shallotfold._errors import StoredValueError

MANIFEST_KEY = "config/manifest"
CHUNK_PREFIX = "config/chunks/"
HISTORY_LENGTH = 64
# Chunks stay for this many versions after the last manifest that names them.
RETAINED_VERSIONS = 16
_MAX_CHANGED_NAMES = 20

_CONVERTER = make_converter()


@attrs.frozen(kw_only=True)
class Submission:
    """One accepted submission.

    Attributes:
        version: Version that it made.
        token: Unique token of the writer.
        who: Operator.
        why: Reason given by the operator.
        submitted_s: Operator's wall clock, in seconds since the epoch.
        changed: Paths that differ from the version before, at most twenty.
    """

    version: int
    token: str
    who: str
    why: str
    submitted_s: float
    changed: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Manifest:
    """The newest version; one value of the store.

    Attributes:
        version: Its version; 0 stands for an empty store.
        sha256: Digest of the whole document.
        chunks: Digests of the chunks, in their order.
        history: Newest submissions, this version's last.
        retired_by_sha256: Version at which a chunk was last dropped.
    """

    version: int = 0
    sha256: str = ""
    chunks: tuple[str, ...] = ()
    history: tuple[Submission, ...] = ()
    retired_by_sha256: Mapping[str, int] = attrs.field(factory=dict)

    def succeed(
        self,
        *,
        sha256: str,
        chunks: Sequence[str],
        submission: Submission,
    ) -> "Manifest":
        """Return the manifest that follows this one."""
        version = self.version + 1
        dropped = set(self.chunks) - set(chunks)
        retired_by_sha256 = {
            **self.retired_by_sha256,
            **dict.fromkeys(dropped, version),
        }
        return Manifest(
            version=version,
            sha256=sha256,
            chunks=tuple(chunks),
            history=(*self.history, submission)[-HISTORY_LENGTH:],
            retired_by_sha256={
                digest: at
                for digest, at in retired_by_sha256.items()
                if at > version - RETAINED_VERSIONS and digest not in chunks
            },
        )

    def submission_of(self, token: str) -> Submission | None:
        """Return the remembered submission with a writer token."""
        for submission in self.history:
            if submission.token == token:
                return submission
        return None

    def forgot(self, version: int) -> bool:
        """Tell whether a version is older than the remembered history."""
        return bool(self.history) and self.history[0].version > version

    def needed_chunks(self) -> set[str]:
        """Return the chunks that readers of recent manifests may need."""
        return {*self.chunks, *self.retired_by_sha256}


def limit_changed(names: Sequence[str]) -> tuple[str, ...]:
    """Bound the list of changed paths that a manifest keeps."""
    if len(names) <= _MAX_CHANGED_NAMES:
        return tuple(names)
    kept = _MAX_CHANGED_NAMES - 1
    return (*names[:kept], f"and {len(names) - kept} more")


def dump_manifest(manifest: Manifest) -> bytes:
    """Return the stored form of a manifest."""
    return _CONVERTER.dumps(manifest, sort_keys=True).encode()


def load_manifest(value: bytes) -> Manifest:
    """Read the stored form of a manifest.

    Raises:
        StoredValueError: The value is no manifest.
    """
    try:
        return _CONVERTER.loads(value, Manifest)
    except Exception as error:
        # cattrs and json raise several kinds for malformed bytes.
        raise StoredValueError(MANIFEST_KEY, repr(error)) from error
