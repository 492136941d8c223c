"""Check, print, compare and submit configurations."""

import asyncio
import pathlib
import sys

import attrs

from shallotfold._errors import InvalidInputError
from shallotfold._errors import StoreUnavailableError
from shallotfold._errors import UsageError
from shallotfold._fleet.configuration_reader import StoredConfiguration
from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._model.checking import check_configuration
from shallotfold._model.configuration import Configuration
from shallotfold._model.differences import Change
from shallotfold._model.differences import diff_configurations
from shallotfold._model.serialization import dump_configuration
from shallotfold._model.serialization import load_configuration
from shallotfold._operator.auditing import record_submission
from shallotfold._operator.commands.context import CommandContext
from shallotfold._services.ports import Store

READ_ATTEMPTS = 4
FIRST_RETRY_DELAY_S = 0.1
STANDARD_INPUT = pathlib.Path("-")
# Value of `--against` that stands for the version in force.
STORE = "store"


@attrs.frozen(kw_only=True)
class SubmitRequest:
    """Arguments of the command `submit`.

    Attributes:
        path: Configuration file; `-` for standard input.
        who: Name for the audit trail.
        why: Reason for the audit trail.
        confirmed: Whether to submit without asking.
        base_version: Version that the file was derived from; -1 for the one
            in force now.
    """

    path: pathlib.Path
    who: str
    why: str
    confirmed: bool = False
    base_version: int = -1


def read_configuration(path: pathlib.Path) -> Configuration:
    """Read and check a configuration file.

    Raises:
        InvalidInputError: The configuration has faults; the error lists all.
        UsageError: The file can't be read.
    """
    try:
        document = (
            sys.stdin.buffer.read()
            if path == STANDARD_INPUT
            else path.read_bytes()
        )
    except OSError as error:
        raise UsageError(f"can't read {path}: {error.strerror}") from error
    configuration = load_configuration(document, source=str(path))
    faults = check_configuration(configuration, source=str(path))
    if faults:
        raise InvalidInputError(faults)
    return configuration


async def check(
    context: CommandContext, path: pathlib.Path, against: str = ""
) -> None:
    """Check a file, report that it has no faults and what it would change.

    Args:
        context: Settings and output.
        path: Configuration file; `-` for standard input.
        against: File to compare with, `store` for the version in force, or
            empty.
    """
    configuration = read_configuration(path)
    if not against:
        context.output.write_line(f"{path}: no faults")
        context.output.write_json({"faults": []})
        return
    if against == STORE:
        async with context.open_store() as store:
            other = (await read_stored(store)).configuration
    else:
        other = read_configuration(pathlib.Path(against))
    changes = diff_configurations(other, configuration)
    context.output.write_line(f"{path}: no faults")
    if not changes:
        context.output.write_line(f"no difference to {against}")
    _show_changes(context, changes)
    context.output.write_json(
        {"faults": [], "changes": [attrs.asdict(c) for c in changes]}
    )


async def print_configuration(
    context: CommandContext, path: pathlib.Path | None
) -> None:
    """Print a file or the configuration in force as canonical JSON."""
    if path is not None:
        configuration = read_configuration(path)
    else:
        async with context.open_store() as store:
            configuration = (await read_stored(store)).configuration
    document = dump_configuration(configuration).decode()
    context.output.stream.write(document + "\n")


async def diff(context: CommandContext, path: pathlib.Path) -> None:
    """Print what a file would change."""
    configuration = read_configuration(path)
    async with context.open_store() as store:
        stored = await read_stored(store)
    _write_changes(
        context,
        stored.version,
        diff_configurations(stored.configuration, configuration),
    )


async def submit(context: CommandContext, request: SubmitRequest) -> None:
    """Show the changes, ask, and submit the file as the next version."""
    configuration = read_configuration(request.path)
    async with context.open_store() as store:
        stored = await read_stored(store)
        changes = diff_configurations(stored.configuration, configuration)
        if not changes:
            context.output.write_line(
                f"version {stored.version} is the same; nothing submitted"
            )
            context.output.write_json(
                {"version": stored.version, "submitted": False}
            )
            return
        _show_changes(context, changes)
        if not request.confirmed and not context.confirm("Submit this?"):
            raise UsageError("nothing submitted; answer yes or give --yes")
        version = await submit_changed(
            store, stored, configuration, changes, request
        )
    context.output.write_line(f"version {version} accepted")
    context.output.write_json({"version": version, "submitted": True})


async def submit_changed(
    store: Store,
    stored: StoredConfiguration,
    configuration: Configuration,
    changes: tuple[Change, ...],
    request: SubmitRequest,
) -> int:
    """Store a configuration as the next version and audit it.

    Returns:
        The new version.

    Raises:
        ConfigurationRaceError: Another version was accepted first.
        PlatformError: The store can't be reached.
    """
    base = stored.version if request.base_version < 0 else request.base_version
    version = await ConfigurationStore(store).submit(
        dump_configuration(configuration), base, request.who, request.why
    )
    await record_submission(
        store, version, changes, who=request.who, why=request.why
    )
    return version


async def read_stored(store: Store) -> StoredConfiguration:
    """Read the configuration in force, retrying when the store is unavailable.

    Raises:
        StoreUnavailableError: The store answered none of the attempts.
    """
    for attempt in range(READ_ATTEMPTS - 1):
        try:
            return await ConfigurationStore(store).read()
        except StoreUnavailableError:
            await asyncio.sleep(FIRST_RETRY_DELAY_S * 2**attempt)
    return await ConfigurationStore(store).read()


def _show_changes(context: CommandContext, changes: tuple[Change, ...]) -> None:
    for change in changes:
        context.output.write_line(str(change))


def _write_changes(
    context: CommandContext, version: int, changes: tuple[Change, ...]
) -> None:
    if not changes:
        context.output.write_line(f"no difference to version {version}")
    _show_changes(context, changes)
    context.output.write_json(
        {"version": version, "changes": [attrs.asdict(c) for c in changes]}
    )
