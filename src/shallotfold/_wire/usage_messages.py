"""Messages that keep unflushed usage alive on peers."""

import attrs


@attrs.frozen(kw_only=True)
class UsageCount:
    """Cumulative usage of one workspace in one window at one entry.

    Attributes:
        workspace: Name of the workspace.
        window: Start of the window, in seconds since the epoch.
        requests: Answered requests so far.
        prompt_tokens: Input tokens so far.
        output_tokens: Output tokens so far.
    """

    workspace: str
    window: int
    requests: int
    prompt_tokens: int
    output_tokens: int


@attrs.frozen(kw_only=True)
class UsageHeld:
    """Ask a peer to hold counts that the store does not have yet.

    Attributes:
        host: Entry that counted.
        incarnation: Its incarnation.
        sequence: Number of this message, rising.
        counts: Cumulative counts; a merge takes the larger one.
    """

    host: str
    incarnation: int
    sequence: int
    counts: tuple[UsageCount, ...]


@attrs.frozen(kw_only=True)
class UsageHoldAcknowledged:
    """Confirm that counts up to `sequence` are held."""

    sequence: int


@attrs.frozen(kw_only=True)
class UsageStored:
    """Tell holders that the store has the counts up to `sequence`."""

    host: str
    incarnation: int
    sequence: int


UsageMessage = UsageHeld | UsageHoldAcknowledged | UsageStored

MESSAGES: tuple[type, ...] = (UsageHeld, UsageHoldAcknowledged, UsageStored)
