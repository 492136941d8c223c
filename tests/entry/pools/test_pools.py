import attrs

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.pools import floors
from shallotfold._entry.pools import speed_evaluation
from shallotfold._entry.pools.ownership import rendezvous
from shallotfold._entry.state.fair_share import FairShare
from shallotfold._entry.state.limits_state import SlidingCount
from shallotfold._entry.state.prefix_index import PrefixIndex
from shallotfold._entry.state.upstream_health import UpstreamHealth
from shallotfold._entry.state.upstream_health import eject_stragglers
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import RefusalCode
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState
from shallotfold._model.upstreams import UpstreamLoad
from shallotfold._wire import grant_messages
from tests.entry.reducer_driver import CONFIGURATION
from tests.entry.reducer_driver import Entry
from tests.entry.reducer_driver import make_entry
from tests.entry.reducer_driver import make_upstream
from tests.entry.reducer_driver import refusals
from tests.entry.reducer_driver import started


def test_higher_tier_goes_first() -> None:
    entry = make_entry()
    entry.arrive("running")
    entry.arrive("low", class_name="tags")
    entry.arrive("high")
    assert started(entry.end("running", Outcome.RAN)) == ["high"]


def test_lower_tier_is_preempted_before_a_higher_one_is_refused() -> None:
    entry = make_entry()
    entry.arrive("low", class_name="tags")
    entry.arrive("high")
    new_effects = entry.wait(1.5)
    assert effects.CancelAttempt(request_id="low", attempt=1) in new_effects
    assert started(new_effects) == ["high"]
    assert refusals(new_effects) == []


def test_request_that_can_not_start_in_time_is_refused_as_not_run() -> None:
    entry = make_entry()
    entry.arrive("first")
    entry.arrive("second")
    refused = refusals(entry.wait(1.5))
    assert [e.request_id for e in refused] == ["second"]
    assert refused[0].refusal.code is RefusalCode.TARGET_MISSED
    assert refused[0].refusal.outcome is Outcome.NOT_RUN
    assert refused[0].refusal.retry_after_s


def make_entry_with_floor() -> Entry:
    classes = dict(CONFIGURATION.classes_by_name)
    classes["tags"] = attrs.evolve(classes["tags"], floor_share=0.1)
    return make_entry(attrs.evolve(CONFIGURATION, classes_by_name=classes))


def test_floor_goes_ahead_of_a_busy_higher_tier_once() -> None:
    entry = make_entry_with_floor()
    entry.arrive("high-0")
    entry.arrive("low-0", class_name="tags")
    entry.arrive("low-1", class_name="tags")
    entry.arrive("high-1")
    entry.arrive("high-2")
    ended = entry.end("high-0", Outcome.RAN, output_tokens=200)
    assert started(ended) == ["low-0"]
    ended = entry.end("low-0", Outcome.RAN, output_tokens=200)
    assert started(ended) == ["high-1"]


def test_victim_runs_where_the_urgent_request_may_run() -> None:
    entry = make_entry()
    for name in ("low-0", "low-1"):
        entry.arrive(name, model="two", class_name="tags")
        entry.wait(0.1)
    probed = entry.state.requests.open_by_id["low-1"].upstream
    entry.state.pools.health_by_upstream[probed].probing = True
    entry.arrive("high", model="two")
    new_effects = entry.wait(1.5)
    cancelled = [e for e in new_effects if isinstance(e, effects.CancelAttempt)]
    assert [e.request_id for e in cancelled] == ["low-0"]
    assert "high" in started(new_effects)


def test_floor_attempt_is_not_preempted() -> None:
    entry = make_entry_with_floor()
    entry.arrive("low", class_name="tags")
    entry.arrive("high")
    new_effects = entry.wait(1.5)
    assert [
        e for e in new_effects if isinstance(e, effects.CancelAttempt)
    ] == []
    assert [e.request_id for e in refusals(new_effects)] == ["high"]


def test_workspaces_take_turns_by_cost() -> None:
    entry = make_entry()
    entry.arrive("running")
    for number in range(3):
        entry.arrive(f"north-{number}", prompt_tokens=100)
    entry.arrive("south-0", key_sha256="south", prompt_tokens=100)
    order = []
    for _ in range(3):
        current = next(
            id_
            for id_, open_request in entry.state.requests.open_by_id.items()
            if open_request.phase.value == "running"
        )
        order += started(entry.end(current, Outcome.RAN, output_tokens=50))
    assert order.index("south-0") < 2


