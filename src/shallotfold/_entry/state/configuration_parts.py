"""Split a configuration document into messages for peers; reassemble it."""

from collections.abc import Iterator
import zlib

import attrs

from shallotfold._errors import FrameError
from shallotfold._model.serialization import document_sha256
from shallotfold._wire.control_messages import ConfigurationPart

PART_BYTES = 64 * 1024
MAX_PARTS = 512
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
_COMPRESSION_LEVEL = 1


def split_into_parts(
    version: int, document: bytes, sha256: str
) -> Iterator[ConfigurationPart]:
    """Compress a document and yield the messages that carry it."""
    compressed = zlib.compress(document, _COMPRESSION_LEVEL)
    chunks = [
        compressed[start : start + PART_BYTES]
        for start in range(0, len(compressed), PART_BYTES)
    ]
    for index, chunk in enumerate(chunks):
        yield ConfigurationPart(
            version=version,
            index=index,
            count=len(chunks),
            sha256=sha256,
            data=chunk,
        )


def decompress_document(compressed: bytes, sha256: str) -> bytes:
    """Decompress the joined parts of a document and verify its digest.

    Raises:
        FrameError: The bytes are corrupt or too long.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise FrameError(
            f"{error}; request the document from another peer"
        ) from error
    if document_sha256(document) != sha256:
        raise FrameError(
            "document digest mismatch; request it from another peer"
        )
    return document


@attrs.define(kw_only=True)
class Assembly:
    """Parts of one document, collected from one peer.

    Attributes:
        host: Peer that sends them.
        requested_s: When the document was requested.
        version: Version of the document; 0 before the first part.
        count: Number of parts.
        sha256: Digest of the whole document.
        data_by_index: Parts received so far.
    """

    host: str
    requested_s: float
    version: int = 0
    count: int = 0
    sha256: str = ""
    data_by_index: dict[int, bytes] = attrs.field(factory=dict)

    def add(self, part: ConfigurationPart) -> bool:
        """Add a part and return whether the document is complete."""
        if not self._is_valid(part):
            return False
        if part.version != self.version or part.sha256 != self.sha256:
            self.version = part.version
            self.count = part.count
            self.sha256 = part.sha256
            self.data_by_index = {}
        self.data_by_index[part.index] = part.data
        return len(self.data_by_index) == self.count

    def join(self) -> bytes:
        """Return the joined parts of a complete document."""
        return b"".join(self.data_by_index[i] for i in range(self.count))

    def _is_valid(self, part: ConfigurationPart) -> bool:
        if part.version < self.version or len(part.data) > PART_BYTES:
            return False
        return 0 <= part.index < part.count <= MAX_PARTS
