import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs
import pytest

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.store import claim_runner
from shallotfold._entry.store.claim_runner import ClaimRunner
from shallotfold._fleet import claims
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import RecordedAnswer
from shallotfold._standin.store import StoreFault
from shallotfold._standin.store import StoreStandin

ANSWER = RecordedAnswer(
    status=201, content_type="application/json", body=b'{"seat": 4}'
)
WAIT_LIMIT_S = 20.0


@attrs.define
class ClaimRunnerHarness:
    """The claim runner of one entry and the events it delivered."""

    store: StoreStandin
    delivered: asyncio.Queue[events.Event] = attrs.field(factory=asyncio.Queue)
    runner: ClaimRunner = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.runner = ClaimRunner(
            self.store, self.delivered.put_nowait, lambda _: ANSWER
        )

    async def claim(self, request_id: str, body: str = "b1") -> events.Event:
        self.runner.claim(
            effects.ClaimIdempotencyKey(
                request_id=request_id,
                workspace="cedar",
                idempotency_key="k1",
                body_sha256=body,
            )
        )
        return await asyncio.wait_for(self.delivered.get(), WAIT_LIMIT_S)

    async def settle(self, request_id: str, outcome: Outcome) -> None:
        self.runner.settle(
            effects.SettleClaim(request_id=request_id, outcome=outcome)
        )
        await self.wait_until_settled()

    async def wait_until_settled(self) -> None:
        await asyncio.wait_for(self.runner.wait_settled(), WAIT_LIMIT_S)


def reason_of(event: events.Event) -> str:
    assert isinstance(event, events.ClaimFailed)
    return event.reason


def run(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(scenario)


def test_retry_through_another_entry_gets_the_recorded_answer() -> None:
    async def scenario() -> None:
        store = StoreStandin()
        first, second = ClaimRunnerHarness(store), ClaimRunnerHarness(store)
        assert isinstance(await first.claim("r1"), events.ClaimSucceeded)
        assert reason_of(await second.claim("r2")) == "IN_PROGRESS"
        await first.settle("r1", Outcome.RAN)
        repeated = await second.claim("r3")
        assert isinstance(repeated, events.ClaimFailed)
        assert repeated.answer == ANSWER

    run(scenario())


def test_only_one_of_many_racing_claims_succeeds() -> None:
    async def scenario() -> None:
        store = StoreStandin()
        entries = [ClaimRunnerHarness(store) for _ in range(8)]
        outcomes = await asyncio.gather(
            *(entry.claim(f"r{i}") for i, entry in enumerate(entries))
        )
        succeeded = [
            o for o in outcomes if isinstance(o, events.ClaimSucceeded)
        ]
        assert len(succeeded) == 1

    run(scenario())


def test_request_that_did_not_run_releases_its_key() -> None:
    async def scenario() -> None:
        entry = ClaimRunnerHarness(StoreStandin())
        await entry.claim("r1")
        await entry.settle("r1", Outcome.NOT_RUN)
        assert isinstance(await entry.claim("r2"), events.ClaimSucceeded)

    run(scenario())


def test_unknown_outcome_is_reported_as_unknown() -> None:
    async def scenario() -> None:
        entry = ClaimRunnerHarness(StoreStandin())
        await entry.claim("r1")
        await entry.settle("r1", Outcome.UNKNOWN)
        assert reason_of(await entry.claim("r2")) == "UPSTREAM_FAILED"

    run(scenario())


def test_key_with_another_body_is_refused() -> None:
    async def scenario() -> None:
        entry = ClaimRunnerHarness(StoreStandin())
        await entry.claim("r1")
        assert reason_of(await entry.claim("r2", "b2")) == "KEY_REUSED"

    run(scenario())


def test_claim_succeeds_although_store_responses_are_lost() -> None:
    async def scenario() -> None:
        store = StoreStandin()
        entry = ClaimRunnerHarness(store)
        store.set_fault(StoreFault.LOSE_ANSWERS, count=2)
        assert isinstance(await entry.claim("r1"), events.ClaimSucceeded)

    run(scenario())


def test_claim_refused_during_an_outage_is_free_afterwards(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claim_runner, "CLAIM_TIMEOUT_S", 0.1)

    async def scenario() -> None:
        store = StoreStandin()
        entry = ClaimRunnerHarness(store)
        store.set_fault(StoreFault.LOSE_ANSWERS)
        assert reason_of(await entry.claim("r1")) == "STORE_UNAVAILABLE"
        store.set_fault(StoreFault.OK)
        await entry.wait_until_settled()
        assert isinstance(await entry.claim("r2"), events.ClaimSucceeded)

    run(scenario())


def test_claim_of_a_lost_entry_becomes_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        store = StoreStandin()
        await ClaimRunnerHarness(store).claim("r1")
        monkeypatch.setattr(claims, "OUTCOME_TIMEOUT_S", 0.0)
        assert (
            reason_of(await ClaimRunnerHarness(store).claim("r2"))
            == "UPSTREAM_FAILED"
        )

    run(scenario())


def test_only_claims_past_their_retention_are_deleted() -> None:
    async def scenario() -> None:
        store = StoreStandin()
        entry = ClaimRunnerHarness(store)
        await entry.claim("r1")
        changed_s = (
            await claims.try_claim(store, *_make_probe_claim())
        ).changed_s  # type: ignore[union-attr]
        early_s = changed_s + claims.RETENTION_S - 1.0
        late_s = changed_s + claims.RETENTION_S + 1.0
        assert (
            await claims.delete_expired_claims(
                store, claims.CLAIM_PREFIX, early_s
            )
            == 0
        )
        assert (
            await claims.delete_expired_claims(
                store, claims.CLAIM_PREFIX, late_s
            )
            == 1
        )
        assert store.snapshot(claims.CLAIM_PREFIX) == ()

    run(scenario())


def _make_probe_claim() -> tuple[str, claims.Claim]:
    probe = claims.Claim(
        status=claims.ClaimStatus.TAKEN,
        token="probe",
        body_sha256="b1",
        changed_s=0.0,
    )
    return claims.claim_key("cedar", "k1"), probe
