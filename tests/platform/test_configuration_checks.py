"""Check the findings about a configuration before it is sent.

An odd configuration was noticed only when requests failed: two routes of one
name, and a document without routes, went into force on all hosts.
"""

from collections.abc import Callable
import copy
import json
from typing import Any

import pytest

from shallotfold.platform.configuration_checks import Severity
from shallotfold.platform.configuration_checks import check_configuration
from shallotfold.platform.configuration_checks import check_version
from shallotfold.platform.documents import MAX_SHOWN_ERRORS
from shallotfold.platform.documents import PlatformDialect
from shallotfold.platform.documents import decode_configuration
from tests.platform.test_documents import CONFIGURATION

ERROR = Severity.ERROR
WARNING = Severity.WARNING
INFORMATION = Severity.INFORMATION

Document = dict[str, Any]
Change = Callable[[Document], object]
Places = list[tuple[Severity, str]]


def set_field(*path: str | int, value: Any) -> Change:
    """Return a change of one field; the path has names and positions."""

    def change(document: Any) -> None:
        for step in path[:-1]:
            document = document[step]
        document[path[-1]] = value

    return change


def update(*path: str | int, **fields: Any) -> Change:
    """Return a change of several fields of one object."""

    def change(document: Any) -> None:
        for step in path:
            document = document[step]
        document.update(fields)

    return change


def append(name: str, **fields: Any) -> Change:
    """Return a change that adds a copy of the first part of a list."""
    return lambda document: document[name].append(
        {**copy.deepcopy(document[name][0]), **fields}
    )


def changed_document(change: Change) -> bytes:
    document = copy.deepcopy(CONFIGURATION)
    change(document)
    return json.dumps(document).encode()


CASES: dict[str, tuple[Change, Places]] = {
    "clean": (lambda _: None, []),
    "two routes of one name": (
        set_field("Routes", 1, "Name", value="long"),
        [(ERROR, "Routes.1.Name")],
    ),
    "no routes": (
        update(Routes=[], Services=[]),
        [(ERROR, "Routes")],
    ),
    "undefined service": (
        set_field("Routes", 1, "Service", value="absent"),
        [(ERROR, "Routes.1.Service")],
    ),
    "undefined service in a split": (
        set_field("Routes", 0, "TrafficSplit", 1, "Service", value="absent"),
        [(ERROR, "Routes.0.TrafficSplit.1.Service")],
    ),
    "all weights 0": (
        set_field(
            "Routes",
            0,
            "TrafficSplit",
            value=[{"Service": "first", "Weight": 0}],
        ),
        [(ERROR, "Routes.0.TrafficSplit")],
    ),
    "minimum above maximum": (
        set_field("Services", 0, "Scaling", "Minimum", value=4),
        [(ERROR, "Services.0.Scaling.Minimum")],
    ),
    "key of two workspaces": (
        append("Tenants", Name="other", ApiKeys=["k3", "k2"]),
        [(ERROR, "Tenants.1.ApiKeys")],
    ),
    "same host and prefix": (
        append("Routes", Name="third", Host="FICU95.example"),
        [(WARNING, "Routes.0")],
    ),
    "host with a port": (
        set_field("Routes", 1, "Host", value="ficu95.example:80"),
        [(WARNING, "Routes.1.Host")],
    ),
    "host with a wildcard": (
        set_field("Routes", 1, "Host", value="*.example"),
        [(WARNING, "Routes.1.Host")],
    ),
    "prefix with a query": (
        set_field("Routes", 1, "PathPrefix", value="/lohu?a/"),
        [(WARNING, "Routes.1.PathPrefix")],
    ),
    "prefix with a space": (
        set_field("Routes", 1, "PathPrefix", value="/lo hu/"),
        [(WARNING, "Routes.1.PathPrefix")],
    ),
    "weight 0": (
        set_field("Routes", 0, "TrafficSplit", 1, "Weight", value=0),
        [(WARNING, "Routes.0.TrafficSplit.1.Weight")],
    ),
    "service twice in a split": (
        set_field("Routes", 0, "TrafficSplit", 1, "Service", value="first"),
        [(WARNING, "Routes.0.TrafficSplit.1.Service")],
    ),
    "timeout below target": (
        set_field("Routes", 0, "TimeoutMs", value=1500),
        [(WARNING, "Routes.0.TimeoutMs")],
    ),
    "attempts beyond the timeout": (
        set_field("Routes", 0, "MaxAttempts", value=8),
        [(WARNING, "Routes.0.MaxAttempts")],
    ),
    "attempts that just fit": (
        update("Routes", 0, TimeoutMs=300, TargetLatencyMs=100, MaxAttempts=3),
        [(WARNING, "Routes.0.GapTargetMs")],
    ),
    "attempts without a target of its own": (
        set_field("Routes", 1, "MaxAttempts", value=3),
        [],
    ),
    "gap target above the timeout": (
        set_field("Routes", 0, "GapTargetMs", value=16000),
        [(WARNING, "Routes.0.GapTargetMs")],
    ),
    "fields of streams on another route": (
        set_field("Routes", 0, "Kind", value="idempotent"),
        [
            (WARNING, "Routes.0.StreamResumption"),
            (WARNING, "Routes.0.GapTargetMs"),
        ],
    ),
    "resumption without a further attempt": (
        set_field("Routes", 0, "MaxAttempts", value=1),
        [(WARNING, "Routes.0.StreamResumption")],
    ),
    "service without a route": (
        append("Services", Name="third"),
        [(WARNING, "Services.2")],
    ),
    "two services of one name": (
        append("Services"),
        [(WARNING, "Services.2.Name")],
    ),
    "no upstreams ordered": (
        update("Services", 0, "Scaling", Minimum=0, Maximum=0),
        [(WARNING, "Services.0.Scaling.Maximum")],
    ),
    "no prices": (
        set_field("Services", 0, "Scaling", "ZonePrices", value={}),
        [(WARNING, "Services.0.Scaling.ZonePrices")],
    ),
    "spot dearer than on demand": (
        set_field("Services", 0, "Scaling", "SpotPriceRatio", value=22),
        [(WARNING, "Services.0.Scaling.SpotPriceRatio")],
    ),
    "workspace without keys": (
        append("Tenants", Name="other", ApiKeys=[]),
        [(WARNING, "Tenants.1.ApiKeys")],
    ),
    "key twice": (
        set_field("Tenants", 0, "ApiKeys", 1, value="k1"),
        [(WARNING, "Tenants.0.ApiKeys.1")],
    ),
    "key with a space at its end": (
        set_field("Tenants", 0, "ApiKeys", 1, value="k2 "),
        [(WARNING, "Tenants.0.ApiKeys.1")],
    ),
    "key that no header encodes": (
        set_field("Tenants", 0, "ApiKeys", 1, value="k\u0142ucz"),
        [(WARNING, "Tenants.0.ApiKeys.1")],
    ),
    "two workspaces of one name": (
        append("Tenants", ApiKeys=["k3"]),
        [(WARNING, "Tenants.1.Name")],
    ),
    "workspaces absent": (
        set_field("Tenants", value=None),
        [(INFORMATION, "Tenants")],
    ),
    "no key for routes that need one": (
        set_field("Tenants", value=[]),
        [(WARNING, "Routes.0"), (WARNING, "Routes.1")],
    ),
    "public route beside keys": (
        set_field("Routes", 0, "Public", value=True),
        [(INFORMATION, "Routes.0.Public")],
    ),
    "headers too small for a key": (
        set_field("Tenants", 0, "ApiKeys", 1, value="k" * 56),
        [(WARNING, "Limits.MaxHeaderBytes")],
    ),
    "headers that just take a key": (
        set_field("Tenants", 0, "ApiKeys", 1, value="k" * 55),
        [],
    ),
    "headers too small for a host": (
        set_field("Routes", 0, "Host", value="h" * 80),
        [(WARNING, "Limits.MaxHeaderBytes")],
    ),
    "no bodies": (
        set_field("Limits", "MaxBodyBytes", value=0),
        [(WARNING, "Limits.MaxBodyBytes")],
    ),
    "several at once, errors first": (
        update(Routes=[], Tenants=None),
        [
            (ERROR, "Routes"),
            (WARNING, "Services.0"),
            (WARNING, "Services.1"),
            (INFORMATION, "Tenants"),
        ],
    ),
}


