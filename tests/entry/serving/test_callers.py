import asyncio
import base64
import json
import pathlib
import socket

from aiohttp import web
from loguru import logger
import pytest
import yarl

from shallotfold._runtime.logs import configure_logs
from shallotfold._settings.addresses import Address
from shallotfold._settings.common import LogSettings
from shallotfold._settings.entry import CallerSettings
from tests.entry import served_entry as s


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


async def answer_plain(request: web.Request) -> web.StreamResponse:
    return web.Response(
        text="booked",
        headers={
            **s.echo_request_id(request),
            "Set-Cookie": "a=b",
            "ETag": "e",
        },
    )


def test_no_upstream_sees_the_key(tmp_path: pathlib.Path) -> None:
    basic = base64.b64encode(f"user:{s.KEY}".encode()).decode()
    headers_with_key = {
        "Cookie": f"session={s.KEY}",
        "X-Api-Key": s.KEY,
        "Proxy-Authorization": f"Basic {basic}",
        "X-Forwarded-Authorization": s.KEY,
        "Referer": f"http://x/?k={s.KEY}",
        "Accept": f"text/plain; k={s.KEY}",
        "X-Request-Id": s.KEY,
    }
    encoded_key = "".join(f"%{ord(c):02x}" for c in s.KEY)

    async def main() -> None:
        async with (
            s.start_upstreams(s.answer_completion, answer_plain) as [
                model,
                booking,
            ],
            s.serve_entry(
                tmp_path, {"m1": model.url, "b1": booking.url}
            ) as served,
        ):
            logged: list[str] = []
            sink = logger.add(logged.append, level="DEBUG")
            chat = f"{served.url}/v1/chat/completions?api_key={s.KEY}"
            async with served.client.post(
                chat, json=s.CHAT, headers=headers_with_key
            ) as response:
                assert response.status == 200
                request_id = response.headers["X-Request-Id"]
            url = f"{served.url}/booking/a?x=1&key={encoded_key}&k={s.KEY}&y=2"
            async with served.client.post(
                yarl.URL(url, encoded=True), headers=headers_with_key
            ) as response:
                assert await response.text() == "booked"
                assert "Set-Cookie" not in response.headers
                assert response.headers["ETag"] == "e"
            logger.remove(sink)
            received = model.received_text() + booking.received_text()
            assert s.KEY not in received
            assert basic not in received
            assert encoded_key not in received
            assert booking.requests[0].raw_path == "/booking/a?x=1&y=2"
            assert s.KEY not in "".join(logged)
            steps = served.entry.explanations.get_steps(request_id)
            assert s.KEY not in str(steps)
            assert steps

    s.run(main())


