"""Check where requests go under the most difficult loads."""

from hypothesis import given
from hypothesis import strategies as st

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import PromptPart
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding.engine_set import EngineSet
from shallotfold._gateway.deciding.events import RequestLoad
from shallotfold._gateway.deciding.placement import PREFIX_CACHE_LIFETIME_S
from shallotfold._gateway.deciding.placement import Placement
from tests.gateway.factories import make_prompt
from tests.gateway.factories import make_upstream

NOW_S = 50.0
LONG_PROMPT = make_prompt("site-1", shared=5400)
CHAT_PROMPT = Prompt(
    model="m",
    parts=(PromptPart("hello", 200), PromptPart("own", 400)),
    prompt_tokens=600,
)


def make_engines(count: int, slots: int) -> list[Upstream]:
    return [make_upstream(f"e{number}", slots=slots) for number in range(count)]


def choose_id(
    placement: Placement, engines: list[Upstream], prompt: Prompt
) -> str:
    upstream = placement.choose_upstream(EngineSet.of(engines), prompt, NOW_S)
    assert upstream is not None
    return upstream.upstream_id


class TestLongPromptsBesideChats:
    """The prefill of long prompts slows every other stream of an engine."""

    def test_chats_avoid_the_engines_of_long_prompts(self) -> None:
        engines = make_engines(20, 12)
        placement = Placement(data_centre="a")
        long_ids = EngineSet.of(engines).preferred_ids(LONG_PROMPT)
        for request in range(60):
            chosen = choose_id(placement, engines, CHAT_PROMPT)
            assert chosen not in long_ids
            placement.loads.start_request(chosen, request, 600)
            placement.loads.record_first_byte(chosen, request)

    def test_a_full_partition_overflows_into_the_other(self) -> None:
        """In bursts, prompts waited seconds; other engines had free slots."""
        engines = make_engines(20, 12)
        placement = Placement(data_centre="a")
        long_ids = EngineSet.of(engines).preferred_ids(LONG_PROMPT)
        number = 0
        for engine in long_ids:
            for _ in range(13):
                number += 1
                placement.loads.start_request(engine, number, 0)
        assert choose_id(placement, engines, LONG_PROMPT) not in long_ids

    def test_small_engine_sets_are_not_partitioned(self) -> None:
        engines = make_engines(3, 128)
        assert len(EngineSet.of(engines).preferred_ids(LONG_PROMPT)) == 3
        assert len(EngineSet.of(engines).preferred_ids(CHAT_PROMPT)) == 3

    def test_partitions_hardly_change_when_an_engine_leaves(self) -> None:
        engines = make_engines(40, 12)
        before = EngineSet.of(engines).preferred_ids(LONG_PROMPT)
        after = EngineSet.of(engines[1:]).preferred_ids(LONG_PROMPT)
        assert len(before ^ after) <= 2


class TestHotPrefix:
    """Much of the traffic shares one prefix, too much for its home."""

    def test_all_hosts_overflow_to_the_same_second_home(self) -> None:
        engines = make_engines(20, 12)
        first, second = EngineSet.of(engines).homes_of(LONG_PROMPT)
        chosen = set()
        for host in range(6):
            placement = Placement(data_centre="a")
            # Peers report that the home is full.
            placement.loads.record_peer_loads(
                f"peer{host}", {first: RequestLoad(14, 9000)}, NOW_S
            )
            chosen.add(choose_id(placement, engines, LONG_PROMPT))
        assert chosen == {second}


class TestMovedPrefixes:
    """Engines join and leave, so a prefix is cached where it was last sent."""

    def test_all_hosts_follow_a_prefix_to_its_holder(self) -> None:
        """In bursts, a third of the shared tokens needed a second prefill."""
        engines = make_engines(20, 12)
        sender, receiver = (Placement(data_centre="a") for _ in range(2))
        (home, _) = EngineSet.of(engines).homes_of(LONG_PROMPT)
        other = next(
            name
            for name in sorted(EngineSet.of(engines).preferred_ids(LONG_PROMPT))
            if name != home
        )
        sender.prefixes.record_send(LONG_PROMPT, other, NOW_S)
        for prefix_id, upstream in sender.prefixes.take_unannounced():
            receiver.prefixes.record(prefix_id, upstream, NOW_S)
        assert choose_id(receiver, engines, LONG_PROMPT) == other
        assert sender.prefixes.take_unannounced() == []

    def test_expired_holders_of_a_hot_prefix_are_dropped(self) -> None:
        prefixes = Placement(data_centre="a").prefixes
        for number in range(1000):
            prefixes.record("site-1", f"e{number}", NOW_S + number)
        holders = prefixes.holders("site-1", NOW_S + 999)
        assert len(holders) <= PREFIX_CACHE_LIFETIME_S + 1
        assert prefixes.holders("site-1", NOW_S + 5000) == set()

    def test_a_holder_that_left_the_fleet_is_ignored(self) -> None:
        engines = make_engines(20, 12)
        placement = Placement(data_centre="a")
        placement.prefixes.record("site-1", "gone", NOW_S)
        (home, _) = EngineSet.of(engines).homes_of(LONG_PROMPT)
        assert choose_id(placement, engines, LONG_PROMPT) == home


