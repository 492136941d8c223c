"""Keep the reload signal from ending a process that can't handle it.

SIGHUP ends a process that has no handler for it. During the start it is held
back: it stays pending and reaches the handler that is installed later. Once the
process ends it is ignored.
"""

import asyncio
import signal


def hold() -> None:
    """Hold back SIGHUP in this thread and those that it starts.

    Threads that run already would still get it, so this comes first of all.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def release() -> None:
    """Deliver SIGHUP again, also one that has arrived since `hold`."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def ignore(loop: asyncio.AbstractEventLoop) -> None:
    """Remove the loop's handler and ignore SIGHUP in all threads.

    The interpreter restores the default action of a signal that has a handler
    before the process has ended.
    """
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
