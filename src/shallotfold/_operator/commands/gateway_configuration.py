"""Check a configuration of gateways before it is sent to the platform."""

import enum
import os
import pathlib
import sys
from typing import Any

import attrs

from shallotfold._errors import PlatformError
from shallotfold._errors import UsageError
from shallotfold._operator.commands.configuration import STORE
from shallotfold._operator.commands.context import CommandContext
from shallotfold._settings.addresses import Address
from shallotfold._settings.addresses import parse_address
from shallotfold.platform import names
from shallotfold.platform.configuration_checks import DeclaredConfiguration
from shallotfold.platform.configuration_checks import Finding
from shallotfold.platform.configuration_checks import Severity
from shallotfold.platform.configuration_checks import check_configuration
from shallotfold.platform.configuration_checks import check_version
from shallotfold.platform.configuration_differences import PartChange
from shallotfold.platform.configuration_differences import (
    compare_configurations,
)
from shallotfold.platform.documents import decode_configuration
from shallotfold.platform.settings import SETTINGS_VARIABLE
from shallotfold.platform.settings import load_platform_settings
from shallotfold.platform.store import PlatformStore

EXIT_CLEAN = 0
EXIT_FINDINGS = 1
STANDARD_INPUT = "-"


@attrs.frozen(kw_only=True)
class CheckRequest:
    """Arguments of the command `gateway check`.

    Attributes:
        path: Configuration file; `-` for standard input.
        against: File to compare with, `store` for the version in force, or
            empty.
        store_address: Address of the platform's store; empty for that of the
            settings.
    """

    path: str
    against: str = ""
    store_address: str = ""


@attrs.frozen(kw_only=True)
class _Comparison:
    """What a configuration would change.

    Attributes:
        source: What it was compared with.
        version: Version of that; 0 if the store has no configuration.
        changes: Differences by name.
    """

    source: str
    version: int
    changes: tuple[PartChange, ...]


async def check(context: CommandContext, request: CheckRequest) -> int:
    """Print all findings about a file and what it would change.

    Returns:
        The exit code: `EXIT_CLEAN`, or `EXIT_FINDINGS` if there are errors or
        warnings.

    Raises:
        UsageError: A file or the version in force can't be read.
    """
    declared = _decode(request.path, _read_file(request.path))
    findings = check_configuration(declared)
    comparison = None
    if request.against:
        comparison = await _compare(context, request, declared)
        findings = (
            check_version(
                declared.configuration.version,
                comparison.version,
                is_changed=bool(comparison.changes),
            )
            + findings
        )
    _write(context, request.path, declared, findings, comparison)
    if any(f.severity is not Severity.INFORMATION for f in findings):
        return EXIT_FINDINGS
    return EXIT_CLEAN


async def _compare(
    context: CommandContext,
    request: CheckRequest,
    declared: DeclaredConfiguration,
) -> _Comparison:
    source = request.against
    document: bytes | None
    if source == STORE:
        source, document = await _read_store(context, request)
    else:
        document = _read_file(source)
    if document is None:
        return _Comparison(source=source, version=0, changes=())
    other = _decode(source, document)
    try:
        changes = compare_configurations(other, declared)
    except ValueError as error:
        raise UsageError(f"can't compare with {source}: {error}") from error
    return _Comparison(
        source=source, version=other.configuration.version, changes=changes
    )


async def _read_store(
    context: CommandContext, request: CheckRequest
) -> tuple[str, bytes | None]:
    """Return the store's name and the document in force, if there is one."""
    address = _find_store(context, request)
    source = f"store {address.ip}:{address.port}"
    try:
        stored = await PlatformStore(address).get(names.CONFIGURATION_KEY)
    # The response of another service may lack the fields of an entry.
    except (PlatformError, KeyError, TypeError, ValueError) as error:
        raise UsageError(
            f"can't read the version in force from {source}: {error}"
        ) from error
    return source, None if stored is None else stored.value


def _find_store(context: CommandContext, request: CheckRequest) -> Address:
    if request.store_address:
        try:
            return parse_address(request.store_address)
        except ValueError as error:
            raise UsageError(f"--store: {error}") from error
    path = context.settings_path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise UsageError(
            "no address of the store; give --store IP:PORT, the platform's "
            f"settings file with --settings, or set {SETTINGS_VARIABLE}"
        )
    return load_platform_settings(pathlib.Path(path)).store_address


def _read_file(path: str) -> bytes:
    try:
        if path == STANDARD_INPUT:
            return sys.stdin.buffer.read()
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise UsageError(f"can't read {path}: {error.strerror}") from error


def _decode(source: str, document: bytes) -> DeclaredConfiguration:
    try:
        return decode_configuration(document)
    except ValueError as error:
        raise UsageError(
            f"{source} is no configuration of gateways: {error}"
        ) from error


def _write(
    context: CommandContext,
    path: str,
    declared: DeclaredConfiguration,
    findings: tuple[Finding, ...],
    comparison: _Comparison | None,
) -> None:
    output = context.output
    version = declared.configuration.version
    for finding in findings:
        output.write_line(str(finding))
    if comparison is not None:
        _write_changes(context, comparison)
    counts = {
        severity.value: sum(f.severity is severity for f in findings)
        for severity in Severity
    }
    output.write_line(
        f"{path}, version {version}: {counts['error']} errors, "
        f"{counts['warning']} warnings"
    )
    output.write_json(
        {
            "file": path,
            "version": version,
            "findings": [_to_json(finding) for finding in findings],
            "against": None if comparison is None else _to_json(comparison),
        }
    )


def _write_changes(context: CommandContext, comparison: _Comparison) -> None:
    output = context.output
    if not comparison.version:
        output.write_line(f"{comparison.source} has no configuration")
        return
    name = f"{comparison.source}, version {comparison.version}"
    if not comparison.changes:
        output.write_line(f"no difference to {name}")
        return
    output.write_line(f"changes to {name}:")
    for change in comparison.changes:
        output.write_line(f"  {change}")


def _to_json(value: Finding | _Comparison) -> dict[str, Any]:
    return attrs.asdict(
        value,
        value_serializer=lambda _, __, item: (
            item.value if isinstance(item, enum.Enum) else item
        ),
    )
