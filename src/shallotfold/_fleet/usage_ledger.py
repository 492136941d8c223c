"""Freeze the usage figures of one window so that nothing is counted twice.

The counts of a source are cumulative per window. A ledger per shard records
which of them were included in frozen figures: all counts of a source in windows
before `settled_before`, and the amounts included from later windows, whose
counts were not final when they were frozen. The head of a shard contains the
next window to freeze and is updated by compare-and-swap, so windows are frozen
in order, whichever process freezes them.
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
        settled_before: By source, a time in seconds since the epoch: all
            counts of windows that start before it were included and are final.
        included_by_key: Amounts included so far from counts of later windows.
    """

    settled_before: Mapping[str, int] = attrs.field(factory=dict)
    included_by_key: Mapping[CountKey, UsageFigures] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class UsageHead:
    """Reporting progress of one shard.

    Attributes:
        fencing: Fencing token of the last writer.
        token: Unique token of the write.
        next_window: Start of the next window to freeze, in seconds since the
            epoch.
        window_s: Length of that window in seconds.
        ledger: Counts that earlier windows included.
        unsent: Windows that are frozen but not reported yet, oldest first.
        kept: Reported windows whose frozen figures are still in the store.
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
    """The final figures of one window of one shard.

    Attributes:
        shard: Number of the shard.
        window: Start of the window, in seconds since the epoch.
        token: Unique token of the write.
        figures_by_workspace: Figures to report, including late ones.
        late_by_workspace: Part of them that belongs to earlier windows.
        ledger: Ledger of the shard after this window.
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

    Counts of earlier windows that arrived after those windows were frozen are
    added and also listed as late. Sources that are no longer in the store are
    removed from the ledger.
    """
    figures_by_workspace: dict[str, UsageFigures] = {}
    late_by_workspace: dict[str, UsageFigures] = {}
    settled_before: dict[str, int] = {}
    included_by_key: dict[CountKey, UsageFigures] = {}
    for flush in flushes:
        if flush.retired:
            continue
        old_settled_before = head.ledger.settled_before.get(flush.source, 0)
        new_settled_before = max(
            old_settled_before, min(flush.closed_before, head.next_window + 1)
        )
        settled_before[flush.source] = new_settled_before
        for count in flush.counts:
            if not _should_include(
                count, shard, old_settled_before, head.next_window
            ):
                continue
            key = (flush.source, count.workspace, count.window)
            included = head.ledger.included_by_key.get(key, UsageFigures())
            increase = _minus(_figures(count), included)
            _add(figures_by_workspace, count.workspace, increase)
            if count.window < head.next_window:
                _add(late_by_workspace, count.workspace, increase)
            if count.window >= new_settled_before:
                included_by_key[key] = _plus(included, increase)
    return FrozenWindow(
        shard=shard,
        window=head.next_window,
        figures_by_workspace=figures_by_workspace,
        late_by_workspace=late_by_workspace,
        ledger=UsageLedger(
            settled_before=settled_before, included_by_key=included_by_key
        ),
    )


def advance_head(
    head: UsageHead, frozen: FrozenWindow, window_s: int
) -> UsageHead:
    """Return the head that follows a frozen window.

    Args:
        head: The head from which the window was frozen.
        frozen: The frozen window.
        window_s: Length of the next window in seconds.
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
    """Return whether the shards have included every count of a source.

    Args:
        flush: Stored flush of the source.
        ledgers: Ledgers of all shards, ordered by shard number.
    """
    ledgers_by_shard = list(ledgers)
    for count in flush.counts:
        ledger = ledgers_by_shard[usage_shard(count.workspace)]
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
    """Encode a head for the store."""
    fields = attrs.asdict(head, recurse=False)
    return _pack({**fields, "ledger": _ledger_fields(head.ledger)})


def decode_head(value: bytes) -> UsageHead:
    """Decode a stored head."""
    fields = msgpack.unpackb(value)
    return UsageHead(
        **{
            **fields,
            "ledger": _parse_ledger(fields["ledger"]),
            "unsent": tuple(fields["unsent"]),
            "kept": tuple(fields["kept"]),
        }
    )


def encode_frozen(frozen: FrozenWindow) -> bytes:
    """Encode a frozen window for the store."""
    return _pack(
        {
            "shard": frozen.shard,
            "window": frozen.window,
            "token": frozen.token,
            "figures_by_workspace": _figures_by_workspace_fields(
                frozen.figures_by_workspace
            ),
            "late_by_workspace": _figures_by_workspace_fields(
                frozen.late_by_workspace
            ),
            "ledger": _ledger_fields(frozen.ledger),
        }
    )


def decode_frozen(value: bytes) -> FrozenWindow:
    """Decode a stored frozen window."""
    fields = msgpack.unpackb(value)
    return FrozenWindow(
        shard=fields["shard"],
        window=fields["window"],
        token=fields["token"],
        figures_by_workspace=_parse_figures_by_workspace(
            fields["figures_by_workspace"]
        ),
        late_by_workspace=_parse_figures_by_workspace(
            fields["late_by_workspace"]
        ),
        ledger=_parse_ledger(fields["ledger"]),
    )


def _should_include(
    count: UsageCount, shard: int, settled_before: int, window: int
) -> bool:
    is_open = settled_before <= count.window <= window
    return is_open and usage_shard(count.workspace) == shard


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
    figures: dict[str, UsageFigures], workspace: str, increase: UsageFigures
) -> None:
    if increase != UsageFigures():
        previous = figures.get(workspace, UsageFigures())
        figures[workspace] = _plus(previous, increase)


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


def _parse_ledger(fields: list[Any]) -> UsageLedger:
    return UsageLedger(
        settled_before=fields[0],
        included_by_key={
            (row[0], row[1], row[2]): _parse_figures(row[3:])
            for row in fields[1]
        },
    )


def _figures_by_workspace_fields(
    figures: Mapping[str, UsageFigures],
) -> dict[str, Any]:
    return {name: attrs.astuple(value) for name, value in figures.items()}


def _parse_figures_by_workspace(
    fields: Mapping[str, Any],
) -> dict[str, UsageFigures]:
    return {name: _parse_figures(row) for name, row in fields.items()}


def _parse_figures(row: list[int]) -> UsageFigures:
    return UsageFigures(
        requests=row[0], prompt_tokens=row[1], output_tokens=row[2]
    )
