import os
import signal
import subprocess
import sys
import time

import pytest

PROGRAM = """
import sys, time
from shallotfold._controller.lease_fence import LeaseFence
deadline_s = float(sys.argv[1])
fence = LeaseFence()
if sys.argv[2] == "fenced":
    fence.arm(deadline_s)
if sys.argv[2] == "disarmed":
    fence.arm(deadline_s)
    fence.disarm()
while time.monotonic() < deadline_s + 1:
    print(time.monotonic(), flush=True)
    time.sleep(0.01)
"""
STATE_FIELD = 2


def wait_until_stopped(pid: int) -> None:
    while True:
        with open(f"/proc/{pid}/stat") as stat:
            if stat.read().split()[STATE_FIELD] == "T":
                return


def run_across_a_pause(mode: str) -> tuple[int, bool]:
    """Pause a process past its deadline.

    Returns:
        Its exit code, and whether it wrote after the deadline.
    """
    deadline_s = time.monotonic() + 1.5
    with subprocess.Popen(
        [sys.executable, "-c", PROGRAM, str(deadline_s), mode],
        stdout=subprocess.PIPE,
        text=True,
    ) as process:
        assert process.stdout is not None
        process.stdout.readline()
        os.kill(process.pid, signal.SIGSTOP)
        wait_until_stopped(process.pid)
        time.sleep(max(0.0, deadline_s - time.monotonic()))
        os.kill(process.pid, signal.SIGCONT)
        lines = process.stdout.read().splitlines()
        wrote_late = any(float(line) > deadline_s for line in lines)
        return process.wait(10), wrote_late


def test_paused_process_is_killed_at_its_deadline_before_it_continues() -> None:
    exit_code, wrote_late = run_across_a_pause("fenced")
    assert exit_code == -signal.SIGALRM
    assert not wrote_late


@pytest.mark.parametrize("mode", ["unfenced", "disarmed"])
def test_without_an_armed_fence_a_paused_process_continues(mode: str) -> None:
    exit_code, wrote_late = run_across_a_pause(mode)
    assert exit_code == 0
    assert wrote_late