ESCAPED_KEY = "".join(f"\\u{ord(c):04x}" for c in s.KEY)


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"", "bad_request"),
        (b"{", "bad_request"),
        (b"[]", "bad_request"),
        (b'"\xff"', "bad_request"),
        (b'{"model": 3, "messages": []}', "bad_request"),
        (json.dumps({**s.CHAT, "model": "none"}).encode(), "unknown_model"),
        (json.dumps({**s.CHAT, "messages": {}}).encode(), "bad_request"),
        (json.dumps({**s.CHAT, "messages": ["a"]}).encode(), "bad_request"),
        (json.dumps({**s.CHAT, "stream": "yes"}).encode(), "bad_request"),
        (json.dumps({**s.CHAT, "max_tokens": -1}).encode(), "bad_request"),
        (json.dumps({**s.CHAT, "n": 2}).encode(), "bad_request"),
        (json.dumps({**s.CHAT, "resume": {}}).encode(), "bad_request"),
        (json.dumps({**s.CHAT, "user": s.KEY}).encode(), "bad_request"),
        (
            json.dumps({**s.CHAT, "user": "k"}).encode()[:-2]
            + f'{ESCAPED_KEY}"}}'.encode(),
            "bad_request",
        ),
        (b'{"a":' * 100_000, "bad_request"),
        (
            json.dumps(s.CHAT).encode()[:-1]
            + b',"x":'
            + b"[" * 80
            + b"]" * 80
            + b"}",
            "bad_request",
        ),
        (json.dumps(s.CHAT).encode()[:-1] + b',"x":NaN}', "bad_request"),
        (json.dumps(s.CHAT).encode()[:-1] + b',"x":1e999}', "bad_request"),
        (json.dumps(s.CHAT).encode()[:-1] + b',"x":"\\ud800"}', "bad_request"),
        (b" " * 2_000_000, "too_large"),
    ],
)
def test_invalid_body_is_refused_and_nothing_is_sent(
    tmp_path: pathlib.Path, body: bytes, code: str
) -> None:
    async def main() -> None:
        async with (
            s.start_upstreams(s.answer_completion) as [fake],
            s.serve_entry(
                tmp_path,
                {"m1": fake.url},
                callers=CallerSettings(max_body_bytes=1_000_000),
            ) as served,
            served.client.post(
                f"{served.url}/v1/chat/completions", data=body
            ) as response,
        ):
            assert 400 <= response.status < 500
            error = (await response.json())["error"]
            assert error["code"] == code
            assert error["not_run"] is True
            assert s.KEY not in str(error)
            assert not fake.requests

    s.run(main())


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/booking/%2e%2e/admin", {}, 400),
        (f"/booking/{s.KEY}", {}, 400),
        ("/elsewhere", {}, 404),
        ("/booking/a", {"Content-Encoding": "gzip"}, 400),
        ("/booking/a", {"X-Request-Class": "x" * 100}, 400),
        ("/booking/a", {"X-Request-Class": s.KEY}, 400),
        ("/booking/a", {"Idempotency-Key": s.KEY}, 400),
        ("/booking/a", {"Authorization": "Bearer other"}, 401),
        ("/booking/a", {"Authorization": "Basic eDp5"}, 401),
    ],
)
def test_invalid_plain_request_is_refused_and_nothing_is_sent(
    tmp_path: pathlib.Path, path: str, headers: dict[str, str], status: int
) -> None:
    async def main() -> None:
        async with (
            s.start_upstreams(answer_plain) as [fake],
            s.serve_entry(tmp_path, {"b1": fake.url}) as served,
            served.client.post(
                yarl.URL(served.url + path, encoded=True),
                headers=headers,
                data=b"x",
            ) as response,
        ):
            assert response.status == status
            assert (await response.json())["error"]["not_run"] is True
            assert not fake.requests

    s.run(main())


