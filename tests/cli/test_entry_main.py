import os
import pathlib
import subprocess
import sys

import pytest

from shallotfold._cli import entry_main

SETTINGS = 'host = "e1"\ndata_centre = "a"\ncaller_address = "127.0.0.1:0"\n'


def write_settings(tmp_path: pathlib.Path, text: str) -> str:
    path = tmp_path / "entry.toml"
    path.write_text(text)
    return str(path)


def test_entry_runs_without_io_uring_and_exits_0_on_sigterm(
    tmp_path: pathlib.Path,
) -> None:
    command = "from shallotfold._cli.entry_main import main; main()"
    process = subprocess.Popen(
        [
            sys.executable,
            "-c",
            f"import sys; {command.replace('main()', 'sys.exit(main())')}",
            "--settings",
            write_settings(tmp_path, SETTINGS + "shutdown_linger_s = 0\n"),
        ],
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stderr is not None
        for line in process.stderr:
            if "serving callers at" in line:
                break
        links = [
            os.readlink(link)
            for link in pathlib.Path(f"/proc/{process.pid}/fd").iterdir()
        ]
        assert any("eventpoll" in link for link in links)
        assert not any("io_uring" in link for link in links)
        process.terminate()
        process.communicate(timeout=20)
        assert process.returncode == 0
    finally:
        process.kill()
        process.communicate()


def test_check_reports_all_faults_and_exits_2(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    text = 'host = 3\ncaller_adress = "127.0.0.1:0"\n[callers]\nmax_nesting = 0'
    path = write_settings(tmp_path, text)
    assert entry_main.main(["--settings", path, "--check"]) == 2
    errors = capsys.readouterr().err
    for key in ("host", "data_centre", "caller_adress", "callers.max_nesting"):
        assert f"{path}: {key}: found" in errors
    assert "Did you mean caller_address?" in errors


def test_check_of_good_settings_exits_0(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_settings(tmp_path, SETTINGS)
    assert entry_main.main(["--settings", path, "--check"]) == 0
    assert "no faults" in capsys.readouterr().out


def test_file_and_platform_together_are_a_fault(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    urls = "".join(
        f'{name}_url = "http://127.0.0.1:1"\n'
        for name in ("store", "hosts", "orders", "usage")
    )
    text = f'{SETTINGS}configuration_file = "x"\n[platform]\n{urls}'
    assert entry_main.main(["--settings", write_settings(tmp_path, text)]) == 2
    assert "Remove configuration_file" in capsys.readouterr().err
