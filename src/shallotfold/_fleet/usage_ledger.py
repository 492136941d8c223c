"""Freeze the usage figures of one window so that nothing counts twice.

The counts of a source are cumulative per window. A ledger per shard says
which of them were included in frozen figures: every window of a source before
`settled_before`, and partly those that were not final when they were frozen.
The head of a shard names the next window; it moves by compare-and-swap, so
windows are frozen one after the other whoever does it.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

import attrs
import msgpack

from shallotfold._fleet.duties import usage_shard
from shallotfold._fleet.usage_flush import UsageFlush
from shallotfold._services.ports import UsageFigures
from shallotfold._wire.usage_messages import UsageCount

HEAD_PREFIX = "usage/head/"
FROZEN_PREFIX = "usage/frozen/"

CountKey = tuple[str, str, int]
"""Source, workspace and window."""


@attrs.frozen(kw_only=True)
class UsageLedger:
    """Which counts were included in frozen figures.

    Attributes:
        settled_before: By source: all counts of windows that start before
            it are included for good.
        included_by_key: What was included of counts in later windows.
    """

    settled_before: Mapping[str, int] = attrs.field(factory=dict)
    included_by_key: Mapping[CountKey, UsageFigures] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class UsageHead:
    """Where the reports of one shard stand.

    Attributes:
        fencing: Fencing number of the last writer.
        token: Unique token of the write.
        next_window: Start of the next window to freeze.
        window_s: Length of that window in seconds.
        ledger: What earlier windows included.
        unsent: Windows frozen and not reported yet, oldest first.
        kept: Windows reported whose frozen figures are still in the store.
    """

    fencing: int
    token: str = ""
    next_window: int
    window_s: int
    ledger: UsageLedger = attrs.field(factory=UsageLedger)
    unsent: tuple[int, ...] = ()
    kept: tuple[int, ...] = ()


@attrs.frozen(kw_only=True)
class FrozenWindow:
    """The figures of one window of one shard, never changed again.

    Attributes:
        shard: Number of the shard.
        window: Start of the window.
        token: Unique token of the write.
        figures_by_workspace: What is reported.
        late_by_workspace: Share of it that belongs to earlier windows.
        ledger: What is included once this window counts.
    """

    shard: int
    window: int
    token: str = ""
    figures_by_workspace: Mapping[str, UsageFigures]
    late_by_workspace: Mapping[str, UsageFigures]
    ledger: UsageLedger


def freeze_window(
    head: UsageHead, flushes: Iterable[UsageFlush], shard: int
) -> FrozenWindow:
    """Return the figures of the head's next window.

    Counts of earlier windows that came after their own freeze are added and
    named as late. Sources that are gone from the store leave the ledger.
    """
    figures: dict[str, UsageFigures] = {}
    late: dict[str, UsageFigures] = {}
    settled: dict[str, int] = {}
    included: dict[CountKey, UsageFigures] = {}
    for flush in flushes:
        if flush.retired:
            continue
        before = head.ledger.settled_before.get(flush.source, 0)
        after = max(before, min(flush.closed_before, head.next_window + 1))
        settled[flush.source] = after
        for count in flush.counts:
            if not _concerns(count, shard, before, head.next_window):
                continue
            key = (flush.source, count.workspace, count.window)
            known = head.ledger.included_by_key.get(key, UsageFigures())
            fresh = _minus(_figures(count), known)
            _add(figures, count.workspace, fresh)
            if count.window < head.next_window:
                _add(late, count.workspace, fresh)
            if count.window >= after:
                included[key] = _plus(known, fresh)
    return FrozenWindow(
        shard=shard,
        window=head.next_window,
        figures_by_workspace=figures,
        late_by_workspace=late,
        ledger=UsageLedger(settled_before=settled, included_by_key=included),
    )


def advance_head(
    head: UsageHead, frozen: FrozenWindow, window_s: int
) -> UsageHead:
    """Return the head once a frozen window counts.

    Args:
        head: The head before.
        frozen: The window that was frozen.
        window_s: Length of the window after it.
    """
    unsent = head.unsent
    if frozen.figures_by_workspace:
        unsent = (*unsent, frozen.window)
    return attrs.evolve(
        head,
        next_window=frozen.window + head.window_s,
        window_s=window_s,
        ledger=frozen.ledger,
        unsent=unsent,
    )


def is_fully_included(
    flush: UsageFlush, ledgers: Iterable[UsageLedger]
) -> bool:
    """Tell whether every count of a source was included by some shard.

    Args:
        flush: What the store holds of the source.
        ledgers: Ledgers of all shards, in the order of their numbers.
    """
    by_shard = list(ledgers)
    for count in flush.counts:
        ledger = by_shard[usage_shard(count.workspace)]
        if count.window < ledger.settled_before.get(flush.source, 0):
            continue
        key = (flush.source, count.workspace, count.window)
        if ledger.included_by_key.get(key) != _figures(count):
            return False
    return True


def head_key(shard: int) -> str:
    """Return the store key of a shard's head."""
    return f"{HEAD_PREFIX}{shard}"