@pytest.mark.parametrize(
    "junk",
    [
        b"\x16\x03\x01\x02\x00\x01\x00",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -3\r\n\r\n",
        b"GET /readyz HTTP/1.1\r\nAuthorization Bearer sk-oops\r\n\r\n",
        b"GET /readyz HTTP/1.1\r\nX: " + b"y" * 100_000 + b"\r\n\r\n",
    ],
)
def test_junk_on_the_port_never_stops_the_entry(
    tmp_path: pathlib.Path, junk: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    configure_logs(LogSettings(level="DEBUG"))

    async def main() -> None:
        async with (
            s.start_upstreams(s.answer_completion) as [fake],
            s.serve_entry(tmp_path, {"m1": fake.url}) as served,
        ):
            address = served.entry.callers.address
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            writer.write(junk)
            answer = await reader.read(4096)
            writer.close()
            assert answer.startswith((b"HTTP/1.1 4", b"HTTP/1.0 4"))
            assert "sk-oops" not in capsys.readouterr().err
            async with served.client.post(
                f"{served.url}/v1/chat/completions", json=s.CHAT
            ) as response:
                assert response.status == 200

    s.run(main())


@pytest.mark.parametrize("protocol", ["h2c", "websocket", "tcp"])
@pytest.mark.parametrize("path", ["/booking/1", "/v1/chat/completions"])
@pytest.mark.parametrize("streaming", [True, False])
def test_request_with_an_offer_runs_as_sent_and_closes_the_connection(
    tmp_path: pathlib.Path, protocol: str, path: str, *, streaming: bool
) -> None:
    """Further requests on the connection got no answer."""

    async def main() -> None:
        async with (
            s.start_upstreams(s.answer_completion, answer_plain) as [
                model,
                booking,
            ],
            s.serve_entry(
                tmp_path, {"m1": model.url, "b1": booking.url}
            ) as served,
        ):
            address = served.entry.callers.address
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            body = json.dumps(s.STREAM if streaming else s.CHAT).encode()
            head = (
                f"POST {path} HTTP/1.1\r\nHost: x\r\n"
                f"Authorization: Bearer {s.KEY}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n"
                f"Connection: Upgrade\r\nUpgrade: {protocol}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            async with asyncio.timeout(5.0):
                answer = await reader.read()
            writer.close()
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert b"connection: close" in answer.lower()
            plain = path.startswith("/booking")
            (sent,) = (booking if plain else model).bodies
            if plain:
                assert sent == body
            else:
                assert json.loads(sent)["messages"] == s.CHAT["messages"]

    s.run(main())


def test_models_are_listed_for_a_known_key_only(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with s.serve_entry(
            tmp_path, {"m1": "http://127.0.0.1:9"}
        ) as served:
            url = f"{served.url}/v1/models"
            async with served.client.get(url) as response:
                models = (await response.json())["data"]
                assert [model["id"] for model in models] == ["small"]
            async with served.client.get(
                url, headers={"Authorization": "Bearer other"}
            ) as response:
                assert response.status == 401

    s.run(main())


def test_shutdown_cuts_off_no_stream(tmp_path: pathlib.Path) -> None:
    may_continue = asyncio.Event()

    async def answer(request: web.Request) -> web.StreamResponse:
        response = await s.start_stream(request)
        await response.write(s.token_event("one "))
        await may_continue.wait()
        await response.write(
            s.token_event("two ") + s.FINISH_EVENT + s.END_EVENT
        )
        return response

    async def main() -> None:
        async with (
            s.start_upstreams(answer) as [fake],
            s.serve_entry(tmp_path, {"m1": fake.url}) as served,
        ):
            async with served.client.post(
                f"{served.url}/v1/chat/completions", json=s.STREAM
            ) as response:
                text = (await response.content.readany()).decode()
                served.entry.request_shutdown()
                async with served.client.get(f"{served.url}/readyz") as ready:
                    assert ready.status == 503
                may_continue.set()
                text += await response.text()
            assert "two " in text
            assert text.endswith("[DONE]\n\n")
            assert await served.entry.wait_stopped() == 0

    s.run(main())


def test_shutdown_ends_at_its_timeout_despite_an_open_stream(
    tmp_path: pathlib.Path,
) -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        response = await s.start_stream(request)
        await response.write(s.token_event("one "))
        await asyncio.Event().wait()
        return response

    async def main() -> None:
        async with (
            s.start_upstreams(answer) as [fake],
            s.serve_entry(
                tmp_path, {"m1": fake.url}, shutdown_timeout_s=0.2
            ) as served,
            served.client.post(
                f"{served.url}/v1/chat/completions", json=s.STREAM
            ) as response,
        ):
            await response.content.readany()
            served.entry.request_shutdown()
            assert await served.entry.wait_stopped() == 1

    s.run(main())


def test_entry_with_a_peer_port_serves(tmp_path: pathlib.Path) -> None:
    async def main() -> None:
        async with (
            s.start_upstreams(s.answer_completion) as [fake],
            s.serve_entry(
                tmp_path,
                {"m1": fake.url},
                peer_address=Address("127.0.0.1", free_port()),
                fleet_secret="fleet",
            ) as served,
            served.client.post(
                f"{served.url}/v1/chat/completions", json=s.CHAT
            ) as response,
        ):
            assert response.status == 200

    s.run(main())


def test_late_request_at_shutdown_is_refused_as_not_run(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with s.serve_entry(tmp_path, {}) as served:
            address = served.entry.callers.address
            reader, writer = await asyncio.open_connection(
                address.ip, address.port
            )
            served.entry.request_shutdown()
            assert await served.entry.wait_stopped() == 0
            closing = asyncio.create_task(served.entry.callers.close())
            await asyncio.sleep(0)
            writer.write(b"POST /booking/a HTTP/1.1\r\nHost: x\r\n")
            writer.write(b"Content-Length: 0\r\n\r\n")
            answer = (await reader.read()).decode()
            assert answer.startswith("HTTP/1.1 ")
            assert "\r\nConnection: close\r\n" in answer
            assert '"not_run": true' in answer
            writer.close()
            await closing

    s.run(main())
