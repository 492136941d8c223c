"""Check where requests go under the loads that hurt most."""

from hypothesis import given
from hypothesis import strategies as st

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import PromptPart
from shallotfold._gateway.core.model import Upstream
from shallotfold._gateway.deciding.engine_set import EngineSet
from shallotfold._gateway.deciding.events import PeerLoad
from shallotfold._gateway.deciding.placement import PREFIX_CACHE_LIFETIME_S
from shallotfold._gateway.deciding.placement import Placement
from tests.gateway.making import make_prompt
from tests.gateway.making import make_upstream

NOW_S = 50.0
LONG = make_prompt("site-1", shared=5400)
CHAT = Prompt(
    model="m",
    parts=(PromptPart("hello", 200), PromptPart("own", 400)),
    prompt_tokens=600,
)


def make_engines(count: int, slots: int) -> list[Upstream]:
    return [make_upstream(f"e{number}", slots=slots) for number in range(count)]


def choose(
    placement: Placement, engines: list[Upstream], prompt: Prompt
) -> str:
    upstream = placement.choose_upstream(EngineSet.of(engines), prompt, NOW_S)
    assert upstream is not None
    return upstream.upstream_id


class TestLongPromptsBesideChats:
    """Long prompts slow the tokens of every stream beside them."""

    def test_chats_stay_off_the_engines_of_long_prompts(self) -> None:
        engines = make_engines(20, 12)
        placement = Placement(data_centre="a")
        long_ids = EngineSet.of(engines).preferred_ids(LONG)
        for request in range(60):
            chosen = choose(placement, engines, CHAT)
            assert chosen not in long_ids
            placement.loads.start_request(chosen, request, 600)
            placement.loads.record_first_byte(chosen, request)

    def test_a_full_side_uses_the_free_slots_of_the_other(self) -> None:
        """Found on a day of bursts: prompts waited seconds beside room."""
        engines = make_engines(20, 12)
        placement = Placement(data_centre="a")
        long_ids = EngineSet.of(engines).preferred_ids(LONG)
        number = 0
        for engine in long_ids:
            for _ in range(13):
                number += 1
                placement.loads.start_request(engine, number, 0)
        assert choose(placement, engines, LONG) not in long_ids

    def test_few_engines_are_shared(self) -> None:
        engines = make_engines(3, 128)
        assert len(EngineSet.of(engines).preferred_ids(LONG)) == 3
        assert len(EngineSet.of(engines).preferred_ids(CHAT)) == 3

    def test_the_division_hardly_moves_when_an_engine_leaves(self) -> None:
        engines = make_engines(40, 12)
        before = EngineSet.of(engines).preferred_ids(LONG)
        after = EngineSet.of(engines[1:]).preferred_ids(LONG)
        assert len(before ^ after) <= 2


class TestHotPrefix:
    """Much of the traffic shares one prefix; its home can't take it all."""

    def test_all_hosts_spill_to_the_same_second_home(self) -> None:
        engines = make_engines(20, 12)
        first, second = EngineSet.of(engines).homes_of(LONG)
        chosen = set()
        for host in range(6):
            placement = Placement(data_centre="a")
            # Peers say that the home is full.
            placement.loads.record_peer_loads(
                f"peer{host}", {first: PeerLoad(14, 9000)}, NOW_S
            )
            chosen.add(choose(placement, engines, LONG))
        assert chosen == {second}


