"""Print the state of a deployment: entries, upstreams, duties, version."""

from collections.abc import Sequence

import attrs

from shallotfold._errors import StoreUnavailableError
from shallotfold._fleet.configuration_reader import StoredConfiguration
from shallotfold._fleet.configuration_store import ConfigurationStore
from shallotfold._fleet.duties import DUTIES_PREFIX
from shallotfold._fleet.duties import DutyRecord
from shallotfold._fleet.duties import all_duties
from shallotfold._fleet.duties import decode_duty
from shallotfold._operator.commands.context import CommandContext
from shallotfold._operator.commands.entries import EntryResponse
from shallotfold._operator.commands.entries import query_entries
from shallotfold._operator.output import Output

NOBODY = "nobody"


@attrs.frozen(kw_only=True)
class StoreStatus:
    """State of a deployment in the key-value service.

    Attributes:
        version: Newest version of the configuration.
        submitted_s: When it was submitted, in seconds since the epoch.
        duties: Every duty; `holder` is empty if it has none.
    """

    version: int
    submitted_s: float
    duties: tuple[DutyRecord, ...]


async def status(context: CommandContext) -> None:
    """Print entries, upstreams and duties, also if the store is down."""
    responses = await query_entries(context.settings(), "/operator/status")
    stored = await _read_store_status(context)
    context.output.write_json(
        {
            "entries": [attrs.asdict(response) for response in responses],
            "store": None if stored is None else attrs.asdict(stored),
        }
    )
    _write_entries(context.output, responses, stored)
    _write_upstreams(context.output, responses)
    _write_duties(context.output, stored)


async def _read_store_status(context: CommandContext) -> StoreStatus | None:
    try:
        async with context.open_store() as store:
            stored = await ConfigurationStore(store).read()
            records = [
                decode_duty(item) for item in await store.list(DUTIES_PREFIX)
            ]
    except StoreUnavailableError:
        return None
    return _make_store_status(stored, records)


def _make_store_status(
    stored: StoredConfiguration, records: Sequence[DutyRecord]
) -> StoreStatus:
    record_by_name = {record.name: record for record in records}
    names = all_duties(stored.configuration.data_centres)
    history = stored.history
    return StoreStatus(
        version=stored.version,
        submitted_s=history[-1].submitted_s if history else 0.0,
        duties=tuple(
            record_by_name.get(name, DutyRecord(name=name, holder="", token=""))
            for name in names
        ),
    )


def _write_entries(
    output: Output,
    responses: Sequence[EntryResponse],
    stored: StoreStatus | None,
) -> None:
    newest = stored.version if stored is not None else -1
    output.write_table(
        ("entry", "data centre", "version", "behind", "ready", "peers", "is"),
        [_entry_row(response, newest) for response in responses],
    )
    if stored is None:
        output.write_line("the key-value service does not answer")


def _entry_row(response: EntryResponse, newest: int) -> tuple[str, ...]:
    content = response.content
    if response.error or "host" not in content:
        state = response.error or f"HTTP status {response.status}"
        return (response.url, "", "", "", "", "", state)
    version = int(content.get("configuration_version", 0))
    return (
        str(content["host"]),
        str(content.get("data_centre", "")),
        str(version),
        str(newest - version) if newest >= 0 else "?",
        "yes" if content.get("ready") else "no",
        str(len(content.get("peers", ()))),
        "draining" if content.get("draining") else "serving",
    )


def _write_upstreams(
    output: Output, responses: Sequence[EntryResponse]
) -> None:
    """Write each upstream with the states that entries report for it."""
    states_by_name: dict[str, dict[str, set[str]]] = {}
    location_by_name: dict[str, tuple[str, str]] = {}
    for response in responses:
        for item in response.content.get("upstreams", ()):
            name = str(item["name"])
            location_by_name[name] = (item["data_centre"], item["serves"])
            states = states_by_name.setdefault(name, {})
            states.setdefault(item["state"], set()).add(
                response.content["host"]
            )
    output.write_line("")
    output.write_table(
        ("upstream", "data centre", "serves", "state (entries)"),
        [
            (name, *location_by_name[name], _format_states(states))
            for name, states in sorted(states_by_name.items())
        ],
    )


def _format_states(states: dict[str, set[str]]) -> str:
    return ", ".join(
        f"{state} ({len(hosts)})" for state, hosts in sorted(states.items())
    )


def _write_duties(output: Output, stored: StoreStatus | None) -> None:
    if stored is None:
        return
    output.write_line("")
    output.write_table(
        ("duty", "holder", "fencing token"),
        [
            (duty.name, duty.holder or NOBODY, str(duty.fencing or ""))
            for duty in stored.duties
        ],
    )