class TestBurstOfLongPrompts:
    """Long prompts queue at a holder of their prefix or repeat its prefill."""

    def test_a_prompt_with_a_long_target_waits_for_its_cached_prefix(
        self,
    ) -> None:
        """In bursts, 38% of the shared tokens needed a second prefill.

        The holder has half a second of prefill queued; a second prefill of the
        shared prefix elsewhere costs the fleet more than that wait.
        """
        engines = EngineSet.of(make_engines(20, 16))
        placement = Placement(data_centre="a")
        holder, _ = engines.homes_of(LONG_PROMPT)
        placement.prefixes.record("site-1", holder, NOW_S)
        placement.loads.record_peer_loads(
            "peer", {holder: RequestLoad(6, 56_000)}, NOW_S
        )
        with_long_target = placement.choose_upstream(
            engines, LONG_PROMPT, NOW_S, target_s=1.5
        )
        with_short_target = placement.choose_upstream(
            engines, LONG_PROMPT, NOW_S, target_s=0.25
        )
        assert with_long_target is not None
        assert with_short_target is not None
        assert with_long_target.upstream_id == holder
        assert with_short_target.upstream_id != holder

    def test_hosts_overflow_from_a_full_holder_to_the_homes(self) -> None:
        engines = EngineSet.of(make_engines(40, 16))
        homes = engines.homes_of(LONG_PROMPT)
        holder = next(n for n in sorted(engines.by_id) if n not in homes)
        chosen = set()
        for host in range(8):
            placement = Placement(data_centre="a")
            placement.prefixes.record("site-1", holder, NOW_S)
            peer_loads = {
                holder: RequestLoad(40, 90_000),
                f"e{host + 10}": RequestLoad(1, 0),
            }
            placement.loads.record_peer_loads("peer", peer_loads, NOW_S)
            upstream = placement.choose_upstream(
                engines, LONG_PROMPT, NOW_S, target_s=1.5
            )
            assert upstream is not None
            chosen.add(upstream.upstream_id)
        assert chosen <= set(homes)


class TestManyHosts:
    """Hosts learn of each other's requests almost a second later."""

    def test_hosts_don_t_all_choose_the_same_idle_engine(
        self,
    ) -> None:
        """In a burst, one engine that looked idle got 25 chats in 0.3 s."""
        engines = EngineSet.of(make_engines(90, 16))
        peer_loads = {name: RequestLoad(5, 900) for name in engines.by_id}
        idle = sorted(engines.preferred_ids(CHAT_PROMPT))[0]
        del peer_loads[idle]
        chosen = []
        for number in range(67):
            placement = Placement(data_centre="a", host_count=67)
            placement.loads.record_peer_loads("peer", peer_loads, NOW_S)
            prompt = make_prompt(f"chat-{number}", shared=200)
            upstream = placement.choose_upstream(
                engines, prompt, NOW_S, draw=number / 67
            )
            assert upstream is not None
            chosen.append(upstream.upstream_id)
        assert chosen.count(idle) < 67 / 2

    def test_an_idle_engine_is_found_when_all_sampled_ones_are_full(
        self,
    ) -> None:
        engines = EngineSet.of(make_engines(90, 16))
        idle = max(engines.by_id)
        peer_loads = {
            name: RequestLoad(60, 900) for name in engines.by_id if name != idle
        }
        placement = Placement(data_centre="a", host_count=67)
        placement.loads.record_peer_loads("peer", peer_loads, NOW_S)
        chosen = placement.choose_upstream(engines, CHAT_PROMPT, NOW_S)
        assert chosen is not None
        assert chosen.upstream_id == idle


