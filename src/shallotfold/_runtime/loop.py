"""Create the event loop and run one process on it until it has stopped."""

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
    """The work of one binary from start to exit."""

    async def start(self) -> None:
        """Start serving; called once, on the event loop."""
        ...

    async def close(self) -> None:
        """Release everything; called once, also after a failed start."""
        ...

    def request_shutdown(self) -> None:
        """Start a graceful shutdown; called on the loop at the first signal."""
        ...

    async def wait_stopped(self) -> int:
        """Wait until the process may exit and return its exit code."""
        ...


class _ProcessService(aiomisc.Service):
    """Adapter through which aiomisc starts and stops a process."""

    process: Process
    __required__ = ("process",)

    async def start(self) -> None:
        await self.process.start()

    async def stop(self, exception: Exception | None = None) -> None:
        del exception
        await self.process.close()


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Create a uvloop event loop that does not use io_uring.

    libuv reads the variable when the loop is created, so it is set here and
    nowhere else.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    return uvloop.new_event_loop()


def run_process(process: Process) -> int:
    """Run a process until it stops and return its exit code.

    The first SIGTERM or SIGINT requests a graceful shutdown; the second ends
    the process at once with code 128 plus the signal's number.
    """
    loop = new_event_loop()
    try:
        return loop.run_until_complete(_run(process))
    finally:
        loop.close()


async def _run(process: Process) -> int:
    # uvloop drops signals that arrive while the loop is not running, so start,
    # work and close share one run of the loop.
    _install_signal_handlers(asyncio.get_running_loop(), process)
    service = _ProcessService(process=process)
    options: dict[str, Any] = {"log_config": False, "catch_signals": ()}
    async with aiomisc.entrypoint(service, **options):
        # Imported objects live until exit; freezing them exempts them from
        # garbage collection.
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
            logger.warning("Received second signal {}; exiting at once", number)
            os._exit(_SIGNAL_EXIT_BASE + number)
        received.append(number)
        logger.info("Received signal {}; shutting down", number)
        process.request_shutdown()

    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, on_signal, number)
