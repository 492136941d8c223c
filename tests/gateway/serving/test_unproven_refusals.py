"""An upstream's own 503 told callers that a request which it ran hadn't run.

They sent it again, and a booking was made twice.
"""

import pytest

from tests.gateway.backends import Backend
from tests.gateway.serving.harness import GatewayHarness
from tests.gateway.serving.harness import request
from tests.gateway.serving.harness import run_scenario
from tests.gateway.serving.harness import signed_response
from tests.gateway.serving.harness import status_of

# They promise callers that the request hasn't run and won't.
PROMISES = {408, 421, 429, 503}
STATUSES = [b"503 Unavailable", b"429 Too Many", b"408 Timeout"]
PATHS = [
    ("/book/1", "POST"),
    ("/lookup/1", "GET"),
    ("/talk/1", "POST"),
    ("/chat/1", "POST"),
    ("/open/1", "GET"),
]


@pytest.mark.parametrize(("path", "method"), PATHS)
@pytest.mark.parametrize("status", STATUSES)
def test_status_without_proof_is_not_passed_on(
    status: bytes, path: str, method: str
) -> None:
    backend = Backend(lambda _: signed_response(b"sorry", status=status))

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(request(path, method=method))
        assert status_of(response) == 502
        # The upstream's signature belongs to the status that it gave.
        assert b"response-signature" not in response.lower()
        assert status[:3] in response

    run_scenario([backend], scenario)


@pytest.mark.parametrize("status", STATUSES)
def test_repeatable_request_is_tried_at_another_upstream(
    status: bytes,
) -> None:
    statuses = iter([status, b"200 OK"])

    def respond(_: bytes) -> bytes:
        return signed_response(status=next(statuses))

    async def scenario(harness: GatewayHarness) -> None:
        assert status_of(await harness.send(request())) == 200

    run_scenario([Backend(respond), Backend(respond)], scenario)


@pytest.mark.parametrize("status", STATUSES)
def test_first_failure_isn_t_hidden_by_a_later_refusal(status: bytes) -> None:
    """The request ran at the first upstream, whatever the second one says."""
    answers = iter(
        [
            signed_response(status=status),
            signed_response(status=b"503 Full").replace(
                b"Response-Signature: s", b"Not-Executed: 1"
            ),
        ]
    )

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(request())
        assert status_of(response) not in PROMISES

    run_scenario(
        [Backend(lambda _: next(answers)), Backend(lambda _: next(answers))],
        scenario,
    )


def test_other_failures_are_passed_on_as_they_are() -> None:
    failed = signed_response(b"broken", status=b"500 Failed")
    backend = Backend(lambda _: failed)

    async def scenario(harness: GatewayHarness) -> None:
        response = await harness.send(request("/book/1", method="POST"))
        assert status_of(response) == 500
        assert b"Response-Signature: s" in response
        assert response.endswith(b"broken")

    run_scenario([backend], scenario)
