"""Parse what upstreams say about themselves in responses."""

from collections.abc import Iterable
import math
import re

import attrs

from shallotfold._gateway.deciding.named_limits import MAX_NAMED_RATE

# Bounds the effect of a mistaken value.
MAX_PAUSE_S = 600.0
# Percentages outside these bounds are mistaken.
REPORTED_PERCENT_RANGE = range(10, 1_001)
# More digits aren't a count of requests.
MAX_COUNT_DIGITS = 9
_DECIMAL_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+", re.ASCII)


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


@attrs.frozen
class ReportedLoad:
    """What an upstream says about its load.

    Attributes:
        running: Requests that it is running.
        waiting: Requests in its queue.
        percent: How long work takes on its machine now, 100 as usual; `None`:
            it doesn't say, or the figure is mistaken.
    """

    running: int
    waiting: int
    percent: int | None


def parse_load(value: bytes) -> ReportedLoad | None:
    """Return the load that an upstream reports; `None` if it is mistaken.

    Args:
        value: Running and waiting requests, and maybe slots and percentage,
            separated by commas.
    """
    figures = [figure.strip() for figure in value.split(b",")]
    counts = figures[:3]
    if len(counts) < 2 or not all(map(_is_count, counts)):
        return None
    percent = None
    if len(figures) > 3 and _is_count(figures[3]):
        percent = int(figures[3])
        if percent not in REPORTED_PERCENT_RANGE:
            percent = None
    return ReportedLoad(int(counts[0]), int(counts[1]), percent)


def _is_count(figure: bytes) -> bool:
    return figure.isdigit() and len(figure) <= MAX_COUNT_DIGITS


def parse_named_rate(values: Iterable[bytes]) -> float | None:
    """Return how many requests a second an upstream takes from all hosts.

    Args:
        values: Values of the header, each a decimal number or several
            separated by commas; the lowest one counts.

    Returns:
        The rate, at most `MAX_NAMED_RATE`; `None`: no limit is named.

    Raises:
        ValueError: A limit is named that isn't a decimal number.
    """
    texts = [
        text.strip()
        for value in values
        for text in value.decode("latin-1").split(",")
    ]
    if not texts:
        return None
    rates = [float(text) for text in texts if _DECIMAL_NUMBER.fullmatch(text)]
    if not rates:
        raise ValueError(
            f"limit {texts[0][:40]!r} isn't a decimal number; it is ignored"
        )
    return min(*rates, MAX_NAMED_RATE)
