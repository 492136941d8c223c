"""Count answered requests per workspace and window, cumulatively."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from shallotfold._entry import effects
from shallotfold._wire.usage_messages import UsageCount

if TYPE_CHECKING:
    from shallotfold._entry import events
    from shallotfold._entry.state import EntryState


@attrs.define(kw_only=True)
class UsageState:
    """Counts of this entry.

    Attributes:
        counts_by_key: Cumulative counts by workspace and window.
    """

    counts_by_key: dict[tuple[str, int], UsageCount] = attrs.field(factory=dict)


def count_answer(
    state: EntryState,
    request_id: str,
    workspace: str,
    prompt_tokens: int,
    output_tokens: int,
    *,
    now_s: float,
    wall_s: float,
) -> list[effects.Effect]:
    """Count an answer, then let it finish at the caller.

    The returned effects, or those of a later event, hold `FinishAnswer`.
    """
    del now_s
    length_s = state.configuration.current.usage_window_s
    window = int(wall_s // length_s) * length_s
    old = state.usage.counts_by_key.get((workspace, window))
    state.usage.counts_by_key[workspace, window] = UsageCount(
        workspace=workspace,
        window=window,
        requests=(old.requests if old else 0) + 1,
        prompt_tokens=(old.prompt_tokens if old else 0) + prompt_tokens,
        output_tokens=(old.output_tokens if old else 0) + output_tokens,
    )
    return [effects.FinishAnswer(request_id=request_id)]


def has_unflushed(state: EntryState) -> bool:
    """Whether counts are still missing in the store."""
    del state
    return False


def on_tick(state: EntryState, event: events.Tick) -> list[effects.Effect]:
    """Flush what the store does not have yet."""
    del state, event
    return []


def on_flushed(
    state: EntryState, event: events.UsageFlushed
) -> list[effects.Effect]:
    """Forget what the store now has."""
    del state, event
    return []


def on_message(
    state: EntryState, event: events.PeerMessageReceived
) -> list[effects.Effect]:
    """Hold counts for a peer, or learn that a peer holds ours."""
    del state, event
    return []
