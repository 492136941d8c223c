from hypothesis import given
from hypothesis import strategies as st
import msgpack
import pytest

from shallotfold._errors import FrameError
from shallotfold._model.requests import Outcome
from shallotfold._wire import control_messages
from shallotfold._wire import grant_messages
from shallotfold._wire import usage_messages
from shallotfold._wire.codec import PEER_CODEC
from shallotfold._wire.messages import ALL_MESSAGES

SAMPLES = [
    control_messages.Heartbeat(
        incarnation=1_700_000_000_000_000_000,
        config_version=3,
        store_confirmed_age_s=0.25,
        reach_ages=b"\x00\xff",
    ),
    control_messages.ConfigurationPart(
        version=1, index=0, count=1, sha256="ab", data=b"\xff\x00"
    ),
    grant_messages.RunningAnnounced(
        pool="small",
        attempts=(
            grant_messages.RunningAttempt(
                request_id="r1",
                attempt=1,
                class_name="chat",
                workspace="north",
                upstream="m1",
                output_tokens=7,
            ),
        ),
    ),
    grant_messages.GrantReleased(
        request_id="r1",
        attempt=1,
        outcome=Outcome.UNKNOWN,
        output_tokens=3,
        first_token_s=-1.0,
        duration_s=0.5,
    ),
    usage_messages.UsageHoldAcknowledged(sequence=9),
]


@pytest.mark.parametrize("message", SAMPLES, ids=lambda m: type(m).__name__)
def test_message_is_unchanged_by_encoding_and_decoding(message: object) -> None:
    assert PEER_CODEC.decode(PEER_CODEC.encode(message)) == message


def test_every_message_class_has_a_unique_name() -> None:
    assert len({cls.__name__ for cls in ALL_MESSAGES}) == len(ALL_MESSAGES)


def test_missing_trailing_field_gets_its_default() -> None:
    data = msgpack.packb(["Heartbeat", [1, 2, 0.5]])
    assert PEER_CODEC.decode(data) == control_messages.Heartbeat(
        incarnation=1, config_version=2, store_confirmed_age_s=0.5
    )


@pytest.mark.parametrize(
    "content",
    [
        None,
        "Heartbeat",
        ["Heartbeat"],
        ["NoSuchMessage", []],
        ["Heartbeat", []],
        ["Heartbeat", ["1", 2, 0.5]],
        ["Heartbeat", [True, 2, 0.5]],
        ["Heartbeat", [1, 2, 0.5, 1]],
        ["Heartbeat", [1, 2, 0.5, False, 0.0, 0.0, 0, 0, "text"]],
        ["Heartbeat", [1, 2, 0.5] + [0] * 20],
        ["Heartbeat", {"incarnation": 1}],
        ["RunningAnnounced", ["small", "text"]],
        ["GrantReleased", ["r1", 1, "no outcome", 3, -1.0, 0.5]],
        [["Heartbeat"], []],
    ],
)
def test_malformed_content_is_refused(content: object) -> None:
    with pytest.raises(FrameError):
        PEER_CODEC.decode(msgpack.packb(content))


@given(st.binary(max_size=200))
def test_random_bytes_are_a_frame_error_or_a_message(data: bytes) -> None:
    try:
        message = PEER_CODEC.decode(data)
    except FrameError:
        return
    assert type(message) in ALL_MESSAGES
