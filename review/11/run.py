"""Bookings of a client that offers to switch to HTTP/2, one after the other."""

import asyncio
import json
import pathlib
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins_3 as standins  # noqa: E402

BOOKINGS = 20
# What clients such as curl with --http2 send with each request on a connection
# that isn't encrypted (RFC 7540, section 3.2). A server that doesn't know the
# protocol ignores it (RFC 9110, section 7.8).
OFFER = (
    "Connection: Upgrade, HTTP2-Settings",
    "Upgrade: h2c",
    "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA",
)


class Desk(standins.Worker):
    """A booking worker that remembers the body of each request it runs."""

    def __init__(self, record: standins.Record) -> None:
        super().__init__("i-desk", record)
        self.body_by_attempt: dict[str, bytes] = {}

    async def run(
        self,
        attempt: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Remember the body and answer."""
        self.record.add(f"{attempt} runs with the body {body!r}")
        self.body_by_attempt[attempt] = body
        await super().run(attempt, headers, body, writer)


async def play(
    fleet: standins.Fleet, desk: Desk, record: standins.Record
) -> list[str]:
    """Send the bookings and compare what ran with what was sent."""
    broken = []
    offer = OFFER if standins.is_troubled() else ()
    for number in range(BOOKINGS):
        attempt = f"booking-{number}"
        body = json.dumps({"shelter": number, "week": 49}).encode()
        data = standins.request(
            "POST", "/confirm/1", attempt, *offer, body=body
        )
        record.add(f"{attempt} is sent with the body {body!r}")
        status, _, answer = await standins.call(
            fleet.ips[number % len(fleet.ips)], data
        )
        record.add(f"{attempt} is answered {status} {answer!r}")
        ran = desk.body_by_attempt.get(attempt)
        if ran is not None and ran != body:
            broken.append(
                f"UNASKED: {attempt} ran with the body {ran!r} instead of "
                f"{body!r}, and was answered {status}"
            )
    if not desk.body_by_attempt:
        raise RuntimeError("no booking has run")
    return broken


async def case(record: standins.Record) -> list[str]:
    """Start a small deployment and play the case."""
    desk = Desk(record)
    document = standins.configuration(
        1,
        [standins.route("confirm", "non_idempotent", "bookings")],
        [{"Name": "bookings", "ConnectionLimit": 110}],
    )
    with tempfile.TemporaryDirectory() as folder:
        async with standins.Deployment(
            record, pathlib.Path(folder), 2, {desk: "bookings"}, document
        ) as deployment:
            await deployment.start_hosts()
            return await play(deployment.fleet, desk, record)


if __name__ == "__main__":
    standins.main(case, FOLDER)
