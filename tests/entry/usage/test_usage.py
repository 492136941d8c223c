from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.reducing import reducer
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._entry.usage import usage
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState
from shallotfold._wire.usage_messages import UsageCount
from shallotfold._wire.usage_messages import UsageHeld
from shallotfold._wire.usage_messages import UsageHoldAcknowledged
from shallotfold._wire.usage_messages import UsageStored

USAGE_EFFECTS = (
    effects.FinishAnswer,
    effects.FlushUsage,
    effects.FlushHeldUsage,
    effects.CountMetric,
)


def make_state(*peers: str) -> EntryState:
    state = EntryState(host="e0", data_centre="a", incarnation=1)
    hosts = [
        HostRecord(
            name=name,
            role=HostRole.ENTRY,
            state=HostState.LIVE,
            data_centre=name[0],
            address="127.0.0.1:1",
        )
        for name in peers
    ]
    reducer.reduce(state, events.HostsListed(now_s=0.0, hosts=hosts))
    for name in peers:
        reducer.reduce(state, events.PeerConnected(now_s=0.0, host=name))
    tick(state, 0.0)
    return state


def tick(state: EntryState, now_s: float) -> list[effects.Effect]:
    new_effects = reducer.reduce(
        state, events.Tick(now_s=now_s, wall_s=1000 + now_s, random=0.5)
    )
    return [
        effect for effect in new_effects if isinstance(effect, USAGE_EFFECTS)
    ]


def count(
    state: EntryState, request_id: str, now_s: float = 0.01
) -> list[effects.Effect]:
    return usage.count_answer(
        state, request_id, "north", 3, 4, now_s=now_s, wall_s=1000.0
    )


def receive(
    state: EntryState,
    host: str,
    message: UsageHeld | UsageHoldAcknowledged | UsageStored,
    now_s: float = 0.02,
) -> list[effects.Effect]:
    return reducer.reduce(
        state,
        events.PeerMessageReceived(now_s=now_s, host=host, message=message),
    )


def held_messages(
    new_effects: list[effects.Effect],
) -> list[tuple[str, UsageHeld]]:
    return [
        (effect.host, effect.message)
        for effect in new_effects
        if isinstance(effect, effects.SendToPeer)
        and isinstance(effect.message, UsageHeld)
    ]


def finished(new_effects: list[effects.Effect]) -> list[str]:
    return [
        e.request_id for e in new_effects if isinstance(e, effects.FinishAnswer)
    ]


def test_answer_ends_when_another_data_centre_holds_its_count() -> None:
    state = make_state("a1", "b1")
    new_effects = count(state, "r1")
    assert finished(new_effects) == []
    [(host, message)] = held_messages(new_effects)
    assert host == "b1"
    acknowledged = UsageHoldAcknowledged(sequence=message.sequence)
    assert finished(receive(state, host, acknowledged)) == ["r1"]


def test_counts_are_batched_while_a_message_is_in_flight() -> None:
    state = make_state("b1")
    [(_, first)] = held_messages(count(state, "r1"))
    assert held_messages(count(state, "r2")) == []
    assert held_messages(count(state, "r3")) == []
    new_effects = receive(
        state, "b1", UsageHoldAcknowledged(sequence=first.sequence)
    )
    assert finished(new_effects) == ["r1"]
    [(_, second)] = held_messages(new_effects)
    assert [c.requests for c in second.counts] == [3]


def test_answer_without_acknowledgement_ends_after_a_timeout() -> None:
    state = make_state("b1")
    count(state, "r1")
    new_effects = tick(state, 0.1)
    assert finished(new_effects) == ["r1"]
    assert effects.CountMetric(name="usage.exposed", value=1) in new_effects


def test_answer_of_an_entry_without_peers_ends_at_once() -> None:
    assert finished(count(make_state(), "r1")) == ["r1"]


def test_new_holder_gets_all_counts_when_a_holder_is_lost() -> None:
    state = make_state("b1", "c1")
    [(first_host, first)] = held_messages(count(state, "r1"))
    receive(state, first_host, UsageHoldAcknowledged(sequence=first.sequence))
    reducer.reduce(state, events.PeerDisconnected(now_s=0.1, host=first_host))
    [(second_host, second)] = held_messages(count(state, "r2", now_s=0.2))
    assert second_host != first_host
    assert [c.requests for c in second.counts] == [2]


def test_flush_is_retried_until_stored_and_then_releases_the_holder() -> None:
    state = make_state("b1")
    count(state, "r1")
    [flush] = [e for e in tick(state, 4.0) if isinstance(e, effects.FlushUsage)]
    assert usage.has_unflushed(state)
    reducer.reduce(state, events.UsageFlushFailed(now_s=4.1))
    [retried] = [
        e for e in tick(state, 6.0) if isinstance(e, effects.FlushUsage)
    ]
    assert retried.counts == flush.counts
    new_effects = reducer.reduce(
        state, events.UsageFlushed(now_s=6.1, sequence=retried.sequence)
    )
    assert any(
        isinstance(e, effects.SendToPeer) and isinstance(e.message, UsageStored)
        for e in new_effects
    )
    assert not usage.has_unflushed(state)


def test_holder_stores_the_counts_of_a_lost_peer() -> None:
    state = make_state("b1")
    held = UsageHeld(
        host="b1",
        incarnation=9,
        sequence=5,
        counts=(
            UsageCount(
                workspace="north",
                window=960,
                requests=2,
                prompt_tokens=6,
                output_tokens=8,
            ),
        ),
    )
    receive(state, "b1", held)
    assert tick(state, 2.0) == []
    reducer.reduce(state, events.PeerDisconnected(now_s=2.0, host="b1"))
    [write] = [
        e for e in tick(state, 6.0) if isinstance(e, effects.FlushHeldUsage)
    ]
    assert (write.host, write.incarnation) == ("b1", 9)
    assert write.counts == held.counts
    reducer.reduce(
        state,
        events.HeldUsageFlushed(
            now_s=6.1, host="b1", incarnation=9, sequence=5, stored=True
        ),
    )
    assert state.usage.held_by_source == {}


def test_answer_counts_in_the_window_in_which_it_ended() -> None:
    state = make_state("b1")
    tick(state, 100.0)
    count(state, "r1", now_s=100.01)
    assert [key[1] for key in state.usage.counts_by_key] == [1080]


def test_usage_of_an_open_route_is_not_counted() -> None:
    state = make_state("b1")
    new_effects = usage.count_answer(
        state, "r1", "", 0, 0, now_s=0.0, wall_s=1000.0
    )
    assert new_effects == [effects.FinishAnswer(request_id="r1")]
    assert state.usage.counts_by_key == {}
