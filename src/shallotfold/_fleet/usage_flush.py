"""Define what an entry flushes to the store: cumulative usage and demand.

A source is one process of an entry. Its counts only increase, so flushing is
idempotent, and two versions are merged by taking the larger numbers.
"""

from collections.abc import Iterable
from typing import Any

import attrs
import msgpack

from shallotfold._errors import PlatformError
from shallotfold._services.ports import StoredValue
from shallotfold._wire.usage_messages import UsageCount

FLUSH_PREFIX = "usage/flush/"


@attrs.frozen(kw_only=True)
class ModelDemand:
    """Demand for one model in one request class at one entry.

    Attributes:
        model: Requested model.
        class_name: Request class.
        asked_tokens: Cumulative estimate of requested output tokens, including
            refused requests.
        queued_tokens: Estimate of output tokens of requests that wait for a
            grant now.
    """

    model: str
    class_name: str
    asked_tokens: int
    queued_tokens: int = 0


@attrs.frozen(kw_only=True)
class UsageFlush:
    """Everything that the store has from one source.

    Attributes:
        source: `HOST-INCARNATION`.
        token: Unique token of the write.
        closed_before: A time in seconds since the epoch: counts of windows that
            start before it are final.
        counts: Cumulative counts, without windows whose usage reports are
            final.
        demand: Cumulative demand.
        retired: Whether this is a tombstone: the source is inactive and all
            its counts were reported. It must not be written again.
    """

    source: str
    token: str = ""
    closed_before: int = 0
    counts: tuple[UsageCount, ...] = ()
    demand: tuple[ModelDemand, ...] = ()
    retired: bool = False


def source_name(host: str, incarnation: int) -> str:
    """Return the source name of one process of an entry."""
    return f"{host}-{incarnation}"


def flush_key(source: str) -> str:
    """Return the store key of a source."""
    return FLUSH_PREFIX + source


def larger_count(first: UsageCount, second: UsageCount) -> UsageCount:
    """Merge two counts of one workspace and window; larger numbers win."""
    return attrs.evolve(
        first,
        requests=max(first.requests, second.requests),
        prompt_tokens=max(first.prompt_tokens, second.prompt_tokens),
        output_tokens=max(first.output_tokens, second.output_tokens),
    )


def merge_counts(
    first: Iterable[UsageCount], second: Iterable[UsageCount]
) -> tuple[UsageCount, ...]:
    """Merge counts by workspace and window; larger numbers win."""
    merged: dict[tuple[str, int], UsageCount] = {}
    for count in (*first, *second):
        key = (count.workspace, count.window)
        previous = merged.get(key)
        merged[key] = larger_count(previous, count) if previous else count
    return tuple(merged.values())


def encode_flush(flush: UsageFlush) -> bytes:
    """Encode a flush for the store, as rows because it has many counts."""
    fields = attrs.asdict(flush, recurse=False)
    fields["counts"] = [attrs.astuple(count) for count in flush.counts]
    fields["demand"] = [attrs.astuple(demand) for demand in flush.demand]
    packed: bytes = msgpack.packb(fields)
    return packed


def decode_flush(stored: StoredValue) -> UsageFlush:
    """Decode a stored flush.

    Raises:
        PlatformError: The value is malformed.
    """
    try:
        fields: dict[str, Any] = msgpack.unpackb(stored.value)
        fields["counts"] = tuple(
            UsageCount(
                workspace=item[0],
                window=item[1],
                requests=item[2],
                prompt_tokens=item[3],
                output_tokens=item[4],
            )
            for item in fields["counts"]
        )
        fields["demand"] = tuple(
            ModelDemand(
                model=item[0],
                class_name=item[1],
                asked_tokens=item[2],
                queued_tokens=item[3],
            )
            for item in fields["demand"]
        )
        return UsageFlush(**fields)
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise PlatformError(
            f"{stored.key} does not contain usage counts ({error}); "
            "find out what wrote it"
        ) from error
