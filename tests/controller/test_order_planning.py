from shallotfold._controller import events
from shallotfold._controller.order_planning import scaling_input
from shallotfold._controller.reducer import reduce
from shallotfold._controller.scaling import UpstreamPhase
from shallotfold._controller.state import ControllerState
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Upstream
from shallotfold._model.upstreams import HostRecord
from shallotfold._model.upstreams import HostRole
from shallotfold._model.upstreams import HostState

DECLARED = Upstream(
    name="m1", url="http://127.0.0.1:1", data_centre="a", model="small"
)
LISTED = HostRecord(
    name="m1",
    role=HostRole.UPSTREAM,
    state=HostState.LIVE,
    data_centre="a",
    address="http://127.0.0.1:1",
)


def make_state() -> ControllerState:
    state = ControllerState(host="c1", data_centre="a", process_token="t")
    state.configuration = Configuration(upstreams_by_name={"m1": DECLARED})
    return state


def phase_of_declared(state: ControllerState) -> UpstreamPhase:
    (declared,) = scaling_input(state, {}, 10.0).upstreams
    return declared.phase


def test_declared_upstream_that_was_never_listed_counts_as_serving() -> None:
    state = make_state()
    reduce(state, events.HostsListed(now_s=1.0, hosts=[]))
    assert phase_of_declared(state) is UpstreamPhase.SERVING


def test_delisted_upstream_counts_as_leaving() -> None:
    state = make_state()
    reduce(state, events.HostsListed(now_s=1.0, hosts=[LISTED]))
    assert phase_of_declared(state) is UpstreamPhase.SERVING
    reduce(state, events.HostsListed(now_s=2.0, hosts=[]))
    assert phase_of_declared(state) is UpstreamPhase.LEAVING
    reduce(state, events.HostsListed(now_s=3.0, hosts=[LISTED]))
    assert phase_of_declared(state) is UpstreamPhase.SERVING
