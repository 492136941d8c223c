"""Split a configuration document into chunks that change independently.

Changing one workspace must not rewrite megabytes in the store or make every
entry read them again. Workspaces are distributed over buckets by a hash of
their name; everything else is in the first chunk.
"""

from collections.abc import Sequence
import json
from typing import Any
import zlib

WORKSPACES_PER_CHUNK = 128
_WORKSPACES = "workspaces_by_name"


def split_document(document: bytes) -> list[bytes]:
    """Split a canonical document; unchanged parts give identical chunks."""
    content = json.loads(document)
    workspaces_by_name = content.pop(_WORKSPACES, {})
    buckets: list[dict[str, Any]] = [
        {} for _ in range(_bucket_count(len(workspaces_by_name)))
    ]
    for name, workspace in workspaces_by_name.items():
        index = zlib.crc32(name.encode()) % len(buckets)
        buckets[index][name] = workspace
    return [_dump(content), *(_dump(bucket) for bucket in buckets)]


def join_chunks(chunks: Sequence[bytes]) -> bytes:
    """Return the canonical document that the ordered chunks make up."""
    content = json.loads(chunks[0])
    workspaces_by_name: dict[str, Any] = {}
    for chunk in chunks[1:]:
        workspaces_by_name.update(json.loads(chunk))
    content[_WORKSPACES] = workspaces_by_name
    return _dump(content)


def _bucket_count(workspace_count: int) -> int:
    # A power of two, so that growth rarely moves workspaces between chunks.
    min_buckets = -(-workspace_count // WORKSPACES_PER_CHUNK)
    return 1 << max(0, min_buckets - 1).bit_length()


def _dump(content: Any) -> bytes:
    return json.dumps(content, sort_keys=True, separators=(",", ":")).encode()
