"""Test that a reload signal at a bad moment is neither lost nor fatal.

The signals are sent in processes of their own: other tests leave threads
behind, any of which may get a signal of the process.
"""

import subprocess
import sys

HELD_BACK = """
import os
import signal

from shallotfold._runtime import reload_signal

received = []
reload_signal.hold()
os.kill(os.getpid(), signal.SIGHUP)
signal.signal(signal.SIGHUP, lambda number, frame: received.append(number))
assert not received
reload_signal.release()
assert received == [signal.SIGHUP]
"""
# The interpreter restores the default action before it deletes the globals of
# modules. A thread as in the pools of the runtime still runs then.
AT_THE_END = """
import os
import signal
import threading
import time

from shallotfold._runtime import reload_signal
from shallotfold._runtime.loop import new_event_loop


class Signaller:
    def __del__(self, kill=os.kill, pid=os.getpid(), sleep=time.sleep):
        kill(pid, 1)
        sleep(0.1)


signaller = Signaller()
threading.Thread(target=time.sleep, args=(30.0,), daemon=True).start()
loop = new_event_loop()


async def run():
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    reload_signal.ignore(loop)


loop.run_until_complete(run())
loop.close()
"""


def run(program: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def test_a_signal_that_is_held_back_reaches_the_later_handler() -> None:
    """Settings that changed during the start would stay unread otherwise."""
    result = run(HELD_BACK)
    assert result.returncode == 0, (result.returncode, result.stderr)


def test_a_signal_while_the_interpreter_ends_is_ignored() -> None:
    """A thread that didn't hold it back got it, with its default action."""
    result = run(AT_THE_END)
    assert result.returncode == 0, (result.returncode, result.stderr)
