"""Check the comparison of two configurations by name."""

import json
from typing import Any

import pytest

from shallotfold.platform.configuration_differences import (
    compare_configurations,
)
from shallotfold.platform.documents import decode_configuration
from tests.platform.test_configuration_checks import Change
from tests.platform.test_configuration_checks import append
from tests.platform.test_configuration_checks import changed_document
from tests.platform.test_configuration_checks import set_field
from tests.platform.test_configuration_checks import update
from tests.platform.test_documents import CONFIGURATION


def compare(change: Change) -> list[str]:
    old = decode_configuration(json.dumps(CONFIGURATION).encode())
    new = decode_configuration(changed_document(change))
    return list(map(str, compare_configurations(old, new)))


def remove(name: str, number: int) -> Change:
    return lambda document: document[name].pop(number)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (set_field("Version", value=9), []),
        (lambda document: document["Routes"].reverse(), []),
        (set_field("Routes", 1, "Public", value=None), []),
        (append("Routes", Name="new"), ["added: route new"]),
        (remove("Routes", 0), ["removed: route long"]),
        (append("Services", Name="new"), ["added: service new"]),
        (append("Tenants", Name="new"), ["added: workspace new"]),
        (remove("Tenants", 0), ["removed: workspace hule"]),
        (
            update("Routes", 1, TimeoutMs=900, MaxAttempts=2),
            [
                "changed: route short: MaxAttempts absent -> 2, "
                "TimeoutMs 800 -> 900"
            ],
        ),
        (
            set_field("Routes", 0, "TrafficSplit", 0, "Weight", value=80),
            [
                "changed: route long: TrafficSplit "
                '[{"Service": "first", "Weight": 90}, '
                '{"Service": "second", "Weight": 10}] -> '
                '[{"Service": "first", "Weight": 80}, '
                '{"Service": "second", "Weight": 10}]'
            ],
        ),
        (
            set_field("Services", 0, "Scaling", "Maximum", value=5),
            ["changed: service first: Scaling.Maximum 3 -> 5"],
        ),
        # Hosts don't read this field.
        (
            set_field("Services", 1, "HealthCheckPath", value="/ok"),
            ['changed: service second: HealthCheckPath "/health" -> "/ok"'],
        ),
        (
            update("Limits", MaxHeaderBytes=200, MaxBodyBytes=5),
            [
                "changed: configuration itself: Limits.MaxBodyBytes "
                "absent -> 5, Limits.MaxHeaderBytes 100 -> 200"
            ],
        ),
        # From then on no route needs a key.
        (
            set_field("Tenants", value=None),
            [
                "removed: workspace hule",
                "changed: configuration itself: Tenants present -> absent",
            ],
        ),
    ],
)
def test_parts_are_compared_by_name(
    change: Change, expected: list[str]
) -> None:
    assert compare(change) == expected


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        (
            {"ApiKeys": ["k2", "secret1", "secret2"]},
            "ApiKeys 2 -> 3 (2 added, 1 removed)",
        ),
        ({"Priority": 0}, "Priority 1 -> 0"),
        ({"Note": "secret"}, "Note absent -> (not shown)"),
    ],
)
def test_no_change_of_a_workspace_shows_a_key(
    fields: dict[str, Any], expected: str
) -> None:
    """The comparison is printed in pipelines, whose logs many people read."""
    assert compare(update("Tenants", 0, **fields)) == [
        f"changed: workspace hule: {expected}"
    ]


def test_parts_of_one_name_are_all_compared() -> None:
    """The last of them would hide a change of the others."""
    assert compare(append("Routes")) == ["added: route long (2)"]
