"""Check `shallotfold gateway check`: exit codes, JSON and the store."""

import asyncio
from collections.abc import Callable
import json
import pathlib
from typing import Any

import pytest

from shallotfold._cli import operator_main
from shallotfold.platform import names
from shallotfold.platform.settings import SETTINGS_VARIABLE
from tests.gateway.backends import Backend
from tests.gateway.backends import complete_response
from tests.platform.store_standin import StoreStandIn
from tests.platform.test_documents import CONFIGURATION
from tests.platform.test_settings import SETTINGS

# Nothing listens on this port.
CLOSED = "127.0.0.1:1"

WriteFile = Callable[..., str]


@pytest.fixture
def write_file(tmp_path: pathlib.Path) -> WriteFile:
    """Return a function that writes a changed configuration to a file."""

    def write(name: str = "new.json", **changes: Any) -> str:
        path = tmp_path / name
        path.write_text(json.dumps({**CONFIGURATION, **changes}))
        return str(path)

    return write


def run_with_store(
    respond: Callable[[bytes], bytes], make_argv: Callable[[str], list[str]]
) -> int:
    """Run a command while a store listens at the address given to it."""

    async def run() -> int:
        backend = Backend(respond)
        await backend.start()
        argv = make_argv(f"127.0.0.1:{backend.port}")
        try:
            return await asyncio.to_thread(operator_main.main, argv)
        finally:
            await backend.stop()

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("changes", "exit_code"),
    [
        ({}, 0),
        # Information alone is no finding.
        ({"Tenants": None}, 0),
        (
            {
                "Tenants": [
                    *CONFIGURATION["Tenants"],
                    {"Name": "b", "ApiKeys": []},
                ]
            },
            1,
        ),
        ({"Routes": []}, 1),
        ({"Routes": 5}, 2),
        ({"Version": "x"}, 2),
    ],
)
def test_exit_code_tells_whether_there_are_findings(
    write_file: WriteFile, changes: dict[str, Any], exit_code: int
) -> None:
    """A pipeline must not send what it couldn't check."""
    path = write_file(**changes)
    assert operator_main.main(["gateway", "check", path]) == exit_code
    assert operator_main.main(["--json", "gateway", "check", path]) == exit_code


@pytest.mark.parametrize("content", [None, b"", b"\xff", b"[" * 100_000])
def test_file_that_cannot_be_read_exits_with_2(
    write_file: WriteFile,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    content: bytes | None,
) -> None:
    path = tmp_path / "broken.json"
    if content is not None:
        path.write_bytes(content)
    sound = write_file()
    for argv in ([str(path)], [sound, "--against", str(path)]):
        assert operator_main.main(["gateway", "check", *argv]) == 2
        captured = capsys.readouterr()
        assert str(path) in captured.err
        assert not captured.out


def test_json_has_findings_and_changes(
    write_file: WriteFile, capsys: pytest.CaptureFixture[str]
) -> None:
    old = write_file("old.json")
    new = write_file(Limits={"MaxHeaderBytes": 200, "MaxBodyBytes": 0})
    argv = ["--json", "gateway", "check", new, "--against", old]
    assert operator_main.main(argv) == 1
    content = json.loads(capsys.readouterr().out)
    assert content["version"] == 7
    assert [
        (f["severity"], f["place"], sorted(f)) for f in content["findings"]
    ] == [
        ("error", "Version", ["place", "remedy", "severity", "text"]),
        (
            "warning",
            "Limits.MaxBodyBytes",
            ["place", "remedy", "severity", "text"],
        ),
    ]
    assert content["against"]["version"] == 7
    (change,) = content["against"]["changes"]
    assert change["change"] == "changed"
    assert {
        "name": "Limits.MaxHeaderBytes",
        "before": "100",
        "after": "200",
    } in change["fields"]


def test_text_names_findings_and_changes(
    write_file: WriteFile, capsys: pytest.CaptureFixture[str]
) -> None:
    old = write_file("old.json")
    new = write_file(Version=8, Tenants=[{"Name": "hule", "ApiKeys": []}])
    assert operator_main.main(["gateway", "check", new, "--against", old]) == 1
    output = capsys.readouterr().out
    assert "warning: Tenants.0.ApiKeys: workspace hule has no keys" in output
    assert "changed: workspace hule: ApiKeys 2 -> 0" in output
    assert output.splitlines()[-1].endswith("version 8: 0 errors, 3 warnings")


@pytest.mark.parametrize(
    ("version", "exit_code"), [(None, 0), (6, 0), (7, 0), (8, 1)]
)
def test_version_in_force_is_read_with_one_call(
    write_file: WriteFile,
    capsys: pytest.CaptureFixture[str],
    version: int | None,
    exit_code: int,
) -> None:
    """Each call has a price; the configuration in force itself is clean."""
    standin = StoreStandIn()
    if version is not None:
        document = {**CONFIGURATION, "Version": version}
        standin.put(names.CONFIGURATION_KEY, json.dumps(document).encode())
    path = write_file()
    assert (
        run_with_store(
            standin.respond,
            lambda address: [
                *("gateway", "check", path),
                *("--against", "store", "--store", address),
            ],
        )
        == exit_code
    )
    assert standin.calls == ["kv-key"]
    output = capsys.readouterr().out
    if version is None:
        assert "has no configuration" in output
    else:
        assert "no difference to store 127.0.0.1:" in output


def test_address_of_the_store_comes_from_the_platform_s_settings(
    write_file: WriteFile,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    standin = StoreStandIn()
    path = write_file()
    settings = tmp_path / "settings.json"
    argv = ["gateway", "check", path, "--against", "store"]

    def make_argv(address: str) -> list[str]:
        platform = {**SETTINGS["Platform"], "Address": address}
        settings.write_text(json.dumps({**SETTINGS, "Platform": platform}))
        return argv

    monkeypatch.setenv(SETTINGS_VARIABLE, str(settings))
    assert run_with_store(standin.respond, make_argv) == 0
    monkeypatch.delenv(SETTINGS_VARIABLE)
    assert run_with_store(standin.respond, make_argv) == 2
    options = ["--settings", str(settings), *argv]
    assert (
        run_with_store(
            standin.respond, lambda address: make_argv(address) and options
        )
        == 0
    )
    assert standin.calls == ["kv-key"] * 2


@pytest.mark.parametrize("address", [CLOSED, "nowhere", "127.0.0.1"])
def test_store_that_cannot_be_reached_exits_with_2(
    write_file: WriteFile, capsys: pytest.CaptureFixture[str], address: str
) -> None:
    """With 1, a pipeline would take an outage for findings."""
    argv = ["--against", "store", "--store", address]
    assert operator_main.main(["gateway", "check", write_file(), *argv]) == 2
    captured = capsys.readouterr()
    assert "store" in captured.err
    assert not captured.out


@pytest.mark.parametrize(
    "body", [b"{}", b"[]", b"nothing", b'{"ValueData": "e30=", "Revision": 1}']
)
def test_odd_response_of_the_store_exits_with_2(
    write_file: WriteFile, body: bytes
) -> None:
    path = write_file()
    assert (
        run_with_store(
            lambda _: complete_response(body),
            lambda address: [
                *("gateway", "check", path),
                *("--against", "store", "--store", address),
            ],
        )
        == 2
    )