class TestPrefixesThatMoved:
    """Engines come and go, so that a prefix lies where it was sent last."""

    def test_all_hosts_follow_a_prefix_to_where_it_lies(self) -> None:
        """Found on a day of bursts: a third of shared tokens was reread."""
        engines = make_engines(20, 12)
        sender, listener = (Placement(data_centre="a") for _ in range(2))
        (home, _) = EngineSet.of(engines).homes_of(LONG)
        other = next(
            name
            for name in sorted(EngineSet.of(engines).preferred_ids(LONG))
            if name != home
        )
        sender.prefixes.record_send(LONG, other, NOW_S)
        for key, upstream in sender.prefixes.take_unannounced():
            listener.prefixes.record(key, upstream, NOW_S)
        assert choose(listener, engines, LONG) == other
        assert sender.prefixes.take_unannounced() == []

    def test_old_holders_of_a_hot_prefix_take_no_memory(self) -> None:
        prefixes = Placement(data_centre="a").prefixes
        for number in range(1000):
            prefixes.record("site-1", f"e{number}", NOW_S + number)
        holders = prefixes.holders("site-1", NOW_S + 999)
        assert len(holders) <= PREFIX_CACHE_LIFETIME_S + 1
        assert prefixes.holders("site-1", NOW_S + 5000) == set()

    def test_a_holder_that_left_is_forgotten(self) -> None:
        engines = make_engines(20, 12)
        placement = Placement(data_centre="a")
        placement.prefixes.record("site-1", "gone", NOW_S)
        (home, _) = EngineSet.of(engines).homes_of(LONG)
        assert choose(placement, engines, LONG) == home


class TestBurstOfLongPrompts:
    """Long prompts queue where their shared part lies, or read it again."""

    def test_a_prompt_with_a_long_target_waits_for_its_shared_part(
        self,
    ) -> None:
        """Found on a day of bursts: 38% of shared tokens were read again.

        Half a second of reading lies before the prompt at its holder; reading
        the shared part elsewhere costs everybody more than that wait.
        """
        engines = EngineSet.of(make_engines(20, 16))
        placement = Placement(data_centre="a")
        holder, _ = engines.homes_of(LONG)
        placement.prefixes.record("site-1", holder, NOW_S)
        placement.loads.record_peer_loads(
            "peer", {holder: PeerLoad(6, 56_000)}, NOW_S
        )
        patient = placement.choose_upstream(engines, LONG, NOW_S, target_s=1.5)
        urgent = placement.choose_upstream(engines, LONG, NOW_S, target_s=0.25)
        assert patient is not None
        assert urgent is not None
        assert patient.upstream_id == holder
        assert urgent.upstream_id != holder

    def test_hosts_that_leave_a_full_holder_meet(self) -> None:
        engines = EngineSet.of(make_engines(40, 16))
        homes = engines.homes_of(LONG)
        holder = next(n for n in sorted(engines.by_id) if n not in homes)
        chosen = set()
        for host in range(8):
            placement = Placement(data_centre="a")
            placement.prefixes.record("site-1", holder, NOW_S)
            words = {
                holder: PeerLoad(40, 90_000),
                f"e{host + 10}": PeerLoad(1, 0),
            }
            placement.loads.record_peer_loads("peer", words, NOW_S)
            upstream = placement.choose_upstream(
                engines, LONG, NOW_S, target_s=1.5
            )
            assert upstream is not None
            chosen.add(upstream.upstream_id)
        assert chosen <= set(homes)


class TestManyHosts:
    """Hosts hear of each other's sends almost a second later."""

    def test_hosts_don_t_all_send_to_the_engine_that_was_idle_last(
        self,
    ) -> None:
        """Found on a day of bursts: one engine got 25 chats in 0.3 s."""
        engines = EngineSet.of(make_engines(90, 16))
        words = {name: PeerLoad(5, 900) for name in engines.by_id}
        idle = sorted(engines.preferred_ids(CHAT))[0]
        del words[idle]
        chosen = []
        for number in range(67):
            placement = Placement(data_centre="a", hosts=67)
            placement.loads.record_peer_loads("peer", words, NOW_S)
            prompt = make_prompt(f"chat-{number}", shared=200)
            upstream = placement.choose_upstream(
                engines, prompt, NOW_S, draw=number / 67
            )
            assert upstream is not None
            chosen.append(upstream.upstream_id)
        assert chosen.count(idle) < 67 / 2

    def test_an_idle_engine_is_found_when_all_drawn_ones_are_full(self) -> None:
        engines = EngineSet.of(make_engines(90, 16))
        idle = max(engines.by_id)
        words = {
            name: PeerLoad(60, 900) for name in engines.by_id if name != idle
        }
        placement = Placement(data_centre="a", hosts=67)
        placement.loads.record_peer_loads("peer", words, NOW_S)
        chosen = placement.choose_upstream(engines, CHAT, NOW_S)
        assert chosen is not None
        assert chosen.upstream_id == idle