@pytest.mark.parametrize(
    ("change", "expected"), CASES.values(), ids=CASES.keys()
)
def test_each_fault_is_found_once_and_only_errors_are_refused(
    change: Change, expected: Places
) -> None:
    """A running fleet must go on taking a configuration that is only odd."""
    document = changed_document(change)
    findings = check_configuration(decode_configuration(document))
    assert [(f.severity, f.place) for f in findings] == expected
    assert all(f.text and f.remedy.endswith(".") for f in findings)
    errors = [f for f in findings if f.severity is ERROR]
    if not errors:
        PlatformDialect().read_configuration(document)
        return
    with pytest.raises(ValueError, match=errors[0].place) as caught:
        PlatformDialect().read_configuration(document)
    assert "version 7: " in str(caught.value)


def test_no_finding_shows_a_key() -> None:
    """Findings get into logs of hosts and of pipelines."""
    tenants = [
        {"Name": "one", "ApiKeys": ["sesame", "sesame", "sesame "]},
        {"Name": "two", "ApiKeys": ["sesame"]},
    ]
    document = changed_document(update(Tenants=tenants))
    findings = check_configuration(decode_configuration(document))
    assert len(findings) == 3
    assert "sesame" not in "".join(map(str, findings))


@pytest.mark.parametrize("keys", [["ses\name"], "sesame", [["sesame"]]])
def test_key_of_another_type_is_refused_without_showing_it(keys: Any) -> None:
    """The message about an unprintable key had the key."""
    document = changed_document(set_field("Tenants", 0, "ApiKeys", value=keys))
    with pytest.raises(ValueError, match="ApiKeys") as caught:
        decode_configuration(document)
    assert "ses" not in str(caught.value)


def test_refusal_of_many_errors_is_short() -> None:
    """A host writes the reason of a refusal into one log line."""
    document = changed_document(update(Services=[], Routes=many_routes(100)))
    with pytest.raises(ValueError, match="more errors") as caught:
        PlatformDialect().read_configuration(document)
    assert str(caught.value).count(";") == MAX_SHOWN_ERRORS


def many_routes(count: int) -> list[Document]:
    (_, short) = CONFIGURATION["Routes"]
    return [{**short, "PathPrefix": f"/{n}/"} for n in range(count)]


@pytest.mark.parametrize(
    ("version", "is_changed", "is_refused"),
    [
        (8, True, False),
        (8, False, False),
        (7, True, True),
        (7, False, False),
        (6, True, True),
        (6, False, True),
    ],
)
def test_version_that_hosts_ignore_is_an_error(
    version: int, is_changed: bool, is_refused: bool
) -> None:
    findings = check_version(version, 7, is_changed=is_changed)
    assert [(f.severity, f.place) for f in findings] == (
        [(ERROR, "Version")] if is_refused else []
    )
