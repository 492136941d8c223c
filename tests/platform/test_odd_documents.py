"""One odd document of another writer stopped all others.

An entry among those of the upstreams that was nested very deeply, with a number
too large or a port out of range ended each read of the list, or made a foreign
server an upstream. A configuration with text for its version was taken, and
kept the valid ones after it out.
"""

from collections.abc import Callable
from collections.abc import Iterator
import copy
import json
from typing import Any

from hypothesis import given
from hypothesis import strategies
import pytest

from shallotfold.platform.documents import PlatformDialect
from tests.platform.test_documents import CONFIGURATION
from tests.platform.test_documents import REGISTRATION

DIALECT = PlatformDialect()

ODD_BYTES = [
    b"",
    b"[]",
    b"{}",
    b"null",
    b"\x00\x01",
    b'{"Version": 7',
    b"[" * 100_000,
    b'{"Service":' * 50_000,
]
NO_TEXT: list[Any] = [True, 5, [], ["a"], {}, "", "x\r\ny: z", "\ud800"]
NO_NUMBER: list[Any] = [
    True,
    "16",
    [],
    {},
    -1,
    float("nan"),
    float("inf"),
    1.5e308,
    10**400,
]
NO_WHOLE_NUMBER = [*NO_NUMBER, 2.5, 2**64]
NO_FLAG: list[Any] = [0, 1, "true", []]
NO_LIST: list[Any] = [True, 5, "ab", {}, {"a": 1}]

ODD_VALUES_BY_REGISTRATION_FIELD: dict[str, list[Any]] = {
    "Service": NO_TEXT,
    "Zone": NO_TEXT,
    "Version": NO_TEXT,
    "State": [*NO_TEXT, "asleep", "Ready"],
    "Slots": [*NO_WHOLE_NUMBER, 0],
    "ColdRemainingMs": NO_NUMBER,
    "SequenceNumber": NO_WHOLE_NUMBER,
    "born": NO_WHOLE_NUMBER,
    "SpotCapacity": NO_FLAG,
    "Address": [
        *NO_TEXT,
        "10.0.0.9",
        "10.0.0.9:",
        ":8080",
        "10.0.0.9:0",
        "10.0.0.9:-1",
        "10.0.0.9:+80",
        "10.0.0.9: 80",
        "10.0.0.9:65536",
        "10.0.0.9:99999999999999999999",
        "10.0.0.9:\u0668\u0660",
        "10.0.0.256:80",
        "10.0.9:80",
        "host.example:80",
        "[::1]:80",
    ],
}
# Paths of fields: names, and positions in lists.
Path = tuple[str | int, ...]
ODD_VALUES_BY_CONFIGURATION_FIELD: dict[Path, list[Any]] = {
    ("Version",): [*NO_WHOLE_NUMBER, 0],
    ("Routes",): NO_LIST,
    ("Services",): NO_LIST,
    ("Tenants",): NO_LIST,
    ("Limits",): [[], "x", 5],
    ("Routes", 0, "Name"): NO_TEXT,
    ("Routes", 0, "Host"): NO_TEXT,
    ("Routes", 0, "PathPrefix"): [*NO_TEXT, "lohu/", "/lohu"],
    ("Routes", 0, "Kind"): [*NO_TEXT, "other"],
    ("Routes", 0, "TimeoutMs"): [*NO_NUMBER, 0],
    ("Routes", 0, "TargetLatencyMs"): [*NO_NUMBER, 0],
    ("Routes", 0, "GapTargetMs"): NO_NUMBER,
    ("Routes", 0, "Priority"): NO_WHOLE_NUMBER,
    ("Routes", 0, "MaxAttempts"): [*NO_WHOLE_NUMBER, 0],
    ("Routes", 0, "Public"): NO_FLAG,
    ("Routes", 0, "SessionAffinity"): NO_FLAG,
    ("Routes", 0, "StreamResumption"): NO_FLAG,
    ("Routes", 0, "TrafficSplit"): NO_LIST,
    ("Routes", 0, "TrafficSplit", 0, "Service"): [*NO_TEXT, "absent"],
    ("Routes", 0, "TrafficSplit", 0, "Weight"): NO_NUMBER,
    ("Routes", 1, "Service"): [*NO_TEXT, "absent"],
    ("Services", 0, "Name"): NO_TEXT,
    ("Services", 0, "ConnectionLimit"): NO_WHOLE_NUMBER,
    ("Services", 0, "Scaling", "Minimum"): [*NO_WHOLE_NUMBER, 4],
    ("Services", 0, "Scaling", "Maximum"): [*NO_WHOLE_NUMBER, 0],
    ("Services", 0, "Scaling", "BootTimeS"): NO_NUMBER,
    ("Services", 0, "Scaling", "SpotPriceRatio"): NO_NUMBER,
    ("Services", 0, "Scaling", "ZonePrices"): [[], 5, "x"],
    ("Services", 0, "Scaling", "ZonePrices", "westlands"): NO_NUMBER,
    ("Limits", "MaxHeaderBytes"): [*NO_WHOLE_NUMBER, 0],
    ("Limits", "MaxBodyBytes"): NO_WHOLE_NUMBER,
    ("Limits", "HeaderTimeoutMs"): [*NO_NUMBER, 0],
    ("Limits", "IdleTimeoutMs"): [*NO_NUMBER, 0],
    ("Tenants", 0, "Name"): NO_TEXT,
    ("Tenants", 0, "Priority"): NO_WHOLE_NUMBER,
    # The letters of a text would each be a key.
    ("Tenants", 0, "ApiKeys"): NO_LIST,
    ("Tenants", 0, "ApiKeys", 0): NO_TEXT,
}
REQUIRED_CONFIGURATION_FIELDS: list[Path] = [
    ("Version",),
    ("Routes",),
    ("Services",),
    ("Routes", 0, "Name"),
    ("Routes", 0, "Host"),
    ("Routes", 0, "PathPrefix"),
    ("Routes", 0, "Kind"),
    ("Routes", 0, "TimeoutMs"),
    ("Routes", 0, "TrafficSplit", 0, "Weight"),
    ("Routes", 1, "Service"),
    ("Services", 0, "Name"),
    ("Services", 0, "Scaling", "Minimum"),
    ("Services", 0, "Scaling", "Maximum"),
    ("Services", 0, "Scaling", "BootTimeS"),
    ("Tenants", 0, "Name"),
    ("Tenants", 0, "ApiKeys"),
]


