"""Parse the command line of `shallotfold-gateway` and run it."""

import argparse
from collections.abc import Sequence
import os
import pathlib

from shallotfold._cli.common import EXIT_CODES_HELP
from shallotfold._cli.common import EXIT_OK
from shallotfold._cli.common import make_parser
from shallotfold._cli.common import run_with_exit_code
from shallotfold._errors import UsageError
from shallotfold._gateway.core.settings import GatewaySettings
from shallotfold._gateway.http.socket_reserve import SocketReserve
from shallotfold._gateway.process import GatewayProcess
from shallotfold._runtime.loop import run_process
from shallotfold.platform import names
from shallotfold.platform.documents import PlatformDialect
from shallotfold.platform.duty_calls import PlatformDutyCalls
from shallotfold.platform.settings import SETTINGS_VARIABLE
from shallotfold.platform.settings import load_platform_settings
from shallotfold.platform.store import PlatformStore

_DESCRIPTION = """\
Serve the routes that operators declare in the platform's store, from the
upstreams that register there. One process runs on each host.
"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the binary and return its exit code."""
    parser = make_parser("shallotfold-gateway", _DESCRIPTION, EXIT_CODES_HELP)
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        metavar="FILE",
        help=f"settings file of the platform; default: ${SETTINGS_VARIABLE}",
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings, print any fault and exit",
    )
    options = parser.parse_args(argv)
    return run_with_exit_code(lambda: _run(options))


def _run(options: argparse.Namespace) -> int:
    path = options.settings or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise UsageError(
            f"no settings file; give --settings or set {SETTINGS_VARIABLE}"
        )
    settings_path = pathlib.Path(path)
    settings = load_platform_settings(settings_path)
    if options.check:
        print(f"{path}: no faults")
        return EXIT_OK
    return run_process(_make_process(settings, settings_path))


def _make_process(
    settings: GatewaySettings, settings_path: pathlib.Path
) -> GatewayProcess:
    reserve = SocketReserve()
    return GatewayProcess(
        settings,
        PlatformDialect(),
        names.READY_PATH,
        PlatformStore(settings.store_address, reserve),
        PlatformDutyCalls(settings.duties_address, reserve),
        lambda: load_platform_settings(settings_path),
        reserve,
    )
