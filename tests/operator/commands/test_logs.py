"""Check the command that explains a request from logs."""

import json
import pathlib

import pytest

from shallotfold._cli.operator_main import main


def write_log(folder: pathlib.Path) -> pathlib.Path:
    line = {"time": 1.0, "up": 2.0, "host": "h1"}
    log = folder / "h1.log"
    log.write_text(
        json.dumps(
            {
                **line,
                "decision": "reject",
                "request_id": "r1",
                "status": 404,
                "reason": "no route for host and path",
            }
        )
        + "\n"
    )
    return log


def test_request_is_explained_as_text(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["explain", "r1", "--logs", str(write_log(tmp_path))]) == 0
    printed = capsys.readouterr().out
    assert "reject" in printed
    assert "- h1 answered 404 itself: no route for host and path" in printed


def test_request_is_explained_as_json(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = str(write_log(tmp_path))
    assert main(["--json", "explain", "r1", "--logs", log]) == 0
    content = json.loads(capsys.readouterr().out)
    assert content["lines"][0]["decision"] == "reject"
    assert content["causes"]


def test_missing_file_is_named(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    missing = tmp_path / "none.log"
    assert main(["explain", "r1", "--logs", str(missing)]) == 2
    assert str(missing) in capsys.readouterr().err
