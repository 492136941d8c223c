"""Test that a reload signal that arrives too early isn't lost."""

import os
import signal

from shallotfold._runtime import reload_signal


def test_a_signal_that_is_held_back_reaches_the_later_handler() -> None:
    """Settings that changed during the start would stay unread otherwise."""
    received: list[int] = []
    reload_signal.hold()
    os.kill(os.getpid(), signal.SIGHUP)
    previous = signal.signal(
        signal.SIGHUP, lambda number, frame: received.append(number)
    )
    try:
        assert not received
        reload_signal.release()
        assert received == [signal.SIGHUP]
    finally:
        signal.signal(signal.SIGHUP, previous)