def test_queued_request_of_a_disconnected_caller_is_never_started() -> None:
    entry = make_entry()
    entry.arrive("running")
    entry.arrive("gone")
    entry.feed(events.CallerDisconnected(now_s=entry.now_s, request_id="gone"))
    assert started(entry.end("running", Outcome.RAN)) == []


def test_attempt_without_streaming_moves_off_a_silent_upstream() -> None:
    entry = make_entry()
    entry.arrive("r1", model="two", class_name="tags")
    silent = entry.state.requests.open_by_id["r1"].upstream
    entry.wait(3.0)
    for _ in range(3):
        failed = events.LoadFetchFailed(now_s=entry.now_s, upstream=silent)
        entry.feed(failed)
    assert started(entry.wait(0.2)) == ["r1"]
    assert entry.state.requests.open_by_id["r1"].upstream != silent


def test_leaving_upstream_gets_no_new_requests() -> None:
    entry = make_entry()
    for name in ("a1", "a2"):
        load = UpstreamLoad(running=0, queued=0, slots=1, leaving=name == "a1")
        entry.feed(
            events.LoadReported(now_s=entry.now_s, upstream=name, load=load)
        )
    entry.arrive("r1", model="two")
    assert entry.state.requests.open_by_id["r1"].upstream == "a2"


def test_upstream_listed_as_leaving_gets_no_requests() -> None:
    entry = make_entry()
    record = HostRecord(
        name="m1",
        role=HostRole.UPSTREAM,
        state=HostState.LEAVING,
        data_centre="a",
        address="",
    )
    entry.feed(events.HostsListed(now_s=entry.now_s, hosts=[record]))
    entry.feed(
        events.VersionConfirmed(
            now_s=entry.now_s, version=1, read_started_s=entry.now_s
        )
    )
    assert started(entry.arrive("r1")) == []


def test_workspace_limit_is_enforced() -> None:
    entry = make_entry()
    entry.arrive("r1", key_sha256="small")
    entry.arrive("r2", key_sha256="small")
    refusal = refusals(entry.arrive("r3", key_sha256="small"))[0].refusal
    assert refusal.code is RefusalCode.RATE_LIMITED
    assert refusal.outcome is Outcome.NOT_RUN


def test_sliding_count_forgets_after_a_minute() -> None:
    count = SlidingCount()
    count.add(10.0, 30.0)
    assert count.total(59.0) == 10.0
    assert 0.0 < count.total(90.0) < 10.0
    assert count.total(180.0) == 0.0


def test_idle_name_earns_no_credit() -> None:
    share = FairShare()
    share.activate("busy")
    for _ in range(10):
        share.charge_estimate("busy", 10.0, 1.0)
    share.activate("idle")
    share.charge_estimate("idle", 10.0, 1.0)
    share.charge_estimate("idle", 10.0, 1.0)
    assert share.least_served_first(["busy", "idle"]) == ["busy", "idle"]


def test_turn_lost_to_an_expired_request_is_kept_for_the_next() -> None:
    share = FairShare(idle_credit=300.0)
    share.activate("busy")
    share.activate("small")
    for _ in range(10):
        share.charge_estimate("busy", 100.0, 1.0)
    share.activate("small")
    share.activate("late")
    share.charge_estimate("small", 100.0, 1.0)
    assert share.least_served_first(["busy", "small", "late"])[0] == "late"
    assert share.least_served_first(["busy", "small"]) == ["small", "busy"]
    assert share.virtual_time_by_name["late"] == share.virtual_time - 300.0


def test_class_uses_its_floor_elsewhere_while_an_upstream_is_slow() -> None:
    entry = make_entry_with_floor()
    entry.arrive("high-0")
    entry.arrive("low-0", class_name="tags")
    entry.arrive("high-1")
    ended = entry.end("high-0", Outcome.RAN, output_tokens=200)
    assert started(ended) == ["low-0"]
    pool = next(iter(entry.state.pools.pools_by_name.values()))
    slow = entry.state.requests.open_by_id["low-0"].upstream
    now_s = entry.now_s
    assert floors.free_floor_slots(entry.state, pool, "tags", now_s) == 0
    entry.state.pools.health_by_upstream[slow].slow = True
    speed_evaluation.evaluate_speed(entry.state, pool, now_s)
    assert floors.free_floor_slots(entry.state, pool, "tags", now_s) == 1