class TestThousandsOfEngines:
    """The cost of placing a request must not grow with the fleet."""

    def test_a_cached_prefix_is_found_in_a_large_fleet(self) -> None:
        engines = EngineSet.of(make_engines(3000, 16))
        holder = max(engines.by_id)
        placement = Placement(data_centre="a", host_count=300)
        placement.prefixes.record("site-1", holder, NOW_S)
        chosen = placement.choose_upstream(
            engines, LONG_PROMPT, NOW_S, target_s=1.5
        )
        assert chosen is not None
        assert chosen.upstream_id == holder

    def test_homes_do_not_depend_on_the_order_of_engines(self) -> None:
        engines = make_engines(3000, 16)
        first = EngineSet.of(engines).homes_of(LONG_PROMPT)
        assert EngineSet.of(reversed(engines)).homes_of(LONG_PROMPT) == first


class TestEnginesWithFewSlots:
    """One slot decides whether a request waits for seconds."""

    def test_a_free_engine_wins_over_a_full_home(self) -> None:
        engines = make_engines(10, 12)
        placement = Placement(data_centre="a")
        (first, _) = EngineSet.of(engines).homes_of(LONG_PROMPT)
        for request in range(12):
            placement.loads.start_request(first, request, 0)
            placement.loads.record_first_byte(first, request)
        assert choose_id(placement, engines, LONG_PROMPT) != first

    def test_a_busy_home_with_free_slots_keeps_its_prefix(self) -> None:
        engines = make_engines(10, 12)
        placement = Placement(data_centre="a")
        (first, _) = EngineSet.of(engines).homes_of(LONG_PROMPT)
        for request in range(8):
            placement.loads.start_request(first, request, 600)
        assert choose_id(placement, engines, LONG_PROMPT) == first


class TestFailingUpstreams:
    """Some upstreams fail their requests and so look idle."""

    def test_an_upstream_that_fails_fast_does_not_attract_requests(
        self,
    ) -> None:
        engines = make_engines(4, 12)
        placement = Placement(data_centre="a")
        failing = "e1"
        sent = 0
        for request in range(30):
            chosen = choose_id(placement, engines, CHAT_PROMPT)
            if chosen == failing:
                sent += 1
                placement.health.record_failure(failing, NOW_S)
            else:
                placement.loads.start_request(chosen, request, 600)
                placement.loads.record_first_byte(chosen, request)
        assert sent <= 6

    def test_ejected_upstreams_are_used_when_no_other_is_left(self) -> None:
        engines = make_engines(2, 12)
        placement = Placement(data_centre="a")
        for engine in engines:
            placement.health.record_unreachable(engine.upstream_id, NOW_S)
        assert choose_id(placement, engines, CHAT_PROMPT) in {"e0", "e1"}


class TestAnyFleetState:
    """Properties that hold for any loads, failures and fleet sizes."""

    @given(
        host_count=st.integers(1, 400),
        requests=st.lists(st.integers(0, 45), min_size=1, max_size=30),
        replaced=st.sets(st.integers(0, 29)),
        ejected=st.sets(st.integers(0, 29)),
        tried=st.sets(st.integers(0, 29)),
        target_s=st.floats(0.05, 5.0),
    )
    def test_an_upstream_with_capacity_is_chosen_if_there_is_one(
        self,
        host_count: int,
        requests: list[int],
        replaced: set[int],
        ejected: set[int],
        tried: set[int],
        target_s: float,
    ) -> None:
        engines = EngineSet.of(make_engines(len(requests), 16))
        placement = Placement(data_centre="a", host_count=host_count)
        peer_loads = {
            f"e{n}": RequestLoad(c, 0) for n, c in enumerate(requests)
        }
        placement.loads.record_peer_loads("peer", peer_loads, NOW_S)
        for number in replaced:
            placement.health.record_replaced(f"e{number}")
        for number in ejected:
            placement.health.record_unreachable(f"e{number}", NOW_S)
        eligible = {
            number
            for number, count in enumerate(requests)
            if count < 40 and number not in replaced | tried
        }
        chosen = placement.choose_upstream(
            engines, LONG_PROMPT, NOW_S, target_s, {f"e{n}" for n in tried}
        )
        if not eligible:
            assert chosen is None
            return
        assert chosen is not None
        number = int(chosen.upstream_id[1:])
        assert number in (eligible - ejected or eligible)
