import os
import pathlib
import re
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[2]
TIME_LIMIT_S = 120


def test_walkthrough_of_the_operators_page_runs(tmp_path: pathlib.Path) -> None:
    page = (ROOT / "docs" / "OPERATORS.md").read_text()
    code_blocks = re.findall(
        r"^```sh\n(.*?)^```", page, re.MULTILINE | re.DOTALL
    )
    # Without the trap, background jobs of a failed step keep the pipe open.
    setup = (
        "set -euo pipefail\ntrap 'kill $(jobs -p) 2>/dev/null || true' EXIT\n"
    )
    # Use a loopback address per run, because the page's ports are fixed.
    pid = os.getpid()
    address = f"127.{20 + pid % 200}.{pid // 200 % 250}.1"
    script = (setup + "".join(code_blocks)).replace("127.0.0.1", address)
    binaries = str(pathlib.Path(sys.executable).parent)
    environment = {
        **os.environ,
        "PATH": f"{binaries}{os.pathsep}{os.environ['PATH']}",
    }
    process = subprocess.Popen(
        ["bash", "-c", script],
        cwd=tmp_path,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=TIME_LIMIT_S)
    finally:
        _end_group(process.pid)
    logs = "".join(path.read_text() for path in tmp_path.glob("*.log"))
    assert process.returncode == 0, output + logs
    assert "left the club" in output
    assert "granted" in output or "attempt" in output


def _end_group(leader_pid: int) -> None:
    try:
        os.killpg(leader_pid, signal.SIGKILL)
    except ProcessLookupError:
        return