def registration_cases() -> Iterator[Any]:
    for name, values in ODD_VALUES_BY_REGISTRATION_FIELD.items():
        for number, value in enumerate(values):
            yield pytest.param(name, value, id=f"{name}-{number}")


def configuration_cases() -> Iterator[Any]:
    for path, values in ODD_VALUES_BY_CONFIGURATION_FIELD.items():
        for number, value in enumerate(values):
            name = ".".join(map(str, path))
            yield pytest.param(path, value, id=f"{name}-{number}")


def changed_configuration(path: Path, change: Callable[[Any], None]) -> bytes:
    """Return the configuration after a change of the field's parent."""
    content = copy.deepcopy(CONFIGURATION)
    parent: Any = content
    for step in path[:-1]:
        parent = parent[step]
    change(parent)
    return json.dumps(content).encode()


@pytest.mark.parametrize("document", ODD_BYTES)
def test_odd_bytes_are_no_registration(document: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        DIALECT.read_upstream("i-1", document)


@pytest.mark.parametrize("name", sorted(REGISTRATION.keys() - {"born"}))
def test_registration_without_a_field_is_rejected(name: str) -> None:
    content = {k: v for k, v in REGISTRATION.items() if k != name}
    with pytest.raises(ValueError, match=name):
        DIALECT.read_upstream("i-1", json.dumps(content).encode())


@pytest.mark.parametrize(("name", "value"), list(registration_cases()))
def test_registration_with_an_odd_field_is_rejected(
    name: str, value: Any
) -> None:
    document = json.dumps({**REGISTRATION, name: value}).encode()
    with pytest.raises(ValueError, match=name):
        DIALECT.read_upstream("i-1", document)


@pytest.mark.parametrize("upstream_id", ["", "a\r\nX: y", "\ud800"])
def test_registration_under_an_odd_id_is_rejected(upstream_id: str) -> None:
    """The id becomes a header of requests to the upstream."""
    with pytest.raises(ValueError, match="id"):
        DIALECT.read_upstream(upstream_id, json.dumps(REGISTRATION).encode())


@pytest.mark.parametrize("document", ODD_BYTES)
def test_odd_bytes_are_no_configuration(document: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        DIALECT.read_configuration(document)


@pytest.mark.parametrize("path", REQUIRED_CONFIGURATION_FIELDS)
def test_configuration_without_a_field_is_rejected(path: Path) -> None:
    document = changed_configuration(path, lambda parent: parent.pop(path[-1]))
    with pytest.raises(ValueError, match=str(path[-1])):
        DIALECT.read_configuration(document)


@pytest.mark.parametrize(("path", "value"), list(configuration_cases()))
def test_configuration_with_an_odd_field_is_rejected(
    path: Path, value: Any
) -> None:
    def change(parent: Any) -> None:
        parent[path[-1]] = value

    with pytest.raises(ValueError, match=r"."):
        DIALECT.read_configuration(changed_configuration(path, change))


def test_rejected_configuration_is_named_by_its_version() -> None:
    document = json.dumps({**CONFIGURATION, "Routes": 5}).encode()
    with pytest.raises(ValueError, match="version 7: Routes"):
        DIALECT.read_configuration(document)


def test_key_of_two_workspaces_is_rejected_without_showing_it() -> None:
    tenants = [
        {"Name": "first", "ApiKeys": ["secret"]},
        {"Name": "second", "ApiKeys": ["secret"]},
    ]
    document = json.dumps({**CONFIGURATION, "Tenants": tenants}).encode()
    with pytest.raises(ValueError, match="first and second") as caught:
        DIALECT.read_configuration(document)
    assert "secret" not in str(caught.value)


def test_route_whose_weights_are_all_zero_is_rejected() -> None:
    path: Path = ("Routes", 0, "TrafficSplit")

    def change(parent: Any) -> None:
        for share in parent["TrafficSplit"]:
            share["Weight"] = 0

    with pytest.raises(ValueError, match="TrafficSplit"):
        DIALECT.read_configuration(changed_configuration(path, change))


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), children)
    ),
    max_leaves=6,
)