def frozen_key(shard: int, window: int) -> str:
    """Return the store key of a frozen window."""
    return f"{FROZEN_PREFIX}{shard}/{window}"


def encode_head(head: UsageHead) -> bytes:
    """Return the stored form of a head."""
    fields = attrs.asdict(head, recurse=False)
    return _pack({**fields, "ledger": _ledger_fields(head.ledger)})


def decode_head(value: bytes) -> UsageHead:
    """Read a stored head."""
    fields = msgpack.unpackb(value)
    return UsageHead(
        **{
            **fields,
            "ledger": _ledger(fields["ledger"]),
            "unsent": tuple(fields["unsent"]),
            "kept": tuple(fields["kept"]),
        }
    )


def encode_frozen(frozen: FrozenWindow) -> bytes:
    """Return the stored form of a frozen window."""
    return _pack(
        {
            "shard": frozen.shard,
            "window": frozen.window,
            "token": frozen.token,
            "figures_by_workspace": _figures_fields(
                frozen.figures_by_workspace
            ),
            "late_by_workspace": _figures_fields(frozen.late_by_workspace),
            "ledger": _ledger_fields(frozen.ledger),
        }
    )


def decode_frozen(value: bytes) -> FrozenWindow:
    """Read a stored frozen window."""
    fields = msgpack.unpackb(value)
    return FrozenWindow(
        shard=fields["shard"],
        window=fields["window"],
        token=fields["token"],
        figures_by_workspace=_figures_map(fields["figures_by_workspace"]),
        late_by_workspace=_figures_map(fields["late_by_workspace"]),
        ledger=_ledger(fields["ledger"]),
    )


def _concerns(
    count: UsageCount, shard: int, settled_before: int, window: int
) -> bool:
    in_reach = settled_before <= count.window <= window
    return in_reach and usage_shard(count.workspace) == shard


def _figures(count: UsageCount) -> UsageFigures:
    return UsageFigures(
        requests=count.requests,
        prompt_tokens=count.prompt_tokens,
        output_tokens=count.output_tokens,
    )


def _plus(first: UsageFigures, second: UsageFigures) -> UsageFigures:
    return UsageFigures(
        requests=first.requests + second.requests,
        prompt_tokens=first.prompt_tokens + second.prompt_tokens,
        output_tokens=first.output_tokens + second.output_tokens,
    )


def _minus(first: UsageFigures, second: UsageFigures) -> UsageFigures:
    return UsageFigures(
        requests=max(0, first.requests - second.requests),
        prompt_tokens=max(0, first.prompt_tokens - second.prompt_tokens),
        output_tokens=max(0, first.output_tokens - second.output_tokens),
    )


def _add(
    figures: dict[str, UsageFigures], workspace: str, fresh: UsageFigures
) -> None:
    if fresh != UsageFigures():
        known = figures.get(workspace, UsageFigures())
        figures[workspace] = _plus(known, fresh)


def _pack(fields: dict[str, Any]) -> bytes:
    packed: bytes = msgpack.packb(fields)
    return packed


def _ledger_fields(ledger: UsageLedger) -> list[Any]:
    return [
        dict(ledger.settled_before),
        [
            [*key, *attrs.astuple(figures)]
            for key, figures in ledger.included_by_key.items()
        ],
    ]


def _ledger(fields: list[Any]) -> UsageLedger:
    return UsageLedger(
        settled_before=fields[0],
        included_by_key={
            (row[0], row[1], row[2]): _row_figures(row[3:]) for row in fields[1]
        },
    )


def _figures_fields(figures: Mapping[str, UsageFigures]) -> dict[str, Any]:
    return {name: attrs.astuple(value) for name, value in figures.items()}


def _figures_map(fields: Mapping[str, Any]) -> dict[str, UsageFigures]:
    return {name: _row_figures(row) for name, row in fields.items()}


def _row_figures(row: list[int]) -> UsageFigures:
    return UsageFigures(
        requests=row[0], prompt_tokens=row[1], output_tokens=row[2]
    )
