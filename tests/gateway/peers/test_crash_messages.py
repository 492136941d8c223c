"""Check the messages about prompts under which upstreams end."""

import math

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from shallotfold._gateway.deciding.crash_knowledge import CrashKnowledge
from shallotfold._gateway.deciding.crash_knowledge import CrashReport
from shallotfold._gateway.deciding.crash_knowledge import HoldReport
from shallotfold._gateway.peers.crash_messages import MESSAGE_TYPE
from shallotfold._gateway.peers.crash_messages import decode_knowledge
from shallotfold._gateway.peers.crash_messages import encode_knowledge

KNOWLEDGE = CrashKnowledge(
    reports=[CrashReport("u1/7", 0.5, ("bad", "rare"), answer_begun=True)],
    holds=[HoldReport(("bad",), 12.5, stored=True, trials=0)],
    answer_ages_s_by_trait={"rare": 0.25},
)


def test_message_is_decoded_as_it_was_encoded() -> None:
    assert decode_knowledge(encode_knowledge("h1", KNOWLEDGE)) == (
        "h1",
        KNOWLEDGE,
    )


def test_messages_of_other_types_are_left_to_others() -> None:
    assert decode_knowledge(msgpack.packb((5, "h1"))) is None
    assert decode_knowledge(msgpack.packb({"a": 1})) is None


def test_negative_age_counts_as_none() -> None:
    """A hold from the future would outlast all answers."""
    knowledge = CrashKnowledge(
        holds=[HoldReport(("bad",), -50.0, stored=False, trials=0)]
    )
    decoded = decode_knowledge(encode_knowledge("h1", knowledge))
    assert decoded is not None
    assert decoded[1].holds[0].age_s == 0.0


@hypothesis.given(
    fields=strategies.lists(
        strategies.recursive(
            strategies.none()
            | strategies.floats(allow_nan=False)
            | strategies.text(max_size=3),
            lambda children: (
                strategies.lists(children, max_size=4)
                | strategies.dictionaries(
                    strategies.text(max_size=2), children, max_size=2
                )
            ),
            max_leaves=12,
        ),
        max_size=5,
    )
)
def test_damaged_message_is_reported_as_such(fields: list[object]) -> None:
    """An exception that wasn't foreseen would pass the receiver's handling."""
    data = msgpack.packb([MESSAGE_TYPE, *fields])
    try:
        decode_knowledge(data)
    except ValueError:
        return


@pytest.mark.parametrize("trials", [math.inf, None, "?"])
def test_number_of_trials_that_is_no_number_is_damaged(trials: object) -> None:
    holds = [(["bad"], 0.0, False, trials)]
    data = msgpack.packb([MESSAGE_TYPE, "h1", [], holds, {}])
    with pytest.raises(ValueError, match="not a message of crashes"):
        decode_knowledge(data)


def test_message_without_fields_is_damaged() -> None:
    with pytest.raises(ValueError, match="without a sender"):
        decode_knowledge(msgpack.packb([MESSAGE_TYPE]))
