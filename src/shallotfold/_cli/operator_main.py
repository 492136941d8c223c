"""Start `shallotfold`, the operators' command line."""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import datetime
import math
import os
import pathlib
import sys

from shallotfold._cli.common import EXIT_FAILURE
from shallotfold._cli.common import EXIT_OK
from shallotfold._cli.common import make_parser
from shallotfold._cli.common import run_with_exit_code
from shallotfold._errors import ConfigurationRaceError
from shallotfold._errors import StoreUnavailableError
from shallotfold._errors import SubmissionUnknownError
from shallotfold._errors import UsageError
from shallotfold._fleet.audit import AuditFilter
from shallotfold._operator.commands import audit
from shallotfold._operator.commands import configuration
from shallotfold._operator.commands import entries
from shallotfold._operator.commands import gateway_configuration
from shallotfold._operator.commands import keys
from shallotfold._operator.commands import logs
from shallotfold._operator.commands import status
from shallotfold._operator.commands import usage
from shallotfold._operator.commands.context import CommandContext
from shallotfold._operator.commands.context import StoreConnector
from shallotfold._operator.commands.context import confirm_on_terminal
from shallotfold._operator.commands.context import connect_store
from shallotfold._operator.commands.context import current_user
from shallotfold._operator.output import Output
from shallotfold.platform.settings import SETTINGS_VARIABLE

EXIT_STORE_UNAVAILABLE = 3
EXIT_RACE = 4
EXIT_UNKNOWN = 5
EXIT_INTERRUPTED = 130

EXIT_CODES_HELP = """\
exit codes:
  0    done
  1    failed; the message says why (gateway check: there are findings)
  2    wrong command line, settings or configuration; all faults are listed
       (gateway check: a file or the store can't be read)
  3    the key-value service does not answer; nothing was changed
  4    another version was accepted first; nothing was changed
  5    the outcome of a submission is unknown; the message says how to find out
  130  interrupted
"""

# Returns the exit code; `None` is `EXIT_OK`.
Command = Callable[[CommandContext, argparse.Namespace], Awaitable[int | None]]


def main(
    argv: Sequence[str] | None = None, connect: StoreConnector = connect_store
) -> int:
    """Run one command.

    Args:
        argv: Arguments; those of the command line if `None`.
        connect: Connects to the key-value service.

    Returns:
        The exit code, one of those that `--help` lists.
    """
    options = _make_parser().parse_args(argv)
    context = CommandContext(
        settings_path=options.settings,
        output=Output(stream=sys.stdout, as_json=options.json),
        confirm=confirm_on_terminal,
        connect=connect,
    )
    command: Command = options.command
    return run_with_exit_code(lambda: _run(command, context, options))


def _run(
    command: Command, context: CommandContext, options: argparse.Namespace
) -> int:
    try:
        exit_code = asyncio.run(_run_command(command, context, options))
        sys.stdout.flush()
    except SubmissionUnknownError as error:
        return _report_error(error, EXIT_UNKNOWN)
    except StoreUnavailableError as error:
        return _report_error(error, EXIT_STORE_UNAVAILABLE)
    except ConfigurationRaceError as error:
        return _report_error(error, EXIT_RACE)
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except BrokenPipeError:
        # The interpreter flushes standard output once more when it exits.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILURE
    return exit_code or EXIT_OK


async def _run_command(
    command: Command, context: CommandContext, options: argparse.Namespace
) -> int | None:
    return await command(context, options)


def _report_error(error: Exception, exit_code: int) -> int:
    print(error, file=sys.stderr)
    return exit_code


