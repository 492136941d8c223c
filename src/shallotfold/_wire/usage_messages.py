"""Messages that replicate unflushed usage counts to peers."""

import attrs


@attrs.frozen(kw_only=True)
class UsageCount:
    """Cumulative usage of one workspace in one window at one entry.

    Attributes:
        workspace: Name of the workspace.
        window: Start of the window, in seconds since the epoch.
        requests: Number of answered requests.
        prompt_tokens: Number of input tokens.
        output_tokens: Number of output tokens.
    """

    workspace: str
    window: int
    requests: int
    prompt_tokens: int
    output_tokens: int


@attrs.frozen(kw_only=True)
class UsageHeld:
    """Ask a peer to hold a replica of counts that are not in the store yet.

    Attributes:
        host: Entry that counted.
        incarnation: Incarnation of that entry.
        sequence: Number of this message, increasing.
        counts: Cumulative counts; when merging, larger numbers win.
    """

    host: str
    incarnation: int
    sequence: int
    counts: tuple[UsageCount, ...]


@attrs.frozen(kw_only=True)
class UsageHoldAcknowledged:
    """Confirm that the sender holds the counts up to `sequence`."""

    sequence: int


@attrs.frozen(kw_only=True)
class UsageStored:
    """Tell holders that the counts up to `sequence` are in the store."""

    host: str
    incarnation: int
    sequence: int


UsageMessage = UsageHeld | UsageHoldAcknowledged | UsageStored

MESSAGES: tuple[type, ...] = (UsageHeld, UsageHoldAcknowledged, UsageStored)
