"""Check that held prompts outlast all hosts, in the platform's store."""

from collections.abc import Callable
from collections.abc import Sequence

import pytest

from shallotfold._gateway.core.clocks import boot_s
from shallotfold._gateway.deciding.crashing_requests import CrashingRequests
from shallotfold._gateway.deciding.request_holds import REQUEST_TRIALS_AFTER_S
from shallotfold._gateway.deciding.request_holds import RequestHold
from shallotfold._gateway.deciding.request_traits import fingerprint_trait
from shallotfold._gateway.following import stored_holds
from shallotfold._gateway.following.stored_holds import HOLDS_PREFIX
from shallotfold._gateway.following.stored_holds import StoredHolds
from shallotfold.platform.store import PlatformStore
from tests.platform.conftest import StoreScenario
from tests.platform.store_standin import StoreStandIn

RunWithStore = Callable[[StoreScenario], None]


class Keeper:
    """A host's keeper of holds, with the holds that it read."""

    def __init__(
        self,
        store: PlatformStore,
        *,
        decided_here: bool = True,
        held_for_s: float = 0.0,
        is_follower: bool = True,
        is_first_start: bool = True,
        traits: frozenset[str] = frozenset({"bad"}),
        origin: str = "h1/a",
    ) -> None:
        self.prompts = CrashingRequests()
        self.read: list[Sequence[tuple[str, ...]]] = []
        self.is_isolated = False
        self.has_silent_peers = False
        hold = RequestHold(
            traits,
            boot_s() - held_for_s,
            decided_here=decided_here,
        )
        self.prompts.holds[hold.traits] = hold
        self.hold = hold
        self.keeper = StoredHolds(
            store,
            self.prompts,
            self.read.append,
            lambda: is_follower,
            lambda: self.is_isolated,
            lambda: self.has_silent_peers,
            origin=origin,
            is_first_start=is_first_start,
        )


