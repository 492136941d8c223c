import contextlib
import io
import json
import pathlib

from aiohttp import web
from aiohttp.test_utils import TestServer

from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._fleet.duties import DutyRecord
from shallotfold._fleet.duties import duty_key
from shallotfold._fleet.duties import encode_duty
from shallotfold._model.configuration import Configuration
from shallotfold._model.serialization import dump_configuration
from shallotfold._operator.commands.context import CommandContext
from shallotfold._operator.commands.status import status
from shallotfold._operator.output import Output
from shallotfold._standin.store import StoreFault
from shallotfold._standin.store import StoreStandin

ENTRY = {
    "host": "entry-1",
    "data_centre": "a",
    "configuration_version": 1,
    "ready": True,
    "draining": False,
    "peers": [],
    "upstreams": [
        {"name": "m1", "data_centre": "a", "serves": "small", "state": "open"}
    ],
}


async def show_status(
    directory: pathlib.Path, store: StoreStandin, *, as_json: bool = False
) -> str:
    """Run the command against one entry and return what it printed."""

    async def respond(request: web.Request) -> web.Response:
        assert request.headers["Authorization"] == "Bearer of-the-operator"
        return web.json_response(ENTRY)

    app = web.Application()
    app.router.add_get("/operator/status", respond)
    stream = io.StringIO()
    async with TestServer(app, host="127.0.0.1") as server:
        (directory / "key").write_text("of-the-operator\n")
        settings = directory / "operator.toml"
        settings.write_text(
            'store_url = "http://127.0.0.1:1"\n'
            f'entry_urls = ["http://127.0.0.1:{server.port}"]\n'
            f'operator_key_file = "{directory / "key"}"\n'
        )
        context = CommandContext(
            settings_path=settings,
            output=Output(stream=stream, as_json=as_json),
            confirm=lambda _: False,
            connect=lambda _: contextlib.nullcontext(store),
        )
        await status(context)
    return stream.getvalue()


async def make_store() -> StoreStandin:
    standin = StoreStandin()
    document = dump_configuration(Configuration(data_centres=("a",)))
    await ConfigurationStore(standin).submit(document, 0, "ann", "first")
    duty = DutyRecord(name="orders/a", holder="entry-1", token="t")
    await standin.compare_and_swap(duty_key("orders/a"), 0, encode_duty(duty))
    return standin


async def test_status_lists_entries_upstreams_and_holders(
    tmp_path: pathlib.Path,
) -> None:
    lines = (await show_status(tmp_path, await make_store())).splitlines()
    words = [line.split() for line in lines]
    assert ["entry-1", "a", "1", "0", "yes", "0", "serving"] in words
    assert ["m1", "a", "small", "open", "(1)"] in words
    assert any(w[:2] == ["orders/a", "entry-1"] for w in words)
    assert ["usage/0", "nobody"] in words


async def test_status_shows_the_entries_while_the_store_is_down(
    tmp_path: pathlib.Path,
) -> None:
    store = await make_store()
    store.set_fault(StoreFault.DOWN)
    text = await show_status(tmp_path, store)
    assert "does not answer" in text
    assert "entry-1" in text


async def test_status_is_one_json_object(
    tmp_path: pathlib.Path,
) -> None:
    text = await show_status(tmp_path, await make_store(), as_json=True)
    shown = json.loads(text)
    assert shown["store"]["version"] == 1
    assert shown["entries"][0]["content"]["host"] == "entry-1"
