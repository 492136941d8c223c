"""Choose the owner of a pool or a ledger by rendezvous hashing.

Entries that see the same live entries agree without exchanging messages.
"""

from collections.abc import Sequence
import functools
import hashlib

from shallotfold._entry.membership import membership
from shallotfold._entry.state.entry_state import EntryState


def owner_candidates(state: EntryState) -> tuple[str, ...]:
    """Return the sorted names of the entries that may be owners."""
    live = membership.live_entries(state)
    if not state.draining:
        return live
    others = tuple(host for host in live if host != state.host)
    return others or live


def owner_of(state: EntryState, name: str) -> str:
    """Return the entry that owns a pool or a workspace's ledger."""
    return rendezvous(name, owner_candidates(state))


@functools.lru_cache(maxsize=65536)
def rendezvous(name: str, hosts: Sequence[str]) -> str:
    """Return the host with the highest hash of its name and `name`."""
    return max(hosts, key=lambda host: _score(name, host))


def _score(name: str, host: str) -> bytes:
    text = f"{name}\0{host}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def slot_share(state: EntryState) -> float:
    """Return the share of slots to use during a network partition, 0 to 1.

    The side with a majority of the entries that the host list calls live uses
    all slots and a smaller side its proportion, so that both together
    over-admit by less than half.
    """
    listed_count = state.pools.listed_live_count
    live = len(membership.live_entries(state))
    if live * 2 > listed_count:
        return 1.0
    return live / listed_count
