"""Test streams that an upstream breaks off, by how they are framed."""

from typing import Any

import pytest

from shallotfold._gateway.core import decision_log
from tests.gateway.backends import Backend
from tests.gateway.backends import close_delimited_stream
from tests.gateway.backends import sse_event
from tests.gateway.backends import stream_response
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario


def send_stream_request(
    *backends: Backend, path: str = "/chat/1"
) -> tuple[bytes, GatewayHarness]:
    """Return the response to one request for a stream."""
    responses = []

    async def scenario(harness: GatewayHarness) -> None:
        responses.append(
            await harness.send(request(path, method="POST", body=b"x"))
        )

    harness = run_scenario(list(backends), scenario)
    return responses[0], harness


@pytest.mark.parametrize(
    ("response", "decision", "framing", "incomplete_event_bytes"),
    [
        (stream_response(sse_event(1)), "done", "chunked", 0),
        (close_delimited_stream(sse_event(1)), "done", "connection_close", 0),
        (
            stream_response(sse_event(1), sse_event(2)[:9], ended=False),
            "broken",
            "chunked",
            9,
        ),
    ],
)
def test_log_shows_framing_and_position_of_a_stream(
    monkeypatch: pytest.MonkeyPatch,
    response: bytes,
    decision: str,
    framing: str,
    incomplete_event_bytes: int,
) -> None:
    """Without them, a stream that was cut off can't be told from a whole one."""
    lines: dict[str, dict[str, Any]] = {}

    def record(decision: str, **inputs: Any) -> None:
        lines[decision] = inputs

    monkeypatch.setattr(decision_log, "record", record)
    send_stream_request(Backend(lambda _: response, close=True))
    line = lines[decision]
    assert line["framing"] == framing
    assert line["last_event"] == 1
    assert line["incomplete_event_bytes"] == incomplete_event_bytes
