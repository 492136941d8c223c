"""Start `shallotfold-controller`."""

from collections.abc import Sequence

from shallotfold._cli.common import make_parser
from shallotfold._cli.common import run_service
from shallotfold._controller.process import ControllerProcess
from shallotfold._settings.controller import ControllerSettings

_DESCRIPTION = """\
Order upstreams and report usage. Every host runs one controller; a lease in
the key-value service decides which controller holds which duty.

A holder that was paused until after its lease expired is killed by SIGALRM
(status 142 in a shell), so that it sends nothing more. Configure the service
manager to restart it on any exit status."""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the binary and return its exit code."""
    parser = make_parser("shallotfold-controller", _DESCRIPTION)
    return run_service(parser, ControllerSettings, ControllerProcess, argv)
