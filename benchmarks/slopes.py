"""Measure how the cost of each role grows, for docs/CAPACITY.md.

Each quantity is measured at several sizes; `benchmarks.capacity` fits a line
to it and computes the cost at the size that decides the design.

    python -m benchmarks.slopes --output docs/capacity-slopes.json
"""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import json
import os
import pathlib
import subprocess
import sys
import time
from typing import Any
import zlib

import attrs

from benchmarks import fleet_scale
from shallotfold._entry import events
from shallotfold._entry.reducing import reducer
from shallotfold._entry.state.entry_state import EntryState
from shallotfold._fleet.usage_flush import UsageFlush
from shallotfold._fleet.usage_flush import encode_flush
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import KeyDigest
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Upstream
from shallotfold._model.configuration import Workspace
from shallotfold._model.requests import Outcome
from shallotfold._model.serialization import document_sha256
from shallotfold._model.serialization import dump_configuration
from shallotfold._model.serialization import load_configuration
from shallotfold._wire import grant_messages
from shallotfold._wire import usage_messages
from shallotfold._wire.codec import PEER_CODEC
from shallotfold._wire.framing import encode_frame

WORKSPACE_COUNTS = (100, 1000, 4000, 8700)
UPSTREAM_COUNTS = (10, 100, 1000, 3300)
FLEET_SIZES = (9, 40, 100, 350)
ACTIVE_WORKSPACE_COUNTS = (10, 100, 400)
HOST_COUNTS = (20, 500, 3650)
IDLE_FLEET_SIZES = (3, 9)


@attrs.frozen(kw_only=True)
class Measure:
    """One measured quantity.

    Attributes:
        name: Unique name.
        size: What the first number of a point is a count of.
        unit: Unit of the second number of a point.
        points: Pairs of size and value.
    """

    name: str
    size: str
    unit: str
    points: tuple[tuple[float, float], ...]


