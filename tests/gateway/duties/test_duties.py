"""Check that duties are held by one host and usage is reported once."""

import asyncio
from collections.abc import Callable

import pytest

from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.core.ports import CapacityOrder
from shallotfold._gateway.core.ports import DutyOutcome
from shallotfold._gateway.core.ports import DutyTerm
from shallotfold._gateway.duties import duty_lease
from shallotfold._gateway.duties import usage_reporting
from shallotfold._gateway.duties.duty_lease import DutyLease
from shallotfold._gateway.duties.usage_counts import UsageCounts
from shallotfold._gateway.duties.usage_reporting import UsageReporter
from shallotfold.platform.store import PlatformStore
from tests.platform.conftest import StoreScenario
from tests.platform.store_standin import StoreStandIn

RunWithStore = Callable[[StoreScenario], None]
LEASE_S = 0.6


class FakeDutyCalls:
    """Records usage reports and returns a fixed outcome."""

    def __init__(self) -> None:
        self.reports: list[tuple[int, dict[str, int], int]] = []
        self.terms: list[DutyTerm] = []
        self.on_report: Callable[[], None] = lambda: None
        self.outcome = DutyOutcome.DONE

    async def report_usage(
        self, window: int, counts: dict[str, int], term: DutyTerm
    ) -> DutyOutcome:
        self.on_report()
        self.terms.append(term)
        self.reports.append((window, counts, term.fencing_token))
        return self.outcome

    async def order_upstreams(
        self, order: CapacityOrder, term: DutyTerm
    ) -> DutyOutcome:
        raise NotImplementedError


@pytest.fixture(autouse=True)
def _shorten_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(duty_lease, "CHECK_INTERVAL_S", 0.02)
    monkeypatch.setattr(duty_lease, "START_COOLDOWN_LEASES", 0.0)
    monkeypatch.setattr(usage_reporting, "CHECK_INTERVAL_S", 0.02)
    monkeypatch.setattr(usage_reporting, "RETRY_DELAY_S", 0.02)
    monkeypatch.setattr(usage_reporting, "HOLDER_WARMUP_S", 0.05)


def make_lease(store: PlatformStore, host: str) -> DutyLease:
    return DutyLease(store, host, LEASE_S, lambda: True)


def make_reporter(
    store: PlatformStore,
    calls: FakeDutyCalls,
    lease: DutyLease,
    counts: UsageCounts,
    agreed_time_s: float = 1008.0,
    *,
    counted: float = 1.0,
) -> UsageReporter:
    return UsageReporter(
        store,
        calls,
        lease,
        counts,
        10.0,
        lambda: agreed_time_s,
        lambda since_s: counted,
    )


