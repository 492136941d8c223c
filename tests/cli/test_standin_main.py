import pathlib

import pytest

from shallotfold._cli.common import EXIT_OK
from shallotfold._cli.common import EXIT_USAGE
from shallotfold._cli.standin_main import main


def write_settings(tmp_path: pathlib.Path, text: str) -> str:
    path = tmp_path / "standin.toml"
    path.write_text(text)
    return str(path)


def test_help_names_every_kind(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["--help"]) == EXIT_OK
    shown = capsys.readouterr().out
    assert all(kind in shown for kind in ("platform", "engine", "service"))


def test_unknown_kind_is_a_usage_error(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert main(["engines"]) == EXIT_USAGE
    assert "engine" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("kind", "settings"),
    [
        ("platform", 'address = "127.0.0.1:0"\n'),
        ("engine", '[[engines]]\nname = "a"\naddress = "127.0.0.1:0"\n'),
        ("service", '[[services]]\nname = "a"\naddress = "127.0.0.1:0"\n'),
    ],
)
def test_settings_are_checked(
    tmp_path: pathlib.Path, kind: str, settings: str
) -> None:
    path = write_settings(tmp_path, settings)
    assert main([kind, "--settings", path, "--check"]) == EXIT_OK
    wrong = write_settings(tmp_path, settings + "speed = 1\n")
    assert main([kind, "--settings", wrong, "--check"]) == EXIT_USAGE