def main(argv: Sequence[str] | None = None) -> None:
    """Take the measurements, or print the resident bytes for `--resident`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=pathlib.Path)
    parser.add_argument(
        "--resident",
        nargs=2,
        type=int,
        metavar=("WORKSPACES", "UPSTREAMS"),
        help="print the resident memory, in bytes, of an entry of this size",
    )
    parser.add_argument(
        "--only",
        choices=sorted(_SINGLE_MEASURES),
        help="measure only this quantity and keep the others in --output",
    )
    options = parser.parse_args(argv)
    if options.resident:
        print(_resident_bytes(*options.resident))
        return
    measures = (
        update(options.output, options.only) if options.only else measure_all()
    )
    text = json.dumps([attrs.asdict(m) for m in measures], indent=1) + "\n"
    if options.output:
        options.output.write_text(text)
    else:
        sys.stdout.write(text)


def measure_all() -> list[Measure]:
    """Take every measurement; this takes some minutes."""
    return [
        *(measure() for measure in _SINGLE_MEASURES.values()),
        *_measure_membership(),
        *_measure_idle(),
        *_measure_latency(),
    ]


def update(path: pathlib.Path, name: str) -> list[Measure]:
    """Return the measures of a file, with one of them measured again."""
    other_measures = [
        Measure(**fields)
        for fields in json.loads(path.read_text())
        if fields["name"] != name
    ]
    return [*other_measures, _SINGLE_MEASURES[name]()]


def make_configuration(workspaces: int, upstreams: int) -> Configuration:
    """Return a configuration of this size with 5 tiers and 4 models."""
    classes = {
        f"tier-{tier}": RequestClass(name=f"tier-{tier}", tier=tier)
        for tier in range(1, 6)
    }
    return Configuration(
        data_centres=tuple(f"dc-{number}" for number in range(11)),
        classes_by_name=classes,
        workspaces_by_name={
            f"workspace-{number}": Workspace(
                name=f"workspace-{number}",
                keys=(
                    KeyDigest(
                        key_id=f"key-{number}",
                        sha256=document_sha256(str(number).encode()),
                    ),
                ),
                classes=tuple(classes),
                default_class="tier-1",
            )
            for number in range(workspaces)
        },
        upstreams_by_name={
            f"upstream-{number}": Upstream(
                name=f"upstream-{number}",
                url=f"http://127.1.{number // 250}.{number % 250 + 1}:9000",
                data_centre=f"dc-{number % 11}",
                model=f"model-{number % 4}",
            )
            for number in range(upstreams)
        },
    )


def _measure(
    name: str,
    size: str,
    unit: str,
    sizes: Sequence[int],
    measure_value: Callable[[int], float],
) -> Measure:
    points = tuple((float(count), measure_value(count)) for count in sizes)
    return Measure(name=name, size=size, unit=unit, points=points)


def _document_bytes(workspaces: int) -> float:
    return len(dump_configuration(make_configuration(workspaces, 100)))


def _adopt(document: bytes) -> EntryState:
    state = EntryState(host="entry-1", data_centre="dc-1", incarnation=1)
    reducer.reduce(
        state,
        events.ConfigurationRead(
            now_s=0.0,
            version=1,
            configuration=load_configuration(document),
            document=document,
            sha256=document_sha256(document),
        ),
    )
    reducer.reduce(state, events.Tick(now_s=0.05, wall_s=0.0, random=0.5))
    return state


def _adoption_s(workspaces: int) -> float:
    document = dump_configuration(make_configuration(workspaces, 100))
    started_s = time.process_time()
    _adopt(document)
    return time.process_time() - started_s


def _resident_bytes(workspaces: int, upstreams: int) -> int:
    # Import the whole entry so that its code counts as well.
    import shallotfold._entry.process

    assert shallotfold._entry.process
    document = dump_configuration(make_configuration(workspaces, upstreams))
    state = _adopt(document)
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    del state
    return pages * os.sysconf("SC_PAGE_SIZE")


def _measure_resident_by_workspaces(workspaces: int) -> float:
    return _measure_resident_in_new_process(workspaces, 100)


def _measure_resident_in_new_process(workspaces: int, upstreams: int) -> float:
    command = [sys.executable, "-m", "benchmarks.slopes", "--resident"]
    command += [str(workspaces), str(upstreams)]
    completed = subprocess.run(
        command, check=True, capture_output=True, text=True
    )
    return float(completed.stdout)


def _make_usage_count(number: int) -> usage_messages.UsageCount:
    return usage_messages.UsageCount(
        workspace=f"workspace-{number}",
        window=1_800_000_000,
        requests=100,
        prompt_tokens=40_000,
        output_tokens=50_000,
    )


def _flush_bytes(workspaces: int) -> float:
    flush = UsageFlush(
        source=f"entry-1-{time.time_ns()}",
        counts=tuple(_make_usage_count(number) for number in range(workspaces)),
    )
    return len(encode_flush(flush))


def _frame_bytes(message: object) -> int:
    return len(encode_frame(PEER_CODEC.encode(message)))


def _grant_bytes(requests: int) -> float:
    request_id = "0123456789abcdef01234567"
    messages = [
        grant_messages.GrantRequest(
            pool="model/model-1#7",
            request_id=request_id,
            attempt=1,
            class_name="tier-1",
            workspace="workspace-1234",
            prompt_tokens=1000,
            output_tokens=500,
            waited_s=0.001,
            prefix_digests=("0123456789abcdef",) * 4,
        ),
        grant_messages.Grant(
            request_id=request_id,
            attempt=1,
            upstream="upstream-1234",
            priority=1,
        ),
        grant_messages.GrantReleased(
            request_id=request_id,
            attempt=1,
            outcome=Outcome.RAN,
            output_tokens=500,
            first_token_s=0.2,
            duration_s=12.5,
        ),
    ]
    return requests * sum(map(_frame_bytes, messages))


def _hold_bytes(answers: int) -> float:
    held = usage_messages.UsageHeld(
        host="entry-1",
        incarnation=time.time_ns(),
        sequence=1000,
        counts=tuple(_make_usage_count(number) for number in range(answers)),
    )
    acknowledged = usage_messages.UsageHoldAcknowledged(sequence=1000)
    return _frame_bytes(held) + _frame_bytes(acknowledged)


def _host_list_bytes(host_count: int) -> float:
    records = [
        {
            "name": f"upstream-{number}",
            "role": "upstream",
            "state": "live",
            "data_centre": f"dc-{number % 11}",
            "address": f"http://127.1.{number // 250}.{number % 250 + 1}:9000",
            "offer": f"cheap-dc-{number % 11}",
        }
        for number in range(host_count)
    ]
    return len(zlib.compress(json.dumps({"hosts": records}).encode()))


def _measure_membership() -> list[Measure]:
    scales = [fleet_scale.measure(entry_count) for entry_count in FLEET_SIZES]
    return [
        Measure(
            name="membership_bytes",
            size="entries",
            unit="B/s",
            points=tuple((c.entry_count, c.sent_bytes_per_s) for c in scales),
        ),
        Measure(
            name="membership_cpu",
            size="entries",
            unit="core",
            points=tuple((c.entry_count, c.cpu_s_per_s) for c in scales),
        ),
    ]


def _run_json(*arguments: str) -> list[Any]:
    completed = subprocess.run(
        [sys.executable, "-m", *arguments],
        check=True,
        capture_output=True,
        text=True,
    )
    lines = completed.stdout.splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]


def _measure_idle() -> list[Measure]:
    runs = _run_json(
        "benchmarks.fleet_cost", "--entries", *map(str, IDLE_FLEET_SIZES)
    )
    measures = []
    for role in ("entry", "controller"):
        for field, unit in (
            ("core_percent", "%"),
            ("resident_mb", "MB"),
            ("control_bytes_per_s", "B/s"),
        ):
            points = tuple(
                (run["entries"], run[role][field]["median"]) for run in runs
            )
            measures.append(
                Measure(
                    name=f"calm_{role}_{field}",
                    size="entries",
                    unit=unit,
                    points=points,
                )
            )
    points = tuple((run["entries"], run["store_calls_per_s"]) for run in runs)
    return [
        *measures,
        Measure(
            name="calm_store_calls", size="entries", unit="1/s", points=points
        ),
    ]


def _measure_latency() -> list[Measure]:
    (run,) = _run_json("benchmarks.entry_latency")
    per_core_s = run["throughput"]["model"]["requests_per_core_s"]
    return [
        Measure(
            name="request_cpu",
            size="requests",
            unit="s",
            points=((1.0, 1.0 / per_core_s),),
        )
    ]


_SINGLE_MEASURES: dict[str, Callable[[], Measure]] = {
    "document": lambda: _measure(
        "document", "workspaces", "B", WORKSPACE_COUNTS, _document_bytes
    ),
    "adoption": lambda: _measure(
        "adoption", "workspaces", "s", WORKSPACE_COUNTS, _adoption_s
    ),
    "resident": lambda: _measure(
        "resident",
        "workspaces",
        "B",
        WORKSPACE_COUNTS,
        _measure_resident_by_workspaces,
    ),
    "resident_upstreams": lambda: _measure(
        "resident_upstreams",
        "upstreams",
        "B",
        UPSTREAM_COUNTS,
        lambda count: _measure_resident_in_new_process(100, count),
    ),
    "flush": lambda: _measure(
        "flush", "workspaces", "B", ACTIVE_WORKSPACE_COUNTS, _flush_bytes
    ),
    "grant": lambda: _measure("grant", "requests", "B", (1,), _grant_bytes),
    "hold": lambda: _measure("hold", "answers", "B", (1, 8), _hold_bytes),
    "host_list": lambda: _measure(
        "host_list", "hosts", "B", HOST_COUNTS, _host_list_bytes
    ),
}


if __name__ == "__main__":
    main()
