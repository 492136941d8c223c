"""Cut a configuration document into parts for peers, and join them."""

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
    """Yield the messages that carry a document, compressed."""
    packed = zlib.compress(document, _COMPRESSION_LEVEL)
    chunks = [
        packed[start : start + PART_BYTES]
        for start in range(0, len(packed), PART_BYTES)
    ]
    for index, chunk in enumerate(chunks):
        yield ConfigurationPart(
            version=version,
            index=index,
            count=len(chunks),
            sha256=sha256,
            data=chunk,
        )


def unpack_document(packed: bytes, sha256: str) -> bytes:
    """Return the document that joined parts hold.

    Raises:
        FrameError: The bytes are damaged or too long.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise FrameError(f"{error}; ask another peer") from error
    if document_sha256(document) != sha256:
        raise FrameError("a document of another digest; ask another peer")
    return document


@attrs.define(kw_only=True)
class Assembly:
    """Parts of one document, collected from one peer.

    Attributes:
        host: Peer that was asked.
        asked_s: When it was asked.
        version: Version of the document; 0 before the first part.
        count: Number of parts.
        sha256: Digest of the whole document.
        data_by_index: Parts received so far.
    """

    host: str
    asked_s: float
    version: int = 0
    count: int = 0
    sha256: str = ""
    data_by_index: dict[int, bytes] = attrs.field(factory=dict)

    def add(self, part: ConfigurationPart) -> bool:
        """Take a part over; tell whether the document is whole."""
        if not self._fits(part):
            return False
        if part.version != self.version or part.sha256 != self.sha256:
            self.version = part.version
            self.count = part.count
            self.sha256 = part.sha256
            self.data_by_index = {}
        self.data_by_index[part.index] = part.data
        return len(self.data_by_index) == self.count

    def join(self) -> bytes:
        """Return the joined parts of a whole document."""
        return b"".join(self.data_by_index[i] for i in range(self.count))

    def _fits(self, part: ConfigurationPart) -> bool:
        if part.version < self.version or len(part.data) > PART_BYTES:
            return False
        return 0 <= part.index < part.count <= MAX_PARTS
