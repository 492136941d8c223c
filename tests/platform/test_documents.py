"""Check the decoding of the platform's documents."""

import json
from typing import Any

import pytest

from shallotfold._gateway.core.model import RouteKind
from shallotfold._gateway.serving.route_table import RouteTable
from shallotfold._gateway.serving.route_table import choose_service
from shallotfold.platform.documents import PlatformDialect

DIALECT = PlatformDialect()
CONFIGURATION: dict[str, Any] = {
    "Version": 7,
    "Routes": [
        {
            "Name": "long",
            "Host": "Ficu95.example",
            "PathPrefix": "/lohu/930/",
            "Kind": "streaming",
            "TimeoutMs": 15000,
            "TargetLatencyMs": 2000,
            "Priority": 2,
            "TrafficSplit": [
                {"Service": "first", "Weight": 90},
                {"Service": "second", "Weight": 10},
            ],
            "MaxAttempts": 2,
            "Public": False,
            "SessionAffinity": True,
            "StreamResumption": True,
            "GapTargetMs": 800,
        },
        {
            "Name": "short",
            "Host": "ficu95.example",
            "PathPrefix": "/lohu/",
            "Kind": "non_idempotent",
            "TimeoutMs": 800,
            "Service": "second",
        },
    ],
    "Services": [
        {
            "Name": "first",
            "HealthCheckPath": "/health",
            "ConnectionLimit": 630,
            "InferenceEngine": {"Slots": 128},
            "Scaling": {
                "Minimum": 1,
                "Maximum": 3,
                "BootTimeS": 4.0,
                "SpotPriceRatio": 0.22,
                "ZonePrices": {"westlands": 0.85},
            },
        },
        {"Name": "second", "HealthCheckPath": "/health"},
    ],
    "Limits": {"MaxHeaderBytes": 100, "IdleTimeoutMs": 15000},
    "Tenants": [{"Name": "hule", "ApiKeys": ["k1", "k2"], "Priority": 1}],
}
REGISTRATION: dict[str, Any] = {
    "Service": "first",
    "Address": "10.128.0.9:8080",
    "Zone": "westlands",
    "Version": "v1",
    "Slots": 128,
    "State": "ready",
    "ColdRemainingMs": 1500,
    "SequenceNumber": 4,
    "born": 1700000000000,
}


def read_configuration(**changes: Any) -> Any:
    document = json.dumps({**CONFIGURATION, **changes}).encode()
    return DIALECT.read_configuration(document)


def test_a_configuration_is_decoded_with_its_units() -> None:
    configuration = read_configuration()
    long, short = configuration.routes
    assert (long.timeout_s, long.target_s, long.gap_target_s) == (15, 2, 0.8)
    assert long.kind is RouteKind.STREAM
    assert long.repeatable
    assert short.kind is RouteKind.ONCE
    assert (short.max_attempts, short.repeatable) == (1, False)
    assert configuration.workspaces_by_key["k2"].name == "hule"
    assert configuration.limits.max_header_bytes == 100
    assert configuration.limits.header_timeout_s == 3.0
    assert configuration.services_by_name["first"].connection_limit == 630
    scaling = configuration.services_by_name["first"].scaling
    assert scaling is not None
    assert (scaling.maximum, scaling.spot_price_ratio) == (3, 0.22)


def test_the_longest_prefix_of_the_host_wins() -> None:
    table = RouteTable(read_configuration())
    for path, name in (
        ("/lohu/930/2f", "long"),
        ("/lohu/930/", "long"),
        ("/lohu/930", "short"),
        ("/lohu/93", "short"),
        ("/lohu/931/x", "short"),
    ):
        route = table.find("FICU95.example:8227", path)
        assert route is not None
        assert route.name == name
    assert table.find("ficu95.example", "/lohux/") is None
    assert table.find("other.example", "/lohu/x") is None


def test_the_workspace_s_priority_goes_before_the_route_s() -> None:
    """With one rank for all requests of a workspace, its chats were preempted
    for its own long prompts during bursts.
    """
    tenants = [
        {"Name": "first", "ApiKeys": ["a"], "Priority": 0},
        {"Name": "second", "ApiKeys": ["b"], "Priority": 1},
    ]
    configuration = read_configuration(Tenants=tenants)
    table = RouteTable(configuration)
    long, short = configuration.routes
    first, second = (configuration.workspaces_by_key[key] for key in ("a", "b"))
    ranks = [
        table.rank(route, workspace)
        for workspace in (first, second)
        for route in (short, long)
    ]
    assert ranks == sorted(set(ranks))
    assert 0 <= ranks[0] < ranks[-1] <= 9


def test_a_split_follows_its_weights() -> None:
    (long, _) = read_configuration().routes
    chosen = [choose_service(long, n / 1000) for n in range(1000)]
    assert chosen.count("second") == 100


def test_a_configuration_without_workspaces_needs_no_key() -> None:
    content = {k: v for k, v in CONFIGURATION.items() if k != "Tenants"}
    configuration = DIALECT.read_configuration(json.dumps(content).encode())
    assert not configuration.requires_keys


@pytest.mark.parametrize("document", [b"", b"[]", b"{}", b'{"Version": "x"}'])
def test_an_invalid_configuration_is_rejected(document: bytes) -> None:
    with pytest.raises(ValueError, match=r"."):
        DIALECT.read_configuration(document)


def test_rates_of_cold_upstreams_are_decoded() -> None:
    """Deployments without the two fields know no cold upstreams."""
    services = [
        {"Name": "first", "ColdPerS": 9.5, "ColdStartS": 3},
        {"Name": "second"},
    ]
    by_name = read_configuration(Services=services).services_by_name
    assert by_name["first"].cold_rate_per_s == 9.5
    assert by_name["first"].cold_start_s == 3.0
    assert by_name["second"].cold_rate_per_s == 0.0
    assert by_name["second"].cold_start_s == 0.0


def test_a_registration_is_decoded() -> None:
    upstream = DIALECT.read_upstream("i-1", json.dumps(REGISTRATION).encode())
    assert (upstream.ip, upstream.port) == ("10.128.0.9", 8080)
    assert (upstream.slots, upstream.cold_remaining_s) == (128, 1.5)
    assert not upstream.draining
    assert not upstream.spot


@pytest.mark.parametrize(
    "changes",
    [
        {"Service": None},
        {"Service": 5},
        {"Address": 7},
        {"Address": "nowhere"},
        {"State": "asleep"},
        {"Slots": "many"},
        {"Zone": ["a"]},
    ],
)
def test_a_registration_with_an_invalid_field_is_rejected(
    changes: dict[str, Any],
) -> None:
    document = json.dumps({**REGISTRATION, **changes}).encode()
    with pytest.raises(ValueError, match=r"."):
        DIALECT.read_upstream("i-1", document)


@pytest.mark.parametrize("document", [b"\xff\xfe", b"null", b"3", b'"x"'])
def test_bytes_that_are_not_a_registration_are_rejected(
    document: bytes,
) -> None:
    with pytest.raises(ValueError, match=r"."):
        DIALECT.read_upstream("i-1", document)
