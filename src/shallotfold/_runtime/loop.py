"""Make the event loop and run one process on it until it has stopped."""

import asyncio
import gc
import os
import signal
from typing import Any
from typing import Protocol

import aiomisc
from loguru import logger

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
GC_THRESHOLD = 20_000
_SIGNAL_EXIT_BASE = 128


class Process(Protocol):
    """The whole work of one binary, between its start and its end."""

    async def start(self) -> None:
        """Begin to serve; called once, on the loop."""
        ...

    async def close(self) -> None:
        """Release everything; called once, also after a failed start."""
        ...

    def request_shutdown(self) -> None:
        """Begin an orderly stop; called on the loop at the first signal."""
        ...

    async def wait_stopped(self) -> int:
        """Wait until the process may end and return its exit code."""
        ...


class _ProcessService(aiomisc.Service):
    """Let aiomisc start and stop a process."""

    process: Process
    __required__ = ("process",)

    async def start(self) -> None:
        await self.process.start()

    async def stop(self, exception: Exception | None = None) -> None:
        del exception
        await self.process.close()


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Make a uvloop event loop that uses no io_uring.

    libuv reads the variable when the loop is made, so it is set here and
    nowhere else.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    return uvloop.new_event_loop()


def run_process(process: Process) -> int:
    """Run a process to its end and return its exit code.

    The first SIGTERM or SIGINT asks for an orderly shutdown; the second ends
    the process at once with code 128 plus the signal's number.
    """
    loop = new_event_loop()
    try:
        return loop.run_until_complete(_run(process))
    finally:
        loop.close()


async def _run(process: Process) -> int:
    # uvloop drops signals that arrive while it does not run, so that start,
    # work and close share one run of the loop.
    _install_signal_handlers(asyncio.get_running_loop(), process)
    service = _ProcessService(process=process)
    options: dict[str, Any] = {"log_config": False, "catch_signals": ()}
    async with aiomisc.entrypoint(service, **options):
        # What was imported lives on; the collector need not look at it again.
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        return await process.wait_stopped()


def _install_signal_handlers(
    loop: asyncio.AbstractEventLoop, process: Process
) -> None:
    received: list[int] = []

    def on_signal(number: int) -> None:
        if received:
            logger.warning("Second signal {}; exiting at once", number)
            os._exit(_SIGNAL_EXIT_BASE + number)
        received.append(number)
        logger.info("Signal {}; shutting down", number)
        process.request_shutdown()

    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, on_signal, number)
