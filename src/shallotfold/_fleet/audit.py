"""Keep the audit trail in the store within a bounded size.

Records go to segments `audit/SEGMENT`, chosen by the digest of their id, so
that concurrent writers rarely conflict. A segment keeps its newest records.
Appending is a compare-and-swap that skips ids already present, so that a retry
after a lost response duplicates no record.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import hashlib

import attrs
from cattrs.preconf.json import make_converter

from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._services.ports import Store

AUDIT_PREFIX = "audit/"
SEGMENT_COUNT = 32
MAX_RECORDS_PER_SEGMENT = 1000
MAX_SEGMENT_BYTES = 400_000
MAX_TEXT_CHARS = 400
MAX_SWAP_ATTEMPTS = 8
MAX_RETRY_DELAY_S = 30.0

_CONVERTER = make_converter()


@attrs.frozen(kw_only=True)
class AuditChange:
    """One change, described by the code that makes it.

    Attributes:
        kind: `configuration`, `key`, `lease`, `order` or `usage`.
        who: Operator or process that made the change.
        why: Reason.
        what: Name of the changed object, for example `orders/west`.
        before: State before, as short text; contains no API key.
        after: State after, as short text; contains no API key.
    """

    kind: str
    who: str
    why: str
    what: str
    before: str = ""
    after: str = ""


@attrs.frozen(kw_only=True)
class AuditRecord:
    """A change in the audit trail.

    Attributes:
        record_id: Unique id; a second append with the same id adds nothing.
        at_s: Seconds since the epoch at which the change was made.
        change: The change.
    """

    record_id: str
    at_s: float
    change: AuditChange


@attrs.frozen(kw_only=True)
class AuditFilter:
    """Which records to read; an empty field matches everything.

    Attributes:
        kind: Kind of the change.
        who: Exact name.
        what: Prefix of the changed object's name.
        since_s: Earliest time, in seconds since the epoch.
        until_s: Latest time, in seconds since the epoch.
        limit: Maximum number of records to return; the oldest are left out.
    """

    kind: str = ""
    who: str = ""
    what: str = ""
    since_s: float = 0.0
    until_s: float = float("inf")
    limit: int = 1000

    def matches(self, record: AuditRecord) -> bool:
        """Return whether a record matches the filter."""
        change = record.change
        return (
            self.kind in ("", change.kind)
            and self.who in ("", change.who)
            and change.what.startswith(self.what)
            and self.since_s <= record.at_s <= self.until_s
        )


async def append_records(store: Store, records: Iterable[AuditRecord]) -> None:
    """Append records; those already stored are skipped.

    Raises:
        StoreUnavailableError: Some may be missing; append the same ones
            again.
    """
    records_by_key: dict[str, list[AuditRecord]] = {}
    for record in records:
        key = _segment_key(record.record_id)
        records_by_key.setdefault(key, []).append(_truncated(record))
    for key, new_records in records_by_key.items():
        await _append(store, key, new_records)


async def append_with_retries(
    store: Store, record: AuditRecord, max_attempts: int
) -> bool:
    """Append a record, retrying with backoff while the store is unavailable.

    Returns:
        Whether the record is stored; `False` after `max_attempts` failures.
    """
    for attempt in range(max_attempts):
        try:
            await append_records(store, [record])
        except StoreUnavailableError:
            await asyncio.sleep(min(2.0**attempt, MAX_RETRY_DELAY_S))
            continue
        return True
    return False


async def read_records(
    store: Store, record_filter: AuditFilter | None = None
) -> Sequence[AuditRecord]:
    """Return the matching records, oldest first.

    Raises:
        StoreUnavailableError: No response in time.
    """
    record_filter = record_filter or AuditFilter()
    matching = [
        record
        for segment in await store.list(AUDIT_PREFIX)
        for record in _decode(segment.value)
        if record_filter.matches(record)
    ]
    matching.sort(key=lambda record: (record.at_s, record.record_id))
    return matching[max(0, len(matching) - record_filter.limit) :]


async def _append(
    store: Store, key: str, new_records: list[AuditRecord]
) -> None:
    for _ in range(MAX_SWAP_ATTEMPTS):
        stored = await store.get(key)
        records = _decode(stored.value) if stored else []
        stored_ids = {record.record_id for record in records}
        missing = [r for r in new_records if r.record_id not in stored_ids]
        if not missing:
            return
        revision = stored.revision if stored else 0
        try:
            await store.compare_and_swap(
                key, revision, _encode([*records, *missing])
            )
        except StoreConflictError:
            continue
        return
    raise StoreUnavailableError(
        f"{key}: {MAX_SWAP_ATTEMPTS} appends conflicted with other writers; "
        "append the records again"
    )


def _encode(records: list[AuditRecord]) -> bytes:
    newest = records[-MAX_RECORDS_PER_SEGMENT:]
    while True:
        value = _CONVERTER.dumps(newest).encode()
        if len(value) <= MAX_SEGMENT_BYTES or len(newest) <= 1:
            return value
        newest = newest[len(newest) // 4 + 1 :]


def _decode(value: bytes) -> list[AuditRecord]:
    return _CONVERTER.loads(value, list[AuditRecord])


def _segment_key(record_id: str) -> str:
    digest = hashlib.sha256(record_id.encode()).digest()
    return f"{AUDIT_PREFIX}{digest[0] % SEGMENT_COUNT:02d}"


def _truncated(record: AuditRecord) -> AuditRecord:
    change = record.change
    return attrs.evolve(
        record,
        change=attrs.evolve(
            change,
            why=change.why[:MAX_TEXT_CHARS],
            before=change.before[:MAX_TEXT_CHARS],
            after=change.after[:MAX_TEXT_CHARS],
        ),
    )
