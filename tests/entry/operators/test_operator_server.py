import hashlib
import pathlib

import pytest

from shallotfold._entry.operators.explanations import Explanations
from shallotfold._settings.entry import OperatorPortSettings
from tests.entry import served_entry as s

OPERATOR_KEY = "op-0123456789"
SETTINGS = OperatorPortSettings(
    key_sha256=hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
)
HEADERS = {"Authorization": f"Bearer {OPERATOR_KEY}"}


def test_operator_port_serves_status_and_explanations(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with (
            s.start_upstreams(s.answer_completion) as [fake],
            s.serve_entry(
                tmp_path, {"m1": fake.url}, operator=SETTINGS
            ) as served,
        ):
            async with served.client.post(
                f"{served.url}/v1/chat/completions", json=s.CHAT
            ) as response:
                request_id = response.headers["X-Request-Id"]
            operators = f"http://{served.entry.operators.address}/operator"
            async with served.client.get(
                f"{operators}/status", headers=HEADERS
            ) as response:
                status = await response.json()
            assert status["host"] == "e1"
            assert status["ready"] is True
            assert status["configuration_version"] == 1
            async with served.client.get(
                f"{operators}/explain/{request_id}", headers=HEADERS
            ) as response:
                steps = (await response.json())["steps"]
            names = [step["step"] for step in steps]
            assert names[0] == "admitted"
            assert "started" in names
            assert names[-1] == "answered"
            async with served.client.get(
                f"{operators}/explain/none", headers=HEADERS
            ) as response:
                assert response.status == 404

    s.run(main())


def test_operator_port_requires_the_operator_key(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with s.serve_entry(tmp_path, {}, operator=SETTINGS) as served:
            url = f"http://{served.entry.operators.address}/operator/status"
            # This client sends a caller's key.
            async with served.client.get(url) as response:
                assert response.status == 401

    s.run(main())


@pytest.mark.parametrize("protocol", ["h2c", "websocket"])
def test_offer_of_another_protocol_closes_the_operators_connection(
    tmp_path: pathlib.Path, protocol: str
) -> None:
    """Further requests on the connection got no answer."""

    async def main() -> None:
        async with s.serve_entry(tmp_path, {}, operator=SETTINGS) as served:
            url = f"http://{served.entry.operators.address}/operator/status"
            offer = {"Connection": "Upgrade", "Upgrade": protocol}
            async with served.client.get(
                url, headers={**HEADERS, **offer}
            ) as response:
                assert response.status == 200
                assert response.headers["Connection"] == "close"

    s.run(main())


def test_explanations_are_bounded() -> None:
    explanations = Explanations(max_requests=2)
    for request_id in ("r1", "r2", "r3"):
        for number in range(100):
            explanations.record(request_id, f"step {number}", "x" * 1000)
    assert explanations.get_steps("r1") == ()
    steps = explanations.get_steps("r3")
    assert len(steps) == 32
    assert len(steps[0].detail) == 200
