from typing import Any

import attrs
import pytest

from shallotfold._model.checking import check_configuration
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import KeyDigest
from shallotfold._model.configuration import Offer
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Route
from shallotfold._model.configuration import Targets
from shallotfold._model.configuration import Upstream
from shallotfold._model.configuration import Workspace

CHAT = RequestClass(name="chat", tier=1)
NORTH = Workspace(
    name="north",
    keys=(KeyDigest(key_id="k1", sha256="a" * 64),),
    classes=("chat",),
    default_class="chat",
    routes=("/booking/",),
)
BOOKING = Route(prefix="/booking/", service="booking", request_class="chat")
BOOKING_UPSTREAM = Upstream(
    name="b1",
    url="http://127.0.0.1:80",
    data_centre="west",
    service="booking",
)
OFFER = Offer(name="spot", data_centre="west", model="small")
VALID = Configuration(
    classes_by_name={"chat": CHAT},
    workspaces_by_name={"north": NORTH},
    routes_by_prefix={"/booking/": BOOKING},
    upstreams_by_name={"b1": BOOKING_UPSTREAM},
    offers_by_name={"spot": OFFER},
    data_centres=("west",),
)


def with_class(**changes: Any) -> Configuration:
    changed = attrs.evolve(CHAT, **changes)
    return attrs.evolve(VALID, classes_by_name={"chat": changed})


def with_workspace(**changes: Any) -> Configuration:
    changed = attrs.evolve(NORTH, **changes)
    return attrs.evolve(VALID, workspaces_by_name={"north": changed})


def with_route(prefix: str, **changes: Any) -> Configuration:
    changed = attrs.evolve(BOOKING, prefix=prefix, **changes)
    routes = {"/booking/": BOOKING, prefix: changed}
    return attrs.evolve(VALID, routes_by_prefix=routes)


def with_upstream(**changes: Any) -> Configuration:
    changed = attrs.evolve(BOOKING_UPSTREAM, **changes)
    return attrs.evolve(VALID, upstreams_by_name={"b1": changed})


def test_valid_configuration_has_no_fault() -> None:
    assert check_configuration(VALID) == ()


@pytest.mark.parametrize(
    ("configuration", "key"),
    [
        (with_class(tier=0), "classes_by_name.chat.tier"),
        (with_class(tier=6), "classes_by_name.chat.tier"),
        (with_class(floor_share=0.3), "classes_by_name.chat.floor_share"),
        (with_class(floor_share=float("nan")), "chat.floor_share"),
        (with_class(name="talk"), "classes_by_name.chat"),
        (
            with_class(targets=Targets(first_token_s=0.0)),
            "classes_by_name.chat.targets.first_token_s",
        ),
        (with_class(expected_output_tokens=5000), "expected_output_tokens"),
        (with_workspace(classes=("chat", "x")), "north.classes"),
        (with_workspace(default_class="x"), "north.default_class"),
        (with_workspace(routes=("/x/",)), "north.routes"),
        (with_workspace(weight=0.0), "north.weight"),
        (
            with_workspace(keys=(KeyDigest(key_id="k1", sha256="secret"),)),
            "north.keys.k1.sha256",
        ),
        (with_route("/booking/late/"), "routes_by_prefix./booking/late/"),
        (with_route("/v1/models/"), "routes_by_prefix./v1/models/"),
        (with_route("/v1/"), "routes_by_prefix./v1/"),
        (with_route("no-slash"), "routes_by_prefix.no-slash"),
        (with_route("/x/", service="x"), "routes_by_prefix./x/.service"),
        (with_upstream(url="http://name:1"), "upstreams_by_name.b1.url"),
        (with_upstream(model="small"), "upstreams_by_name.b1"),
        (with_upstream(data_centre="x"), "upstreams_by_name.b1.data_centre"),
        (attrs.evolve(VALID, usage_window_s=0), "usage_window_s"),
    ],
)
def test_fault_names_its_key(configuration: Configuration, key: str) -> None:
    assert key in " ".join(f.key for f in check_configuration(configuration))


def test_fault_does_not_contain_the_wrong_digest() -> None:
    keys = (KeyDigest(key_id="k1", sha256="plain-secret"),)
    (fault,) = check_configuration(with_workspace(keys=keys))
    assert "plain-secret" not in str(fault)


def test_key_of_two_workspaces_is_a_fault() -> None:
    south = attrs.evolve(NORTH, name="south")
    configuration = attrs.evolve(
        VALID, workspaces_by_name={"north": NORTH, "south": south}
    )
    (fault,) = check_configuration(configuration)
    assert fault.found == "the same key as north.k1"


def test_sum_of_floor_shares_is_limited() -> None:
    classes = {
        f"c{i}": RequestClass(name=f"c{i}", tier=1, floor_share=0.2)
        for i in range(3)
    }
    configuration = Configuration(classes_by_name=classes)
    (fault,) = check_configuration(configuration)
    assert fault.key == "classes_by_name.*.floor_share"


def test_all_faults_are_returned_together() -> None:
    configuration = attrs.evolve(
        with_class(tier=9), usage_window_s=0, data_centres=()
    )
    keys = {fault.key for fault in check_configuration(configuration)}
    assert keys == {
        "classes_by_name.chat.tier",
        "usage_window_s",
        "upstreams_by_name.b1.data_centre",
        "offers_by_name.spot.data_centre",
    }
