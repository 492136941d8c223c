"""Create, grant and withdraw the keys of callers."""

import attrs

from shallotfold._errors import UsageError
from shallotfold._fleet.configuration_reader import StoredConfiguration
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import Workspace
from shallotfold._model.differences import diff_configurations
from shallotfold._operator.commands import configuration as submission
from shallotfold._operator.commands.context import CommandContext
from shallotfold._operator.keys import NewKey
from shallotfold._operator.keys import new_key
from shallotfold._services.ports import Store


@attrs.frozen(kw_only=True)
class KeyChange:
    """Arguments of a key command.

    Attributes:
        key_id: Public name of the key.
        workspace: Workspace that a new key is granted to; empty for none.
        who: Name for the audit trail.
        why: Reason for the audit trail.
    """

    key_id: str
    workspace: str
    who: str
    why: str


async def create(context: CommandContext, change: KeyChange) -> None:
    """Create a key, grant it if a workspace is given, and show it once."""
    key = new_key(change.key_id)
    if change.workspace:
        async with context.open_store() as store:
            stored = await submission.read_stored(store)
            changed = _grant(stored.configuration, change, key)
            version = await _submit(store, stored, changed, change)
        context.output.write_line(f"granted in version {version}")
    context.output.write_line(f"key:    {key.secret}")
    context.output.write_line(f"digest: {key.digest.sha256}")
    context.output.write_line("The key is not stored; save it now.")
    context.output.write_json(
        {
            "key_id": change.key_id,
            "key": key.secret,
            "sha256": key.digest.sha256,
            "workspace": change.workspace,
        }
    )


async def withdraw(context: CommandContext, change: KeyChange) -> None:
    """Withdraw a key; entries disconnect its callers within seconds."""
    async with context.open_store() as store:
        stored = await submission.read_stored(store)
        changed = _withdraw(stored.configuration, change.key_id)
        version = await _submit(store, stored, changed, change)
    context.output.write_line(
        f"key {change.key_id} withdrawn in version {version}"
    )
    context.output.write_json({"key_id": change.key_id, "version": version})


def _grant(
    configuration: Configuration, change: KeyChange, key: NewKey
) -> Configuration:
    workspaces_by_name = configuration.workspaces_by_name
    if change.workspace not in workspaces_by_name:
        raise UsageError(
            f"no workspace {change.workspace!r}; "
            f"use one of {', '.join(sorted(workspaces_by_name))}"
        )
    if _find_workspaces(configuration, change.key_id):
        raise UsageError(f"key {change.key_id!r} exists; choose another name")
    workspace = workspaces_by_name[change.workspace]
    updated = attrs.evolve(workspace, keys=(*workspace.keys, key.digest))
    return _replace_workspace(configuration, updated)


def _withdraw(configuration: Configuration, key_id: str) -> Configuration:
    workspaces = _find_workspaces(configuration, key_id)
    if not workspaces:
        raise UsageError(f"no key {key_id!r} is in force; see `print`")
    for workspace in workspaces:
        remaining = tuple(key for key in workspace.keys if key.key_id != key_id)
        configuration = _replace_workspace(
            configuration, attrs.evolve(workspace, keys=remaining)
        )
    return configuration


def _find_workspaces(
    configuration: Configuration, key_id: str
) -> list[Workspace]:
    return [
        workspace
        for workspace in configuration.workspaces_by_name.values()
        if any(key.key_id == key_id for key in workspace.keys)
    ]


def _replace_workspace(
    configuration: Configuration, workspace: Workspace
) -> Configuration:
    workspaces_by_name = dict(configuration.workspaces_by_name)
    workspaces_by_name[workspace.name] = workspace
    return attrs.evolve(configuration, workspaces_by_name=workspaces_by_name)


async def _submit(
    store: Store,
    stored: StoredConfiguration,
    changed: Configuration,
    change: KeyChange,
) -> int:
    return await submission.submit_changed(
        store,
        stored,
        changed,
        diff_configurations(stored.configuration, changed),
        submission.SubmitRequest(
            path=submission.STANDARD_INPUT,
            who=change.who,
            why=change.why,
        ),
    )
