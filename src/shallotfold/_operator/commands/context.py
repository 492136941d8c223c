"""Provide commands with settings, output and access to the store."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from contextlib import AbstractAsyncContextManager
import getpass
import pathlib
import sys

import attrs

from shallotfold._errors import UsageError
from shallotfold._operator.output import Output
from shallotfold._services.http_store import HttpStore
from shallotfold._services.ports import Store
from shallotfold._settings.loading import load_settings
from shallotfold._settings.operator import OperatorSettings


@contextlib.asynccontextmanager
async def connect_store(settings: OperatorSettings) -> AsyncIterator[Store]:
    """Connect to the key-value service for the duration of a command."""
    store = HttpStore(settings.store_url, timeout_s=settings.timeout_s)
    await store.start()
    try:
        yield store
    finally:
        await store.close()


StoreConnector = Callable[
    [OperatorSettings], AbstractAsyncContextManager[Store]
]


@attrs.frozen(kw_only=True)
class CommandContext:
    """Dependencies of a command.

    Attributes:
        settings_path: TOML settings; `None` when not given.
        output: Receives the results.
        confirm: Asks a yes-or-no question and returns the answer.
        connect: Connects to the key-value service.
    """

    settings_path: pathlib.Path | None
    output: Output
    confirm: Callable[[str], bool]
    connect: StoreConnector = connect_store

    def settings(self) -> OperatorSettings:
        """Load the settings.

        Raises:
            UsageError: No settings were given, or they have faults.
        """
        if self.settings_path is None:
            raise UsageError("give the deployment's settings: --settings FILE")
        return load_settings(self.settings_path, OperatorSettings)

    def open_store(self) -> AbstractAsyncContextManager[Store]:
        """Connect to the key-value service for the duration of a command."""
        return self.connect(self.settings())


def current_user() -> str:
    """Return the name of the operator for the audit trail."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"


def confirm_on_terminal(question: str) -> bool:
    """Ask on standard error; returns false without a terminal."""
    if not sys.stdin.isatty():
        return False
    sys.stderr.write(f"{question} [y/N] ")
    sys.stderr.flush()
    return sys.stdin.readline().strip().lower() in ("y", "yes")