@given(
    strategies.dictionaries(
        strategies.sampled_from(list(ODD_VALUES_BY_REGISTRATION_FIELD)),
        JSON_VALUES,
        max_size=3,
    )
)
def test_any_registration_is_sound_or_rejected(changes: dict[str, Any]) -> None:
    document = json.dumps({**REGISTRATION, **changes}).encode()
    try:
        upstream = DIALECT.read_upstream("i-1", document)
    except ValueError:
        return
    assert 1 <= upstream.port <= 65535
    assert upstream.slots >= 1
    assert 0.0 <= upstream.cold_remaining_s < 1e9
    assert upstream.service.isprintable()


@given(
    strategies.sampled_from(list(ODD_VALUES_BY_CONFIGURATION_FIELD)),
    JSON_VALUES,
)
def test_any_configuration_is_sound_or_rejected(path: Path, value: Any) -> None:
    def change(parent: Any) -> None:
        parent[path[-1]] = value

    try:
        configuration = DIALECT.read_configuration(
            changed_configuration(path, change)
        )
    except ValueError:
        return
    for route in configuration.routes:
        assert route.timeout_s > 0
        assert {s.service for s in route.split} <= set(
            configuration.services_by_name
        )
    assert all(configuration.workspaces_by_key)


@given(strategies.binary(max_size=200))
def test_any_bytes_raise_no_other_error(document: bytes) -> None:
    for read in (
        lambda: DIALECT.read_upstream("i-1", document),
        lambda: DIALECT.read_configuration(document),
    ):
        with pytest.raises(ValueError, match=r"."):
            read()
