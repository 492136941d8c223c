import asyncio

from shallotfold._errors import StoreUnavailableError
from shallotfold._fleet import audit
from shallotfold._fleet.audit import AuditChange
from shallotfold._fleet.audit import AuditFilter
from shallotfold._fleet.audit import AuditRecord
from shallotfold._fleet.audit import append_records
from shallotfold._fleet.audit import append_with_retries
from shallotfold._fleet.audit import read_records
from shallotfold._standin.store import StoreStandin


def make_record(
    number: int, kind: str = "order", why: str = "why"
) -> AuditRecord:
    return AuditRecord(
        record_id=f"r{number}",
        at_s=float(number),
        change=AuditChange(
            kind=kind, who="controller a", why=why, what=f"orders/x/{number}"
        ),
    )


class LostResponseStore(StoreStandin):
    """Lose the response to each write after it took effect."""

    async def compare_and_swap(
        self,
        key: str,
        expected_revision: int,
        value: bytes,
        lease_id: str = "",
    ) -> int:
        await super().compare_and_swap(key, expected_revision, value, lease_id)
        raise StoreUnavailableError("lost")


def test_records_are_filtered_and_read_oldest_first() -> None:
    async def scenario() -> None:
        store = StoreStandin()
        await append_records(
            store,
            [make_record(n, "lease" if n % 2 else "order") for n in range(20)],
        )
        matching = await read_records(
            store, AuditFilter(kind="lease", since_s=3, until_s=15, limit=4)
        )
        assert [r.at_s for r in matching] == [9.0, 11.0, 13.0, 15.0]
        assert await read_records(store, AuditFilter(what="orders/x/7"))

    asyncio.run(scenario())


def test_lost_response_duplicates_no_record() -> None:
    async def scenario() -> None:
        # Only the response to the write is lost; the write takes effect.
        store = LostResponseStore()
        assert await append_with_retries(store, make_record(1), max_attempts=4)
        assert store.calls_by_name["compare_and_swap"] == 1
        assert len(await read_records(store)) == 1

    asyncio.run(scenario())


def test_racing_writers_lose_no_record() -> None:
    async def scenario() -> None:
        store = StoreStandin()
        await asyncio.gather(
            *(
                append_with_retries(store, make_record(n), max_attempts=9)
                for n in range(40)
            )
        )
        assert len(await read_records(store)) == 40

    asyncio.run(scenario())


def test_size_is_bounded_and_the_newest_records_are_kept() -> None:
    async def scenario() -> None:
        store = StoreStandin()
        long_text = "x" * 10_000
        for start in range(0, 3000, 500):
            await append_records(
                store,
                [make_record(start + n, why=long_text) for n in range(500)],
            )
        sizes = [len(v.value) for v in store.snapshot("audit/")]
        assert len(sizes) <= audit.SEGMENT_COUNT
        assert max(sizes) <= audit.MAX_SEGMENT_BYTES
        records = await read_records(store, AuditFilter(limit=100_000))
        assert records[-1].at_s == 2999.0
        assert len(records[0].change.why) == audit.MAX_TEXT_CHARS

    asyncio.run(scenario())
