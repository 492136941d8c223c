import math

import attrs
import pytest

from shallotfold._entry import effects
from shallotfold._entry import events
from shallotfold._entry.membership import freshness
from shallotfold._entry.membership import membership
from shallotfold._entry.reducing import reducer
from shallotfold._entry.requests import keys
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Route
from shallotfold._model.requests import CallerRequest
from shallotfold._model.requests import Outcome
from shallotfold._model.requests import Refusal
from tests.entry.fleet import KEY
from tests.entry.fleet import make_configuration
from tests.entry.fleet import make_fleet

OTHER_KEY = "b" * 64
WITHDRAWN = make_configuration(OTHER_KEY)


def test_known_key_is_accepted_and_unknown_refused() -> None:
    fleet = make_fleet(3)
    assert fleet.request("e0", "r1") == "open"
    assert fleet.request("e0", "r2", OTHER_KEY) == "UNAUTHENTICATED"
    assert fleet.request("e0", "r3", "") == "UNAUTHENTICATED"


def test_static_configuration_needs_no_confirmation() -> None:
    state = EntryState(host="e1", data_centre="a", incarnation=1)
    reducer.reduce(
        state,
        events.ConfigurationRead(
            now_s=0.0,
            version=1,
            configuration=make_configuration(KEY),
            document=b"",
            sha256="",
        ),
    )
    result = keys.authenticate(state, KEY, now_s=1e6)
    assert not isinstance(result, Refusal)


def test_withdrawn_key_ends_open_requests_everywhere() -> None:
    fleet = make_fleet(9)
    for host in fleet.hosts:
        assert fleet.request(host, f"on-{host}") == "open"
    fleet.run(0.2)
    fleet.stored_configuration = (2, WITHDRAWN)
    fleet.run(0.3)
    for host in fleet.hosts:
        assert fleet.outcome(f"on-{host}") == "KEY_WITHDRAWN"
        assert fleet.request(host, f"new-{host}") == "UNAUTHENTICATED"


def test_withdrawn_key_ends_a_running_stream_and_its_upstream_work() -> None:
    fleet = make_fleet(1)
    fleet.request("e0", "r1")
    fleet.run(0.2)
    state = fleet.states["e0"]
    assert state.requests.open_by_id["r1"].upstream == "m1"
    new_effects = reducer.reduce(
        state,
        events.ConfigurationRead(
            now_s=fleet.now_s,
            version=2,
            configuration=WITHDRAWN,
            document=b"",
            sha256="",
        ),
    )
    assert any(isinstance(e, effects.CancelAttempt) for e in new_effects)
    (refused,) = [
        e for e in new_effects if isinstance(e, effects.RefuseRequest)
    ]
    assert refused.refusal.outcome is not Outcome.NOT_RUN


def test_request_of_a_withdrawn_class_ends() -> None:
    classes = {
        "chat": RequestClass(name="chat", tier=1),
        "tag": RequestClass(name="tag", tier=2),
    }
    configuration = make_configuration(KEY)
    north = configuration.workspaces_by_name["north"]
    changed = attrs.evolve(
        configuration,
        classes_by_name=classes,
        workspaces_by_name={
            "north": attrs.evolve(north, classes=("tag",), default_class="tag")
        },
    )
    fleet = make_fleet(1)
    fleet.request("e0", "r1")
    fleet.stored_configuration = (2, changed)
    fleet.run(0.3)
    assert fleet.outcome("r1") == "KEY_WITHDRAWN"
    assert fleet.request("e0", "r2") == "open"


def make_open_request(state: EntryState) -> None:
    request = CallerRequest(
        request_id="r1", route_prefix="/status/", method="GET"
    )
    reducer.reduce(
        state, events.RequestArrived(now_s=0.0, request=request, wall_s=0.0)
    )


@pytest.mark.parametrize("still_open", [True, False])
def test_anonymous_request_ends_only_when_its_route_requires_a_key(
    *, still_open: bool
) -> None:
    def make(*, open_to_all: bool) -> Configuration:
        base = make_configuration(KEY)
        worker = attrs.evolve(
            base.upstreams_by_name["m1"], name="s1", model="", service="status"
        )
        route = Route(
            prefix="/status/",
            service="status",
            request_class="chat",
            open_to_all=open_to_all,
        )
        return attrs.evolve(
            base,
            routes_by_prefix={"/status/": route},
            upstreams_by_name={**base.upstreams_by_name, "s1": worker},
        )

    state = EntryState(host="e1", data_centre="a", incarnation=1)

    def adopt(version: int, configuration: Configuration) -> None:
        reducer.reduce(
            state,
            events.ConfigurationRead(
                now_s=0.0,
                version=version,
                configuration=configuration,
                document=b"",
                sha256="",
            ),
        )

    adopt(1, make(open_to_all=True))
    make_open_request(state)
    assert "r1" in state.requests.open_by_id
    adopt(2, make(open_to_all=still_open))
    assert ("r1" in state.requests.open_by_id) == still_open


def test_entries_keep_serving_during_a_store_outage() -> None:
    fleet = make_fleet(9)
    fleet.hosts_without_store = set(fleet.hosts)
    fleet.request("e0", "long")
    for minute in range(3):
        fleet.run(20.0)
        for host in fleet.hosts:
            name = f"{host}-{minute}"
            assert fleet.request(host, name) == "open"
    assert fleet.states["e0"].configuration.ready


