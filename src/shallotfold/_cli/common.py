"""Shared command line code of the binaries: options, errors, exit codes."""

import argparse
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import pathlib
import sys
from typing import Protocol
from typing import TypeVar

from shallotfold import __version__
from shallotfold._errors import ShallotfoldError
from shallotfold._errors import UsageError
from shallotfold._runtime.logs import configure_logs
from shallotfold._runtime.loop import Process
from shallotfold._runtime.loop import run_process
from shallotfold._settings.common import LogSettings
from shallotfold._settings.loading import load_settings

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2

EXIT_CODES_HELP = """\
exit codes:
  0    shut down cleanly, or --check found no faults
  1    failed while starting or running; the last log lines say why
  2    wrong command line, settings or configuration; all faults are listed
  143  exited at once on a second SIGTERM (130: SIGINT)
"""


class ServiceSettings(Protocol):
    """Settings that every long-running binary has."""

    @property
    def host(self) -> str:
        """Name of this host."""
        ...

    @property
    def data_centre(self) -> str:
        """Data centre of this host."""
        ...

    @property
    def log(self) -> LogSettings:
        """Log format and level."""
        ...


NO_CHECKS: Mapping[str, Callable[[pathlib.Path], object]] = {}

SettingsT = TypeVar("SettingsT", bound=ServiceSettings)


def make_parser(
    prog: str, description: str, epilog: str = EXIT_CODES_HELP
) -> argparse.ArgumentParser:
    """Create a parser with `--version` and help that lists the exit codes."""
    parser = argparse.ArgumentParser(
        prog=prog,
        description=description,
        epilog=epilog,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {__version__}"
    )
    return parser


def run_with_exit_code(body: Callable[[], int]) -> int:
    """Run `body`; print its errors and return an exit code."""
    try:
        return body()
    except UsageError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    except (ShallotfoldError, OSError) as error:
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        return EXIT_FAILURE


def run_service(
    parser: argparse.ArgumentParser,
    settings_class: type[SettingsT],
    make_process: Callable[[SettingsT], Process],
    argv: Sequence[str] | None = None,
    *,
    check_by_suffix: Mapping[str, Callable[[pathlib.Path], object]] = NO_CHECKS,
) -> int:
    """Run a long-running binary from its settings file.

    Args:
        parser: From `make_parser`; `--settings` and `--check` are added.
        settings_class: Attrs class of the settings.
        make_process: Creates the process; raises `UsageError` for conflicting
            settings, which `--check` also reports.
        argv: Arguments; those of the command line if `None`.
        check_by_suffix: Checks for settings files of other programs, by file
            suffix; used by `--check` only.

    Returns:
        The exit code.
    """
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        metavar="FILE",
        help="TOML settings: addresses, data centre, credentials",
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="check the settings, print all faults and exit",
    )
    options = parser.parse_args(argv)

    def body() -> int:
        check = check_by_suffix.get(options.settings.suffix)
        if options.check and check is not None:
            check(options.settings)
            print(f"{options.settings}: no faults")
            return EXIT_OK
        settings = load_settings(options.settings, settings_class)
        configure_logs(
            settings.log, host=settings.host, data_centre=settings.data_centre
        )
        process = make_process(settings)
        if options.check:
            print(f"{options.settings}: no faults")
            return EXIT_OK
        return run_process(process)

    return run_with_exit_code(body)
