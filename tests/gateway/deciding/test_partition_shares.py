"""Check how engines are divided between long and short prompts.

In a burst of chats the fixed division left them 40% of the engines: a fifth of
the chats began late or stalled while engines of long prompts had free slots.
"""

from hypothesis import given
from hypothesis import strategies as st

from shallotfold._gateway.core.model import Prompt
from shallotfold._gateway.core.model import PromptPart
from shallotfold._gateway.deciding import effects
from shallotfold._gateway.deciding.engine_set import LONG_PROMPT_ENGINE_SHARE
from shallotfold._gateway.deciding.partition_shares import MAX_LONG_SHARE
from shallotfold._gateway.deciding.partition_shares import MIN_LONG_SHARE
from shallotfold._gateway.deciding.partition_shares import PEER_MAX_AGE_S
from shallotfold._gateway.deciding.partition_shares import UPDATE_INTERVAL_S
from shallotfold._gateway.deciding.partition_shares import PartitionShares
from shallotfold._gateway.deciding.partition_shares import PromptLoad
from tests.gateway.factories import SERVICE
from tests.gateway.factories import DispatcherHarness
from tests.gateway.factories import make_prompt
from tests.gateway.factories import make_upstream

COUNTS = st.integers(0, 2_000)
SLOTS = 160
CHAT = Prompt(model="m", parts=(PromptPart("own", 600),), prompt_tokens=600)


def update(
    shares: PartitionShares, now_s: float, short: int, long: int
) -> dict[str, float]:
    return shares.update(
        {SERVICE: PromptLoad(short, long)}, {SERVICE: SLOTS}, now_s
    )


def test_a_burst_of_chats_gets_engines_at_once() -> None:
    shares = PartitionShares()
    update(shares, 1.0, short=100, long=300)
    before = shares.share_of(SERVICE)
    update(shares, 1.0 + UPDATE_INTERVAL_S, short=400, long=300)
    assert shares.share_of(SERVICE) < before - 0.2


def test_engines_return_after_the_burst() -> None:
    shares = PartitionShares()
    now_s = 1.0
    update(shares, now_s, short=400, long=300)
    for _ in range(20):
        now_s += UPDATE_INTERVAL_S
        update(shares, now_s, short=100, long=300)
    assert shares.share_of(SERVICE) > 0.55


def test_loads_of_a_silent_peer_are_dropped() -> None:
    shares = PartitionShares()
    shares.record_peer("p", {SERVICE: PromptLoad(1_000, 0)}, 1.0)
    update(shares, 1.0, short=0, long=100)
    assert shares.share_of(SERVICE) == MIN_LONG_SHARE
    now_s = 1.0 + PEER_MAX_AGE_S
    for _ in range(30):
        now_s += UPDATE_INTERVAL_S
        update(shares, now_s, short=0, long=100)
    assert shares.share_of(SERVICE) > 0.7


def test_the_division_is_fixed_while_most_slots_are_free() -> None:
    """Each change made engines prefill 20% more of the shared prefixes."""
    shares = PartitionShares()
    assert not update(shares, 1.0, short=70, long=0)
    assert shares.share_of(SERVICE) == LONG_PROMPT_ENGINE_SHARE


@given(st.lists(st.tuples(COUNTS, COUNTS), min_size=1, max_size=30))
def test_both_kinds_always_have_engines(loads: list[tuple[int, int]]) -> None:
    shares = PartitionShares()
    for number, (short, long) in enumerate(loads):
        update(shares, number * UPDATE_INTERVAL_S, short, long)
        assert MIN_LONG_SHARE <= shares.share_of(SERVICE) <= MAX_LONG_SHARE


def make_harness(*, controls_load: bool) -> DispatcherHarness:
    harness = DispatcherHarness(
        *(make_upstream(f"e{n}", slots=4) for n in range(10))
    )
    harness.dispatcher.placement.controls_load = controls_load
    return harness


def test_the_division_follows_the_requests_of_the_host() -> None:
    harness = make_harness(controls_load=True)
    for request in range(20):
        harness.arrive(request, prompt=CHAT)
    changes = [
        effect
        for effect in harness.advance(1.0)
        if isinstance(effect, effects.LogPartition)
    ]
    assert [change.long_share for change in changes] == [MIN_LONG_SHARE]


def test_without_load_control_the_division_is_fixed() -> None:
    harness = make_harness(controls_load=False)
    for request in range(20):
        harness.arrive(request, prompt=CHAT)
    harness.advance(1.0)
    assert not any(isinstance(e, effects.LogPartition) for e in harness.effects)


def test_long_prompts_are_refused_while_their_engines_are_full() -> None:
    """They took the slots and the prefill of engines with chats.

    A fifth of the chats stalled in a burst of long prompts.
    """
    harness = make_harness(controls_load=True)
    prompt = make_prompt(shared=5000)
    refused = 0
    for request in range(60):
        returned = harness.arrive(request, prompt=prompt)
        refused += any(isinstance(e, effects.Refuse) for e in returned)
    # Six engines with four slots, and a quarter of the slots of the others.
    assert 60 - refused == 6 * 4 + 4 * 1
