"""Test the start of the gateway's binary."""

import json
import pathlib
import subprocess
import sys

import pytest

from tests.platform.test_settings import SETTINGS

# Signals the process while it loads its settings, like a platform that changes
# them while the process starts.
RUN_WITH_SIGNAL = """
import os
import signal
import sys

from shallotfold._cli import gateway_command
from shallotfold._cli import gateway_main

load_settings = gateway_command.load_platform_settings


def signal_and_load(path):
    os.kill(os.getpid(), signal.SIGHUP)
    return load_settings(path)


gateway_command.load_platform_settings = signal_and_load
sys.exit(gateway_main.main(["--check", "--settings", sys.argv[1]]))
"""

# Signals the process when it begins to import the gateway.
RUN_WITH_SIGNAL_DURING_IMPORT = """
import os
import signal
import sys

from shallotfold._cli import gateway_main


class SignalFinder:
    def find_spec(self, name, path=None, target=None):
        if name == "shallotfold._gateway.process":
            os.kill(os.getpid(), signal.SIGHUP)


sys.meta_path.insert(0, SignalFinder())
sys.exit(gateway_main.main(["--check", "--settings", sys.argv[1]]))
"""


@pytest.mark.parametrize(
    "program", [RUN_WITH_SIGNAL, RUN_WITH_SIGNAL_DURING_IMPORT]
)
def test_reload_signal_during_the_start_does_not_end_the_process(
    tmp_path: pathlib.Path, program: str
) -> None:
    """SIGHUP ends a process that has not installed its handler yet."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    result = subprocess.run(
        [sys.executable, "-c", program, str(path)],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert result.returncode == 0, (result.returncode, result.stderr)
