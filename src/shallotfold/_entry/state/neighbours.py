"""Choose the peers that an entry keeps streams to.

Every entry computes the choice from the list of entries alone, without
messages. A full mesh is cheapest while the fleet is small. A large fleet joins
three rings, each in the order of another hash: every entry has at most six
neighbours, both ends agree on being neighbours, the graph stays connected,
and a new host changes only the links next to its positions.
"""

from collections.abc import Sequence
import hashlib

FULL_MESH_MAX_ENTRIES = 16
RINGS = 3


def is_full_mesh(entry_count: int) -> bool:
    """Return whether a fleet of this size uses a full mesh."""
    return entry_count <= FULL_MESH_MAX_ENTRIES


def choose_neighbours(host: str, names: Sequence[str]) -> frozenset[str]:
    """Return the neighbours of `host` among all entries."""
    others = {*names} - {host}
    if is_full_mesh(len(others) + 1):
        return frozenset(others)
    chosen: set[str] = set()
    for salt in range(RINGS):
        ring = sorted(
            {host, *others}, key=lambda name: _ring_position(salt, name)
        )
        index = ring.index(host)
        chosen.add(ring[index - 1])
        chosen.add(ring[(index + 1) % len(ring)])
    return frozenset(chosen)


def _ring_position(salt: int, name: str) -> bytes:
    return hashlib.blake2b(f"{salt}\0{name}".encode(), digest_size=8).digest()
