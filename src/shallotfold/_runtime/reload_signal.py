"""Hold back the reload signal while a process can't handle it.

SIGHUP ends a process that has no handler for it. A signal that is held back
stays pending and reaches the handler that is installed later.
"""

import signal


def hold() -> None:
    """Hold back SIGHUP in this thread and those that it starts."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def release() -> None:
    """Deliver SIGHUP again, also one that has arrived since `hold`."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
