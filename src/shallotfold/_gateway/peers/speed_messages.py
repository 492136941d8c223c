"""Encode how long responses took, as part of a heartbeat."""

from collections.abc import Sequence
from typing import Any

from shallotfold._gateway.deciding.upstream_speeds import MAX_ANNOUNCED_SAMPLES
from shallotfold._gateway.deciding.upstream_speeds import SpeedSample

# Digits after the point of a logarithm; the error is far below the noise.
LOG_DIGITS = 3
# Logarithms beyond it are damaged; not a number is too.
MAX_LOG_TIME = 20.0
# No upstream has more requests; a larger number is damaged.
MAX_RUNNING = 100_000


def sample_fields(
    samples: Sequence[SpeedSample],
) -> list[tuple[str, int, float, int]]:
    """Return the fields of a message."""
    return [
        (s.upstream, s.started_ms, round(s.log_time, LOG_DIGITS), s.running)
        for s in samples[:MAX_ANNOUNCED_SAMPLES]
    ]


def read_samples(fields: Any) -> list[SpeedSample]:
    """Return the samples of a peer; those that are damaged are dropped.

    Raises:
        ValueError: The fields aren't a list.
    """
    if not isinstance(fields, list):
        raise ValueError("samples of speeds aren't a list")
    return [
        SpeedSample(upstream, started_ms, float(log_time), running)
        for upstream, started_ms, log_time, running in filter(
            _is_sample, fields[:MAX_ANNOUNCED_SAMPLES]
        )
    ]


def _is_sample(fields: Any) -> bool:
    if not isinstance(fields, list) or len(fields) != 4:
        return False
    upstream, started_ms, log_time, running = fields
    return (
        isinstance(upstream, str)
        and type(started_ms) is int
        and type(log_time) in (int, float)
        and abs(log_time) <= MAX_LOG_TIME
        and type(running) is int
        and 0 <= running <= MAX_RUNNING
    )
