"""Print the audit trail."""

import datetime
import sys

import attrs

from shallotfold._fleet.audit import AuditFilter
from shallotfold._fleet.audit import AuditRecord
from shallotfold._fleet.audit import read_records
from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._operator.auditing import missing_records
from shallotfold._operator.commands.context import CommandContext
from shallotfold._services.ports import Store


async def audit(context: CommandContext, audit_filter: AuditFilter) -> None:
    """Print the matching records, oldest first."""
    async with context.open_store() as store:
        records = await _read_matching(store, audit_filter)
    for record in records:
        context.output.write_json(
            {
                "id": record.record_id,
                "at": _format_time(record.at_s),
                **attrs.asdict(record.change),
            }
        )
    context.output.write_table(
        ("time", "kind", "who", "what", "before", "after", "why"),
        [_row(record) for record in records],
    )


async def _read_matching(
    store: Store, audit_filter: AuditFilter
) -> list[AuditRecord]:
    records = await read_records(store, AuditFilter(limit=sys.maxsize))
    stored = await ConfigurationStore(store).read()
    missing = missing_records(stored.history, records)
    matching = [r for r in (*records, *missing) if audit_filter.matches(r)]
    matching.sort(key=lambda record: (record.at_s, record.record_id))
    return matching[-audit_filter.limit :]


def _row(record: AuditRecord) -> tuple[str, ...]:
    change = record.change
    return (
        _format_time(record.at_s),
        change.kind,
        change.who,
        change.what,
        change.before,
        change.after,
        change.why,
    )


def _format_time(at_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(at_s, tz=datetime.UTC)
    return moment.isoformat(timespec="seconds")
