"""Test answers of upstreams that end with their connection."""

import asyncio
import pathlib
import re

import pytest

from shallotfold._runtime.loop import new_event_loop
from tests.entry import served_entry as s
from tests.gateway.backends import Backend

BODY = b'{"booked": "half"'


def close_delimited_answer(sent: bytes) -> bytes:
    """Return an answer with neither a length nor chunks."""
    request_id = re.search(rb"(?i)x-request-id: *([^\r]*)", sent)
    return (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"X-Request-Id: " + (request_id[1] if request_id else b"") + b"\r\n\r\n"
    ) + BODY


async def send_booking(
    tmp_path: pathlib.Path, backend: Backend
) -> tuple[int, bytes]:
    """Return the status and the body that the caller gets."""
    await backend.start()
    try:
        async with (
            s.serve_entry(
                tmp_path, {"b1": f"http://127.0.0.1:{backend.port}"}
            ) as served,
            served.client.post(f"{served.url}/booking/slots") as response,
        ):
            return response.status, await response.read()
    finally:
        await backend.stop()


@pytest.mark.parametrize("on_uvloop", [False, True])
@pytest.mark.parametrize("reset", [False, True])
def test_answer_without_a_length_is_complete_unless_reset(
    tmp_path: pathlib.Path, reset: bool, on_uvloop: bool
) -> None:
    """A reset answer without a length reached its caller as a whole one."""
    backend = Backend(close_delimited_answer, close=True, reset=reset)

    async def main() -> None:
        status, body = await send_booking(tmp_path, backend)
        if reset:
            assert status == 502
            assert BODY not in body
        else:
            assert (status, body) == (200, BODY)

    factory = new_event_loop if on_uvloop else None
    with asyncio.Runner(loop_factory=factory) as runner:
        runner.run(asyncio.wait_for(main(), s.TIMEOUT_S))