def test_one_of_two_candidates_holds_the_duties(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        leases = [make_lease(store, "h1"), make_lease(store, "h2")]
        for lease in leases:
            await lease.start()
        await asyncio.sleep(0.3)
        assert sum(lease.is_held for lease in leases) == 1
        holder = next(lease for lease in leases if lease.is_held)
        other = next(lease for lease in leases if lease is not holder)
        fencing = holder.fencing_token
        await holder.close()
        await asyncio.sleep(0.6)
        assert other.is_held
        assert other.fencing_token > fencing
        await other.close()
        assert duty_lease.DUTY_KEY not in standin.entries

    run_with_store(scenario)


def test_a_holder_whose_lease_ended_stops_and_observes_the_cooldown(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        lease = make_lease(store, "h1")
        await lease.start()
        await asyncio.sleep(0.2)
        assert lease.is_held
        for lease_id in list(standin.leases):
            standin.end_lease(lease_id)
        await asyncio.sleep(LEASE_S)
        assert not lease.is_held
        grants = standin.calls.count("kv-lease")
        await asyncio.sleep(LEASE_S)
        assert standin.calls.count("kv-lease") == grants
        await lease.close()

    run_with_store(scenario)


def test_a_holder_that_can_t_renew_stops_before_its_lease_ends(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        lease = make_lease(store, "h1")
        await lease.start()
        await asyncio.sleep(0.2)
        standin.error_status = 503
        # The lease was acquired less than 0.2 s ago, so it has not ended yet.
        await asyncio.sleep(LEASE_S * 0.6)
        assert not lease.is_held
        await lease.close()

    run_with_store(scenario)


def test_figures_are_frozen_before_they_are_sent(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        lease, calls = make_lease(store, "h1"), FakeDutyCalls()
        counts = UsageCounts(window_s=5.0)
        counts.add("north", 1001.0)
        await lease.start()
        key = f"{usage_reporting.FROZEN_PREFIX}200"
        frozen_when_sent: list[bool] = []
        calls.on_report = lambda: frozen_when_sent.append(
            key in standin.entries
        )
        reporter = make_reporter(store, calls, lease, counts)
        await reporter.start()
        await asyncio.sleep(0.4)
        assert [(w, c) for w, c, _ in calls.reports] == [(200, {"north": 1})]
        assert frozen_when_sent == [True]
        await reporter.close()
        await lease.close()

    run_with_store(scenario)


@pytest.mark.parametrize(
    ("agreed_time_s", "reported"),
    [(1008.0, False), (1012.0, False), (1013.0, True)],
)
def test_counts_of_a_silent_host_are_waited_for_while_there_is_time(
    run_with_store: RunWithStore, agreed_time_s: float, reported: bool
) -> None:
    """While hosts were cut off, a report lacked a fifth of its window's runs.

    The window ends at 1005 and is due at 1015.
    """

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        lease, calls = make_lease(store, "h1"), FakeDutyCalls()
        counts = UsageCounts(window_s=5.0)
        counts.add("north", 1001.0)
        await lease.start()
        reporter = make_reporter(
            store, calls, lease, counts, agreed_time_s, counted=0.7
        )
        await reporter.start()
        await asyncio.sleep(0.4)
        assert (200 in [window for window, _, _ in calls.reports]) == reported
        await reporter.close()
        await lease.close()

    run_with_store(scenario)


@pytest.mark.parametrize(
    ("counted", "reported"), [(1.0, True), (66 / 67, True), (8 / 9, False)]
)
def test_a_new_holder_reports_at_once_if_all_have_sent_their_counts(
    run_with_store: RunWithStore,
    monkeypatch: pytest.MonkeyPatch,
    counted: float,
    reported: bool,
) -> None:
    """After a long store outage a window can be due before the warm-up ends."""
    monkeypatch.setattr(usage_reporting, "HOLDER_WARMUP_S", 60.0)

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        lease, calls = make_lease(store, "h1"), FakeDutyCalls()
        counts = UsageCounts(window_s=5.0)
        counts.add("north", 1001.0)
        await lease.start()
        reporter = make_reporter(
            store, calls, lease, counts, 1014.0, counted=counted
        )
        await reporter.start()
        await asyncio.sleep(0.4)
        assert (200 in [window for window, _, _ in calls.reports]) == reported
        await reporter.close()
        await lease.close()

    run_with_store(scenario)


def test_another_holder_sends_the_figures_that_were_frozen(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        standin.put(f"{usage_reporting.FROZEN_PREFIX}200", b'{"north": 7}')
        lease, calls = make_lease(store, "h2"), FakeDutyCalls()
        counts = UsageCounts(window_s=5.0)
        counts.add("north", 1001.0)
        await lease.start()
        reporter = make_reporter(store, calls, lease, counts)
        await reporter.start()
        await asyncio.sleep(0.4)
        assert [(w, c) for w, c, _ in calls.reports] == [(200, {"north": 7})]
        await reporter.close()
        await lease.close()

    run_with_store(scenario)


def test_a_freeze_without_a_response_is_read_back(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        lease, calls = make_lease(store, "h1"), FakeDutyCalls()
        counts = UsageCounts(window_s=5.0)
        counts.add("north", 1001.0)
        await lease.start()
        await asyncio.sleep(0.2)
        standin.unanswered_calls.add("kv-txn")
        reporter = make_reporter(store, calls, lease, counts)
        await reporter.start()
        await asyncio.sleep(0.3)
        counts.add("north", 1002.0)
        standin.unanswered_calls.clear()
        await asyncio.sleep(1.2)
        # Sent once, and as frozen, though there are more counts by now.
        assert [(w, c) for w, c, _ in calls.reports] == [(200, {"north": 1})]
        await reporter.close()
        await lease.close()

    run_with_store(scenario)


def test_a_holder_that_was_fenced_off_stops(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        del standin
        lease, calls = make_lease(store, "h1"), FakeDutyCalls()
        calls.outcome = DutyOutcome.FENCED
        counts = UsageCounts(window_s=5.0)
        counts.add("north", 1001.0)
        await lease.start()
        reporter = make_reporter(store, calls, lease, counts)
        await reporter.start()
        await asyncio.sleep(0.4)
        assert not lease.is_held
        assert len(calls.reports) == 1
        await reporter.close()
        await lease.close()

    run_with_store(scenario)


def test_holder_ends_its_term_when_the_store_is_restored(
    run_with_store: RunWithStore,
) -> None:
    """Its lease may be gone, and another host may hold a newer one."""

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        first, second = make_lease(store, "h1"), make_lease(store, "h2")
        await first.start()
        await asyncio.sleep(0.2)
        old_token = first.fencing_token
        assert first.is_held
        backup = StoreStandIn()
        standin.restore(backup)
        first.record_store_restored()
        second.record_store_restored()
        await second.start()
        assert not first.is_held
        # A holder that has not noticed may act until its lease ends.
        await asyncio.sleep(LEASE_S * 0.8)
        assert not second.is_held
        await asyncio.sleep(LEASE_S * 0.6)
        assert second.is_held
        assert second.fencing_token > old_token
        await first.close()
        await second.close()

    run_with_store(scenario)


def test_counts_frozen_since_the_backup_are_stored_again(
    run_with_store: RunWithStore,
) -> None:
    """A later holder would freeze and report other counts for the window."""

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        lease, calls = make_lease(store, "h1"), FakeDutyCalls()
        counts = UsageCounts(window_s=5.0)
        counts.add("north", 1001.0)
        await lease.start()
        reporter = make_reporter(store, calls, lease, counts)
        await reporter.start()
        await asyncio.sleep(0.3)
        assert len(calls.reports) == 1
        key = f"{usage_reporting.FROZEN_PREFIX}200"
        frozen = standin.entries[key]["ValueData"]
        standin.restore(StoreStandIn())
        lease.record_store_restored()
        reporter.record_store_restored()
        await asyncio.sleep(0.1)
        assert standin.entries[key]["ValueData"] == frozen
        # Another host, which has counted more since, takes over.
        successor, more = make_lease(store, "h2"), UsageCounts(window_s=5.0)
        more.add("north", 1001.0)
        more.add("north", 1002.0)
        other = make_reporter(store, calls, successor, more)
        await successor.start()
        await other.start()
        await asyncio.sleep(0.4)
        assert [c for _, c, _ in calls.reports] == [{"north": 1}, {"north": 1}]
        for part in (other, successor, reporter, lease):
            await part.close()

    run_with_store(scenario)


@pytest.mark.parametrize(
    ("lease_s", "may_act_for_s"), [(10.0, 8.0), (3.0, 2.4), (1.0, 0.5)]
)
def test_permission_ends_a_margin_before_the_lease(
    run_with_store: RunWithStore, lease_s: float, may_act_for_s: float
) -> None:
    """A call that is sent at the end of a lease arrives after it."""

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        del standin
        lease = DutyLease(store, "h1", lease_s, lambda: True)
        before_s = boot_s()
        await lease.start()
        await asyncio.sleep(0.1)
        assert lease.term is not None
        # Counted from before the lease was asked for.
        held_since_s = lease.held_since_s
        assert before_s <= held_since_s
        assert lease.term.expires_s == pytest.approx(
            held_since_s + may_act_for_s
        )
        await lease.close()
        assert lease.term is None

    run_with_store(scenario)


def test_call_carries_the_end_of_the_permission(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        del standin
        lease, calls = make_lease(store, "h1"), FakeDutyCalls()
        counts = UsageCounts(window_s=5.0)
        counts.add("north", 1001.0)
        await lease.start()
        reporter = make_reporter(store, calls, lease, counts)
        await reporter.start()
        await asyncio.sleep(0.3)
        assert len(calls.terms) == 1
        assert calls.terms[0].expires_s <= boot_s() + LEASE_S
        assert calls.terms[0].holder == "h1"
        await reporter.close()
        await lease.close()

    run_with_store(scenario)


def test_holder_stops_once_a_peer_has_a_higher_token(
    run_with_store: RunWithStore,
) -> None:
    """A platform that checks no tokens never tells it."""

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        del standin
        lease = make_lease(store, "h1")
        await lease.start()
        await asyncio.sleep(0.2)
        token = lease.fencing_token
        lease.record_peer_token(0)
        lease.record_peer_token(token - 1)
        assert lease.is_held
        lease.record_peer_token(token + 1)
        assert not lease.is_held
        assert lease.is_cooling_down
        await lease.close()

    run_with_store(scenario)


def test_process_that_starts_leaves_the_duties_to_others_at_first(
    run_with_store: RunWithStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """In a rolling restart a host could get the duties back at once."""
    monkeypatch.setattr(duty_lease, "START_COOLDOWN_LEASES", 1.0)

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        lease = make_lease(store, "h1")
        await lease.start()
        assert lease.is_cooling_down
        await asyncio.sleep(LEASE_S * 0.8)
        assert not lease.is_held
        assert "kv-lease" not in standin.calls
        await asyncio.sleep(LEASE_S * 0.5)
        assert lease.is_held
        await lease.close()

    run_with_store(scenario)


def test_first_start_of_a_fleet_needs_no_cooldown(
    run_with_store: RunWithStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Upstreams were ordered seconds later than they could be."""
    monkeypatch.setattr(duty_lease, "START_COOLDOWN_LEASES", 1.0)

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        del standin
        lease = DutyLease(
            store, "h1", LEASE_S, lambda: True, is_first_start=True
        )
        assert not lease.is_cooling_down
        await lease.start()
        await asyncio.sleep(0.2)
        assert lease.is_held
        await lease.close()

    run_with_store(scenario)


def test_lease_acquired_while_the_store_was_restored_is_returned(
    run_with_store: RunWithStore,
) -> None:
    """A holder from before the restore may still act."""

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        def is_candidate() -> bool:
            # The restore is noticed while the store is called.
            asyncio.get_running_loop().call_soon(lease.record_store_restored)
            return True

        lease = DutyLease(store, "h1", LEASE_S, is_candidate)
        await lease.start()
        await asyncio.sleep(0.2)
        assert not lease.is_held
        assert duty_lease.DUTY_KEY not in standin.entries
        await lease.close()

    run_with_store(scenario)