def test_entry_in_a_minority_partition_uses_only_its_share() -> None:
    upstreams = {"m1": make_upstream("m1", model="one", slots=18)}
    entry = make_entry(attrs.evolve(CONFIGURATION, upstreams_by_name=upstreams))
    hosts = [
        HostRecord(
            name=f"e{number}",
            role=HostRole.ENTRY,
            state=HostState.LIVE,
            data_centre="a",
            address="",
        )
        for number in range(1, 10)
    ]
    entry.feed(events.HostsListed(now_s=entry.now_s, hosts=hosts))
    entry.feed(
        events.VersionConfirmed(
            now_s=entry.now_s, version=1, read_started_s=entry.now_s
        )
    )
    for number in range(5):
        entry.arrive(f"r{number}")
    assert started(entry.all_effects) == ["r0", "r1"]


def test_silent_owner_is_replaced_within_the_first_token_target() -> None:
    entry = make_entry()
    for peer in ("e2", "e3"):
        entry.feed(events.PeerConnected(now_s=entry.now_s, host=peer))
    entry.feed(
        events.VersionConfirmed(
            now_s=entry.now_s, version=1, read_started_s=entry.now_s
        )
    )
    first = rendezvous("model/one#0", ("e1", "e2", "e3"))
    assert first != "e1", "the test needs another owner"
    entry.arrive("r1")
    new_effects = entry.wait(0.3)
    requested_hosts = [
        e.host
        for e in new_effects
        if isinstance(e, effects.SendToPeer)
        and isinstance(e.message, grant_messages.GrantRequest)
    ]
    assert first not in requested_hosts
    assert requested_hosts or started(new_effects) == ["r1"]


def grants_after_request(entry: Entry, slack_s: float) -> list[str]:
    request = grant_messages.GrantRequest(
        pool="model/one#0",
        request_id="r1",
        attempt=1,
        class_name="tags",
        workspace="north",
        prompt_tokens=1,
        output_tokens=1,
        waited_s=0.0,
        slack_s=slack_s,
        redirects=1,
    )
    new_effects = entry.feed(
        events.PeerMessageReceived(
            now_s=entry.now_s, host="e2", message=request
        )
    )
    return [
        e.message.upstream
        for e in new_effects
        if isinstance(e, effects.SendToPeer)
        and isinstance(e.message, grant_messages.Grant)
    ]


def test_new_owner_grants_only_urgent_requests_until_announcements_arrive() -> (
    None
):
    for slack_s, expected in ((20.0, []), (0.5, ["m1"])):
        entry = make_entry()
        entry.feed(events.PeerConnected(now_s=entry.now_s, host="e2"))
        assert grants_after_request(entry, slack_s) == expected
        entry.wait(0.5)
        pool = entry.state.pools.pools_by_name["model/one#0"]
        assert list(pool.running_by_attempt) == [("r1", 1)]


def test_few_pools_move_when_an_entry_leaves() -> None:
    hosts = tuple(f"e{index}" for index in range(9))
    pools = [f"pool-{index}" for index in range(200)]
    moved = [
        pool
        for pool in pools
        if rendezvous(pool, hosts) != rendezvous(pool, hosts[1:])
    ]
    assert all(rendezvous(pool, hosts) == "e0" for pool in moved)


def test_only_part_of_a_pool_is_ejected_as_slow() -> None:
    healths = [UpstreamHealth(gap_s=0.02) for _ in range(3)]
    healths += [UpstreamHealth(gap_s=0.2) for _ in range(3)]
    assert len(eject_stragglers(healths, 6, 0.0)) == 2


def test_straggler_is_probed_and_readmitted() -> None:
    healths = [UpstreamHealth(gap_s=0.02) for _ in range(3)]
    slow = UpstreamHealth(gap_s=0.2)
    eject_stragglers([*healths, slow], 4, 0.0)
    assert slow.limit(8, 0.5) == 0
    assert slow.limit(8, 2.0) == 1
    slow.gap_s = 0.02
    eject_stragglers([*healths, slow], 4, 2.0)
    assert slow.limit(8, 2.0) == 8


def test_prefix_index_follows_added_and_removed_prefixes() -> None:
    index = PrefixIndex()
    index.add("m1", ["a", "ab"])
    assert index.hit_ratio("m1", ("a", "ab", "abc", "abcd")) == 0.5
    index.remove("m1", ["ab"])
    assert index.hit_ratio("m1", ("a", "ab", "abc", "abcd")) == 0.25
    index.replace("m1", ["x"])
    assert index.hit_ratio("m1", ("a", "ab")) == 0.0
