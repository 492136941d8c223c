"""Define the duties of controllers and their records in the store.

The record of a duty is written under its holder's lease, so the store deletes
it when the lease expires. Its fencing token is the store revision at which it
was created. Revisions only increase, so a later holder always has a higher
token, and a holder that missed the response to its write reads the token back.
"""

from collections.abc import Iterable
import hashlib

import attrs
from cattrs.preconf.json import make_converter

from shallotfold._services.ports import StoredValue

DUTIES_PREFIX = "duties/"
ORDERS_PREFIX = "orders/"
USAGE_PREFIX = "usage/"
USAGE_SHARD_COUNT = 4

_CONVERTER = make_converter()


@attrs.frozen(kw_only=True)
class DutyRecord:
    """The current holder of a duty.

    Attributes:
        name: Name of the duty, for example `orders/DATA_CENTRE`.
        holder: Name of the holder's host.
        token: Unique token of the holder's process and lease.
        fencing: Fencing token; higher is newer.
    """

    name: str
    holder: str
    token: str
    fencing: int = 0


def all_duties(data_centres: Iterable[str]) -> tuple[str, ...]:
    """Return the names of all duties, sorted."""
    orders = [f"{ORDERS_PREFIX}{name}" for name in data_centres]
    usage = [f"{USAGE_PREFIX}{shard}" for shard in range(USAGE_SHARD_COUNT)]
    return tuple(sorted([*orders, *usage]))


def duty_key(duty: str) -> str:
    """Return the store key of a duty."""
    return DUTIES_PREFIX + duty


def encode_duty(record: DutyRecord) -> bytes:
    """Encode a record for the store, without its fencing token."""
    return _CONVERTER.dumps(attrs.evolve(record, fencing=0)).encode()


def decode_duty(stored: StoredValue) -> DutyRecord:
    """Decode a stored record; its revision is the fencing token."""
    record = _CONVERTER.loads(stored.value, DutyRecord)
    return attrs.evolve(record, fencing=stored.revision)


def rank_hosts(duty: str, hosts: Iterable[str]) -> tuple[str, ...]:
    """Rank hosts for a duty by rendezvous hashing, preferred host first."""
    return tuple(sorted(hosts, key=lambda host: _rendezvous_score(duty, host)))


def usage_shard(workspace: str) -> int:
    """Return the number of the usage shard of a workspace."""
    digest = hashlib.sha256(workspace.encode()).digest()
    return int.from_bytes(digest[:4], "big") % USAGE_SHARD_COUNT


def _rendezvous_score(duty: str, host: str) -> bytes:
    return hashlib.sha256(f"{duty}\0{host}".encode()).digest()
