"""Start and stop the processes of a demo or a benchmark."""

import asyncio
import pathlib
import signal
import subprocess
import sys
import time

import aiohttp
import attrs

READY_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 8.0
POLL_INTERVAL_S = 0.05


class StartError(Exception):
    """A process did not become ready; the message has its last log lines."""


@attrs.frozen(kw_only=True)
class Command:
    """How to start one process.

    Attributes:
        name: Name of the process.
        binary: Console script and its first arguments.
        settings: Text of its TOML settings.
        ready_url: Answers with 200 once the process is ready; empty for none.
    """

    name: str
    binary: tuple[str, ...]
    settings: str
    ready_url: str = ""


@attrs.define
class Processes:
    """Run processes and stop only those that were started here.

    Attributes:
        directory: Where settings and logs are written.
        running_by_name: Processes that were started and not yet stopped.
    """

    directory: pathlib.Path
    running_by_name: dict[str, subprocess.Popen[bytes]] = attrs.field(
        factory=dict
    )

    def start(self, command: Command) -> None:
        """Start a process that writes its log to the file `log_path(name)`."""
        settings = self.directory / f"{command.name}.toml"
        settings.write_text(command.settings, encoding="utf-8")
        scripts_directory = pathlib.Path(sys.executable).parent
        binary, *arguments = command.binary
        with self.log_path(command.name).open("ab") as log:
            self.running_by_name[command.name] = subprocess.Popen(
                [
                    scripts_directory / binary,
                    *arguments,
                    "--settings",
                    settings,
                ],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def log_path(self, name: str) -> pathlib.Path:
        """Return the path of a process's log."""
        return self.directory / f"{name}.log"

    def last_lines(self, name: str, count: int = 12) -> str:
        """Return the end of a process's log."""
        lines = self.log_path(name).read_text(errors="replace").splitlines()
        return "\n".join(lines[-count:])

    async def start_all(self, commands: list[Command]) -> None:
        """Start processes together and wait until all are ready."""
        for command in commands:
            self.start(command)
        await asyncio.gather(*(self.wait_ready(c) for c in commands))

    async def wait_ready(self, command: Command) -> None:
        """Wait until a process is ready.

        Raises:
            StartError: It exited, or was not ready in time.
        """
        if not command.ready_url:
            return
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            while not await _is_ready(session, command.ready_url):
                self._check_alive(command.name)
                if time.monotonic() > deadline_s:
                    raise StartError(
                        f"{command.name} is not ready after "
                        f"{READY_TIMEOUT_S:.0f} s:\n"
                        f"{self.last_lines(command.name)}"
                    )
                await asyncio.sleep(POLL_INTERVAL_S)

    def kill(self, name: str) -> None:
        """Kill one process with SIGKILL."""
        process = self.running_by_name.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> int:
        """Stop one process with SIGTERM and return its exit code."""
        process = self.running_by_name.pop(name)
        process.send_signal(signal.SIGTERM)
        return _wait_or_kill(process)

    def stop_all(self) -> dict[str, int]:
        """Stop all processes with SIGTERM; return exit codes by name."""
        running, self.running_by_name = self.running_by_name, {}
        for process in running.values():
            process.send_signal(signal.SIGTERM)
        return {name: _wait_or_kill(p) for name, p in running.items()}

    def _check_alive(self, name: str) -> None:
        code = self.running_by_name[name].poll()
        if code is not None:
            raise StartError(
                f"{name} ended with exit code {code}:\n{self.last_lines(name)}"
            )


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


def _wait_or_kill(process: subprocess.Popen[bytes]) -> int:
    try:
        return process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()
