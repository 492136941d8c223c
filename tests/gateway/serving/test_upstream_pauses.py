"""Test that upstreams get the pauses that they ask for."""

import asyncio
from typing import Any

import pytest

from shallotfold._gateway.core import decision_log
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import signed_response
from tests.gateway.serving.harness import status_of


def make_refusal(retry_after: bytes) -> bytes:
    return complete_response(
        b"",
        b"Not-Executed: 1",
        b"Retry-After: " + retry_after,
        status=b"503 Service Unavailable",
    )


@pytest.mark.parametrize("marked_not_run", [True, False])
def test_upstream_gets_no_request_during_its_pause(
    marked_not_run: bool,
) -> None:
    """A full upstream got each request of its hosts only to reject it."""
    refusal = make_refusal(b"0.6")
    if not marked_not_run:
        refusal = refusal.replace(b"Not-Executed: 1\r\n", b"")
    pausing = Backend(lambda _: refusal)
    serving = Backend(lambda _: signed_response())

    async def scenario(harness: GatewayHarness) -> None:
        async def send_many() -> int:
            for _ in range(8):
                assert status_of(await harness.send(request())) == 200
            return len(pausing.requests)

        assert await send_many() == 1
        await asyncio.sleep(0.65)
        assert await send_many() == 2

    run_scenario([pausing, serving], scenario)


def test_callers_return_after_the_pause_if_all_upstreams_asked_for_one() -> (
    None
):
    """Callers came back at once, and found nothing but pauses."""

    async def scenario(harness: GatewayHarness) -> None:
        await harness.send(request("/book/1", method="POST", body=b"x"))
        delays_s = set()
        for _ in range(4):
            response = await harness.send(
                request("/book/1", method="POST", body=b"x")
            )
            assert status_of(response) == 503
            head = response.partition(b"\r\n\r\n")[0]
            delays_s.add(float(head.partition(b"Retry-After: ")[2].split()[0]))
        assert all(19.0 <= delay_s <= 30.0 for delay_s in delays_s)
        assert len(delays_s) == 4

    pausing = Backend(lambda _: make_refusal(b"20"))
    run_scenario([pausing], scenario)
    assert len(pausing.requests) == 1


def test_unusable_pause_is_ignored_and_logged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    decisions: list[str] = []

    def record(decision: str, **inputs: Any) -> None:
        del inputs
        decisions.append(decision)

    monkeypatch.setattr(decision_log, "record", record)
    backend = Backend(lambda _: make_refusal(b"-5"))

    async def scenario(harness: GatewayHarness) -> None:
        for _ in range(3):
            await harness.send(request("/book/1", method="POST", body=b"x"))

    run_scenario([backend], scenario)
    assert len(backend.requests) == 3
    assert decisions.count("pause_ignored") == 1
    assert "upstream_paused" not in decisions
