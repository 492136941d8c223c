"""Parse what upstreams say about themselves in responses."""

import math

# Bounds the effect of a mistaken value.
MAX_PAUSE_S = 600.0


def parse_retry_after_s(value: bytes) -> float:
    """Return for how long an upstream wants no requests.

    Args:
        value: Value of Retry-After, in seconds with or without a fraction.

    Returns:
        The time in seconds, at most `MAX_PAUSE_S`.

    Raises:
        ValueError: The value isn't a number of seconds.
    """
    text = value.strip().decode("latin-1")
    try:
        pause_s = float(text)
    except ValueError:
        pause_s = math.nan
    if not 0.0 <= pause_s < math.inf:
        raise ValueError(
            f"Retry-After {text[:40]!r} isn't a number of seconds; no pause"
        )
    return min(pause_s, MAX_PAUSE_S)
