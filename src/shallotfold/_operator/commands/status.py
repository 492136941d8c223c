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
from shallotfold._operator.commands.entries import EntryAnswer
from shallotfold._operator.commands.entries import ask_entries
from shallotfold._operator.output import Output

NOBODY = "nobody"


@attrs.frozen(kw_only=True)
class StoreStatus:
    """What the key-value service tells about a deployment.

    Attributes:
        version: Newest version of the configuration.
        submitted_s: When it was submitted, in seconds since the epoch.
        duties: Every duty; the holder is empty while nobody holds it.
    """

    version: int
    submitted_s: float
    duties: tuple[DutyRecord, ...]


async def status(context: CommandContext) -> None:
    """Print entries, upstreams and duties; the store may be down."""
    answers = await ask_entries(context.settings(), "/operator/status")
    stored = await _read_store(context)
    context.output.write_json(
        {
            "entries": [attrs.asdict(answer) for answer in answers],
            "store": None if stored is None else attrs.asdict(stored),
        }
    )
    _write_entries(context.output, answers, stored)
    _write_upstreams(context.output, answers)
    _write_duties(context.output, stored)


async def _read_store(context: CommandContext) -> StoreStatus | None:
    try:
        async with context.open_store() as store:
            stored = await ConfigurationStore(store).read()
            records = [
                decode_duty(item) for item in await store.list(DUTIES_PREFIX)
            ]
    except StoreUnavailableError:
        return None
    return _describe(stored, records)


def _describe(
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
    output: Output, answers: Sequence[EntryAnswer], stored: StoreStatus | None
) -> None:
    newest = stored.version if stored is not None else -1
    output.write_table(
        ("entry", "data centre", "version", "behind", "ready", "peers", "is"),
        [_entry_row(answer, newest) for answer in answers],
    )
    if stored is None:
        output.write_line("the key-value service does not answer")


def _entry_row(answer: EntryAnswer, newest: int) -> tuple[str, ...]:
    content = answer.content
    if answer.error or "host" not in content:
        state = answer.error or f"HTTP status {answer.status}"
        return (answer.url, "", "", "", "", "", state)
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


def _write_upstreams(output: Output, answers: Sequence[EntryAnswer]) -> None:
    """Write each upstream with every entry's opinion of it."""
    states_by_name: dict[str, dict[str, set[str]]] = {}
    place_by_name: dict[str, tuple[str, str]] = {}
    for answer in answers:
        for item in answer.content.get("upstreams", ()):
            name = str(item["name"])
            place_by_name[name] = (item["data_centre"], item["serves"])
            states = states_by_name.setdefault(name, {})
            states.setdefault(item["state"], set()).add(answer.content["host"])
    output.write_line("")
    output.write_table(
        ("upstream", "data centre", "serves", "state (entries)"),
        [
            (name, *place_by_name[name], _opinions(states))
            for name, states in sorted(states_by_name.items())
        ],
    )


def _opinions(states: dict[str, set[str]]) -> str:
    return ", ".join(
        f"{state} ({len(hosts)})" for state, hosts in sorted(states.items())
    )


def _write_duties(output: Output, stored: StoreStatus | None) -> None:
    if stored is None:
        return
    output.write_line("")
    output.write_table(
        ("duty", "holder", "fencing number"),
        [
            (duty.name, duty.holder or NOBODY, str(duty.fencing or ""))
            for duty in stored.duties
        ],
    )
