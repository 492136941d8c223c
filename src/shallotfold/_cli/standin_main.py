"""Start `shallotfold-standin`."""

from collections.abc import Callable
from collections.abc import Sequence
import sys
from typing import Any

import attrs

from shallotfold._cli.common import EXIT_CODES_HELP
from shallotfold._cli.common import EXIT_OK
from shallotfold._cli.common import EXIT_USAGE
from shallotfold._cli.common import make_parser
from shallotfold._cli.common import run_service
from shallotfold._settings.standin import EngineStandinSettings
from shallotfold._settings.standin import PlatformStandinSettings
from shallotfold._settings.standin import ServiceStandinSettings
from shallotfold._standin.process import StandinProcess
from shallotfold._standin.process import make_engine_process
from shallotfold._standin.process import make_platform_process
from shallotfold._standin.process import make_service_process


@attrs.frozen
class _StandinKind:
    description: str
    settings_class: type[Any]
    make_process: Callable[[Any], StandinProcess]


_KINDS_BY_NAME = {
    "platform": _StandinKind(
        "Simulate the platform: key-value service, host list, upstream "
        "orders and usage reports. POST /faults injects failures.",
        PlatformStandinSettings,
        make_platform_process,
    ),
    "engine": _StandinKind(
        "Simulate model engines with continuous batching. Answers depend "
        "only on the prompt.",
        EngineStandinSettings,
        make_engine_process,
    ),
    "service": _StandinKind(
        "Simulate plain services; GET /runs shows how often each body was run.",
        ServiceStandinSettings,
        make_service_process,
    ),
}

_HELP = f"""\
usage: shallotfold-standin {{{",".join(_KINDS_BY_NAME)}}} --settings FILE

Simulate the platform and the upstreams, for development and tests only.
Add --help after the first argument for details.

{EXIT_CODES_HELP}"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the binary and return its exit code."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    name = arguments[0] if arguments else ""
    if name == "--version":
        make_parser("shallotfold-standin", "").parse_args(["--version"])
    if name in ("--help", "-h"):
        print(_HELP)
        return EXIT_OK
    kind = _KINDS_BY_NAME.get(name)
    if kind is None:
        print(_HELP, file=sys.stderr)
        return EXIT_USAGE
    parser = make_parser(f"shallotfold-standin {name}", kind.description)
    return run_service(
        parser, kind.settings_class, kind.make_process, arguments[1:]
    )
