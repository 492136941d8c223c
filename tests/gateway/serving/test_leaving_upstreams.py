"""Test that a gateway notices upstreams that say that they are leaving."""

import pytest

from shallotfold._gateway.core.model import Upstream
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.gateway.backends import sse_event
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario

LEAVING = b"Server-Leaving: 1"


def leaving_ids(response: bytes, path: str) -> list[str]:
    """Return the upstreams reported as leaving after one request."""
    reported: list[str] = []

    def report(upstream: Upstream) -> bool:
        reported.append(upstream.upstream_id)
        return True

    async def scenario(harness: GatewayHarness) -> None:
        harness.gateway.on_upstream_leaving = report
        await harness.send(request(path, method="POST", body=b"x"))

    run_scenario([Backend(lambda _: response, close=True)], scenario)
    return reported


@pytest.mark.parametrize(
    ("response", "path"),
    [
        (complete_response(b"ok", LEAVING), "/book/1"),
        (
            b"HTTP/1.1 200 OK\r\n" + LEAVING + b"\r\n\r\n" + sse_event(1),
            "/chat/1",
        ),
        (
            complete_response(
                b"", LEAVING, b"Not-Executed: 1", status=b"503 Full"
            ),
            "/book/1",
        ),
        (
            complete_response(
                b"", LEAVING, status=b"500 Internal Server Error"
            ),
            "/book/1",
        ),
    ],
    ids=["answer", "stream", "refusal", "failure"],
)
def test_leaving_header_is_noticed_in_any_response(
    response: bytes, path: str
) -> None:
    """An upstream that never registered as draining got further requests."""
    assert leaving_ids(response, path) == ["u0"]


@pytest.mark.parametrize(
    "response",
    [
        complete_response(b"ok"),
        complete_response(b"ok", b"Server-Leaving: 0"),
        # Another upstream, which runs at the address now, says it.
        complete_response(b"", LEAVING, status=b"421 Misdirected Request"),
        # The response to another request.
        complete_response(b"ok", LEAVING, b"Attempt-Id: 78"),
    ],
    ids=["missing", "not leaving", "other upstream", "other request"],
)
def test_other_responses_do_not_mark_the_upstream(response: bytes) -> None:
    assert leaving_ids(response, "/book/1") == []
