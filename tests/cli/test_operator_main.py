import contextlib
import json
import pathlib
import runpy

import attrs
import pytest

from shallotfold import operator
from shallotfold._cli import operator_main
from shallotfold._model.serialization import dump_configuration
from shallotfold._operator import auditing
from shallotfold._settings.operator import OperatorSettings
from shallotfold._standin.store import StoreFault
from shallotfold._standin.store import StoreStandin

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "mwangaza.py"


@attrs.frozen
class Deployment:
    """A simulated store with its settings and one configuration file."""

    store: StoreStandin
    settings: pathlib.Path
    document: pathlib.Path

    def run(self, *argv: str) -> int:
        """Run one command against the store."""

        def connect(
            _: OperatorSettings,
        ) -> contextlib.nullcontext[StoreStandin]:
            return contextlib.nullcontext(self.store)

        return operator_main.main(
            ["--settings", str(self.settings), *argv], connect
        )


@pytest.fixture
def deployment(tmp_path: pathlib.Path) -> Deployment:
    settings = tmp_path / "operator.toml"
    settings.write_text('store_url = "http://127.0.0.1:1"\n')
    document = tmp_path / "mwangaza.json"
    build = runpy.run_path(str(EXAMPLE))["build"]
    document.write_bytes(dump_configuration(build().build()))
    return Deployment(StoreStandin(), settings, document)


def submit(deployment: Deployment, *options: str) -> int:
    return deployment.run(
        "submit", str(deployment.document), "--yes", "--why", "test", *options
    )


def test_submitted_configuration_is_printed_back(
    deployment: Deployment, capsys: pytest.CaptureFixture[str]
) -> None:
    assert submit(deployment) == 0
    capsys.readouterr()
    assert deployment.run("print") == 0
    assert capsys.readouterr().out.strip() == deployment.document.read_text()


def test_same_configuration_is_not_submitted_again(
    deployment: Deployment, capsys: pytest.CaptureFixture[str]
) -> None:
    submit(deployment)
    capsys.readouterr()
    assert submit(deployment) == 0
    assert "nothing submitted" in capsys.readouterr().out


def test_unconfirmed_submission_changes_nothing(
    deployment: Deployment, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("sys.stdin.isatty", lambda: False)
    code = deployment.run("submit", str(deployment.document), "--why", "test")
    assert code == 2
    assert deployment.store.snapshot() == ()


def test_submission_from_an_old_version_is_a_race(
    deployment: Deployment, capsys: pytest.CaptureFixture[str]
) -> None:
    submit(deployment)
    deployment.run("keys", "withdraw", "cedar-1", "--why", "left")
    capsys.readouterr()
    assert submit(deployment, "--base", "1") == operator_main.EXIT_RACE
    assert "workspaces_by_name.cedar" in capsys.readouterr().err


def test_withdrawn_key_is_removed_and_audited(
    deployment: Deployment, capsys: pytest.CaptureFixture[str]
) -> None:
    submit(deployment)
    assert deployment.run("keys", "withdraw", "cedar-1", "--why", "left") == 0
    capsys.readouterr()
    deployment.run("print")
    assert "cedar-1" not in capsys.readouterr().out
    deployment.run("--json", "audit", "--kind", "key", "--what", "keys/cedar")
    lines = capsys.readouterr().out.splitlines()
    last = json.loads(lines[-1])
    assert (last["before"], last["after"], last["why"]) == (
        "cedar-1",
        "",
        "left",
    )


def test_new_key_is_granted_and_only_its_digest_stored(
    deployment: Deployment, capsys: pytest.CaptureFixture[str]
) -> None:
    submit(deployment)
    capsys.readouterr()
    code = deployment.run(
        "--json", "keys", "new", "c2", "--workspace", "cedar", "--why", "joined"
    )
    assert code == 0
    shown = json.loads(capsys.readouterr().out)
    stored = b"".join(item.value for item in deployment.store.snapshot())
    digest = operator.digest_key("c2", shown["key"])
    assert digest.sha256.encode() in stored
    assert shown["key"].encode() not in stored


def test_unavailable_store_is_reported_in_one_line_with_its_exit_code(
    deployment: Deployment, capsys: pytest.CaptureFixture[str]
) -> None:
    deployment.store.set_fault(StoreFault.DOWN)
    code = deployment.run("print")
    assert code == operator_main.EXIT_STORE_UNAVAILABLE
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_lost_answer_of_a_submission_is_not_reported_as_refused(
    deployment: Deployment, capsys: pytest.CaptureFixture[str]
) -> None:
    deployment.store.set_fault(StoreFault.LOSE_ANSWERS, count=2)
    assert submit(deployment) == 0
    assert "version 1 accepted" in capsys.readouterr().out


def test_audit_lists_an_accepted_version_whose_record_was_not_written(
    deployment: Deployment, capsys: pytest.CaptureFixture[str]
) -> None:
    submit(deployment)
    content = json.loads(deployment.document.read_text())
    content["usage_window_s"] = 120
    deployment.document.write_text(json.dumps(content))
    capsys.readouterr()

    async def fail(*_: object) -> bool:
        return False

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(auditing, "append_with_retries", fail)
        assert submit(deployment) == 0
    capsys.readouterr()
    deployment.run("--json", "audit", "--what", "version/2")
    lines = capsys.readouterr().out.splitlines()
    assert [json.loads(line)["after"] for line in lines] == ["usage_window_s"]


def test_faults_of_a_file_are_listed_together(
    deployment: Deployment, capsys: pytest.CaptureFixture[str]
) -> None:
    content = json.loads(deployment.document.read_text())
    content["classes_by_name"]["booking"]["tier"] = 9
    content["usage_window_s"] = -1
    deployment.document.write_text(json.dumps(content))
    assert deployment.run("check", str(deployment.document)) == 2
    assert len(capsys.readouterr().err.splitlines()) == 2


def test_check_shows_what_a_file_would_change(
    deployment: Deployment, capsys: pytest.CaptureFixture[str]
) -> None:
    """Without a store at hand, two files could not be compared."""
    assert submit(deployment) == 0
    content = json.loads(deployment.document.read_text())
    changed = deployment.document.with_name("changed.json")
    changed.write_text(json.dumps({**content, "usage_window_s": 120}))
    for against in ("store", str(deployment.document)):
        capsys.readouterr()
        argv = ("--json", "check", str(changed), "--against", against)
        assert deployment.run(*argv) == 0
        result = json.loads(capsys.readouterr().out)
        assert result["faults"] == []
        assert [c["path"] for c in result["changes"]] == ["usage_window_s"]
    missing = str(changed.with_name("missing.json"))
    assert deployment.run("check", str(changed), "--against", missing) == 2


def test_missing_settings_are_named(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert operator_main.main(["print"]) == 2
    assert "--settings FILE" in capsys.readouterr().err
