import asyncio

import pytest

from shallotfold._errors import StoreConflictError
from shallotfold._errors import StoreUnavailableError
from shallotfold._fleet.verified_write import write_verified
from shallotfold._standin.store import StoreFault
from shallotfold._standin.store import StoreStandin


def test_write_with_a_lost_response_is_read_back_as_success() -> None:
    async def scenario() -> None:
        store = StoreStandin()
        store.set_fault(StoreFault.LOSE_ANSWERS, count=1)
        revision = await write_verified(store, "k", 0, b"mine")
        assert revision == store.snapshot("k")[0].revision

    asyncio.run(scenario())


def test_value_of_another_writer_is_a_conflict() -> None:
    async def scenario() -> None:
        store = StoreStandin()
        theirs = await store.compare_and_swap("k", 0, b"theirs")
        with pytest.raises(StoreConflictError) as caught:
            await write_verified(store, "k", 0, b"mine")
        assert caught.value.actual_revision == theirs

    asyncio.run(scenario())


def test_unknown_outcome_is_reported_as_unavailable() -> None:
    async def scenario() -> None:
        store = StoreStandin()
        store.set_fault(StoreFault.DOWN)
        with pytest.raises(StoreUnavailableError):
            await write_verified(store, "k", 0, b"mine")

    asyncio.run(scenario())
