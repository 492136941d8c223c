"""Test what a host reads of the limits that upstreams name."""

import asyncio
from typing import Any

import pytest

from shallotfold._gateway.core import decision_log
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario


@pytest.fixture(name="lines")
def _lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(
        decision_log,
        "record",
        lambda decision, **inputs: lines.append(
            {"decision": decision, **inputs}
        ),
    )
    return lines


def scripted_backend(*heads: tuple[bytes, ...]) -> Backend:
    """Return a backend whose responses have these headers, in order."""
    remaining = list(heads)
    return Backend(lambda _: complete_response(b"ok", *remaining.pop(0)))


def run_requests(backend: Backend, count: int) -> None:
    async def scenario(harness: GatewayHarness) -> None:
        for _ in range(count):
            await harness.send(request())
            await asyncio.sleep(0.001)

    run_scenario([backend], scenario)


def test_log_says_when_a_host_was_told_of_a_limit(
    lines: list[dict[str, Any]],
) -> None:
    # The logs didn't show which sends came after a limit had been named.
    run_requests(scripted_backend((), (b"Server-Limit: 1.5",)), 2)
    changes = [
        (line["upstream"], line["per_second"], line["previous_per_second"])
        for line in lines
        if line["decision"] == "upstream_limit"
    ]
    assert changes == [("u0", 1.5, None)]


@pytest.mark.parametrize("value", [b"-1", b"many", b"1e3", b"nan", b"", b"1_0"])
def test_unusable_limit_is_ignored_and_logged_once(
    value: bytes, lines: list[dict[str, Any]]
) -> None:
    head = (b"Server-Limit: " + value,)
    run_requests(scripted_backend(head, head), 2)
    decisions = [line["decision"] for line in lines]
    assert decisions.count("limit_ignored") == 1
    assert "upstream_limit" not in decisions


def test_lowest_of_contradictory_limits_counts(
    lines: list[dict[str, Any]],
) -> None:
    head = (b"Server-Limit: 8", b"Server-Limit: 2.5, 4")
    run_requests(scripted_backend(head), 1)
    (change,) = [x for x in lines if x["decision"] == "upstream_limit"]
    assert change["per_second"] == 2.5
