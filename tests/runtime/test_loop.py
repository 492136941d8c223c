from collections.abc import Iterator
import contextlib
import os
import pathlib
import signal
import subprocess
import sys

PROGRAM = """
import asyncio
from shallotfold._runtime.loop import run_process

class Sample:
    def __init__(self):
        self.stopped = asyncio.Event()
    async def start(self):
        print("started", flush=True)
    async def close(self):
        print("closed", flush=True)
    def request_shutdown(self):
        print("requested", flush=True)
        if {stops_on_request}:
            self.stopped.set()
    async def wait_stopped(self):
        await self.stopped.wait()
        return 7

raise SystemExit(run_process(Sample()))
"""


@contextlib.contextmanager
def start_sample(*, stops_on_request: bool) -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen(
        [
            sys.executable,
            "-c",
            PROGRAM.replace("{stops_on_request}", str(stops_on_request)),
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    assert process.stdout is not None
    try:
        assert process.stdout.readline() == "started\n"
        yield process
    finally:
        process.kill()
        process.communicate()


def test_first_signal_requests_a_graceful_shutdown() -> None:
    with start_sample(stops_on_request=True) as process:
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=10)
        assert output == "requested\nclosed\n"
        assert process.returncode == 7


def test_second_signal_ends_the_process_at_once() -> None:
    with start_sample(stops_on_request=False) as process:
        process.send_signal(signal.SIGTERM)
        assert process.stdout is not None
        assert process.stdout.readline() == "requested\n"
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=10)
        assert output == ""
        assert process.returncode == 128 + signal.SIGTERM


def test_loop_uses_no_io_uring() -> None:
    with start_sample(stops_on_request=True) as process:
        links = [
            os.readlink(link)
            for link in pathlib.Path(f"/proc/{process.pid}/fd").iterdir()
        ]
        assert any("eventpoll" in link for link in links)
        assert not any("io_uring" in link for link in links)