class TestThousandsOfEngines:
    """What one request costs must not grow with the fleet."""

    def test_a_prefix_is_found_among_them(self) -> None:
        engines = EngineSet.of(make_engines(3000, 16))
        holder = max(engines.by_id)
        placement = Placement(data_centre="a", hosts=300)
        placement.prefixes.record("site-1", holder, NOW_S)
        chosen = placement.choose_upstream(engines, LONG, NOW_S, target_s=1.5)
        assert chosen is not None
        assert chosen.upstream_id == holder

    def test_all_hosts_agree_on_homes_without_talking(self) -> None:
        engines = make_engines(3000, 16)
        first = EngineSet.of(engines).homes_of(LONG)
        assert EngineSet.of(reversed(engines)).homes_of(LONG) == first


class TestEnginesWithFewSlots:
    """A slot more or less decides whether a request waits for seconds."""

    def test_a_free_engine_wins_over_a_full_home(self) -> None:
        engines = make_engines(10, 12)
        placement = Placement(data_centre="a")
        (first, _) = EngineSet.of(engines).homes_of(LONG)
        for request in range(12):
            placement.loads.start_request(first, request, 0)
            placement.loads.record_first_byte(first, request)
        assert choose(placement, engines, LONG) != first

    def test_a_busy_home_with_free_slots_keeps_its_prefix(self) -> None:
        engines = make_engines(10, 12)
        placement = Placement(data_centre="a")
        (first, _) = EngineSet.of(engines).homes_of(LONG)
        for request in range(8):
            placement.loads.start_request(first, request, 600)
        assert choose(placement, engines, LONG) == first


class TestFailingUpstreams:
    """A part of the upstreams fails while it looks idle."""

    def test_an_upstream_that_fails_fast_does_not_draw_requests(self) -> None:
        engines = make_engines(4, 12)
        placement = Placement(data_centre="a")
        bad = "e1"
        sent = 0
        for request in range(30):
            chosen = choose(placement, engines, CHAT)
            if chosen == bad:
                sent += 1
                placement.health.record_failure(bad, NOW_S)
            else:
                placement.loads.start_request(chosen, request, 600)
                placement.loads.record_first_byte(chosen, request)
        assert sent <= 6

    def test_paused_upstreams_are_used_when_no_other_is_left(self) -> None:
        engines = make_engines(2, 12)
        placement = Placement(data_centre="a")
        for engine in engines:
            placement.health.record_unreachable(engine.upstream_id, NOW_S)
        assert choose(placement, engines, CHAT) in {"e0", "e1"}


class TestWhateverHostsBelieve:
    """What must hold for any loads, failures and fleet sizes."""

    @given(
        hosts=st.integers(1, 400),
        requests=st.lists(st.integers(0, 45), min_size=1, max_size=30),
        gone=st.sets(st.integers(0, 29)),
        paused=st.sets(st.integers(0, 29)),
        tried=st.sets(st.integers(0, 29)),
        target_s=st.floats(0.05, 5.0),
    )
    def test_a_request_finds_room_where_there_is_some(
        self,
        hosts: int,
        requests: list[int],
        gone: set[int],
        paused: set[int],
        tried: set[int],
        target_s: float,
    ) -> None:
        engines = EngineSet.of(make_engines(len(requests), 16))
        placement = Placement(data_centre="a", hosts=hosts)
        words = {f"e{n}": PeerLoad(c, 0) for n, c in enumerate(requests)}
        placement.loads.record_peer_loads("peer", words, NOW_S)
        for number in gone:
            placement.health.record_replaced(f"e{number}")
        for number in paused:
            placement.health.record_unreachable(f"e{number}", NOW_S)
        open_to_it = {
            number
            for number, count in enumerate(requests)
            if count < 40 and number not in gone | tried
        }
        chosen = placement.choose_upstream(
            engines, LONG, NOW_S, target_s, {f"e{n}" for n in tried}
        )
        if not open_to_it:
            assert chosen is None
            return
        assert chosen is not None
        number = int(chosen.upstream_id[1:])
        assert number in (open_to_it - paused or open_to_it)
