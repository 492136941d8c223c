"""Print the frozen usage figures of the latest windows."""

import datetime

import attrs

from shallotfold._fleet.usage_ledger import FROZEN_PREFIX
from shallotfold._fleet.usage_ledger import decode_frozen
from shallotfold._operator.commands.context import CommandContext
from shallotfold._services.ports import Store
from shallotfold._services.ports import UsageFigures


@attrs.frozen(kw_only=True, order=True)
class UsageRow:
    """Usage of one workspace in one window, as reported.

    Attributes:
        window: Start of the window, in seconds since the epoch.
        workspace: Name of the workspace.
        figures: The frozen figures.
        late: Part of the figures that belongs to earlier windows.
    """

    window: int
    workspace: str
    figures: UsageFigures = attrs.field(order=False)
    late: UsageFigures = attrs.field(order=False)


async def usage(context: CommandContext, workspace: str) -> None:
    """Print the figures; an empty `workspace` selects all."""
    async with context.open_store() as store:
        rows = await read_usage(store)
    matching = [row for row in rows if workspace in ("", row.workspace)]
    for row in matching:
        context.output.write_json(attrs.asdict(row))
    context.output.write_table(
        ("window", "workspace", "requests", "input", "output", "late requests"),
        [_format_row(row) for row in matching],
    )


async def read_usage(store: Store) -> list[UsageRow]:
    """Return the rows of all windows that are still in the store, sorted.

    Raises:
        StoreUnavailableError: The store did not answer in time.
    """
    rows = []
    for stored in await store.list(FROZEN_PREFIX):
        frozen = decode_frozen(stored.value)
        rows += [
            UsageRow(
                window=frozen.window,
                workspace=workspace,
                figures=figures,
                late=frozen.late_by_workspace.get(workspace, UsageFigures()),
            )
            for workspace, figures in frozen.figures_by_workspace.items()
        ]
    return sorted(rows)


def _format_row(row: UsageRow) -> tuple[str, ...]:
    start = datetime.datetime.fromtimestamp(row.window, tz=datetime.UTC)
    return (
        start.isoformat(timespec="seconds"),
        row.workspace,
        str(row.figures.requests),
        str(row.figures.prompt_tokens),
        str(row.figures.output_tokens),
        str(row.late.requests),
    )