def test_isolated_entry_refuses_and_ends_requests_within_five_seconds() -> None:
    fleet = make_fleet(9)
    fleet.request("e0", "connected")
    fleet.isolate("e0")
    fleet.run(4.0)
    assert fleet.request("e0", "new") == "NOT_READY"
    fleet.run(0.9)
    assert fleet.outcome("connected") == "NOT_READY"
    assert not fleet.states["e0"].configuration.ready
    assert fleet.request("e1", "elsewhere") == "open"
    fleet.restore_links()
    fleet.run(2.0)
    assert fleet.request("e0", "again") == "open"


def test_entry_without_the_store_but_with_peers_keeps_serving() -> None:
    fleet = make_fleet(3)
    fleet.hosts_without_store = {"e0"}
    fleet.run(30.0)
    assert fleet.request("e0", "r1") == "open"
    fleet.stored_configuration = (2, WITHDRAWN)
    fleet.run(3.0)
    assert fleet.request("e0", "r2") == "UNAUTHENTICATED"


@pytest.mark.parametrize(("left", "serves"), [(5, True), (4, False)])
def test_side_of_a_partition_serves_only_with_a_majority(
    left: int, *, serves: bool
) -> None:
    fleet = make_fleet(9)
    fleet.hosts_without_store = set(fleet.hosts)
    fleet.partition(fleet.hosts[:left], fleet.hosts[left:])
    fleet.run(6.0)
    outcome = fleet.request("e0", "r1")
    assert outcome == ("open" if serves else "NOT_READY")


def test_one_way_links_do_not_count_as_reachable() -> None:
    """An entry that can only send, or only receive, is cut off."""
    fleet = make_fleet(9)
    fleet.hosts_without_store = set(fleet.hosts)
    others = fleet.hosts[1:]
    fleet.cut_links = {(host, "e0") for host in others}
    fleet.run(5.0)
    assert fleet.request("e0", "r1") == "NOT_READY"
    fleet.restore_links()
    fleet.hosts_without_store = set(fleet.hosts)
    fleet.run(8.0)
    assert fleet.request("e0", "r2") == "open"
    fleet.cut_links = {("e0", host) for host in others}
    fleet.run(5.0)
    assert fleet.request("e0", "r3") == "NOT_READY"


def test_paused_entry_refuses_until_it_is_fresh_again() -> None:
    """Buffered heartbeats from before the change must not look fresh."""
    fleet = make_fleet(3)
    fleet.paused = {"e0"}
    fleet.run(2.0)
    # e0 still has buffered heartbeats of a healthy fleet.
    fleet.isolate("e0")
    fleet.run(8.0)
    fleet.stored_configuration = (2, WITHDRAWN)
    fleet.resume("e0")
    assert fleet.request("e0", "r1") == "NOT_READY"
    fleet.run(1.0)
    assert fleet.request("e0", "r2") == "NOT_READY"
    fleet.restore_links()
    fleet.run(3.0)
    assert fleet.request("e0", "r3") == "UNAUTHENTICATED"


def test_entry_restarted_in_an_outage_learns_from_its_peers() -> None:
    fleet = make_fleet(3)
    fleet.hosts_without_store = set(fleet.hosts)
    fleet.run(10.0)
    fleet.start("e0")
    assert fleet.request("e0", "r1") == "NOT_READY"
    fleet.run(3.0)
    assert fleet.request("e0", "r2") == "open"
    assert fleet.states["e0"].configuration.version == 1


def test_restarted_entries_without_a_host_list_are_no_majority() -> None:
    fleet = make_fleet(5)
    fleet.hosts_without_store = set(fleet.hosts)
    fleet.lists_hosts_at_start = False
    fleet.start("e0", "e1")
    fleet.run(3.0)
    assert fleet.request("e0", "r1") == "open"
    fleet.partition(["e0", "e1"], ["e2", "e3", "e4"])
    fleet.run(6.0)
    assert fleet.request("e0", "r2") == "NOT_READY"
    assert fleet.request("e2", "r3") == "open"


def test_newer_version_at_a_peer_rules_out_a_store_outage() -> None:
    """An entry that knows of a newer version but can't read it stops."""
    fleet = make_fleet(3)
    state = fleet.states["e0"]
    fleet.hosts_without_store = set(fleet.hosts)
    fleet.run(6.0)
    assert freshness.is_trusted(state, fleet.now_s)
    state.membership.peers_by_name["e1"].config_version = 2
    assert not freshness.is_trusted(state, fleet.now_s)


def test_version_of_a_wiped_store_is_neither_adopted_nor_confirmed() -> None:
    fleet = make_fleet(1)
    fleet.stored_configuration = (5, make_configuration(KEY))
    fleet.run(1.0)
    fleet.stored_configuration = (1, WITHDRAWN)
    fleet.run(3.0)
    state = fleet.states["e0"]
    assert state.configuration.version == 5
    assert fleet.now_s - state.configuration.confirmed_s > 2.0


def test_connecting_alone_does_not_prove_liveness() -> None:
    state = EntryState(host="e1", data_centre="a", incarnation=1)
    reducer.reduce(state, events.PeerConnected(now_s=1.0, host="e2"))
    assert state.membership.last_alive_s_by_name.get("e2", -math.inf) < 0
    assert membership.live_entries(state) == ("e1", "e2")