def test_hold_is_stored_once_for_as_long_as_it_lasts(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        host = Keeper(store, held_for_s=100.0)
        await host.keeper.step()
        await host.keeper.step()
        assert host.hold.stored
        (key,) = standin.entries
        assert key.startswith(HOLDS_PREFIX)
        (lifetime_ms,) = standin.lifetime_ms_by_lease.values()
        assert 499_000 <= lifetime_ms <= 500_000
        assert standin.calls == ["kv-lease", "kv-txn"]

    run_with_store(scenario)


@pytest.mark.parametrize(
    "document",
    [
        b"?",
        b"[" * 100_000,
        b'{"parts": "bad"}',
        b'{"parts": []}',
        b'{"parts": [5]}',
        b'{"parts": [""]}',
        b'{"parts": {"bad": 1}}',
        b"{}",
        b"5",
    ],
)
def test_odd_document_holds_nothing_and_hides_no_hold(
    run_with_store: RunWithStore, document: bytes
) -> None:
    """One that was nested deeply made each host read the store without pause.

    The letters of a text were taken for parts of prompts.
    """

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        await Keeper(store).keeper.step()
        standin.put(f"{HOLDS_PREFIX}odd", document)
        host = Keeper(store, decided_here=False, is_first_start=False)
        await host.keeper.step()
        await host.keeper.step()
        assert host.read == [[("bad",)]]

    run_with_store(scenario)


def test_host_that_starts_reads_what_others_stored(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        await Keeper(store).keeper.step()
        standin.put(f"{HOLDS_PREFIX}damaged", b"?")
        host = Keeper(store, decided_here=False, is_first_start=False)
        await host.keeper.step()
        assert host.read == [[("bad",)]]
        await host.keeper.step()
        assert len(host.read) == 1

    run_with_store(scenario)


def test_hold_that_another_host_has_stored_leaves_no_lease(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        await Keeper(store).keeper.step()
        host = Keeper(store)
        await host.keeper.step()
        assert host.hold.stored
        assert len(standin.leases) == 1

    run_with_store(scenario)


@pytest.mark.parametrize("held_for_s", [0.0, 10.0])
@pytest.mark.parametrize("is_follower", [True, False])
def test_followers_store_what_the_deciding_host_has_not(
    run_with_store: RunWithStore, *, held_for_s: float, is_follower: bool
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        del standin
        host = Keeper(
            store,
            decided_here=False,
            held_for_s=held_for_s,
            is_follower=is_follower,
        )
        await host.keeper.step()
        assert host.hold.stored is (is_follower and held_for_s > 0.0)

    run_with_store(scenario)


def test_failed_call_is_made_again_after_a_while(
    run_with_store: RunWithStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        standin.error_status = 503
        host = Keeper(store)
        await host.keeper.step()
        standin.error_status = 0
        await host.keeper.step()
        assert not host.hold.stored
        after_s = boot_s() + 2.0 * stored_holds.RETRY_DELAY_S
        monkeypatch.setattr(stored_holds, "boot_s", lambda: after_s)
        await host.keeper.step()
        assert host.hold.stored

    run_with_store(scenario)


def test_holds_are_stored_again_after_a_restore(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        backup = standin.back_up()
        host = Keeper(store)
        await host.keeper.step()
        standin.restore(backup)
        host.keeper.record_store_restored()
        await host.keeper.step()
        assert any(key.startswith(HOLDS_PREFIX) for key in standin.entries)

    run_with_store(scenario)


def test_host_without_peers_keeps_reading(
    run_with_store: RunWithStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        host = Keeper(store, decided_here=False)
        host.is_isolated = True
        await host.keeper.step()
        assert host.read == [[]]
        standin.put(f"{HOLDS_PREFIX}x", b'{"parts": ["other"]}')
        after_s = boot_s() + stored_holds.ISOLATED_READ_INTERVAL_S + 0.1
        monkeypatch.setattr(stored_holds, "boot_s", lambda: after_s)
        await host.keeper.step()
        assert host.read == [[], [("other",)]]

    run_with_store(scenario)


def test_host_that_misses_peers_reads_when_an_upstream_has_ended(
    run_with_store: RunWithStore,
) -> None:
    """The others may hold what ended it, and have told only the store."""

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        del standin
        host = Keeper(store, decided_here=False)
        host.has_silent_peers = True
        await host.keeper.step()
        assert not host.read
        host.prompts.crash_seen_s = boot_s()
        await host.keeper.step()
        await host.keeper.step()
        assert host.read == [[]]

    run_with_store(scenario)


EQUAL_REQUESTS = frozenset({fingerprint_trait("0" * 32)})


def make_trial_keeper(store: PlatformStore, origin: str) -> Keeper:
    host = Keeper(
        store,
        held_for_s=REQUEST_TRIALS_AFTER_S[0] + 1.0,
        traits=EQUAL_REQUESTS,
        origin=origin,
    )
    host.hold.refused_s = boot_s()
    return host


def test_trial_of_equal_requests_is_claimed_by_one_host(
    run_with_store: RunWithStore,
) -> None:
    """Hosts that can't hear each other would each end an upstream."""

    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        first = make_trial_keeper(store, "h1/a")
        second = make_trial_keeper(store, "h2/b")
        for _ in range(2):
            await first.keeper.step()
            await second.keeper.step()
        assert first.hold.trial_claimed
        assert not second.hold.trial_claimed
        assert first.hold.trials == second.hold.trials == 1
        # One lease of the hold, one of the claim.
        assert len(standin.leases) == 2

    run_with_store(scenario)


def test_trial_is_not_claimed_while_no_such_request_comes(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        del standin
        host = make_trial_keeper(store, "h1/a")
        host.hold.refused_s = boot_s() - 10.0
        await host.keeper.step()
        assert host.hold.stored
        assert not host.hold.trials

    run_with_store(scenario)


def test_claim_whose_response_was_lost_is_found_again(
    run_with_store: RunWithStore,
) -> None:
    async def scenario(store: PlatformStore, standin: StoreStandIn) -> None:
        del standin
        await make_trial_keeper(store, "h1/a").keeper.step()
        again = make_trial_keeper(store, "h1/a")
        await again.keeper.step()
        assert again.hold.trial_claimed

    run_with_store(scenario)
