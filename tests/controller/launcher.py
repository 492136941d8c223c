"""Start the controller with a safeguard disabled, or with a pause.

Usage: launcher.py SETTINGS [no-timer] [no-user-timeout] [no-linger]
[freeze-before-order] [freeze-before-report] [pad]. Only tests run this; the
product has no such switch. `pad` makes requests longer than the receive
buffer of a proxy that does not read, so that their end stays in the socket of
the sender. The planning period is short, so that there is always an order to
send.
"""

import os
import signal
import sys
from typing import Any

import aiohttp
from aiohttp.http_writer import StreamWriter

from shallotfold._cli import controller_main
from shallotfold._controller import orders
from shallotfold._controller.lease_fence import LeaseFence
from shallotfold._runtime import sockets
from shallotfold._services import fenced_http
from shallotfold._services.fenced_http import FencedHttpClient

PAUSE_AT_SEND_NUMBER = 2
PLAN_PERIOD_S = 1.0
PADDING = "x" * 8000


def main() -> int:
    settings, *switches = sys.argv[1:]
    if "pad" in switches:
        pad_requests()
    patch(orders, "PLAN_PERIOD_S", PLAN_PERIOD_S)
    if "no-timer" in switches:
        patch(LeaseFence, "arm", lambda *_: None)
        # Otherwise the total timeout resets the connection one loop iteration
        # after the late write, which the platform may not have read by then.
        no_timeout = aiohttp.ClientTimeout()
        patch(aiohttp, "ClientTimeout", lambda **_: no_timeout)
    if "no-user-timeout" in switches:
        patch(fenced_http, "MS_PER_S", 1_000_000)
    if "no-linger" in switches:
        linger_disabled = bytes(len(sockets.LINGER_RESET))
        patch(fenced_http, "LINGER_RESET", linger_disabled)
    if "freeze-before-order" in switches:
        pause_before_send(b"POST /v1/orders/")
    if "freeze-before-report" in switches:
        pause_before_send(b"POST /v1/usage")
    return controller_main.main(["--settings", settings])


def patch(target: Any, name: str, value: Any) -> None:
    setattr(target, name, value)


def pad_requests() -> None:
    exchange = FencedHttpClient._exchange

    async def exchange_padded(self: Any, session: Any, *args: Any) -> Any:
        session.headers["X-Padding"] = PADDING
        return await exchange(self, session, *args)

    patch(FencedHttpClient, "_exchange", exchange_padded)


def pause_before_send(request_line: bytes) -> None:
    """Stop this process just before the system call that sends a request."""
    write_lines = StreamWriter._writelines
    matching_sends: list[object] = []

    def pause_and_write(self: Any, chunks: Any) -> None:
        if request_line in b"".join(chunks):
            matching_sends.append(chunks)
            if len(matching_sends) == PAUSE_AT_SEND_NUMBER:
                os.kill(os.getpid(), signal.SIGSTOP)
        write_lines(self, chunks)

    patch(StreamWriter, "_writelines", pause_and_write)


if __name__ == "__main__":
    sys.exit(main())