def _make_parser() -> argparse.ArgumentParser:
    parser = make_parser(
        "shallotfold",
        "Configure and monitor a deployment of shallotfold.",
        EXIT_CODES_HELP,
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        metavar="FILE",
        help="TOML settings: store_url, entry_urls, operator_key_file",
    )
    parser.add_argument(
        "--json", action="store_true", help="write JSON instead of text"
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_configuration_commands(commands)
    _add_gateway_commands(commands)
    _add_key_commands(commands)
    _add_monitoring_commands(commands)
    return parser


def _add_configuration_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    check = commands.add_parser(
        "check", help="check a configuration file and list all faults"
    )
    check.add_argument("file", type=pathlib.Path, help="file; - for stdin")
    _add_against(check)
    check.set_defaults(
        command=lambda context, o: configuration.check(
            context, o.file, o.against
        )
    )
    show = commands.add_parser(
        "print", help="print the configuration in force, or a file"
    )
    show.add_argument("file", type=pathlib.Path, nargs="?")
    show.set_defaults(
        command=lambda context, o: configuration.print_configuration(
            context, o.file
        )
    )
    diff = commands.add_parser("diff", help="show what a file would change")
    diff.add_argument("file", type=pathlib.Path, help="file; - for stdin")
    diff.set_defaults(
        command=lambda context, o: configuration.diff(context, o.file)
    )
    submit = commands.add_parser(
        "submit", help="make a file the next version of the configuration"
    )
    submit.add_argument("file", type=pathlib.Path, help="file; - for stdin")
    submit.add_argument(
        "--yes", action="store_true", help="submit without asking"
    )
    submit.add_argument(
        "--base",
        type=int,
        default=-1,
        metavar="VERSION",
        help="version that the file was derived from; fails if it is no "
        "longer in force (default: the one in force)",
    )
    _add_audit_options(submit)
    submit.set_defaults(command=_submit)


def _add_gateway_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    group = commands.add_parser(
        "gateway", help="check configurations of gateways"
    )
    actions = group.add_subparsers(metavar="ACTION", required=True)
    check = actions.add_parser(
        "check",
        help="list errors, parts without effect and contradictions of a file",
        epilog="exit codes: 0 clean, 1 errors or warnings, 2 a file or the "
        "version in force can't be read",
    )
    check.add_argument(
        "file", help="configuration in the platform's format; - for stdin"
    )
    _add_against(check)
    check.add_argument(
        "--store",
        default="",
        metavar="IP:PORT",
        help="the platform's store; default: that of the platform's settings "
        f"file, from --settings or ${SETTINGS_VARIABLE}",
    )
    check.set_defaults(
        command=lambda context, o: gateway_configuration.check(
            context,
            gateway_configuration.CheckRequest(
                path=o.file, against=o.against, store_address=o.store
            ),
        )
    )


def _add_key_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    group = commands.add_parser(
        "keys", help="create or withdraw keys of callers"
    )
    actions = group.add_subparsers(metavar="ACTION", required=True)
    new = actions.add_parser("new", help="create a key and show it once")
    new.add_argument("key_id", help="public name of the key")
    new.add_argument(
        "--workspace",
        default="",
        help="grant it to this workspace in a new version",
    )
    _add_audit_options(new)
    new.set_defaults(
        command=lambda context, o: keys.create(context, _key_change(o))
    )
    withdraw = actions.add_parser(
        "withdraw",
        help="withdraw a key; its callers are disconnected within seconds",
    )
    withdraw.add_argument("key_id", help="public name of the key")
    _add_audit_options(withdraw)
    withdraw.set_defaults(
        workspace="",
        command=lambda context, o: keys.withdraw(context, _key_change(o)),
    )


def _add_monitoring_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    show = commands.add_parser(
        "status", help="show entries, upstreams, duties and versions"
    )
    show.set_defaults(command=lambda context, _: status.status(context))
    usage_parser = commands.add_parser(
        "usage",
        help="print the frozen usage figures of the latest windows",
    )
    usage_parser.add_argument(
        "--workspace", default="", help="only this workspace"
    )
    usage_parser.set_defaults(
        command=lambda context, o: usage.usage(context, o.workspace)
    )
    explain = commands.add_parser(
        "explain", help="show where a request went and why"
    )
    explain.add_argument("request_id", help="value of the X-Request-Id header")
    explain.add_argument(
        "--logs",
        metavar="FILE",
        nargs="+",
        type=pathlib.Path,
        help="read these logs of gateways instead of querying the entries",
    )
    explain.set_defaults(
        command=lambda context, o: (
            logs.explain(context, o.request_id, o.logs)
            if o.logs
            else entries.explain(context, o.request_id)
        )
    )
    audit_parser = commands.add_parser("audit", help="print the audit trail")
    audit_parser.add_argument(
        "--kind",
        default="",
        choices=("configuration", "key", "lease", "order", "usage"),
    )
    audit_parser.add_argument("--who", default="", help="exact name")
    audit_parser.add_argument(
        "--what", default="", help="prefix of the changed object's name"
    )
    audit_parser.add_argument(
        "--since", type=_parse_time, default=0.0, help="ISO time"
    )
    audit_parser.add_argument("--until", type=_parse_time, default=math.inf)
    audit_parser.add_argument(
        "--limit", type=int, default=1000, help="number of newest records"
    )
    audit_parser.set_defaults(
        command=lambda context, o: audit.audit(context, _audit_filter(o))
    )


def _add_against(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--against",
        default="",
        metavar="FILE",
        help="compare with this file; store: with the version in force "
        "(./store for a file of this name)",
    )


def _add_audit_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--why",
        default="",
        help="reason for the audit trail (required to "
        "change the configuration)",
    )
    parser.add_argument(
        "--who", default=current_user(), help="name for the audit trail"
    )


async def _submit(context: CommandContext, options: argparse.Namespace) -> None:
    request = configuration.SubmitRequest(
        path=options.file,
        who=options.who,
        why=options.why,
        confirmed=options.yes,
        base_version=options.base,
    )
    await configuration.submit(context, request)


def _key_change(options: argparse.Namespace) -> keys.KeyChange:
    return keys.KeyChange(
        key_id=options.key_id,
        workspace=options.workspace,
        who=options.who,
        why=options.why,
    )


def _audit_filter(options: argparse.Namespace) -> AuditFilter:
    if options.limit < 1:
        raise UsageError("--limit must be 1 or more")
    return AuditFilter(
        kind=options.kind,
        who=options.who,
        what=options.what,
        since_s=options.since,
        until_s=options.until,
        limit=options.limit,
    )


def _parse_time(text: str) -> float:
    moment = datetime.datetime.fromisoformat(text)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()
