"""Check what the log says about the attempts of a request."""

from typing import Any

import pytest

from shallotfold._gateway.core import decision_log
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.gateway.backends import sse_event
from tests.gateway.backends import stream_response
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario


def test_send_names_the_shared_parts_of_the_prompt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Requests that had a part in common couldn't be found in the logs.
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(
        decision_log,
        "record",
        lambda decision, **inputs: lines.append(
            {"decision": decision, **inputs}
        ),
    )

    async def scenario(harness: GatewayHarness) -> None:
        await harness.send(
            request(
                "/talk/1",
                "Token-Counts: 90,10",
                "Prompt-Prefix: 5c1e:40,91bd:30,e440:20",
            )
        )

    run_scenario([Backend(lambda _: stream_response(sse_event(1)))], scenario)
    (send,) = [line for line in lines if line["decision"] == "send"]
    assert send["parts"] == ("5c1e", "91bd")


def test_send_shows_which_requests_are_equal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Whether servers ended under one request that came again, or under several,
    # couldn't be told from the logs.
    lines: list[dict[str, Any]] = []
    monkeypatch.setattr(
        decision_log,
        "record",
        lambda decision, **inputs: lines.append(
            {"decision": decision, **inputs}
        ),
    )

    async def scenario(harness: GatewayHarness) -> None:
        for path in ("/lookup/1?a=1", "/lookup/1?a=1", "/lookup/1?a=2"):
            await harness.send(request(path))

    run_scenario([Backend(lambda _: complete_response(b"ok"))], scenario)
    sends = [line for line in lines if line["decision"] == "send"]
    first, second, other = (line["fingerprint"] for line in sends)
    assert first == second != other
