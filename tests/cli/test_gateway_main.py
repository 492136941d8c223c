"""Test the start of the gateway's binary."""

import json
import pathlib
import subprocess
import sys

from tests.platform.test_settings import SETTINGS

# Signals the process while it loads its settings, like a platform that changes
# them while the process starts.
RUN_WITH_SIGNAL = """
import os
import signal
import sys

from shallotfold._cli import gateway_main

load_settings = gateway_main.load_platform_settings


def signal_and_load(path):
    os.kill(os.getpid(), signal.SIGHUP)
    return load_settings(path)


gateway_main.load_platform_settings = signal_and_load
sys.exit(gateway_main.main(["--check", "--settings", sys.argv[1]]))
"""


def test_reload_signal_during_the_start_does_not_end_the_process(
    tmp_path: pathlib.Path,
) -> None:
    """SIGHUP ends a process that has not installed its handler yet."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    result = subprocess.run(
        [sys.executable, "-c", RUN_WITH_SIGNAL, str(path)],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert result.returncode == 0, (result.returncode, result.stderr)
