from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.reducing import reducer
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import KeyDigest
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Upstream
from shallotfold._model.configuration import Workspace
from shallotfold._model.requests import CallerRequest
from shallotfold._model.requests import Outcome

CONFIGURATION = Configuration(
    classes_by_name={"chat": RequestClass(name="chat", tier=1)},
    workspaces_by_name={
        "north": Workspace(
            name="north",
            keys=(KeyDigest(key_id="k1", sha256="aa"),),
            classes=("chat",),
            default_class="chat",
        )
    },
    upstreams_by_name={
        "m1": Upstream(
            name="m1", url="http://127.0.0.1:1", data_centre="a", model="small"
        )
    },
)


def reduce_with_loopback(
    state: EntryState, event: events.Event
) -> list[effects.Effect]:
    """Reduce an event, delivering messages of the entry to itself."""
    new_effects: list[effects.Effect] = []
    pending = [event]
    while pending:
        for effect in reducer.reduce(state, pending.pop(0)):
            if isinstance(effect, effects.SendToPeer):
                pending.append(
                    events.PeerMessageReceived(
                        now_s=event.now_s,
                        host=state.host,
                        message=effect.message,
                    )
                )
            else:
                new_effects.append(effect)
    return new_effects


OBSERVING_EFFECTS = (
    effects.RecordExplanation,
    effects.CountMetric,
    effects.TimeMetric,
)


def actions_of(new_effects: list[effects.Effect]) -> list[type]:
    """Return the types of the effects that do more than observe."""
    return [
        type(e) for e in new_effects if not isinstance(e, OBSERVING_EFFECTS)
    ]


def make_state() -> EntryState:
    state = EntryState(host="e1", data_centre="a", incarnation=1)
    reduce_with_loopback(
        state,
        events.ConfigurationRead(
            now_s=0.0,
            version=1,
            configuration=CONFIGURATION,
            document=b"",
            sha256="",
        ),
    )
    return state


def test_request_with_a_key_is_dispatched_and_finished() -> None:
    state = make_state()
    request = CallerRequest(request_id="r1", key_sha256="aa", model="small")
    started = reduce_with_loopback(
        state, events.RequestArrived(now_s=1.0, request=request, wall_s=100.0)
    )
    assert actions_of(started) == [effects.StartAttempt]
    ended = reduce_with_loopback(
        state,
        events.AttemptEnded(
            now_s=2.0, request_id="r1", attempt=1, outcome=Outcome.RAN
        ),
    )
    assert effects.FinishAnswer(request_id="r1") in ended


def test_request_with_an_unknown_key_is_refused() -> None:
    request = CallerRequest(request_id="r1", key_sha256="bb", model="small")
    refused = reduce_with_loopback(
        make_state(),
        events.RequestArrived(now_s=1.0, request=request, wall_s=100.0),
    )
    assert actions_of(refused) == [effects.RefuseRequest]
