"""Make, grant and withdraw callers' keys."""

import attrs

from shallotfold._errors import UsageError
from shallotfold._fleet.configuration_reader import StoredConfiguration
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Workspace
from shallotfold._model.differences import diff_configurations
from shallotfold._operator.commands import configuration as submitting
from shallotfold._operator.commands.context import CommandContext
from shallotfold._operator.keys import NewKey
from shallotfold._operator.keys import new_key
from shallotfold._services.ports import Store


@attrs.frozen(kw_only=True)
class KeyChange:
    """What a key command was asked to do.

    Attributes:
        key_id: Public name of the key.
        workspace: Workspace that gets a new key; empty to grant nothing.
        who: Name for the audit trail.
        why: Reason for the audit trail.
    """

    key_id: str
    workspace: str
    who: str
    why: str


async def create(context: CommandContext, asked: KeyChange) -> None:
    """Make a key, grant it if a workspace is given, and show it once."""
    key = new_key(asked.key_id)
    if asked.workspace:
        async with context.open_store() as store:
            stored = await submitting.read_stored(store)
            changed = _grant(stored.configuration, asked, key)
            version = await _submit(store, stored, changed, asked)
        context.output.write_line(f"granted in version {version}")
    context.output.write_line(f"key:    {key.secret}")
    context.output.write_line(f"digest: {key.digest.sha256}")
    context.output.write_line("The key is not stored; keep it now.")
    context.output.write_json(
        {
            "key_id": asked.key_id,
            "key": key.secret,
            "sha256": key.digest.sha256,
            "workspace": asked.workspace,
        }
    )


async def withdraw(context: CommandContext, asked: KeyChange) -> None:
    """Withdraw a key; entries end its connected callers within seconds."""
    async with context.open_store() as store:
        stored = await submitting.read_stored(store)
        changed = _withdraw(stored.configuration, asked.key_id)
        version = await _submit(store, stored, changed, asked)
    context.output.write_line(
        f"key {asked.key_id} withdrawn in version {version}"
    )
    context.output.write_json({"key_id": asked.key_id, "version": version})


def _grant(
    configuration: Configuration, asked: KeyChange, key: NewKey
) -> Configuration:
    workspaces_by_name = configuration.workspaces_by_name
    if asked.workspace not in workspaces_by_name:
        raise UsageError(
            f"no workspace {asked.workspace!r}; "
            f"use one of {', '.join(sorted(workspaces_by_name))}"
        )
    if _owners(configuration, asked.key_id):
        raise UsageError(f"key {asked.key_id!r} exists; choose another name")
    workspace = workspaces_by_name[asked.workspace]
    granted = attrs.evolve(workspace, keys=(*workspace.keys, key.digest))
    return _replace(configuration, granted)


def _withdraw(configuration: Configuration, key_id: str) -> Configuration:
    owners = _owners(configuration, key_id)
    if not owners:
        raise UsageError(f"no key {key_id!r} is in force; see `print`")
    for workspace in owners:
        kept = tuple(key for key in workspace.keys if key.key_id != key_id)
        configuration = _replace(
            configuration, attrs.evolve(workspace, keys=kept)
        )
    return configuration


def _owners(configuration: Configuration, key_id: str) -> list[Workspace]:
    return [
        workspace
        for workspace in configuration.workspaces_by_name.values()
        if any(key.key_id == key_id for key in workspace.keys)
    ]


def _replace(
    configuration: Configuration, workspace: Workspace
) -> Configuration:
    workspaces_by_name = dict(configuration.workspaces_by_name)
    workspaces_by_name[workspace.name] = workspace
    return attrs.evolve(configuration, workspaces_by_name=workspaces_by_name)


async def _submit(
    store: Store,
    stored: StoredConfiguration,
    changed: Configuration,
    asked: KeyChange,
) -> int:
    return await submitting.submit_changed(
        store,
        stored,
        changed,
        diff_configurations(stored.configuration, changed),
        submitting.Submission(
            path=submitting.STANDARD_INPUT, who=asked.who, why=asked.why
        ),
    )
